//! The plan of a soak: who there is and which fault comes from when to when, drawn from a seed.
//!
//! Faults are drawn independently of each other, so that they overlap. This file must never look at a clock or a socket.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Processes of a soak, least and most.
const MIXERS: (usize, usize) = (10, 40);
/// Processes of the quick one.
const QUICK_MIXERS: usize = 10;
/// Leaf servers of each cell.
const SERVERS_EACH_CELL: usize = 4;
const CELLS: (u32, u32) = (2, 4);
/// Time before the first fault and after the last one (seconds).
const QUIET_BEFORE_S: f64 = 3.0;
const QUIET_AFTER_S: f64 = 8.0;
/// Time in which faults begin (seconds).
const FAULTS_S: (f64, f64) = (14.0, 6.0);
/// Faults that begin in a second, on average.
const FAULTS_A_SECOND: f64 = 3.0;
/// What the settings may say of the fleet's size: as many as there are, or so many.
const TOLD_SIZES: [usize; 2] = [300, 860];

/// What is judged by.
#[derive(Clone, Debug)]
pub struct Terms {
    /// How many mixers there are.
    pub mixers: usize,
    /// Nothing may go to a server that drains so long after it was told (seconds).
    pub drain_grace_s: f64,
    /// How long repeats of keyed parts are discarded (seconds).
    pub window_s: f64,
    /// Length of the soak (seconds).
    pub length_s: f64,
}

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
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
    /// A mixer is told to end, and started again once it has.
    Terminate {
        /// Which.
        mixer: usize,
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
    /// Discovery closes all connections, and each new one.
    DiscoveryDown {
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
    /// Answers of discovery are cut off half-way.
    AnswersCut {
        /// For how long (seconds).
        for_s: f64,
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
pub struct Planned {
    /// When (seconds).
    pub at: f64,
    /// What.
    pub fault: Fault,
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
    pub told_size: usize,
    /// Whether lists are pushed.
    pub pushed: bool,
    /// Whether attempts may be cancelled, and two may be in flight.
    pub cancel: bool,
    /// Whether two attempts of a part may be in flight.
    pub copies: bool,
    /// The faults, in order of time.
    pub faults: Vec<Planned>,
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64, quick: bool) -> Plan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mixers = if quick { QUICK_MIXERS } else { rng.random_range(MIXERS.0..=MIXERS.1) };
        let cells = rng.random_range(CELLS.0..=CELLS.1);
        let servers = cells as usize * SERVERS_EACH_CELL;
        let faults_s = if quick { FAULTS_S.1 } else { FAULTS_S.0 };
        let count = (faults_s * FAULTS_A_SECOND) as usize;
        let mut faults: Vec<Planned> = (0..count)
            .map(|_| Planned {
                at: QUIET_BEFORE_S + rng.random_range(0.0..faults_s),
                fault: draw_fault(&mut rng, mixers, servers),
            })
            .collect();
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        let sizes = [mixers, TOLD_SIZES[0], TOLD_SIZES[1]];
        Plan {
            seed,
            terms: Terms {
                mixers,
                drain_grace_s: *[0.5, 0.5, 0.7, 2.0].choose(&mut rng).unwrap_or(&0.5),
                window_s: 1.0,
                length_s: QUIET_BEFORE_S + faults_s + QUIET_AFTER_S,
            },
            cells,
            servers,
            told_size: *sizes.choose(&mut rng).unwrap_or(&mixers),
            pushed: rng.random_bool(0.25),
            cancel: rng.random_bool(0.75),
            copies: rng.random_bool(0.75),
            faults,
        }
    }

    /// The cell of a server.
    pub fn cell(&self, server: usize) -> u32 {
        server as u32 % self.cells
    }
}

fn draw_some(rng: &mut ChaCha8Rng, count: usize, share: f64) -> Vec<usize> {
    (0..count).filter(|_| rng.random_bool(share)).collect()
}

fn draw_fault(rng: &mut ChaCha8Rng, mixers: usize, servers: usize) -> Fault {
    let mixer = rng.random_range(0..mixers);
    let server = rng.random_range(0..servers);
    let for_s = rng.random_range(0.5..5.0);
    match rng.random_range(0..27) {
        0..=2 => Fault::Kill { mixer, down_s: rng.random_range(0.2..7.0) },
        3 => Fault::KillMany { mixers: draw_some(rng, mixers, 0.6), down_s: rng.random_range(0.2..5.0) },
        4..=5 => Fault::Terminate { mixer },
        6..=7 => Fault::Stop { mixer, for_s: rng.random_range(0.05..0.3) },
        8 => Fault::Stop { mixer, for_s: rng.random_range(0.5..8.0) },
        9 => Fault::Move { mixer },
        10 => Fault::DiscoveryDown { for_s: rng.random_range(0.5..9.0) },
        11 => Fault::DiscoveryHangs { mixers: draw_some(rng, mixers, 0.4), for_s },
        12 => Fault::DiscoverySlow { by_s: rng.random_range(0.05..0.8), for_s },
        13 => Fault::AnswersCut { for_s: rng.random_range(0.2..2.0) },
        14 => Fault::WatchesSilent,
        15 => Fault::WatchesReset,
        16..=21 => {
            let gone_s = rng.random_range(0.5..3.0);
            Fault::Drain { server, gone_s, back_s: gone_s + rng.random_range(0.5..4.0) }
        }
        22..=23 => {
            let noticed_s = rng.random_range(0.1..2.0);
            let share = rng.random_range(0.1..0.4);
            let back_s = noticed_s + rng.random_range(0.5..6.0);
            Fault::Die { servers: draw_some(rng, servers, share), noticed_s, back_s }
        }
        24 => Fault::ServerHangs { server, for_s },
        25 => match rng.random_bool(0.5) {
            true => Fault::ServerResets { server, for_s },
            false => Fault::ServerFull { server, for_s },
        },
        _ => Fault::ClientsLeave { for_s },
    }
}
