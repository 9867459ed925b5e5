//! Attempts of parts: sending, retrying, hedging and cancelling them, and handling their ends.
//!
//! The choice of the replica is made in `replica_selection.rs`, the rules for retries and hedged requests are in `retry.rs`
//! and `hedging.rs`, and `learning.rs` updates the statistics when an attempt ends.

use crate::decisions::aggregator::Aggregator;
use crate::decisions::api::*;
use crate::decisions::learning::{EndedAttempt, OutcomeRecorder};
use crate::decisions::query::{Attempt, Part, Query};
use crate::decisions::replica::Replica;
use crate::decisions::replica_selection::best_holder;
use crate::decisions::stragglers::AttemptId;
use crate::decisions::{crash_detection, hedging, retry, time_window};

/// An attempt that is about to be sent.
struct PlannedAttempt {
    part: PartId,
    replica: ReplicaId,
    is_retry: bool,
    is_pre_check: bool,
    measured_class: usize,
    /// Time after which an answer to the attempt is useless.
    until: f64,
    connection_idle_s: f64,
}

impl Aggregator {
    /// Sends the first or a further attempt of a selected part, if the rules allow it. Returns whether an attempt was sent.
    pub(super) fn send(&mut self, id: PartId, out: &mut Vec<Action>) -> bool {
        let part = &self.queries.parts[&id];
        let Some(query) = self.queries.query_of(part) else {
            return false;
        };
        let is_retry = is_retry(part);
        if !self.may_send(part, query, is_retry) {
            return false;
        }
        let Some(target) = self.choose_replica(id, part) else {
            return false;
        };
        let replica = self
            .replicas
            .get(target)
            .expect("a holder is in the replica table");
        let mut connection_idle_s = self.connection_idle_s(replica);
        let close_idle = self.must_replace_idle(query, part, replica, connection_idle_s);
        let pre_check = self.pre_check_at(query, part, replica);
        let due = self.view().final_answer_due(query);
        let measured_class = pre_check.map_or(part.class, |pre_check| pre_check.class.into());
        let until = pre_check.map_or(due, |pre_check| pre_check.until.min(due));
        if close_idle {
            out.push(Action::CloseIdle { replica: target });
            connection_idle_s = 0.0;
        }
        let planned = PlannedAttempt {
            part: id,
            replica: target,
            is_retry,
            is_pre_check: pre_check.is_some(),
            measured_class,
            until,
            connection_idle_s,
        };
        self.record_sent(&planned);
        out.push(Action::Send {
            part: id,
            replica: target,
            max_timeout_s: planned.until - self.now,
            is_pre_check: planned.is_pre_check,
        });
        true
    }

    fn may_send(&self, part: &Part, query: &Query, is_retry: bool) -> bool {
        let view = self.view();
        let is_over_budget = is_retry && !retry::is_within_budget(&view, 1.0);
        view.final_answer_due(query) > self.now
            && !part.is_answered
            && !is_over_budget
            && retry::is_attempt_allowed(&view, part)
    }

    /// Returns the best holder that received no attempt of the part, or else the best holder with no attempt of the part in
    /// flight.
    fn choose_replica(&self, id: PartId, part: &Part) -> Option<ReplicaId> {
        let view = self.view();
        let tried: Vec<ReplicaId> = part
            .attempts
            .iter()
            .map(|attempt| attempt.replica)
            .collect();
        let choice = best_holder(&view, id, &tried).or_else(|| {
            let in_flight = part.in_flight().map(|(_, attempt)| attempt.replica);
            let in_flight: Vec<ReplicaId> = in_flight.collect();
            best_holder(&view, id, &in_flight)
        });
        choice.map(|choice| choice.replica)
    }

    /// Returns the time for which the connections to a replica have been unused (seconds); 0 while a connection is in use.
    fn connection_idle_s(&self, replica: &Replica) -> f64 {
        let unused_since = replica.last_used_at.filter(|_| replica.in_flight == 0);
        unused_since.map_or(0.0, |unused_since| self.now - unused_since)
    }

    /// Returns whether idle connections to the replica are closed first, because a part might be lost on them. A replica
    /// that failed fast has answered on its connection, so replacing the connection would only cost a handshake.
    fn must_replace_idle(
        &self,
        query: &Query,
        part: &Part,
        replica: &Replica,
        idle_s: f64,
    ) -> bool {
        let is_likely_lost = self.outliers.idle_losses.is_likely_lost(self.now, idle_s);
        let is_unresponsive = replica.is_ejected(part.class) && !replica.has_answered_last;
        idle_s > 0.0 && (is_likely_lost || query.first_reset_at.is_some() || is_unresponsive)
    }

    /// Returns the pre-check that an attempt of the part is sent as. Only the first attempt of a part is a pre-check; if it
    /// brings no answer, the part is assumed to match.
    fn pre_check_at(&self, query: &Query, part: &Part, replica: &Replica) -> Option<PreCheck> {
        query.pre_check.filter(|pre_check| {
            part.attempts.is_empty()
                && self.now < pre_check.until
                && replica.entry.supports_pre_check
                && !replica.is_ejected(pre_check.class.into())
        })
    }

    /// Records an attempt that is sent in its part, its query, its replica and the statistics.
    fn record_sent(&mut self, planned: &PlannedAttempt) {
        let part = self.queries.parts.get_mut(&planned.part);
        let part = part.expect("a part that is sent is in the table");
        let attempt = AttemptId {
            part: planned.part,
            number: part.attempts.len(),
        };
        part.attempts.push(Attempt {
            replica: planned.replica,
            sent_at: self.now,
            measured_class: planned.measured_class,
            connection_idle_s: planned.connection_idle_s,
            in_flight_when_sent: self.service_time.attempt_sent(),
            ..Attempt::default()
        });
        self.outliers.stragglers.add(self.now, attempt);
        self.queries.recount_part(planned.part, &self.replicas);
        // A pre-check is light and says little about the load on the replicas.
        if !planned.is_pre_check {
            self.statistics
                .count_attempt(self.now, planned.is_retry, self.now, self.retention_s);
        }
        if !planned.is_retry {
            hedging::add_credit(&mut self.statistics, self.replicas.listed_count());
        }
        let replica = self.replicas.get_mut(planned.replica);
        let replica = replica.expect("a holder is in the replica table");
        let window_start = self.now - self.settings.overload_window_s;
        time_window::add(&mut replica.statistics.sent_times, self.now, window_start);
        replica.part_sent(self.now, self.settings.max_call_parts);
        let statistics = &mut replica.statistics;
        statistics.ejection.part_sent(self.now);
        statistics.classes[planned.measured_class]
            .ejection
            .part_sent(self.now);
    }

    /// Checks a part without an answer. A failed part is sent again. For a late part, a spare part or a hedged request is
    /// sent; if two attempts may not be in flight at once, the late attempt is cancelled if its replica is ejected.
    ///
    /// Returns whether the part needs no further check until it becomes late or its state changes.
    pub(super) fn check_part(&mut self, id: PartId, out: &mut Vec<Action>) -> bool {
        let view = self.view();
        let part = &self.queries.parts[&id];
        let query = part.query.map(|query| &self.queries.open[&query]);
        let is_waiting =
            query.is_some_and(|query| crash_detection::is_waiting_for_probe(&view, query));
        if part.is_answered || !part.is_selected || is_waiting {
            return !is_waiting;
        }
        let Some((number, first)) = part.in_flight().next() else {
            if !part.is_rejected() || retry::is_worthwhile(&view, part, true) {
                self.send(id, out);
            }
            return false;
        };
        let is_hedged = part.in_flight().nth(1).is_some();
        let age_s = self.now - first.sent_at - first.process_pause_s;
        let is_ejected = self
            .replicas
            .is_ejected(first.replica, first.measured_class);
        let is_late = hedging::is_late(&view, part.class, first, age_s, is_ejected);
        if is_hedged || first.is_cancelled || !is_late || hedging::is_suspended(&view) {
            return !is_ejected;
        }
        let is_overdue = age_s > view.overdue_s(first.measured_class);
        let may_cancel = is_ejected && is_overdue;
        let has_acted =
            self.send_spare(id, out) || self.hedge_or_cancel(id, number, may_cancel, out);
        if has_acted {
            self.statistics.hedging_credit -= 1.0;
        }
        false
    }

    /// Sends a hedged request for a late part or, if hedging is off, cancels the late attempt if that is allowed. Returns
    /// whether either was done.
    fn hedge_or_cancel(
        &mut self,
        id: PartId,
        number: usize,
        may_cancel: bool,
        out: &mut Vec<Action>,
    ) -> bool {
        let view = self.view();
        let part = &self.queries.parts[&id];
        let can_cancel_late = may_cancel
            && self.settings.can_cancel
            && view.is_idempotent(part.class)
            && part.attempts.len() < part.max_attempts;
        let can_act = self.settings.can_hedge || can_cancel_late;
        if !can_act || !retry::is_worthwhile(&view, part, false) {
            return false;
        }
        if self.settings.can_hedge {
            return self.send(id, out);
        }
        let part = self
            .queries
            .parts
            .get_mut(&id)
            .expect("the part is in the table");
        part.attempts[number].is_cancelled = true;
        self.queries.recount_part(id, &self.replicas);
        out.push(Action::Cancel {
            part: id,
            attempt: number as u8,
        });
        true
    }

    /// Sends a spare part, which a complete answer does not need, in place of a late one. Returns whether a part was sent.
    fn send_spare(&mut self, late: PartId, out: &mut Vec<Action>) -> bool {
        let Some(query) = self.queries.query_of(&self.queries.parts[&late]) else {
            return false;
        };
        let has_spares = self.settings.classes[query.class].complete_share < 1.0;
        let index = query.progress.first_spare().filter(|_| has_spares);
        let Some(spare) = index.map(|index| query.parts[index]) else {
            return false;
        };
        self.queries.select(spare, &self.replicas);
        self.send(spare, out)
    }

    /// Handles the end of an attempt. Ends of attempts that are unknown or have ended already are ignored.
    pub(super) fn handle_attempt_end(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(part) = self.queries.parts.get_mut(&end.part) else {
            return;
        };
        let attempt = part.attempts.get_mut(usize::from(end.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) else {
            return;
        };
        attempt.outcome = Some(end.outcome);
        self.service_time.attempt_ended();
        let attempt = *attempt;
        part.is_answered |= end.outcome == Outcome::Ok;
        let ended = EndedAttempt {
            attempt,
            part_class: part.class,
            latency_s: latency_s(&end, &attempt, self.now),
            outcome: end.outcome,
        };
        let query = part.query;
        let is_answered = part.is_answered;
        let others: Vec<usize> = part.in_flight().map(|(number, _)| number).collect();
        if query.is_none() && others.is_empty() {
            self.queries.parts.remove(&end.part);
        } else {
            self.queries.recount_part(end.part, &self.replicas);
        }
        self.record_outcome(&ended);
        let Some(query) = query else {
            return;
        };
        if end.outcome == Outcome::Reset {
            self.handle_reset(query, attempt.sent_at, out);
        }
        if matches!(end.outcome, Outcome::Ok | Outcome::Matches) {
            if let Some(query) = self.queries.open.get_mut(&query) {
                query.has_served_part = true;
            }
        }
        if is_answered && self.settings.can_cancel {
            out.extend(others.into_iter().map(|other| Action::Cancel {
                part: end.part,
                attempt: other as u8,
            }));
        }
        self.check_query(query, out);
    }

    fn record_outcome(&mut self, ended: &EndedAttempt) {
        let mut recorder = OutcomeRecorder {
            settings: &self.settings,
            statistics: &mut self.statistics,
            service_time: &mut self.service_time,
            outliers: &mut self.outliers,
            prices: &mut self.prices,
            now: self.now,
        };
        recorder.attempt_ended(&mut self.replicas, ended);
    }
}

/// Returns whether a further attempt of a part counts as a retry. The attempt after a pre-check with a match does not: it
/// is the part's first full attempt.
fn is_retry(part: &Part) -> bool {
    let last = part.attempts.last();
    last.is_some_and(|last| last.outcome != Some(Outcome::Matches))
}

/// Returns the latency of an attempt that has ended, without the pauses of this process (seconds).
fn latency_s(end: &AttemptEnd, attempt: &Attempt, now: f64) -> f64 {
    let is_plausible = end.took_s >= 0.0 && end.took_s.is_finite();
    let in_flight_s = if is_plausible {
        end.took_s
    } else {
        now - attempt.sent_at
    };
    (in_flight_s - attempt.process_pause_s).max(0.0)
}
