//! The plan of a soak: who there is and which fault comes from when to when, drawn from a seed.
//!
//! Faults are drawn independently of each other, so that they overlap. This file must never look at a clock or a socket.

use super::processes::Signal;
use super::registry::Outage;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Processes of a soak, least and most.
const MIXER_COUNTS: (usize, usize) = (3, 40);
/// Odds that there are few processes, and how many at most.
const SMALL_FLEET_PROBABILITY: f64 = 0.4;
const MAX_SMALL_FLEET_MIXERS: usize = 8;
/// Odds that idle clients fill the descriptors of few processes; how many descriptors these have then, and otherwise.
const DESCRIPTOR_SHORTAGE_PROBABILITY: f64 = 0.3;
const SHORTAGE_SOCKETS: usize = 192;
const SOCKETS: usize = 512;
/// The longest wait of a client is one of these (milliseconds).
const MAX_CLIENT_TIMEOUTS_MS: [u64; 4] = [900, 900, 1500, 3000];
/// Processes of the quick one.
const QUICK_MIXERS: usize = 10;
/// Leaf servers of each cell.
const SERVERS_PER_CELL: usize = 4;
const CELL_COUNTS: (u32, u32) = (2, 4);
/// Time before the first fault and after the last one (seconds).
const FAULT_FREE_START_S: f64 = 3.0;
const FAULT_FREE_END_S: f64 = 10.0;
/// Time in which faults begin (seconds).
const FAULT_PERIODS_S: (f64, f64) = (14.0, 6.0);
/// Faults that begin in a second, on average.
const FAULTS_PER_S: f64 = 3.0;
/// What the settings may say of the fleet's size: as many as there are, or so many.
const CONFIGURED_FLEET_SIZES: [usize; 2] = [300, 860];

/// What is judged by.
#[derive(Clone, Debug)]
pub struct Terms {
    /// How many mixers there are.
    pub mixers: usize,
    /// Nothing may go to a server that drains so long after it was told (seconds).
    pub drain_grace_s: f64,
    /// How long repeats of keyed parts are discarded (seconds).
    pub dedup_window_s: f64,
    /// Length of the soak (seconds).
    pub duration_s: f64,
    /// Whether lists are pushed.
    pub lists_pushed: bool,
    /// Whether idle clients fill the descriptors: new connections may be shut unread then.
    pub has_descriptor_shortage: bool,
}

/// What arrives of an answer that is cut off, before its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing.
    NoByte,
    /// Half of it.
    Half,
    /// All but the last byte.
    AllButLast,
    /// Half of it, and the connection stays open.
    HalfThenSilence,
}

impl Cut {
    const ALL: [Cut; 4] = [
        Cut::NoByte,
        Cut::Half,
        Cut::AllButLast,
        Cut::HalfThenSilence,
    ];

    /// How much arrives of so many bytes.
    pub fn arriving_bytes(self, bytes: usize) -> usize {
        match self {
            Cut::NoByte => 0,
            Cut::Half | Cut::HalfThenSilence => bytes / 2,
            Cut::AllButLast => bytes - 1,
        }
    }
}

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum InjectedFault {
    /// A mixer is killed, and started again so long after it, with the list that it was first started with.
    Kill {
        /// Which.
        mixer: usize,
        /// When it is started again (seconds later).
        down_s: f64,
    },
    /// Many mixers at once.
    KillMany {
        /// Which.
        mixers: Vec<usize>,
        /// When they are started again (seconds later).
        down_s: f64,
    },
    /// A mixer is told to end, and started again once it has, or was killed.
    Terminate {
        /// Which.
        mixer: usize,
        /// Signals that follow, each so long after the one before (seconds).
        series: Vec<(Signal, f64)>,
    },
    /// A mixer reads its configuration again, some times in a row.
    Reread {
        /// Which.
        mixer: usize,
        /// How often.
        times: usize,
        /// Time between two (seconds).
        every_s: f64,
    },
    /// A mixer stands still.
    Stop {
        /// Which.
        mixer: usize,
        /// For how long (seconds).
        for_s: f64,
    },
    /// A new configuration moves a mixer to the other address of discovery.
    Move {
        /// Which.
        mixer: usize,
    },
    /// Discovery goes down.
    DiscoveryDown {
        /// What becomes of calls.
        outage: Outage,
        /// For how long (seconds).
        for_s: f64,
    },
    /// Discovery does not answer some mixers.
    DiscoveryHangs {
        /// Which.
        mixers: Vec<usize>,
        /// For how long (seconds).
        for_s: f64,
    },
    /// Discovery answers late.
    DiscoverySlow {
        /// By how much (seconds).
        by_s: f64,
        /// For how long (seconds).
        for_s: f64,
    },
    /// All answers of discovery are cut off.
    AnswersCut {
        /// What arrives of them.
        cut: Cut,
        /// For how long (seconds).
        for_s: f64,
    },
    /// A server drains, and the next answers to some mixers are cut off.
    DrainCut {
        /// Which server; it is gone and back as in `Drain`.
        server: usize,
        /// Which mixers.
        mixers: Vec<usize>,
        /// How many answers to each.
        count: usize,
        /// What arrives of them.
        cut: Cut,
        /// Discovery is down for so long before (seconds).
        outage_s: f64,
    },
    /// All open watches fall silent for good.
    WatchesSilent,
    /// All open watches are reset.
    WatchesReset,
    /// A server drains, and is gone some seconds later; it comes back after that.
    Drain {
        /// Which.
        server: usize,
        /// When it is gone (seconds later).
        gone_s: f64,
        /// When it is back (seconds later).
        back_s: f64,
    },
    /// Servers die and are taken off the list so much later; they come back after that.
    Die {
        /// Which.
        servers: Vec<usize>,
        /// When discovery has noticed (seconds later).
        noticed_s: f64,
        /// When they are back (seconds later).
        back_s: f64,
    },
    /// A server takes work and answers nothing.
    ServerHangs {
        /// Which.
        server: usize,
        /// For how long (seconds).
        for_s: f64,
    },
    /// A server resets connections under its calls.
    ServerResets {
        /// Which.
        server: usize,
        /// For how long (seconds).
        for_s: f64,
    },
    /// A server turns work away.
    ServerFull {
        /// Which.
        server: usize,
        /// For how long (seconds).
        for_s: f64,
    },
    /// Clients close their connections early.
    ClientsLeave {
        /// For how long (seconds).
        for_s: f64,
    },
}

/// A fault and when it begins.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// When (seconds).
    pub at: f64,
    /// What.
    pub fault: InjectedFault,
}

/// A soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// What is judged by.
    pub terms: Terms,
    /// Cells of the servers.
    pub cells: u32,
    /// How many servers there are.
    pub servers: usize,
    /// What the settings say of the fleet's size.
    pub configured_fleet_size: usize,
    /// Descriptors of each mixer.
    pub sockets: usize,
    /// How long a client waits for its answer, at most (milliseconds).
    pub max_client_timeout_ms: u64,
    /// Whether attempts may be cancelled, and two may be in flight.
    pub allows_cancelling: bool,
    /// Whether two attempts of a part may be in flight.
    pub allows_second_copies: bool,
    /// The faults, in order of time.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64, quick: bool) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let max = if rng.random_bool(SMALL_FLEET_PROBABILITY) {
            MAX_SMALL_FLEET_MIXERS
        } else {
            MIXER_COUNTS.1
        };
        let mixers = if quick {
            QUICK_MIXERS
        } else {
            rng.random_range(MIXER_COUNTS.0..=max)
        };
        let has_descriptor_shortage =
            mixers <= QUICK_MIXERS && rng.random_bool(DESCRIPTOR_SHORTAGE_PROBABILITY);
        let cells = rng.random_range(CELL_COUNTS.0..=CELL_COUNTS.1);
        let servers = cells as usize * SERVERS_PER_CELL;
        let fault_period_s = if quick {
            FAULT_PERIODS_S.1
        } else {
            FAULT_PERIODS_S.0
        };
        let count = (fault_period_s * FAULTS_PER_S) as usize;
        let mut faults: Vec<PlannedFault> = (0..count)
            .map(|_| PlannedFault {
                at: FAULT_FREE_START_S + rng.random_range(0.0..fault_period_s),
                fault: draw_fault(&mut rng, mixers, servers),
            })
            .collect();
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        let fleet_sizes = [mixers, CONFIGURED_FLEET_SIZES[0], CONFIGURED_FLEET_SIZES[1]];
        Plan {
            seed,
            terms: Terms {
                mixers,
                drain_grace_s: *[0.5, 0.5, 0.7, 2.0].choose(&mut rng).unwrap_or(&0.5),
                dedup_window_s: 1.0,
                duration_s: FAULT_FREE_START_S + fault_period_s + FAULT_FREE_END_S,
                lists_pushed: rng.random_bool(0.25),
                has_descriptor_shortage,
            },
            cells,
            servers,
            configured_fleet_size: *fleet_sizes.choose(&mut rng).unwrap_or(&mixers),
            sockets: if has_descriptor_shortage {
                SHORTAGE_SOCKETS
            } else {
                SOCKETS
            },
            max_client_timeout_ms: *MAX_CLIENT_TIMEOUTS_MS
                .choose(&mut rng)
                .unwrap_or(&MAX_CLIENT_TIMEOUTS_MS[0]),
            allows_cancelling: rng.random_bool(0.75),
            allows_second_copies: rng.random_bool(0.75),
            faults,
        }
    }

    /// How long a client waits for its answer, at most (seconds).
    pub fn max_client_timeout_s(&self) -> f64 {
        self.max_client_timeout_ms as f64 / 1000.0
    }

    /// The cell of a server.
    pub fn cell(&self, server: usize) -> u32 {
        server as u32 % self.cells
    }
}

fn draw_subset(rng: &mut ChaCha8Rng, count: usize, share: f64) -> Vec<usize> {
    (0..count).filter(|_| rng.random_bool(share)).collect()
}

fn draw_cut(rng: &mut ChaCha8Rng) -> Cut {
    *Cut::ALL.choose(rng).unwrap_or(&Cut::Half)
}

fn draw_outage(rng: &mut ChaCha8Rng) -> Outage {
    *[Outage::Closes, Outage::Refuses]
        .choose(rng)
        .unwrap_or(&Outage::Closes)
}

/// Signals that follow one to end: none, or the same again, and configurations to be read.
fn draw_signals(rng: &mut ChaCha8Rng) -> Vec<(Signal, f64)> {
    let count = rng.random_range(0..=3);
    (0..count)
        .map(|_| {
            let signal = if rng.random_bool(0.5) {
                Signal::Terminate
            } else {
                Signal::HangUp
            };
            (signal, rng.random_range(0.0..0.5))
        })
        .collect()
}

/// What a fault concerns unless it draws that itself, and for how long (seconds).
#[derive(Clone, Copy)]
struct FaultTarget {
    mixer: usize,
    server: usize,
    for_s: f64,
}

fn draw_fault(rng: &mut ChaCha8Rng, mixers: usize, servers: usize) -> InjectedFault {
    let target = FaultTarget {
        mixer: rng.random_range(0..mixers),
        server: rng.random_range(0..servers),
        for_s: rng.random_range(0.5..5.0),
    };
    match rng.random_range(0..34) {
        kind @ (0..=9 | 27) => draw_process_fault(rng, kind, target, mixers),
        kind @ 10..=15 => draw_discovery_fault(rng, kind, target, mixers),
        kind @ 16..=26 => draw_server_fault(rng, kind, target, servers),
        _ => InjectedFault::DrainCut {
            server: target.server,
            mixers: draw_subset(rng, mixers, 0.6),
            count: rng.random_range(1..=3),
            cut: draw_cut(rng),
            outage_s: if rng.random_bool(0.3) {
                rng.random_range(0.5..5.0)
            } else {
                0.0
            },
        },
    }
}

/// A fault of the processes of mixers.
fn draw_process_fault(
    rng: &mut ChaCha8Rng,
    kind: i32,
    target: FaultTarget,
    mixers: usize,
) -> InjectedFault {
    let mixer = target.mixer;
    match kind {
        0..=2 => InjectedFault::Kill {
            mixer,
            down_s: rng.random_range(0.2..7.0),
        },
        3 => InjectedFault::KillMany {
            mixers: draw_subset(rng, mixers, 0.6),
            down_s: rng.random_range(0.2..5.0),
        },
        4..=5 => InjectedFault::Terminate {
            mixer,
            series: draw_signals(rng),
        },
        6..=7 => InjectedFault::Stop {
            mixer,
            for_s: rng.random_range(0.05..0.3),
        },
        8 => InjectedFault::Stop {
            mixer,
            for_s: rng.random_range(0.5..8.0),
        },
        9 => InjectedFault::Move { mixer },
        _ => {
            let every_s = rng.random_range(0.02..1.5);
            InjectedFault::Reread {
                mixer,
                times: rng.random_range(1..=4),
                every_s,
            }
        }
    }
}

/// A fault of discovery, or of the connections to it.
fn draw_discovery_fault(
    rng: &mut ChaCha8Rng,
    kind: i32,
    target: FaultTarget,
    mixers: usize,
) -> InjectedFault {
    let for_s = target.for_s;
    match kind {
        10 => InjectedFault::DiscoveryDown {
            outage: draw_outage(rng),
            for_s: rng.random_range(0.5..9.0),
        },
        11 => InjectedFault::DiscoveryHangs {
            mixers: draw_subset(rng, mixers, 0.4),
            for_s,
        },
        12 => InjectedFault::DiscoverySlow {
            by_s: rng.random_range(0.05..0.8),
            for_s,
        },
        13 => InjectedFault::AnswersCut {
            cut: draw_cut(rng),
            for_s: rng.random_range(0.2..2.0),
        },
        14 => InjectedFault::WatchesSilent,
        _ => InjectedFault::WatchesReset,
    }
}

/// A fault of leaf servers, or of clients.
fn draw_server_fault(
    rng: &mut ChaCha8Rng,
    kind: i32,
    target: FaultTarget,
    servers: usize,
) -> InjectedFault {
    let FaultTarget { server, for_s, .. } = target;
    match kind {
        16..=21 => {
            let gone_s = rng.random_range(0.5..3.0);
            InjectedFault::Drain {
                server,
                gone_s,
                back_s: gone_s + rng.random_range(0.5..4.0),
            }
        }
        22..=23 => {
            let noticed_s = rng.random_range(0.1..2.0);
            let share = rng.random_range(0.1..0.4);
            let back_s = noticed_s + rng.random_range(0.5..6.0);
            InjectedFault::Die {
                servers: draw_subset(rng, servers, share),
                noticed_s,
                back_s,
            }
        }
        24 => InjectedFault::ServerHangs { server, for_s },
        25 => match rng.random_bool(0.5) {
            true => InjectedFault::ServerResets { server, for_s },
            false => InjectedFault::ServerFull { server, for_s },
        },
        _ => InjectedFault::ClientsLeave { for_s },
    }
}
