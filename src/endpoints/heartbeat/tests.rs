//! Unit tests of heartbeat.rs.

use super::*;
use crate::endpoints::watch_schedule::{open_timeout_s, WatchSchedule};
use oorandom::Rand64;
use std::collections::VecDeque;

/// Time after which a change that a silent watch missed counts as known (seconds).
const NOTIFICATION_LIMIT_S: f64 = 6.0;
/// Time that discovery takes to answer a call (seconds).
const CALL_SERVICE_S: f64 = 0.004;
const STEP_S: f64 = 0.002;

/// Way in which a call fails.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Refused,
    Reset,
    Silent,
    NeverUp,
}

impl Fault {
    /// Returns the time after which the call fails, unless it times out earlier (seconds).
    fn fails_after_s(self) -> f64 {
        match self {
            Fault::Refused => 0.005,
            Fault::Reset => 0.001,
            Fault::Silent => f64::INFINITY,
            Fault::NeverUp => 1.0,
        }
    }
}

const FAULTS: [Fault; 4] = [Fault::Refused, Fault::Reset, Fault::Silent, Fault::NeverUp];

/// Returns all sequences of none, one and two failed calls.
fn failure_sequences() -> Vec<Vec<Fault>> {
    let single = FAULTS.iter().map(|fault| vec![*fault]);
    let pairs = FAULTS
        .iter()
        .flat_map(|first| FAULTS.iter().map(|second| vec![*first, *second]));
    std::iter::once(Vec::new())
        .chain(single)
        .chain(pairs)
        .collect()
}

/// A watch becomes silent at any instant and up to two checks fail in any way; the next check is made in time.
#[test]
fn a_silent_watch_is_detected_in_time_whatever_calls_fail() {
    for (is_pushed, jitter) in [(false, 0.0), (false, 0.37), (false, 1.0), (true, 0.5)] {
        for faults in failure_sequences() {
            for instant in 0..900 {
                let silent_at = 100.0 + f64::from(instant) / 200.0;
                let mut heartbeat = Heartbeat::new(
                    Fleet {
                        mixers: 1000,
                        is_pushed,
                    },
                    40.0,
                    jitter,
                );
                heartbeat.answered(50.0);
                let mut now = heartbeat.watch_made(50.0);
                let mut made_at = 50.0;
                loop {
                    let answered_at =
                        made_at + heartbeat.watch_times(made_at, jitter).wait_s + 0.001;
                    if answered_at > silent_at {
                        break;
                    }
                    assert!(
                        !heartbeat.take_due(answered_at),
                        "no check is made if the watch is answered in time"
                    );
                    now = heartbeat.watch_made(answered_at);
                    made_at = answered_at;
                }
                for fault in &faults {
                    assert!(heartbeat.take_due(now));
                    now = heartbeat
                        .failed(now + fault.fails_after_s().min(heartbeat.check_timeout_s()));
                }
                assert!(heartbeat.take_due(now) && heartbeat.check_timeout_s() >= CHECK_TIMEOUT_S);
                let limit = silent_at + NOTIFICATION_LIMIT_S - 0.3;
                assert!(now < limit, "{is_pushed} {faults:?} {silent_at}: {now}");
            }
        }
    }
}

/// A watch ends and up to two calls to reopen it fail in any way; the next call is made in time, in fleets of all sizes.
#[test]
fn a_lost_watch_is_reopened_in_time_whatever_calls_fail() {
    for mixers in [2, 30, 350, 1000, 5000] {
        for jitter in [0.0, 0.5, 1.0] {
            for faults in failure_sequences() {
                let mut schedule = WatchSchedule::new(mixers, 10.0, 0.0);
                assert!(schedule.take_due(0.0));
                schedule.list_received(0.1, 0.5);
                let mut failed_at = 100.0;
                for failed in 0..=faults.len() {
                    schedule.call_failed(failed_at, jitter);
                    let due = |at: &f64| schedule.clone().take_due(*at);
                    let at = (0..3000)
                        .map(|step| failed_at + f64::from(step) * STEP_S)
                        .find(due);
                    let at = at.expect("a call is due within 6 s");
                    assert!(schedule.take_due(at));
                    let fails_after_s = faults
                        .get(failed)
                        .map_or(0.0, |fault| fault.fails_after_s());
                    failed_at = at + fails_after_s.min(open_timeout_s(true, failed as u32 + 1));
                }
                assert!(
                    failed_at < 100.0 + NOTIFICATION_LIMIT_S - 0.3,
                    "{mixers} {jitter} {faults:?}: {failed_at}"
                );
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Check,
    Watch,
}

/// A check in flight.
#[derive(Clone, Copy)]
struct Check {
    made_at: f64,
    times_out_at: f64,
}

struct Mixer {
    heartbeat: Heartbeat,
    /// Time at which the watch is answered and renewed; infinite while there is no watch or the watch is silent.
    watch_until: f64,
    /// Time at which a postponed watch is opened.
    reopen_at: f64,
    check: Option<Check>,
    failures_left: usize,
    known_at: f64,
}

impl Mixer {
    fn new(fleet: Fleet, failures_left: usize, jitter: f64) -> Mixer {
        let mut heartbeat = Heartbeat::new(fleet, 0.0, jitter);
        heartbeat.answered(0.0);
        let mut mixer = Mixer {
            heartbeat,
            watch_until: 0.0,
            reopen_at: f64::INFINITY,
            check: None,
            failures_left,
            known_at: f64::INFINITY,
        };
        mixer.make_watch(0.0);
        mixer
    }

    fn make_watch(&mut self, now: f64) {
        self.watch_until = now + self.heartbeat.watch_times(now, 0.5).wait_s;
        self.heartbeat.watch_made(now);
    }
}

/// Result of a simulation.
struct Outcome {
    last_known_at: f64,
    calls_by_second: Vec<usize>,
}

/// A call in discovery's queue.
struct QueuedCall {
    made_at: f64,
    mixer: usize,
    kind: Kind,
}

/// A simulation of a fleet and a discovery that answers calls one after the other. At `silent_at` all watches become silent and
/// the list changes; the next `lost` checks of each mixer are lost.
struct Simulation {
    rng: Rand64,
    fleet: Vec<Mixer>,
    silent_at: f64,
    /// Service time of a call that timed out, as a multiple of [`CALL_SERVICE_S`]. A renewed watch costs as much as any other
    /// call.
    timed_out_cost: f64,
    queue: VecDeque<QueuedCall>,
    /// Time at which discovery finishes the answer that it is writing.
    free_at: f64,
    calls_by_second: Vec<usize>,
}

impl Simulation {
    fn new(mixers: u32, silent_at: f64, lost: usize, timed_out_cost: f64) -> Simulation {
        let mut rng = Rand64::new(7);
        let fleet = Fleet {
            mixers,
            is_pushed: false,
        };
        let fleet = (0..mixers)
            .map(|_| Mixer::new(fleet, lost, rng.rand_float()))
            .collect();
        Simulation {
            rng,
            fleet,
            silent_at,
            timed_out_cost,
            queue: VecDeque::new(),
            free_at: 0.0,
            calls_by_second: vec![0; 31],
        }
    }

    fn step(&mut self, now: f64) {
        if now - STEP_S < self.silent_at && self.silent_at <= now {
            self.fleet
                .iter_mut()
                .for_each(|mixer| mixer.watch_until = f64::INFINITY);
        }
        let is_answered =
            |call: &QueuedCall, free_at: f64| free_at.max(call.made_at) + CALL_SERVICE_S <= now;
        while self
            .queue
            .front()
            .is_some_and(|call| is_answered(call, self.free_at))
        {
            let Some(call) = self.queue.pop_front() else {
                break;
            };
            self.answer(&call, now);
        }
        for index in 0..self.fleet.len() {
            self.make_calls(index, now);
        }
    }

    fn answer(&mut self, call: &QueuedCall, now: f64) {
        let mixer = &mut self.fleet[call.mixer];
        let answered_check = mixer
            .check
            .take_if(|check| call.kind == Kind::Check && check.made_at == call.made_at);
        let cost = if call.kind == Kind::Check && answered_check.is_none() {
            self.timed_out_cost
        } else {
            1.0
        };
        self.free_at = self.free_at.max(call.made_at) + cost * CALL_SERVICE_S;
        if answered_check.is_some() {
            mixer.heartbeat.answered(now);
            if call.made_at >= self.silent_at && mixer.known_at.is_infinite() {
                mixer.known_at = now;
                mixer.reopen_at = now + mixer.heartbeat.reopen_delay_s(self.rng.rand_float());
            }
        }
    }

    fn make_calls(&mut self, index: usize, now: f64) {
        let mixer = &mut self.fleet[index];
        let timed_out = mixer.check.take_if(|check| check.times_out_at <= now);
        if timed_out.is_some() {
            mixer.heartbeat.failed(now);
        }
        if mixer.watch_until.min(mixer.reopen_at) <= now {
            self.call(index, Kind::Watch, now);
            let mixer = &mut self.fleet[index];
            mixer.reopen_at = f64::INFINITY;
            mixer.make_watch(now);
        } else if mixer.heartbeat.take_due(now) {
            self.call(index, Kind::Check, now);
            let mixer = &mut self.fleet[index];
            mixer.check = Some(Check {
                made_at: now,
                times_out_at: now + mixer.heartbeat.check_timeout_s(),
            });
        }
    }

    fn call(&mut self, index: usize, kind: Kind, now: f64) {
        self.calls_by_second[now as usize] += 1;
        let mixer = &mut self.fleet[index];
        if mixer.failures_left == 0 || now < self.silent_at || kind == Kind::Watch {
            self.queue.push_back(QueuedCall {
                made_at: now,
                mixer: index,
                kind,
            });
        } else {
            mixer.failures_left -= 1;
        }
    }
}

/// Runs a [`Simulation`] for 30 s.
fn simulate(mixers: u32, silent_at: f64, lost: usize, timed_out_cost: f64) -> Outcome {
    let mut simulation = Simulation::new(mixers, silent_at, lost, timed_out_cost);
    for step in 0..(30.0 / STEP_S) as u32 {
        simulation.step(f64::from(step) * STEP_S);
    }
    let known_at = simulation.fleet.iter().map(|mixer| mixer.known_at);
    Outcome {
        last_known_at: known_at.fold(0.0, f64::max),
        calls_by_second: simulation.calls_by_second,
    }
}

/// A fleet makes no more calls than discovery can answer, even while all its mixers detect that their watches are silent.
#[rstest::rstest]
fn a_fleet_is_notified_in_time_by_calls_that_discovery_can_answer(
    #[values(2, 30, 350, 1000, 1024)] mixers: u32,
    #[values(0, 1, 2)] lost: usize,
    #[values(0.0, 1.0)] timed_out_cost: f64,
) {
    let outcome = simulate(mixers, 9.0, lost, timed_out_cost);
    let late_s = outcome.last_known_at - 9.0;
    assert!(
        late_s < NOTIFICATION_LIMIT_S,
        "{mixers} mixers, {lost} lost: {late_s}"
    );
    let answered_per_s = (1.0 / CALL_SERVICE_S) as usize;
    let steady: usize = outcome.calls_by_second[..9].iter().sum();
    assert!(
        steady <= 9 * answered_per_s,
        "{:?}",
        outcome.calls_by_second
    );
    // Each mixer retries at most twice; after that the fleet makes no more calls than before.
    let retries = 2 * mixers as usize;
    let after: usize = outcome.calls_by_second[9..].iter().sum();
    assert!(
        after <= 21 * answered_per_s + retries,
        "{:?}",
        outcome.calls_by_second
    );
    let in_the_end: usize = outcome.calls_by_second[20..].iter().sum();
    assert!(
        in_the_end <= 10 * answered_per_s,
        "{:?}",
        outcome.calls_by_second
    );
}

/// An unreachable discovery is called once a period. Checks have the short timeout again as soon as
/// discovery answers.
#[test]
fn an_unreachable_discovery_is_called_once_a_period() {
    let mut heartbeat = Heartbeat::new(
        Fleet {
            mixers: 1000,
            is_pushed: false,
        },
        0.0,
        0.5,
    );
    let mut now = heartbeat.answered(0.0);
    let mut calls = Vec::new();
    while now < 100.0 {
        assert!(heartbeat.take_due(now));
        calls.push(now);
        now = heartbeat.failed(now + heartbeat.check_timeout_s());
    }
    assert!(
        calls.len() as f64 <= 100.0 / POLLED_PERIOD_S + f64::from(MAX_RETRIES) + 1.0,
        "{calls:?}"
    );
    assert!(
        calls
            .windows(2)
            .skip(3)
            .all(|pair| pair[1] - pair[0] < NOTIFICATION_LIMIT_S - 1.0),
        "{calls:?}"
    );
    heartbeat.answered(now);
    assert!(heartbeat.take_due(now + 200.0));
    assert_eq!(heartbeat.check_timeout_s(), CHECK_TIMEOUT_S);
}

/// A fleet postpones its watches only if its checks use most of discovery's capacity and can be relied on.
#[test]
fn a_watch_is_postponed_only_if_checks_leave_no_capacity() {
    let delay_s = |mixers, is_pushed, answered| {
        let mut heartbeat = Heartbeat::new(Fleet { mixers, is_pushed }, 0.0, 0.5);
        if answered {
            heartbeat.answered(0.0);
        }
        heartbeat.reopen_delay_s(1.0)
    };
    assert_eq!(
        [2, 350, 500].map(|mixers| delay_s(mixers, false, true)),
        [0.0; 3]
    );
    assert_eq!(
        (delay_s(1000, true, true), delay_s(1000, false, false)),
        (0.0, 0.0)
    );
    assert!([1000, 5000]
        .iter()
        .all(|mixers| (20.0..=MAX_REOPEN_S).contains(&delay_s(*mixers, false, true))));
}

/// A watch without checks times out early enough for another call. A watch with checks is renewed within a period, regardless of
/// the size of the fleet.
#[rstest::rstest]
#[case(2)]
#[case(30)]
#[case(300)]
fn a_watch_without_checks_times_out_early_enough_for_another_call(#[case] mixers: u32) {
    for is_pushed in [false, true] {
        let mut heartbeat = Heartbeat::new(Fleet { mixers, is_pushed }, 0.0, 0.5);
        let is_short = |heartbeat: &Heartbeat| {
            [0.0, 0.5, 1.0]
                .map(|jitter| heartbeat.watch_times(0.0, jitter))
                .iter()
                .all(|times| {
                    times.timeout_s < 5.0
                        && times.wait_s > 2.0
                        && times.timeout_s - times.wait_s < 1.0
                })
        };
        assert!(is_short(&heartbeat));
        heartbeat.answered(1.0);
        for instant in 0..1000 {
            let checked = heartbeat.watch_times(f64::from(instant) / 100.0, 0.0);
            assert!(
                checked.wait_s <= POLLED_PERIOD_S + MIN_DISTANCE_S,
                "{checked:?}"
            );
            assert!(checked.timeout_s > checked.wait_s + LATE_S, "{checked:?}");
        }
        for _ in 0..MAX_TRUSTED_FAILURES {
            heartbeat.failed(2.0);
        }
        assert!(
            is_short(&heartbeat),
            "checks must not be relied on after repeated failures"
        );
    }
    let heartbeat = Heartbeat::new(
        Fleet {
            mixers: 100_000,
            is_pushed: false,
        },
        0.0,
        0.5,
    );
    assert!(heartbeat.watch_times(0.0, 0.0).wait_s <= 60.0);
}
