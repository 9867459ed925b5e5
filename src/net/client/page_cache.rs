//! Rendered operators' pages, which are used again for a while, so that clients who request them at full speed cost little.

use std::collections::BTreeMap;
use std::rc::Rc;

/// A page is rendered again after this multiple of the time that rendering took, so that rendering takes at most about one part
/// in this many of the processor time.
const REUSE_FACTOR: f64 = 20.0;
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
}

impl PageCache {
    /// Returns the text of a page, if it was rendered recently.
    pub(in crate::net) fn get(&self, now: f64, page: RenderedPage) -> Option<Rc<str>> {
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
        let reuse_s = (REUSE_FACTOR * (now - started_at)).clamp(0.0, MAX_AGE_S);
        let expires_at = now + reuse_s;
        self.pages.insert(page, CachedPage { text, expires_at });
    }
}

#[cfg(test)]
mod tests;
