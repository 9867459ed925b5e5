//! What is known of a mixer's past: when it counts as notified of each version, when it could reach discovery, and when its
//! processes stood still or were gone.
//!
//! This file owns those spans of time. It must never look at anything but the history, and names no broken rule.

use super::history::{
    DiscoveryAnswer, DiscoveryFailure, History, ProcessEvent, ProcessRecord, ServerPhase,
    UnreachableSpan,
};
use super::plan::Terms;

/// A change counts as told so long after discovery had it and could be reached (seconds).
const NOTIFIED_AFTER_S: f64 = 6.0;
/// After a new configuration what an agent has counts as told so much later (seconds).
const NOTIFIED_AFTER_MOVE_S: f64 = 4.0;
/// A process that can't reach discovery in this time has started while it was away (seconds).
const FIRST_CALL_WITHIN_S: f64 = 1.0;

/// A span of time.
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

/// When a process of a mixer counts as told of each version, in order of versions.
pub(super) struct NotificationTimes {
    pub(super) started_at: f64,
    times: Vec<f64>,
}

impl NotificationTimes {
    /// For each process of a mixer.
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
        // A process starts with the list that the one before last had; what was lost on its way to that one it can't have.
        let own = |answer: &&DiscoveryAnswer| {
            answer.mixer == mixer && (answer.at >= started_at || !answer.is_cut)
        };
        for answer in history.discovery_answers.iter().filter(own) {
            notified[answer.version] = notified[answer.version].min(answer.at.max(started_at));
        }
        // Who knows a version knows what was changed before it.
        for index in (0..notified.len().saturating_sub(1)).rev() {
            notified[index] = notified[index].min(notified[index + 1]);
        }
        NotificationTimes {
            started_at,
            times: notified,
        }
    }

    /// Since when the mixer has been told that nothing may go to a server, as of then.
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

/// When a mixer could reach discovery, or its agent.
struct DiscoveryAccess {
    /// When it could not, in order of time.
    unreachable: Vec<Span>,
    /// When its open watches fell silent, and until when nothing could be done about it.
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

    /// When discovery could be reached for so long on end, from that time on.
    fn continuously_reachable_at(&self, from: f64, for_s: f64) -> f64 {
        let mut from = from;
        for span in &self.unreachable {
            if span.overlaps(from, from + for_s) {
                from = from.max(span.to);
            }
        }
        from + for_s
    }

    /// When it can be reached again, at that time at the earliest.
    fn reachable_at(&self, from: f64) -> f64 {
        self.continuously_reachable_at(from, 0.0)
    }

    /// What was told before a process was there counts for it from its start on; where it can't reach discovery then, as
    /// any change does from its return on.
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

    /// When a change counts as told where lists are pushed: what the agent has counts, but not yet where the watch on it has
    /// fallen silent, or right after a new configuration.
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

/// What is known of the processes of one mixer.
#[derive(Default)]
pub(super) struct ProcessSpans {
    stopped: Vec<Span>,
    /// From the kill, or the end, to the next start.
    down: Vec<Span>,
    killed: Vec<Span>, // without having been told to end, until they were gone
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

    /// How long it stood still in that time, at most in one piece (seconds).
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
