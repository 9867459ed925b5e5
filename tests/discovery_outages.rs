//! The program on real connections with a discovery that goes away by closing or resetting connections: as long as nothing
//! changes there, clients are served as before; what it has written when it is back counts as notified, also where it is lost.

mod stand_ins;

use stand_ins::{
    ask_for, discovery, failures, list, Asked, Client, Cut, LeafServer, Program, Reply, Setup,
    QUERY_INTERVAL,
};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Between the first answer to a client and the outage.
const QUIET: Duration = Duration::from_millis(1500);
const OUTAGE: Duration = Duration::from_secs(12);
/// How long clients ask after the outage.
const AFTERWARDS: Duration = Duration::from_secs(2);
/// How often a watch looks whether discovery has gone.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Of all queries at most this share is not served in an outage.
const MAX_NOT_SERVED: f64 = 0.01;
/// A process that starts in an outage serves by its last known list within this time.
const START_WITHIN: Duration = Duration::from_secs(4);

/// The drain grace of the settings, the slack of the rules on sockets, and what a stand-in's note may be late.
const GRACE: Duration = Duration::from_millis(500 + 50 + 50);
/// How long clients ask after a drain.
const DRAIN_OBSERVED: Duration = Duration::from_secs(4);

/// How calls end while discovery is away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    Closes,
    Resets,
    /// A reset, a close and 503 in turns.
    InTurns,
}

impl Outage {
    fn reply(self, call: usize) -> Reply {
        match (self, call % 3) {
            (Outage::Closes, _) | (Outage::InTurns, 1) => Reply::Reset,
            (Outage::Resets, _) | (Outage::InTurns, 0) => Reply::ResetUnread,
            (Outage::InTurns, _) => Reply::Status(503),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    outage: Outage,
    mixers: u32,
    mode: &'static str,
}

/// Answers that are lost, of those that tell of a drain.
#[derive(Clone, Copy, Debug)]
struct Loss {
    cut: Cut,
    cuts: usize,
}

/// A drain, and what becomes of the answers that tell of it.
struct Drain {
    list: String,
    loss: Loss,
    lost: usize,
    notified_at: Option<Instant>,
}

impl Drain {
    fn reply(&mut self) -> Reply {
        self.notified_at.get_or_insert_with(Instant::now);
        if self.lost == self.loss.cuts {
            return Reply::List(self.list.clone());
        }
        self.lost += 1;
        Reply::Lost(self.list.clone(), self.loss.cut)
    }
}

/// A discovery that may be away, and whose list changes at most once.
#[derive(Default)]
struct Registry {
    is_away: AtomicBool,
    calls_away: AtomicUsize,
    drain: Mutex<Option<Drain>>,
}

impl Registry {
    fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::Relaxed);
    }

    fn reply(&self, outage: Outage, asked: Asked, servers: &str) -> Reply {
        let until =
            Instant::now() + asked.map_or(Duration::ZERO, |(_, wait)| Duration::from_millis(wait));
        loop {
            if self.is_away.load(Ordering::Relaxed) {
                return outage.reply(self.calls_away.fetch_add(1, Ordering::Relaxed));
            }
            let is_informed = matches!(asked, Some((2, _)));
            if let Some(drain) = self
                .drain
                .lock()
                .expect("a lock")
                .as_mut()
                .filter(|_| !is_informed)
            {
                return drain.reply();
            }
            if Instant::now() >= until {
                return match asked {
                    Some((2, _)) => list(2, false, ""),
                    Some(_) => list(1, false, ""),
                    None => list(1, true, servers),
                };
            }
            std::thread::sleep(WATCH_INTERVAL);
        }
    }
}

/// A mixer that has its list from before, with its discovery and its only server.
struct Deployment {
    registry: Arc<Registry>,
    server: LeafServer,
    setup: Setup,
}

impl Deployment {
    fn new(case: Case) -> Deployment {
        let server = LeafServer::start();
        let known = server.line("first", "Ready");
        let registry = Arc::new(Registry::default());
        let (shared, servers) = (registry.clone(), known.clone());
        let discovery = discovery(move |asked| shared.reply(case.outage, asked, &servers));
        let setup = Setup {
            mixers: case.mixers,
            mode: case.mode,
            discovery,
            known: Some(known),
        };
        Deployment {
            registry,
            server,
            setup,
        }
    }
}

/// The longest time in which no query was served.
fn longest_gap(served_at: &[Instant]) -> Duration {
    let gaps = served_at.windows(2).map(|pair| pair[1] - pair[0]);
    gaps.max().unwrap_or(Duration::MAX)
}

/// What was not served in an outage, if that is too much.
fn not_served(case: Case) -> Option<String> {
    let deployment = Deployment::new(case);
    let (_program, address) = Program::start_serving(&deployment.setup);
    ask_for(address, QUIET);
    deployment.registry.set_away(true);
    let away = ask_for(address, OUTAGE);
    deployment.registry.set_away(false);
    let back = ask_for(address, AFTERWARDS);
    assert!(!deployment.server.calls().is_empty());
    let asked = away.asked + back.asked;
    let not_served = asked - away.served - back.served;
    let is_too_much = f64::from(not_served) > MAX_NOT_SERVED * f64::from(asked);
    let gap = longest_gap(&[away.served_at, back.served_at].concat());
    (is_too_much || gap >= Duration::from_secs(1))
        .then(|| format!("{not_served} of {asked} not served, {gap:?} without service"))
}

fn cases(fleets: &[u32], modes: &[&'static str]) -> Vec<Case> {
    let outages = [Outage::Closes, Outage::Resets, Outage::InTurns];
    let sized = outages
        .into_iter()
        .flat_map(|outage| fleets.iter().map(move |mixers| (outage, *mixers)));
    sized
        .flat_map(|(outage, mixers)| {
            modes.iter().map(move |mode| Case {
                outage,
                mixers,
                mode,
            })
        })
        .collect()
}

/// Since a191bf8 a call that ended without a byte stopped the service until the next answer, for up to 25 s; where ends came in
/// turns, until discovery was back.
#[test]
fn an_outage_by_resets_without_news_stops_no_service() {
    let failed = failures(
        cases(&[4, 40, 300], &["subscribe", "automatic"]),
        not_served,
    );
    assert!(failed.is_empty(), "{failed:#?}");
}

/// When a process that started in an outage served, if that is too late.
fn late_start(case: Case) -> Option<String> {
    let deployment = Deployment::new(case);
    deployment.registry.set_away(true);
    let program = Program::start(&deployment.setup);
    let address = program.await_address();
    let until = program.started_at + Duration::from_secs(12);
    let mut client = Client::connect(address);
    while client.query() != 200 {
        if Instant::now() > until {
            return Some("never".to_string());
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    let took = program.started_at.elapsed();
    (took > START_WITHIN).then(|| format!("after {took:?}"))
}

/// A mixer that is restarted while discovery is away serves by the list that it has.
#[test]
fn a_mixer_started_in_an_outage_by_resets_serves_soon() {
    let failed = failures(cases(&[4, 300], &["subscribe"]), late_start);
    assert!(failed.is_empty(), "{failed:#?}");
}

/// A drain after an outage, or without one, whose first notices are lost.
#[derive(Clone, Copy, Debug)]
struct LostNotice {
    case: Case,
    outage_length: Duration,
    loss: Loss,
}

/// How late calls came to a server that drains, if any did.
fn late_calls(notice: LostNotice) -> Option<String> {
    let deployment = Deployment::new(notice.case);
    let (drained, other) = (&deployment.server, LeafServer::start());
    let draining = drained.line("first", "Terminating");
    let ready = other.line("second", "Ready");
    let Reply::List(draining) = list(2, true, &format!("{draining},{ready}")) else {
        unreachable!("a list")
    };
    let registry = &deployment.registry;
    let (_program, address) = Program::start_serving(&deployment.setup);
    ask_for(address, QUIET);
    assert!(!drained.calls().is_empty(), "it serves before");
    registry.set_away(!notice.outage_length.is_zero());
    ask_for(address, notice.outage_length);
    *registry.drain.lock().expect("a lock") = Some(Drain {
        list: draining,
        loss: notice.loss,
        lost: 0,
        notified_at: None,
    });
    registry.set_away(false);
    let serves = ask_for(address, DRAIN_OBSERVED).served_last;
    let notified_at = registry
        .drain
        .lock()
        .expect("a lock")
        .as_ref()
        .and_then(|drain| drain.notified_at)
        .expect("it was asked");
    let late = |at: Instant| at.saturating_duration_since(notified_at).checked_sub(GRACE);
    let late: Vec<Duration> = drained.calls().into_iter().filter_map(late).collect();
    let latest = late.iter().max();
    (!late.is_empty() || !serves)
        .then(|| format!("{} late, up to {latest:?}, serves: {serves}", late.len()))
}

/// The opposite rule: that a discovery is presumed to be away must not cost a notice, before an outage is seen or at its end.
#[test]
fn a_notice_lost_beside_an_outage_counts() {
    let lost = |outage_s, outage, mixers, cut, cuts| LostNotice {
        case: Case {
            outage,
            mixers,
            mode: "subscribe",
        },
        outage_length: Duration::from_secs(outage_s),
        loss: Loss { cut, cuts },
    };
    let mut notices = Vec::new();
    for cuts in [1, 2, 4, 6] {
        for mixers in [4, 40] {
            notices.push(lost(0, Outage::Closes, mixers, Cut::NoByte, cuts));
        }
    }
    for outage in [Outage::Closes, Outage::Resets, Outage::InTurns] {
        for (mixers, cuts) in [(4, 1), (4, 2), (40, 2), (300, 1)] {
            notices.push(lost(1, outage, mixers, Cut::NoByte, cuts));
            notices.push(lost(4, outage, mixers, Cut::NoByte, cuts));
        }
        notices.push(lost(4, outage, 4, Cut::Half, 4));
        notices.push(lost(4, outage, 300, Cut::AllButLast, 1));
    }
    let failed = failures(notices, late_calls);
    assert!(failed.is_empty(), "{failed:#?}");
}
