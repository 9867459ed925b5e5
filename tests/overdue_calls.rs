//! The program on real connections with a discovery that leaves calls without an answer, or answers them late: what it
//! has written counts as told, and an outage in which nothing changes stops no service.

mod stand_ins;

use rstest::rstest;
use stand_ins::{
    ask_for, discovery, discovery_until, failures, list, Asked, LeafServer, Program, Reply, Setup,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The grace of the settings, the slack of the rules on sockets, and what a stand-in's note may be late.
const GRACE: Duration = Duration::from_millis(500 + 50 + 50);
/// A change counts as told this long after discovery had it and could be reached, at the latest.
const TERM: Duration = Duration::from_secs(6);
/// Between the first answer to a client and the outage.
const QUIET: Duration = Duration::from_millis(1500);
/// Calls that get 503 before the one that is swallowed.
const REFUSALS: u32 = 3;
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What discovery does with the calls beside the swallowed one, until it notes that the drain is written there.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Others {
    /// It answers them at once.
    Answered,
    /// It leaves them open, and answers them with the note.
    Held,
    /// It answers them with 503.
    Refused,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    Refused,
    Swallowed,
    Held,
}

#[derive(Default)]
struct State {
    is_away: bool,
    calls_since: u32,
    swallowed_at: Option<Instant>,
    told_at: Option<Instant>,
}

/// A discovery that refuses some calls and swallows the next one, on whose connection it then writes the drain of a server.
struct Registry {
    others: Others,
    written_after: Duration,
    state: Mutex<State>,
    changed: Condvar,
}

impl Registry {
    fn new(others: Others, written_after: Duration) -> Arc<Registry> {
        Arc::new(Registry {
            others,
            written_after,
            state: Mutex::default(),
            changed: Condvar::new(),
        })
    }

    fn go_away(&self) {
        self.state.lock().expect("a lock").is_away = true;
        self.changed.notify_all();
    }

    fn told_at(&self) -> Option<Instant> {
        self.state.lock().expect("a lock").told_at
    }

    /// Notes the drain once it is due. Ends with the test's process.
    fn note_drain(&self, swallowed_at: Instant) {
        std::thread::sleep(self.written_after.saturating_sub(swallowed_at.elapsed()));
        self.state.lock().expect("a lock").told_at = Some(Instant::now());
        self.changed.notify_all();
    }

    fn fate(state: &mut State, others: Others) -> Fate {
        if !state.is_away || state.told_at.is_some() {
            return Fate::Answered;
        }
        state.calls_since += 1;
        if state.calls_since <= REFUSALS {
            return Fate::Refused;
        }
        if state.swallowed_at.is_none() {
            state.swallowed_at = Some(Instant::now());
            return Fate::Swallowed;
        }
        match others {
            Others::Answered => Fate::Answered,
            Others::Held => Fate::Held,
            Others::Refused => Fate::Refused,
        }
    }

    fn reply(self: &Arc<Registry>, asked: Asked, before: &str, after: &str) -> Reply {
        let mut state = self.state.lock().expect("a lock");
        let had_swallowed = state.swallowed_at.is_some();
        let fate = Registry::fate(&mut state, self.others);
        match fate {
            Fate::Refused => return Reply::Status(503),
            Fate::Swallowed => {
                let (registry, at) = (self.clone(), Instant::now());
                std::thread::spawn(move || registry.note_drain(at));
                return Reply::Nothing;
            }
            Fate::Answered | Fate::Held => {}
        }
        let wait = match (fate, asked) {
            (Fate::Held, _) => MAX_WAIT,
            (_, Some((1, wait))) => Duration::from_millis(wait).min(MAX_WAIT),
            (_, Some((_, wait))) if wait > 0 => return Reply::Nothing,
            _ => Duration::ZERO,
        };
        let nothing_to_say =
            |state: &mut State| state.told_at.is_none() && (!state.is_away || had_swallowed);
        let state = self
            .changed
            .wait_timeout_while(state, wait, nothing_to_say)
            .expect("a lock")
            .0;
        match (state.told_at, asked) {
            (Some(_), _) => list(2, true, after),
            (None, _) if state.is_away && !had_swallowed => {
                drop(state);
                self.reply(asked, before, after)
            }
            (None, None) => list(1, true, before),
            (None, Some(_)) => list(1, false, ""),
        }
    }
}

/// A program that serves, and where.
fn start(
    mixers: u32,
    mode: &'static str,
    discovery: SocketAddr,
    known: String,
) -> (Program, SocketAddr) {
    Program::start_serving(&Setup {
        mixers,
        mode,
        discovery,
        known: Some(known),
    })
}

/// A mixer whose client asks all the time; gives how late after the note calls came to the server that drains.
fn late_calls(
    mixers: u32,
    mode: &'static str,
    others: Others,
    written_after: Duration,
) -> Vec<Duration> {
    let (drained, kept) = (LeafServer::start(), LeafServer::start());
    let ready = kept.line("kept", "Ready");
    let before = format!("{},{ready}", drained.line("drained", "Ready"));
    let after = format!("{},{ready}", drained.line("drained", "Terminating"));
    let registry = Registry::new(others, written_after);
    let (shared, known) = (registry.clone(), before.clone());
    let address = discovery(move |asked| shared.reply(asked, &before, &after));
    let (_program, clients_at) = start(mixers, mode, address, known);
    let quiet = ask_for(clients_at, QUIET);
    assert_eq!(quiet.served, quiet.asked, "nothing is wrong yet");
    registry.go_away();
    let observed = Duration::from_secs(10) + written_after;
    assert!(
        ask_for(clients_at, observed).served_last,
        "it serves in the end"
    );
    let told_at = registry.told_at().expect("a call was swallowed");
    let late = |at: Instant| at.saturating_duration_since(told_at).checked_sub(GRACE);
    drained.calls().into_iter().filter_map(late).collect()
}

/// The calls that came late, in words.
fn describe(late: &[Duration]) -> Option<String> {
    let latest = late.iter().max()?;
    Some(format!("{} late, up to {latest:?}", late.len()))
}

/// The bench's short day throng, seed 1: a call was given up while its answer was being written, and nobody else asked
/// for what that answer said.
#[rstest]
#[case::few_that_poll(4, "subscribe")]
#[case::few_that_are_pushed_to(4, "automatic")]
#[case::many_that_are_pushed_to(300, "automatic")]
fn what_is_written_on_a_call_without_an_answer_is_heard_by_another_call(
    #[case] mixers: u32,
    #[case] mode: &'static str,
) {
    let others = [Others::Answered, Others::Held, Others::Refused];
    let cases = others
        .into_iter()
        .flat_map(|others| [300, 1300, 2000].map(|written_after_ms| (others, written_after_ms)));
    let failed = failures(cases, move |(others, written_after_ms)| {
        let written_after = Duration::from_millis(written_after_ms);
        describe(&late_calls(mixers, mode, others, written_after))
    });
    assert!(failed.is_empty(), "{failed:#?}");
}

/// A crowded discovery: each call waits for its turn for longer than any one time-out of the program.
#[rstest]
#[case::few(4)]
#[case::some(32)]
#[case::many(300)]
fn a_discovery_that_answers_each_call_late_is_heard(#[case] mixers: u32) {
    const TURN: Duration = Duration::from_millis(2600);
    let (drained, kept) = (LeafServer::start(), LeafServer::start());
    let ready = kept.line("kept", "Ready");
    let before = format!("{},{ready}", drained.line("drained", "Ready"));
    let after = format!("{},{ready}", drained.line("drained", "Terminating"));
    let known = before.clone();
    let crowded_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let shared = crowded_at.clone();
    let address = discovery(move |asked| {
        let crowded_at = *shared.lock().expect("a lock");
        match (crowded_at, asked) {
            (None, Some((_, wait))) if wait > 0 => {
                std::thread::sleep(QUIET);
                Reply::Status(503)
            }
            (None, Some(_)) => list(1, false, ""),
            (None, None) => list(1, true, &before),
            (Some(_), Some((2, wait))) if wait > 0 => Reply::Nothing,
            (Some(_), _) => {
                std::thread::sleep(TURN);
                list(2, true, &after)
            }
        }
    });
    let (_program, clients_at) = start(mixers, "subscribe", address, known);
    ask_for(clients_at, QUIET);
    let since = Instant::now();
    *crowded_at.lock().expect("a lock") = Some(since);
    assert!(ask_for(clients_at, Duration::from_secs(12)).served_last);
    let late = |at: Instant| {
        at.saturating_duration_since(since)
            .checked_sub(TERM + GRACE)
    };
    let late: Vec<_> = drained.calls().into_iter().filter_map(late).collect();
    assert_eq!(describe(&late), None);
}

/// A discovery with a long queue, which loses a turn for each call whatever becomes of it: of several open calls the oldest was
/// closed, the next to be answered.
#[rstest]
#[case::few(4)]
#[case::some(32)]
fn a_call_in_a_long_queue_is_answered_in_the_end(#[case] mixers: u32) {
    const QUEUE: Duration = Duration::from_secs(12);
    const MARGIN: Duration = Duration::from_secs(1);
    let (first, second) = (LeafServer::start(), LeafServer::start());
    let known = first.line("first", "Ready");
    let queued = list(2, true, &second.line("second", "Ready"));
    let Reply::List(queued) = queued else {
        unreachable!("a list")
    };
    let address = discovery(move |asked| match asked {
        Some((2, wait)) if wait > 0 => Reply::Nothing,
        _ => {
            std::thread::sleep(QUEUE);
            Reply::List(queued.clone())
        }
    });
    let (_program, clients_at) = start(mixers, "subscribe", address, known);
    ask_for(clients_at, QUEUE + MARGIN);
    assert!(!second.calls().is_empty());
}

/// How discovery is away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    Silent,
    Refuses,
    /// Nobody listens there.
    Unreachable,
}

/// The opposite rule: discovery that is silent, refuses or is not there for 30 s while nothing changes stops no service.
#[test]
fn an_outage_without_news_stops_no_service() {
    let fleets = [4, 32, 300];
    let outages = [Outage::Silent, Outage::Refuses, Outage::Unreachable];
    let cases = fleets
        .into_iter()
        .flat_map(|mixers| outages.map(|outage| (mixers, outage)));
    let failed = failures(cases, |(mixers, outage)| rejected_in_outage(mixers, outage));
    assert!(failed.is_empty(), "{failed:#?}");
}

/// What was not served in an outage in which nothing changes, with the log.
fn rejected_in_outage(mixers: u32, outage: Outage) -> Option<String> {
    const LENGTH: Duration = Duration::from_secs(30);
    let server = LeafServer::start();
    let before = server.line("kept", "Ready");
    let known = before.clone();
    let others = match outage {
        Outage::Silent => Others::Held,
        Outage::Refuses | Outage::Unreachable => Others::Refused,
    };
    let registry = Registry::new(others, LENGTH);
    let shared = registry.clone();
    let has_left = Arc::new(AtomicBool::new(false));
    let address = discovery_until(has_left.clone(), move |asked| {
        shared.reply(asked, &before, &before)
    });
    let (program, clients_at) = start(mixers, "subscribe", address, known);
    ask_for(clients_at, QUIET);
    has_left.store(outage == Outage::Unreachable, Ordering::Relaxed);
    registry.go_away();
    let served = ask_for(clients_at, LENGTH);
    let log: Vec<String> = program.log.try_iter().map(|(_, line)| line).collect();
    let rejected = served.asked - served.served;
    (rejected > 0).then(|| format!("{rejected} of {} not served: {log:#?}", served.asked))
}
