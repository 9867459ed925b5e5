//! Answers of discovery that were written, or may have been, and have not arrived whole.
//!
//! What discovery has written counts as told from that moment on, whatever becomes of it on the way. A call that ended without
//! a whole answer is therefore no proof that there was nothing to tell: from then on the list in use may be outdated, and it
//! may be acted on only for the drain grace. An answer to a later call says all that the lost one said. This file owns how a
//! call's end is understood, since when an answer is missing, when discovery counts as down so that none can be missing, and
//! how soon the call is repeated. It must never make a call, never read a list, and never read a clock.

use miniserde::{Deserialize, Serialize};

/// A call that ended without a byte may have been answered, or discovery went down under it. Where no call has been answered
/// for so long it is down (seconds): two calls can wait in the queue of a crowded discovery for 2 s each, and be repeated.
const PRESUMED_DOWN_S: f64 = 6.0;
/// The same after so many connections in a row that were refused: nobody is there.
const DOWN_AFTER_REFUSED_CONNECTIONS: u32 = 2;
/// The first repeats come within this time and a draw (seconds). Together with the time of an answer, two repeats have to fit
/// into the part of the drain grace that is used, 0.3 s of 0.5.
const MIN_RETRY_S: f64 = 0.02;
const MIN_RETRY_SPREAD_S: f64 = 0.06;
/// Where the answers to a whole fleet are lost at once, its repeats are spread: discovery answers a call in so long
/// (seconds), and a queue of so long is no harm, for calls are given up after 2 s.
const CALL_TURN_S: f64 = 0.004;
const HARMLESS_QUEUE_S: f64 = 1.0;
/// After so many repeats in a row the wait doubles each time, up to a bound that grows with the fleet (seconds).
const QUICK_RETRIES: u32 = 3;
const MIN_RETRY_BOUND_S: f64 = 0.12;
const MAX_RETRY_S: f64 = 1.4;

/// How a call ended that has no whole list as its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It never came to discovery: the connection did not come up, or the call did not leave.
    NotSent,
    /// Discovery said that it has no answer.
    Refused,
    /// It was given up, and no byte of an answer had come. A watch or call that is silent counts by terms of its own.
    GivenUp,
    /// Its connection ended before a byte came: an answer may have been written.
    Ended,
    /// Some of an answer came, or all of it and it can't be read: an answer was written.
    CutOff,
}

impl CallEnd {
    /// What it means for the log.
    pub fn label(self) -> &'static str {
        match self {
            CallEnd::NotSent => "the call did not leave",
            CallEnd::Refused => "refused",
            CallEnd::GivenUp => "given up",
            CallEnd::Ended => "an answer may be lost",
            CallEnd::CutOff => "its answer is lost",
        }
    }
}

/// An answer that is missing.
#[derive(Clone, Copy, Debug, PartialEq)]
struct MissingAnswer {
    /// It was written at this time at the earliest.
    since: f64,
    /// Calls that were made from then on are answered by what is newer.
    noticed_at: f64,
    /// Whether it was written for certain.
    is_certain: bool,
}

/// A missing answer as it is handed to the process that takes over, in ages: the two need not agree on a clock.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedMissingAnswer {
    /// Since it may have been written (seconds).
    pub age_s: f64,
    /// Whether it was written for certain.
    pub is_certain: bool,
}

/// The answers that are missing. Times are of the caller's clock (seconds).
#[derive(Clone, Copy, Debug, Default)]
pub struct LostAnswers {
    missing: Option<MissingAnswer>,
    /// Since when an answer has been arriving that is not whole yet.
    arriving_since: Option<f64>,
    /// Calls that were repeated before their time, since the last answer.
    retries: u32,
    refused_connections: u32, // in a row
    /// Whether calls have ended without a byte for so long that this says only that discovery is down.
    is_presumed_down: bool,
    count: u64,
}

impl LostAnswers {
    /// Answers have been arriving since then that are not whole, or none is.
    pub fn answer_arriving(&mut self, since: Option<f64>) {
        self.arriving_since = since;
    }

    /// A call has ended now without a whole list; its answer was not written before `since`.
    pub fn call_ended(&mut self, end: CallEnd, since: f64, now: f64) {
        self.presume(now);
        self.refused_connections = match end {
            CallEnd::NotSent => self.refused_connections.saturating_add(1),
            _ => 0,
        };
        match end {
            CallEnd::CutOff => self.is_missing(since, now, true),
            CallEnd::Ended if !self.is_presumed_down => self.is_missing(since, now, false),
            CallEnd::Ended => {}
            CallEnd::NotSent if self.refused_connections >= DOWN_AFTER_REFUSED_CONNECTIONS => {
                self.missing = self.missing.filter(|missing| missing.is_certain);
                self.is_presumed_down = false;
            }
            // A discovery that is down ends calls in one way: an end without a byte after another says something again.
            CallEnd::NotSent | CallEnd::Refused | CallEnd::GivenUp => self.is_presumed_down = false,
        }
        self.retries += u32::from(self.is_retry_soon(end, now));
    }

    /// A call that was made at that time was answered whole.
    pub fn answered(&mut self, made_at: f64) {
        self.missing = self.missing.filter(|missing| made_at < missing.noticed_at);
        if self.missing.is_none() {
            (self.retries, self.refused_connections, self.is_presumed_down) = (0, 0, false);
        }
    }

    /// Since when an answer may be missing, as of now.
    pub fn since(&self, now: f64) -> Option<f64> {
        let missing = self.missing.filter(|missing| !is_presumed_none(missing, now));
        missing.map(|missing| missing.since).into_iter().chain(self.arriving_since).reduce(f64::min)
    }

    /// Whether a call has to be made for an answer that is missing.
    pub fn needs_call(&self, now: f64) -> bool {
        self.missing.is_some_and(|missing| !is_presumed_none(&missing, now))
    }

    /// Whether a call that has ended so is to be repeated before its time: an answer is missing, or may be.
    pub fn is_retry_soon(&self, end: CallEnd, now: f64) -> bool {
        matches!(end, CallEnd::Ended | CallEnd::CutOff) || self.needs_call(now)
    }

    /// How long to wait with the next call after one that ended without an answer (seconds), among so many mixers that ask
    /// the same discovery; `jitter` is from 0 to 1.
    pub fn retry_delay_s(&self, mixers: u32, jitter: f64) -> f64 {
        let fleet_turn_s = f64::from(mixers) * CALL_TURN_S;
        let spread_s = (fleet_turn_s - HARMLESS_QUEUE_S).clamp(MIN_RETRY_SPREAD_S, MAX_RETRY_S);
        let doublings = self.retries.saturating_sub(QUICK_RETRIES).min(16);
        let bound_s = fleet_turn_s.clamp(MIN_RETRY_BOUND_S, MAX_RETRY_S);
        let grown_s = (MIN_RETRY_S + jitter * spread_s) * f64::from(doublings).exp2();
        grown_s.min(bound_s.max(MIN_RETRY_S + jitter * spread_s))
    }

    /// Answers that were lost, or may have been.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// For the process that takes over.
    pub fn hand_over(&self, now: f64) -> Option<HandedMissingAnswer> {
        let arriving = self.arriving_since.map(|since| (since, true));
        let missing = self.missing.map(|missing| (missing.since, missing.is_certain));
        let (since, is_certain) = missing.or(arriving)?;
        Some(HandedMissingAnswer { age_s: (now - since).max(0.0), is_certain })
    }

    /// Takes over from the process before.
    pub fn inherit(&mut self, now: f64, handed: HandedMissingAnswer) {
        self.is_missing(now - handed.age_s.max(0.0), now, handed.is_certain);
    }

    fn is_missing(&mut self, since: f64, now: f64, is_certain: bool) {
        self.count += 1;
        let before = self.missing;
        self.missing = Some(MissingAnswer {
            since: before.map_or(since, |before| before.since.min(since)),
            noticed_at: now,
            is_certain: is_certain || before.is_some_and(|before| before.is_certain),
        });
    }

    /// An answer that may be missing for long is none: discovery is down.
    fn presume(&mut self, now: f64) {
        if self.missing.is_some_and(|missing| is_presumed_none(&missing, now)) {
            (self.missing, self.is_presumed_down) = (None, true);
        }
    }
}

fn is_presumed_none(missing: &MissingAnswer, now: f64) -> bool {
    !missing.is_certain && now >= missing.since + PRESUMED_DOWN_S
}

#[cfg(test)]
mod tests;
