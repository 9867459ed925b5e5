//! The plan of a soak, drawn from a seed: the numbers of mixers and servers, the settings, and each fault with its start and
//! duration.
//!
//! Faults are drawn independently of each other, so that they overlap. A plan depends on its seed alone, so the code here uses
//! no clock and no socket.

use super::processes::Signal;
use super::registry::Outage;
use crate::flood::FloodKind;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Smallest and largest number of mixers in a soak.
const MIXER_COUNTS: (usize, usize) = (3, 40);
/// Probability of a small fleet of mixers.
const SMALL_FLEET_PROBABILITY: f64 = 0.4;
/// Largest number of mixers in a small fleet.
const MAX_SMALL_FLEET_MIXERS: usize = 8;
/// Probability that idle clients use up the descriptors of the mixers, in a fleet of at most [`QUICK_MIXERS`].
const DESCRIPTOR_SHORTAGE_PROBABILITY: f64 = 0.3;
/// Descriptor limit of a mixer whose descriptors idle clients use up.
const SHORTAGE_SOCKETS: usize = 192;
/// Descriptor limit of a mixer otherwise.
const SOCKETS: usize = 512;
/// Values of the clients' longest timeout, one of which is drawn (milliseconds).
const MAX_CLIENT_TIMEOUTS_MS: [u64; 4] = [900, 900, 1500, 3000];
/// Number of mixers in a quick soak.
const QUICK_MIXERS: usize = 10;
/// Leaf servers of each cell.
const SERVERS_PER_CELL: usize = 4;
/// Smallest and largest number of cells.
const CELL_COUNTS: (u32, u32) = (2, 4);
/// Time before the first fault (seconds).
const FAULT_FREE_START_S: f64 = 3.0;
/// Time from the end of the period in which faults start to the end of the soak (seconds).
const FAULT_FREE_END_S: f64 = 10.0;
/// Length of the period in which faults start, in a full and in a quick soak (seconds).
const FAULT_PERIODS_S: (f64, f64) = (14.0, 6.0);
/// Average number of faults that start in a second.
const FAULTS_PER_S: f64 = 3.0;
/// Largest number of floods of a soak, the requests that clients send in them, and their stream of random numbers.
const MAX_FLOODS: usize = 2;
const FLOOD_KINDS: [FloodKind; 4] = [
    FloodKind::ReadyPage,
    FloodKind::MetricsPage,
    FloodKind::NewNames,
    FloodKind::UnknownClasses,
];
const FLOOD_STREAM: u64 = 1;
/// Fleet sizes that the settings may name instead of the actual one.
const CONFIGURED_FLEET_SIZES: [usize; 2] = [300, 860];

/// Parameters of the checker.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Number of mixers.
    pub mixers: usize,
    /// Time after the notification from which on no part may go to a draining server (seconds).
    pub drain_grace_s: f64,
    /// Time for which servers discard repeats of parts with an idempotency key (seconds).
    pub dedup_window_s: f64,
    /// Length of the soak (seconds).
    pub duration_s: f64,
    /// Whether an agent pushes the list to the mixers.
    pub lists_pushed: bool,
    /// Whether idle clients use up the mixers' descriptors. New connections may then be closed before they are read.
    pub has_descriptor_shortage: bool,
}

/// The part of a cut-off answer that arrives before its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// No byte arrives.
    NoByte,
    /// Half of the bytes arrive.
    Half,
    /// All bytes but the last arrive.
    AllButLast,
    /// Half of the bytes arrive, and the connection stays open.
    HalfThenSilence,
}

impl Cut {
    const ALL: [Cut; 4] = [
        Cut::NoByte,
        Cut::Half,
        Cut::AllButLast,
        Cut::HalfThenSilence,
    ];

    /// Returns how many of the given number of bytes arrive.
    pub fn arriving_bytes(self, bytes: usize) -> usize {
        match self {
            Cut::NoByte => 0,
            Cut::Half | Cut::HalfThenSilence => bytes / 2,
            Cut::AllButLast => bytes - 1,
        }
    }
}

/// A fault that is injected into the mixers, discovery, the leaf servers or the clients.
#[derive(Clone, Debug, PartialEq)]
pub enum InjectedFault {
    /// A mixer is killed and later restarted, with the last complete list that it received as its known list.
    Kill {
        /// Number of the mixer.
        mixer: usize,
        /// Time from the kill to the restart (seconds).
        down_s: f64,
    },
    /// Many mixers are killed at the same time, and each is restarted as in `Kill`.
    KillMany {
        /// Numbers of the mixers.
        mixers: Vec<usize>,
        /// Time from the kill to the restart (seconds).
        down_s: f64,
    },
    /// A mixer gets SIGTERM and is restarted after it has exited, or was killed because it took too long.
    Terminate {
        /// Number of the mixer.
        mixer: usize,
        /// Signals that follow the SIGTERM, each with the delay after the previous signal (seconds).
        series: Vec<(Signal, f64)>,
    },
    /// A mixer reloads its configuration several times in a row.
    Reread {
        /// Number of the mixer.
        mixer: usize,
        /// Number of reloads.
        times: usize,
        /// Time between two reloads (seconds).
        every_s: f64,
    },
    /// A mixer is stopped by SIGSTOP and continued.
    Stop {
        /// Number of the mixer.
        mixer: usize,
        /// Duration (seconds).
        for_s: f64,
    },
    /// A new configuration makes a mixer use its other address of discovery.
    Move {
        /// Number of the mixer.
        mixer: usize,
    },
    /// Discovery is down for all mixers.
    DiscoveryDown {
        /// Way in which calls fail.
        outage: Outage,
        /// Duration (seconds).
        for_s: f64,
    },
    /// Discovery does not answer the calls of some mixers.
    DiscoveryHangs {
        /// Numbers of the mixers.
        mixers: Vec<usize>,
        /// Duration (seconds).
        for_s: f64,
    },
    /// Discovery delays its answers to calls that do not wait for a change.
    DiscoverySlow {
        /// Delay (seconds).
        by_s: f64,
        /// Duration (seconds).
        for_s: f64,
    },
    /// All answers of discovery are cut off.
    AnswersCut {
        /// Part of each answer that arrives.
        cut: Cut,
        /// Duration (seconds).
        for_s: f64,
    },
    /// A server drains, and the next answers of discovery to some mixers are cut off.
    DrainCut {
        /// Number of the draining server, which is removed and returns as in `Drain`.
        server: usize,
        /// Numbers of the mixers whose answers are cut off.
        mixers: Vec<usize>,
        /// Number of answers to each mixer that are cut off.
        count: usize,
        /// Part of each answer that arrives.
        cut: Cut,
        /// Length of an outage of discovery before the drain, 0 for none (seconds).
        outage_s: f64,
    },
    /// All open watches of discovery fall silent and are never answered.
    WatchesSilent,
    /// Discovery closes the connections of all open watches.
    WatchesReset,
    /// A server drains, stops and is removed from the list, and later returns.
    Drain {
        /// Number of the server.
        server: usize,
        /// Time from the start of the drain to the removal (seconds).
        gone_s: f64,
        /// Time from the start of the drain to the return (seconds).
        back_s: f64,
    },
    /// Servers stop without draining, are removed from the list some time later, and return.
    Die {
        /// Numbers of the servers.
        servers: Vec<usize>,
        /// Time from the stop to the removal from the list (seconds).
        noticed_s: f64,
        /// Time from the stop to the return (seconds).
        back_s: f64,
    },
    /// A server accepts parts and does not answer.
    ServerHangs {
        /// Number of the server.
        server: usize,
        /// Duration (seconds).
        for_s: f64,
    },
    /// A server closes connections on some of the calls that it receives.
    ServerResets {
        /// Number of the server.
        server: usize,
        /// Duration (seconds).
        for_s: f64,
    },
    /// A server rejects parts at random.
    ServerFull {
        /// Number of the server.
        server: usize,
        /// Duration (seconds).
        for_s: f64,
    },
    /// Clients close some of their connections before the answer.
    ClientsLeave {
        /// Duration (seconds).
        for_s: f64,
    },
    /// Other clients send requests to a mixer at full speed. Their own answers are not checked.
    Flood {
        /// Number of the mixer.
        mixer: usize,
        /// Requests that the clients send.
        kind: FloodKind,
        /// Duration (seconds).
        for_s: f64,
    },
}

/// A fault with the time at which it starts.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// Start of the fault (seconds since the start of the soak).
    pub at: f64,
    /// Kind of the fault, with its parameters.
    pub fault: InjectedFault,
}

/// The plan of one soak.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed from which the plan was drawn.
    pub seed: u64,
    /// Parameters of the checker.
    pub terms: Terms,
    /// Number of cells.
    pub cells: u32,
    /// Number of leaf servers.
    pub servers: usize,
    /// Number of mixers that the settings name.
    pub configured_fleet_size: usize,
    /// Descriptor limit of each mixer.
    pub sockets: usize,
    /// Longest timeout of a client (milliseconds).
    pub max_client_timeout_ms: u64,
    /// Whether mixers may cancel attempts.
    pub allows_cancelling: bool,
    /// Whether mixers may have two attempts of a part in flight.
    pub allows_second_copies: bool,
    /// Faults in order of their start.
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// Draws the plan of a seed.
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
        faults.extend(draw_floods(seed, mixers, fault_period_s));
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

    /// Returns the longest timeout of a client (seconds).
    pub fn max_client_timeout_s(&self) -> f64 {
        self.max_client_timeout_ms as f64 / 1000.0
    }

    /// Returns the cell of a server.
    pub fn cell(&self, server: usize) -> u32 {
        server as u32 % self.cells
    }
}

/// Draws the floods of a soak. They have random numbers of their own, so that the other faults of a seed stay the same.
fn draw_floods(seed: u64, mixers: usize, fault_period_s: f64) -> Vec<PlannedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(FLOOD_STREAM);
    let count = rng.random_range(1..=MAX_FLOODS);
    (0..count)
        .map(|_| PlannedFault {
            at: FAULT_FREE_START_S + rng.random_range(0.0..fault_period_s),
            fault: InjectedFault::Flood {
                mixer: rng.random_range(0..mixers),
                kind: *FLOOD_KINDS.choose(&mut rng).unwrap_or(&FLOOD_KINDS[0]),
                for_s: rng.random_range(1.0..5.0),
            },
        })
        .collect()
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

/// Draws the signals that follow a SIGTERM: at most three, each another SIGTERM or a SIGHUP.
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

/// Target and duration of a fault whose kind does not draw its own.
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

/// Draws a fault of mixer processes.
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

/// Draws a fault of discovery or of the connections to it.
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

/// Draws a fault of leaf servers or of clients.
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
