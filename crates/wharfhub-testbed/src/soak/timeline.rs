//! Derives from the history of a soak when each mixer counts as notified of each version of the list, when discovery was
//! reachable for the mixer, and when the mixer's processes were stopped or killed.

use super::history::{
    DiscoveryAnswer, DiscoveryFailure, History, ProcessEvent, ProcessRecord, ServerPhase,
    UnreachableSpan,
};
use super::plan::Terms;

/// A mixer counts as notified of a change this long after discovery had the change and could be reached (seconds).
const NOTIFIED_AFTER_S: f64 = 6.0;
/// After a new configuration, a mixer counts as notified of what its agent has this much later (seconds).
const NOTIFIED_AFTER_MOVE_S: f64 = 4.0;
/// Time from the start of a process in which its first call is made: if discovery is unreachable at any moment of it, the
/// process counts as started during an outage (seconds).
const FIRST_CALL_WITHIN_S: f64 = 1.0;

/// A span of time, in seconds since the start of the soak.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    pub(super) from: f64,
    pub(super) to: f64,
}

impl Span {
    fn overlaps(&self, from: f64, to: f64) -> bool {
        self.from < to && from < self.to
    }
}

/// Times at which one process of a mixer counts as notified of each version, in order of versions.
pub(super) struct NotificationTimes {
    pub(super) started_at: f64,
    times: Vec<f64>,
}

impl NotificationTimes {
    /// Returns the notification times for each process of a mixer.
    pub(super) fn of_processes(
        history: &History,
        terms: &Terms,
        mixer: usize,
    ) -> Vec<NotificationTimes> {
        let starts = history
            .processes
            .iter()
            .filter(|record| record.mixer == mixer);
        let starts = starts
            .filter(|record| record.event == ProcessEvent::Started)
            .map(|record| record.at);
        starts
            .map(|started_at| NotificationTimes::of(history, terms, mixer, started_at))
            .collect()
    }

    fn of(history: &History, terms: &Terms, mixer: usize, started_at: f64) -> NotificationTimes {
        let discovery_access = DiscoveryAccess::of(history, mixer);
        let notified_at = |changed_at: f64| match terms.lists_pushed {
            true => discovery_access.notified_through_agent_at(changed_at, started_at),
            false => discovery_access
                .continuously_reachable_at(changed_at, NOTIFIED_AFTER_S)
                .max(discovery_access.notified_of_earlier_versions_at(started_at)),
        };
        let mut notified: Vec<f64> = history
            .versions
            .iter()
            .map(|version| notified_at(version.at))
            .collect();
        // A process starts with the list last delivered to an earlier process of its mixer. It can't know of an answer that was
        // cut off on its way to that process.
        let own = |answer: &&DiscoveryAnswer| {
            answer.mixer == mixer && (answer.at >= started_at || !answer.is_cut)
        };
        for answer in history.discovery_answers.iter().filter(own) {
            notified[answer.version] = notified[answer.version].min(answer.at.max(started_at));
        }
        // A version includes all earlier changes.
        for index in (0..notified.len().saturating_sub(1)).rev() {
            notified[index] = notified[index].min(notified[index + 1]);
        }
        NotificationTimes {
            started_at,
            times: notified,
        }
    }

    /// Returns the time since which the process has counted, at time `at`, as notified that the server is not ready; none if
    /// the latest version it counts as notified of has the server as ready.
    pub(super) fn unready_since(&self, history: &History, server: usize, at: f64) -> Option<f64> {
        let latest = self.times.iter().rposition(|notified| *notified <= at)?;
        let is_ready = |index: usize| history.versions[index].phases[server] == ServerPhase::Ready;
        let mut since = None;
        for index in (0..=latest).rev() {
            if is_ready(index) {
                break;
            }
            since = Some(self.times[index]);
        }
        since
    }
}

/// Availability of discovery, or of its agent, for one mixer.
struct DiscoveryAccess {
    /// Spans in which discovery was unreachable, in order of time.
    unreachable: Vec<Span>,
    /// Spans that start when open watches fell silent and end when a new call could succeed, which may be the same time.
    silent_watches: Vec<Span>,
    reconfigured_at: Vec<f64>,
}

impl DiscoveryAccess {
    fn of(history: &History, mixer: usize) -> DiscoveryAccess {
        let own = |span: &&UnreachableSpan| span.mixer.is_none_or(|other| other == mixer);
        let span = |span: &UnreachableSpan| Span {
            from: span.from,
            to: span.to,
        };
        let mut unreachable: Vec<Span> = history.unreachable.iter().filter(own).map(span).collect();
        unreachable.sort_by(|a, b| a.from.total_cmp(&b.from));
        let fell_silent = history
            .watch_silences
            .iter()
            .map(|at| Span { from: *at, to: *at });
        let hung = history
            .unreachable
            .iter()
            .filter(own)
            .filter(|span| span.failure == DiscoveryFailure::Silent);
        let reconfigured = |record: &&ProcessRecord| {
            record.mixer == mixer && record.event == ProcessEvent::Reconfigured
        };
        DiscoveryAccess {
            unreachable,
            silent_watches: fell_silent.chain(hung.map(span)).collect(),
            reconfigured_at: history
                .processes
                .iter()
                .filter(reconfigured)
                .map(|record| record.at)
                .collect(),
        }
    }

    /// Returns the end of the first span of `for_s` seconds, at or after `from`, in which discovery was reachable throughout.
    fn continuously_reachable_at(&self, from: f64, for_s: f64) -> f64 {
        let mut from = from;
        for span in &self.unreachable {
            if span.overlaps(from, from + for_s) {
                from = from.max(span.to);
            }
        }
        from + for_s
    }

    /// Returns the first time, at or after `from`, at which discovery was reachable.
    fn reachable_at(&self, from: f64) -> f64 {
        self.continuously_reachable_at(from, 0.0)
    }

    /// Returns the earliest time at which a process counts as notified of versions older than its start: the start itself, or
    /// 6 s after the return of discovery if discovery was unreachable then.
    fn notified_of_earlier_versions_at(&self, started_at: f64) -> f64 {
        let is_unreachable = self
            .unreachable
            .iter()
            .any(|span| span.overlaps(started_at, started_at + FIRST_CALL_WITHIN_S));
        match is_unreachable {
            true => self.continuously_reachable_at(started_at, NOTIFIED_AFTER_S),
            false => started_at,
        }
    }

    /// Returns the time at which a process counts as notified of a change where lists are pushed: as soon as the agent has the
    /// change, but later if the watch on the agent had fallen silent or the mixer had just got a new configuration.
    fn notified_through_agent_at(&self, changed_at: f64, started_at: f64) -> f64 {
        let mut notified_at = self.reachable_at(changed_at.max(started_at));
        for span in self
            .silent_watches
            .iter()
            .filter(|span| span.to >= started_at)
        {
            if (span.from..span.to + NOTIFIED_AFTER_S).contains(&notified_at) {
                notified_at = span.to + NOTIFIED_AFTER_S;
            }
        }
        for at in self.reconfigured_at.iter().filter(|at| **at >= started_at) {
            if (*at..at + NOTIFIED_AFTER_MOVE_S).contains(&notified_at) {
                notified_at = at + NOTIFIED_AFTER_MOVE_S;
            }
        }
        self.reachable_at(notified_at)
    }
}

/// Spans in which the processes of one mixer were stopped or down.
#[derive(Default)]
pub(super) struct ProcessSpans {
    stopped: Vec<Span>,
    /// Spans from the kill or exit of a process to the next start.
    down: Vec<Span>,
    /// Spans from a kill without a previous SIGTERM, or from a crash, until the process was reaped.
    killed: Vec<Span>,
}

impl ProcessSpans {
    pub(super) fn of(history: &History, mixer: usize) -> ProcessSpans {
        let mut spans = ProcessSpans::default();
        let (mut stopped_at, mut down_from) = (None, None);
        for record in history
            .processes
            .iter()
            .filter(|record| record.mixer == mixer)
        {
            match record.event {
                ProcessEvent::Stopped => stopped_at = Some(record.at),
                ProcessEvent::Continued => {
                    let from = stopped_at.take().unwrap_or(record.at);
                    spans.stopped.push(Span {
                        from,
                        to: record.at,
                    });
                }
                ProcessEvent::Killed | ProcessEvent::Crashed => {
                    spans.killed.push(Span {
                        from: record.at,
                        to: record.at,
                    });
                    down_from = Some(record.at);
                }
                ProcessEvent::Reaped => {
                    if let Some(killed) = spans.killed.last_mut() {
                        killed.to = record.at;
                    }
                }
                ProcessEvent::Exited | ProcessEvent::KilledAfterSigterm => {
                    down_from = Some(record.at)
                }
                ProcessEvent::Started => {
                    let from = down_from.take().unwrap_or(f64::NEG_INFINITY);
                    spans.down.push(Span {
                        from,
                        to: record.at,
                    });
                }
                _ => {}
            }
        }
        spans.down.extend(down_from.map(|from| Span {
            from,
            to: f64::INFINITY,
        }));
        spans
    }

    /// Returns the length of the longest single stop between `from` and `to` (seconds).
    pub(super) fn longest_stop_s(&self, from: f64, to: f64) -> f64 {
        let inside = |span: &Span| span.to.min(to) - span.from.max(from);
        self.stopped.iter().map(inside).fold(0.0, f64::max)
    }

    pub(super) fn was_killed_within(&self, from: f64, to: f64) -> bool {
        self.killed
            .iter()
            .any(|killed| killed.from <= to && from <= killed.to)
    }
}
