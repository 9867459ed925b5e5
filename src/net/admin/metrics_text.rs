//! Rendering of the metrics in Prometheus text format.

use crate::net::client::connections::CloseReason;
use crate::net::client::page_cache::RenderedPage;
use crate::net::loop_metrics::LoopMetrics;
use crate::net::tokens::PROTOCOLS;
use crate::requests::coordinator::{Coordinator, Protocol};
use crate::requests::invariants::Invariant;
use crate::requests::metrics::Metrics;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Values of the parameter `style` for the client protocols, in the order of [`PROTOCOLS`].
const STYLES: [&str; 2] = ["platform", "search"];

/// Sources of the metric values.
pub(in crate::net) struct MetricsSources<'a> {
    pub(in crate::net) coordinator: &'a Coordinator,
    /// Number of endpoints in the current endpoint list.
    pub(in crate::net) listed_endpoints: usize,
    /// Number of configurations that were accepted on SIGHUP.
    pub(in crate::net) accepted_configurations: u64,
    /// Number of configurations that were rejected on SIGHUP.
    pub(in crate::net) rejected_configurations: u64,
    /// Number of discovery answers that were lost.
    pub(in crate::net) missing_answers: u64,
    /// Number of closed client connections, by reason.
    pub(in crate::net) closed_clients: &'a BTreeMap<CloseReason, u64>,
    /// Number of error responses to requests that could not be parsed or were invalid, by status.
    pub(in crate::net) invalid_requests: &'a BTreeMap<u16, u64>,
    /// Counters of the event loop.
    pub(in crate::net) loop_metrics: LoopMetrics,
    /// Number of sockets whose input waits for a later turn.
    pub(in crate::net) backlog: usize,
    /// Number of pending deadlines.
    pub(in crate::net) timers: usize,
}

/// Returns the metrics page that a request target selects: `?style=platform` or `?style=search` restricts the request metrics to
/// that client protocol.
pub(in crate::net) fn metrics_page(target: &str) -> RenderedPage {
    match target.split_once("?style=") {
        None => RenderedPage::Metrics,
        Some((_, style)) => {
            RenderedPage::ProtocolMetrics(STYLES.iter().position(|name| *name == style))
        }
    }
}

impl MetricsSources<'_> {
    /// Returns the text for the admin interface.
    pub(in crate::net) fn summary(&self) -> String {
        let mut out = String::new();
        self.write_summary(&self.metrics_of(|_| true), &mut out);
        out
    }

    /// Returns the text of a metrics page, which contains more metrics than [`MetricsSources::summary`].
    pub(in crate::net) fn page(&self, page: RenderedPage) -> String {
        let metrics = match page {
            RenderedPage::Process => return self.process_page(),
            RenderedPage::ProtocolMetrics(index) => {
                self.metrics_of(|protocol| index == Some(protocol as usize))
            }
            RenderedPage::Metrics | RenderedPage::Endpoints => self.metrics_of(|_| true),
        };
        let mut out = String::new();
        self.write_summary(&metrics, &mut out);
        self.write_reasons(&metrics, &mut out);
        write_class_details(&metrics, &mut out);
        self.write_two_phase_counters(&mut out);
        out
    }

    /// Returns the sum of the request metrics of the included client protocols.
    fn metrics_of(&self, is_included: impl Fn(Protocol) -> bool) -> Metrics {
        let mut metrics = Metrics::default();
        for protocol in PROTOCOLS.into_iter().filter(|it| is_included(*it)) {
            metrics.add(self.coordinator.metrics(protocol));
        }
        metrics
    }

    fn write_summary(&self, metrics: &Metrics, out: &mut String) {
        for (class, counts) in &metrics.classes {
            let group = escaped(class);
            let states = [
                ("answered", counts.answered),
                ("deferred", counts.rejected),
                ("errored", counts.failed),
            ];
            for (state, count) in states {
                let _ = writeln!(
                    out,
                    "svc_transactions_total{{group=\"{group}\",state=\"{state}\"}} {count}"
                );
            }
        }
        let avoided = self
            .coordinator
            .avoided_replicas()
            .min(self.listed_endpoints);
        let unlabelled = [
            ("sends_total", metrics.sent_attempts),
            ("current", self.coordinator.open_requests() as u64),
            ("cluster_size", self.listed_endpoints as u64),
            ("cluster_unhealthy", avoided as u64),
            ("conf_loaded_total", self.accepted_configurations),
            ("conf_invalid_total", self.rejected_configurations),
        ];
        for (name, value) in unlabelled {
            let _ = writeln!(out, "svc_{name} {value}");
        }
    }

    /// Writes the counters by reason of rejected and failed requests, ended and repeated attempts, invariants, lost discovery
    /// answers and closed client connections.
    fn write_reasons(&self, metrics: &Metrics, out: &mut String) {
        let mut line = |name: &str, label: &str, value: &str, count: u64| {
            let _ = writeln!(out, "svc_{name}_total{{{label}=\"{value}\"}} {count}");
        };
        for (reason, count) in &metrics.rejected {
            line("refused", "why", reason.label(), *count);
        }
        for (reason, count) in &metrics.failed {
            line("failed", "why", reason.label(), *count);
        }
        for (outcome, count) in &metrics.attempts {
            line("attempts", "outcome", outcome.label(), *count);
        }
        for (before, count) in &metrics.retries {
            let before = before.map_or("in_flight", |outcome| outcome.label());
            line("repeats", "after", before, *count);
        }
        let invariants = self.coordinator.invariants();
        for rule in Invariant::ALL {
            let label = rule.label();
            line("violations", "rule", label, invariants.violations(rule));
            let undecided = invariants.undecided(rule);
            if undecided > 0 {
                line("undecided", "rule", label, undecided);
            }
            line("guard_stops", "rule", label, invariants.stopped(rule));
        }
        line("discovery_answers", "end", "lost", self.missing_answers);
        for (reason, count) in self.closed_clients {
            line("clients_closed", "reason", reason.label(), *count);
        }
        for (status, count) in self.invalid_requests {
            line("invalid_requests", "status", &status.to_string(), *count);
        }
    }

    /// Returns the counters of the event loop, and the processor time of the process.
    fn process_page(&self) -> String {
        let mut out = String::new();
        let LoopMetrics {
            iterations,
            long_iterations,
            longest_s,
            full_backlogs,
            ..
        } = self.loop_metrics;
        let _ = writeln!(out, "svc_loop_iterations_total {iterations}");
        let _ = writeln!(out, "svc_loop_long_iterations_total {long_iterations}");
        let _ = writeln!(out, "svc_loop_longest_iteration_s {longest_s:.6}");
        let _ = writeln!(out, "svc_loop_full_backlogs_total {full_backlogs}");
        let _ = writeln!(out, "svc_backlog {}", self.backlog);
        let _ = writeln!(out, "svc_timers {}", self.timers);
        if let Some(cpu_s) = processor_time_s() {
            let _ = writeln!(out, "svc_cpu_seconds_total {cpu_s:.3}");
        }
        out
    }

    /// Writes the counters of two-phase queries, by class.
    fn write_two_phase_counters(&self, out: &mut String) {
        for (learned, metrics) in self.coordinator.phases().classes() {
            let group = escaped(&learned.class);
            let queries = [("two", metrics.two_phase), ("one", metrics.one_phase)];
            for (phases, count) in queries {
                let _ = writeln!(
                    out,
                    "svc_phases_total{{group=\"{group}\",phases=\"{phases}\"}} {count}"
                );
            }
            let pre_check_answers = [
                ("none", metrics.pruned),
                ("match", metrics.matching),
                ("silent", metrics.unanswered),
            ];
            for (answer, count) in pre_check_answers {
                let _ = writeln!(
                    out,
                    "svc_asked_ahead_total{{group=\"{group}\",word=\"{answer}\"}} {count}"
                );
            }
            let saved_share = learned.saved_share().unwrap_or(0.0);
            let _ = writeln!(out, "svc_phases_save{{group=\"{group}\"}} {saved_share:.3}");
        }
    }
}

/// Returns the processor time of the process (seconds), where the system tells it.
fn processor_time_s() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/schedstat").ok()?;
    let nanoseconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanoseconds * 1e-9)
}

/// Writes further request counters of each class.
fn write_class_details(metrics: &Metrics, out: &mut String) {
    for (class, counts) in &metrics.classes {
        let group = escaped(class);
        let details = [
            ("partial", counts.partial),
            ("in_aim", counts.within_objective),
            ("left", counts.client_disconnected),
        ];
        for (name, count) in details {
            let _ = writeln!(out, "svc_{name}_total{{group=\"{group}\"}} {count}");
        }
    }
}

/// Escapes the value of a label.
fn escaped(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
