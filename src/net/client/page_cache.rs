//! Rendered operators' pages. Some are rendered in each second; beyond that they are used again for a while, so that clients who request
//! them at full speed cost little.

use std::collections::BTreeMap;
use std::rc::Rc;

/// A page is rendered again after this multiple of the time that rendering took, so that rendering takes at most about one part
/// in this many of the processor time.
const REUSE_FACTOR: f64 = 20.0;
/// Number of pages in a second that are always rendered.
const MAX_FRESH_PER_S: u32 = 8;
/// Maximum age of a page (seconds).
const MAX_AGE_S: f64 = 1.0;

/// A page that takes long to render.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::net) enum RenderedPage {
    /// Endpoints with their latest load reports.
    Endpoints,
    /// Metrics of all client protocols.
    Metrics,
    /// Metrics of the client protocol with this index; metrics of no protocol for an unknown one.
    ProtocolMetrics(Option<usize>),
    /// Metrics of the event loop and the process.
    Process,
}

struct CachedPage {
    text: Rc<str>,
    expires_at: f64,
}

/// The latest text of each page. Times are on the event loop's clock (seconds).
#[derive(Default)]
pub(in crate::net) struct PageCache {
    pages: BTreeMap<RenderedPage, CachedPage>,
    second_started_at: f64,
    /// Pages rendered since `second_started_at`.
    rendered: u32,
}

impl PageCache {
    /// Returns the text of a page that is used again: many pages were rendered in this second, and this one recently.
    pub(in crate::net) fn get(&mut self, now: f64, page: RenderedPage) -> Option<Rc<str>> {
        if now >= self.second_started_at + 1.0 {
            (self.second_started_at, self.rendered) = (now, 0);
        }
        if self.rendered < MAX_FRESH_PER_S {
            return None;
        }
        let cached = self.pages.get(&page);
        let fresh = cached.filter(|cached| now < cached.expires_at);
        fresh.map(|cached| cached.text.clone())
    }

    /// Stores the text of a page that was rendered from `started_at` to `now`.
    pub(in crate::net) fn put(
        &mut self,
        started_at: f64,
        now: f64,
        page: RenderedPage,
        text: Rc<str>,
    ) {
        self.rendered += 1;
        let reuse_s = (REUSE_FACTOR * (now - started_at)).clamp(0.0, MAX_AGE_S);
        let expires_at = now + reuse_s;
        self.pages.insert(page, CachedPage { text, expires_at });
    }
}

#[cfg(test)]
mod tests;
