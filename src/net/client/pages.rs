//! Paths of the pages under `/-/`, which both client protocols serve: readiness, health, metrics, endpoints and store keys.

/// Target prefix of store pages. The rest of the target is the key.
pub(super) const STORE_PREFIX: &str = "/-/store/";

/// Page that a request target selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Page<'a> {
    /// Value of a store key.
    Store {
        /// Store key.
        name: &'a str,
    },
    /// Readiness of the mixer to serve clients.
    Ready,
    /// Liveness of the process.
    Healthy,
    /// Metrics in Prometheus text format.
    Metrics,
    /// Metrics of the event loop and the process.
    Process,
    /// Endpoints with their latest load reports.
    Endpoints,
    /// Path without a page.
    Unknown,
}

impl<'a> Page<'a> {
    /// Returns the page that a request target selects. Store pages exist only if `has_store` is set.
    pub(super) fn from_target(target: &'a str, has_store: bool) -> Page<'a> {
        if let Some(name) = target.strip_prefix(STORE_PREFIX).filter(|_| has_store) {
            return Page::Store { name };
        }
        match target.split('?').next().unwrap_or_default() {
            "/-/ready" => Page::Ready,
            "/-/healthy" => Page::Healthy,
            "/-/figures" => Page::Metrics,
            "/-/process" => Page::Process,
            "/-/members" => Page::Endpoints,
            _ => Page::Unknown,
        }
    }
}
