//! The program on real connections with a discovery whose answers are lost on the way: what discovery has written counts as
//! told, so that nothing may go to a server that drains after its grace, whatever has arrived of that answer.

mod stand_ins;

use stand_ins::{ask_for, discovery, failures, list, Cut, LeafServer, Program, Reply, Setup};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The grace of the settings, the slack of the rules on sockets, and what a stand-in's note may be late.
const GRACE: Duration = Duration::from_millis(500 + 50 + 50);
/// Between the first answer to a client and the drain.
const QUIET: Duration = Duration::from_millis(1500);
/// How long clients ask after the drain; a discovery that is up is heard of again within it.
const OBSERVED: Duration = Duration::from_secs(7);
/// An outage before the drain.
const OUTAGE: Duration = Duration::from_secs(4);
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// How discovery is away before the drain.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    None,
    /// It answers calls with 503.
    Refuses,
    /// It closes connections under calls.
    Resets,
    /// It does not answer.
    Hangs,
}

/// What befalls the answers that tell of the drain.
#[derive(Clone, Copy, Debug)]
struct Case {
    mixers: u32,
    mode: &'static str,
    cut: Cut,
    cuts: usize,
    outage: Outage,
}

impl Case {
    const fn new(mixers: u32, cut: Cut, cuts: usize) -> Case {
        Case {
            mixers,
            mode: "subscribe",
            cut,
            cuts,
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
    is_away: bool,
    drains: bool,
    lost: usize,
    told_at: Option<Instant>,
}

/// A discovery with one change: a server drains, and the first answers that say so are lost.
#[derive(Default)]
struct Registry {
    state: Mutex<State>,
    changed: Condvar,
}

impl Registry {
    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.lock().expect("a lock"));
        self.changed.notify_all();
    }

    /// The state once there is something to say to a call that waits so long.
    fn wait(&self, wait: Duration) -> State {
        let state = self.state.lock().expect("a lock");
        let idle = |state: &mut State| !state.is_away && !state.drains;
        *self
            .changed
            .wait_timeout_while(state, wait, idle)
            .expect("a lock")
            .0
    }

    fn reply(&self, case: &Case, asked: stand_ins::Asked, before: &str, after: &str) -> Reply {
        let wait = asked
            .filter(|(since, _)| *since == 1)
            .map_or(0, |(_, wait)| wait);
        let state = match asked {
            Some((2, wait)) if wait > 0 => return Reply::Nothing,
            _ => self.wait(Duration::from_millis(wait).min(MAX_WAIT)),
        };
        match (state.is_away, case.outage) {
            (true, Outage::Refuses) => return Reply::Status(503),
            (true, Outage::Hangs) => return Reply::Nothing,
            (true, _) => return Reply::Reset,
            (false, _) => {}
        }
        if !state.drains {
            return list(
                1,
                asked.is_none(),
                if asked.is_none() { before } else { "" },
            );
        }
        let Reply::List(text) = list(2, true, after) else {
            unreachable!("a list")
        };
        if state.lost < case.cuts {
            self.update(|state| {
                state.lost += 1;
                state.told_at = state.told_at.or_else(|| Some(Instant::now()));
            });
            return Reply::Lost(text, case.cut);
        }
        self.update(|state| state.told_at = state.told_at.or_else(|| Some(Instant::now())));
        Reply::List(text)
    }
}

struct Play {
    /// Calls at the server that drains, after it was told and its grace was over: how late.
    late: Vec<Duration>,
    /// Whether the program served again by the end.
    serves: bool,
}

fn play(case: Case) -> Play {
    let (drained, kept) = (LeafServer::start(), LeafServer::start());
    let before = format!(
        "{},{}",
        drained.line("drained", "Ready"),
        kept.line("kept", "Ready")
    );
    let after = format!(
        "{},{}",
        drained.line("drained", "Terminating"),
        kept.line("kept", "Ready")
    );
    let registry = Arc::new(Registry::default());
    let (shared, known) = (registry.clone(), Some(before.clone()));
    let address = discovery(move |asked| shared.reply(&case, asked, &before, &after));
    let (_program, clients_at) = Program::start_serving(&Setup {
        mixers: case.mixers,
        mode: case.mode,
        discovery: address,
        known,
    });
    let quiet = ask_for(clients_at, QUIET);
    assert_eq!(quiet.served, quiet.asked, "{case:?}: nothing is wrong yet");
    if case.outage != Outage::None {
        registry.update(|state| state.is_away = true);
        ask_for(clients_at, OUTAGE);
    }
    registry.update(|state| (state.is_away, state.drains) = (false, true));
    let serves = ask_for(clients_at, OBSERVED).served_last;
    let told_at = registry.state.lock().expect("a lock").told_at;
    let late_s = |at: Instant| {
        at.saturating_duration_since(told_at.expect("it was asked"))
            .checked_sub(GRACE)
    };
    Play {
        late: drained.calls().into_iter().filter_map(late_s).collect(),
        serves,
    }
}

/// What went wrong with a case, in words.
fn failure(case: Case) -> Option<String> {
    let Play { late, serves } = play(case);
    (!late.is_empty() || !serves).then(|| {
        format!(
            "{} late calls, up to {:?}, serves {serves}",
            late.len(),
            late.iter().max()
        )
    })
}

/// Incident 2: the answer that tells of the drain is cut off, once or some times in a row, at any place; its connection ends,
/// or stays open and silent.
#[test]
fn an_answer_that_was_cut_off_counts_as_told() {
    let cases = [
        Case::new(4, Cut::NoByte, 1),
        Case::new(4, Cut::NoByte, 2),
        Case::new(4, Cut::NoByte, 3),
        Case::new(4, Cut::Half, 2),
        Case::new(4, Cut::Half, 6),
        Case::new(4, Cut::AllButLast, 2),
        Case::new(4, Cut::NoByte, 2).pushed(),
        Case::new(4, Cut::Half, 3).pushed(),
        Case::new(300, Cut::NoByte, 2),
        Case::new(300, Cut::Half, 2),
        Case::new(300, Cut::AllButLast, 3),
        Case::new(300, Cut::NoByte, 1),
        Case::new(860, Cut::Half, 2),
        Case::new(300, Cut::Half, 3).pushed(),
        Case::new(4, Cut::HalfThenSilence, 1),
        Case::new(4, Cut::HalfThenSilence, 2),
        Case::new(300, Cut::HalfThenSilence, 1),
        Case::new(300, Cut::HalfThenSilence, 2),
        Case::new(4, Cut::HalfThenSilence, 1).pushed(),
    ];
    let failed = failures(cases, failure);
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The same right after an outage, when calls have failed for some time.
#[test]
fn an_answer_that_was_cut_off_after_an_outage_counts_as_told() {
    let cases = [
        Case::new(4, Cut::NoByte, 1).after(Outage::Refuses),
        Case::new(4, Cut::Half, 1).after(Outage::Refuses),
        Case::new(4, Cut::Half, 2).after(Outage::Resets),
        Case::new(4, Cut::NoByte, 1).after(Outage::Resets),
        Case::new(4, Cut::NoByte, 2).after(Outage::Hangs),
        Case::new(4, Cut::AllButLast, 1).after(Outage::Hangs),
        Case::new(300, Cut::NoByte, 1).after(Outage::Refuses),
        Case::new(300, Cut::Half, 2).after(Outage::Refuses),
        Case::new(300, Cut::NoByte, 1).after(Outage::Resets),
        Case::new(4, Cut::Half, 1).after(Outage::Refuses).pushed(),
        Case::new(4, Cut::NoByte, 2).after(Outage::Resets).pushed(),
        Case::new(4, Cut::HalfThenSilence, 1).after(Outage::Refuses),
    ];
    let failed = failures(cases, failure);
    assert!(failed.is_empty(), "{failed:#?}");
}
