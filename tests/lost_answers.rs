//! Tests the program on real connections with a discovery whose answers are lost in transit. A change that discovery has written
//! counts as notified: nothing may be sent to a draining server after its grace, however much of the answer was received.

mod stand_ins;

use stand_ins::{
    discovery, failed_cases, list, query_for, LeafServer, Program, Reply, Setup, Truncation,
};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Drain grace of the settings (500 ms), tolerance of the rules on sockets (50 ms), and delay of the stand-in's timestamp (50 ms).
const DRAIN_GRACE_WITH_SLACK: Duration = Duration::from_millis(500 + 50 + 50);
/// Time during which clients send queries before the outage or the drain.
const WARM_UP: Duration = Duration::from_millis(1500);
/// Time during which clients send queries after the drain; an available discovery answers the mixer again within this time.
const OBSERVATION: Duration = Duration::from_secs(7);
/// Length of an outage before the drain.
const OUTAGE_LENGTH: Duration = Duration::from_secs(4);
/// Maximum wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Reaction of discovery to calls during the outage before the drain.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    None,
    /// Calls are answered with 503.
    Refuses,
    /// Connections are closed without an answer.
    Closes,
    /// Calls are not answered.
    Silent,
}

/// Loss of the first answers that contain the drain.
#[derive(Clone, Copy, Debug)]
struct Case {
    mixers: u32,
    mode: &'static str,
    truncation: Truncation,
    truncated_answers: usize,
    outage: Outage,
}

impl Case {
    const fn new(mixers: u32, truncation: Truncation, truncated_answers: usize) -> Case {
        Case {
            mixers,
            mode: "subscribe",
            truncation,
            truncated_answers,
            outage: Outage::None,
        }
    }

    const fn pushed(self) -> Case {
        Case {
            mode: "automatic",
            ..self
        }
    }

    const fn after(self, outage: Outage) -> Case {
        Case { outage, ..self }
    }
}

#[derive(Clone, Copy, Default)]
struct State {
    is_in_outage: bool,
    is_draining: bool,
    truncated_answers: usize,
    notified_at: Option<Instant>,
}

/// A discovery with one change: a server drains, and the first answers that contain the change are lost.
#[derive(Default)]
struct Registry {
    state: Mutex<State>,
    changed: Condvar,
}

impl Registry {
    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().expect("lock poisoned"));
        self.changed.notify_all();
    }

    /// Waits for an outage or a drain for at most `wait`, and returns the state.
    fn wait(&self, wait: Duration) -> State {
        let state = self.state.lock().expect("lock poisoned");
        let idle = |state: &mut State| !state.is_in_outage && !state.is_draining;
        *self
            .changed
            .wait_timeout_while(state, wait, idle)
            .expect("lock poisoned")
            .0
    }

    fn reply(
        &self,
        case: &Case,
        call: stand_ins::DiscoveryCall,
        before: &str,
        after: &str,
    ) -> Reply {
        let wait = call
            .filter(|(since, _)| *since == 1)
            .map_or(0, |(_, wait)| wait);
        let state = match call {
            Some((2, wait)) if wait > 0 => return Reply::NoAnswer,
            _ => self.wait(Duration::from_millis(wait).min(MAX_WATCH_WAIT)),
        };
        match (state.is_in_outage, case.outage) {
            (true, Outage::Refuses) => return Reply::Status(503),
            (true, Outage::Silent) => return Reply::NoAnswer,
            (true, _) => return Reply::Close,
            (false, _) => {}
        }
        if !state.is_draining {
            return list(1, call.is_none(), if call.is_none() { before } else { "" });
        }
        let Reply::List(text) = list(2, true, after) else {
            unreachable!("list() always returns a list")
        };
        if state.truncated_answers < case.truncated_answers {
            self.update(|state| {
                state.truncated_answers += 1;
                state.notified_at = state.notified_at.or_else(|| Some(Instant::now()));
            });
            return Reply::Truncated(text, case.truncation);
        }
        self.update(|state| state.notified_at = state.notified_at.or_else(|| Some(Instant::now())));
        Reply::List(text)
    }
}

struct Outcome {
    /// Delays, after the end of the grace, of the calls that reached the draining server.
    late: Vec<Duration>,
    /// Whether the last query of the test was served.
    serves: bool,
}

fn run(case: Case) -> Outcome {
    let (drained, kept) = (LeafServer::start(), LeafServer::start());
    let before = format!(
        "{},{}",
        drained.list_entry("drained", "Ready"),
        kept.list_entry("kept", "Ready")
    );
    let after = format!(
        "{},{}",
        drained.list_entry("drained", "Terminating"),
        kept.list_entry("kept", "Ready")
    );
    let registry = Arc::new(Registry::default());
    let (shared, known) = (registry.clone(), Some(before.clone()));
    let address = discovery(move |call| shared.reply(&case, call, &before, &after));
    let (_program, client_address) = Program::start_serving(&Setup {
        mixers: case.mixers,
        mode: case.mode,
        discovery: address,
        known,
    });
    let warm_up = query_for(client_address, WARM_UP);
    assert_eq!(
        warm_up.served, warm_up.sent,
        "{case:?}: not served before the drain"
    );
    if case.outage != Outage::None {
        registry.update(|state| state.is_in_outage = true);
        query_for(client_address, OUTAGE_LENGTH);
    }
    registry.update(|state| (state.is_in_outage, state.is_draining) = (false, true));
    let serves = query_for(client_address, OBSERVATION).is_last_served;
    let notified_at = registry.state.lock().expect("lock poisoned").notified_at;
    let delay = |at: Instant| {
        at.saturating_duration_since(notified_at.expect("no call after the drain"))
            .checked_sub(DRAIN_GRACE_WITH_SLACK)
    };
    Outcome {
        late: drained.calls().into_iter().filter_map(delay).collect(),
        serves,
    }
}

/// Runs a case and describes its failure, if any.
fn failure(case: Case) -> Option<String> {
    let Outcome { late, serves } = run(case);
    (!late.is_empty() || !serves).then(|| {
        format!(
            "{} late calls, up to {:?}, serves: {serves}",
            late.len(),
            late.iter().max()
        )
    })
}

/// Guards against incident 2: the answer that contains the drain is truncated, once or several times in a row, after any number of
/// bytes, and its connection is closed or stays open without further data.
#[test]
fn a_drain_in_a_truncated_answer_counts_as_notified() {
    let cases = [
        Case::new(4, Truncation::NoBytes, 1),
        Case::new(4, Truncation::NoBytes, 2),
        Case::new(4, Truncation::NoBytes, 3),
        Case::new(4, Truncation::Half, 2),
        Case::new(4, Truncation::Half, 6),
        Case::new(4, Truncation::AllButLast, 2),
        Case::new(4, Truncation::NoBytes, 2).pushed(),
        Case::new(4, Truncation::Half, 3).pushed(),
        Case::new(300, Truncation::NoBytes, 2),
        Case::new(300, Truncation::Half, 2),
        Case::new(300, Truncation::AllButLast, 3),
        Case::new(300, Truncation::NoBytes, 1),
        Case::new(860, Truncation::Half, 2),
        Case::new(300, Truncation::Half, 3).pushed(),
        Case::new(4, Truncation::HalfThenSilent, 1),
        Case::new(4, Truncation::HalfThenSilent, 2),
        Case::new(300, Truncation::HalfThenSilent, 1),
        Case::new(300, Truncation::HalfThenSilent, 2),
        Case::new(4, Truncation::HalfThenSilent, 1).pushed(),
    ];
    let failed = failed_cases(cases, failure);
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The answer that contains the drain is truncated right after an outage, when calls have failed for some time.
#[test]
fn a_drain_in_a_truncated_answer_after_an_outage_counts_as_notified() {
    let cases = [
        Case::new(4, Truncation::NoBytes, 1).after(Outage::Refuses),
        Case::new(4, Truncation::Half, 1).after(Outage::Refuses),
        Case::new(4, Truncation::Half, 2).after(Outage::Closes),
        Case::new(4, Truncation::NoBytes, 1).after(Outage::Closes),
        Case::new(4, Truncation::NoBytes, 2).after(Outage::Silent),
        Case::new(4, Truncation::AllButLast, 1).after(Outage::Silent),
        Case::new(300, Truncation::NoBytes, 1).after(Outage::Refuses),
        Case::new(300, Truncation::Half, 2).after(Outage::Refuses),
        Case::new(300, Truncation::NoBytes, 1).after(Outage::Closes),
        Case::new(4, Truncation::Half, 1)
            .after(Outage::Refuses)
            .pushed(),
        Case::new(4, Truncation::NoBytes, 2)
            .after(Outage::Closes)
            .pushed(),
        Case::new(4, Truncation::HalfThenSilent, 1).after(Outage::Refuses),
    ];
    let failed = failed_cases(cases, failure);
    assert!(failed.is_empty(), "{failed:#?}");
}
