//! The model of a leaf server: cores, slots, a waiting room, a cold start, pauses, slow-downs and faults.
//!
//! This file owns what happens inside one leaf server, in virtual time and behind the stand-ins on sockets alike: what comes
//! waits in a room of fixed size; what runs shares the cores. It must never know a mixer, a wire or a clock (time is
//! passed in), nor draw a random number that was not passed in.
//!
//! Work goes on at the share of its capacity that the leaf server has, over the common slow-down and its own; not at all while it
//! stands still. Cold leaf servers rise evenly from their first share to the whole. Whoever drives a leaf server calls
//! [`LeafServer::advance`] before anything else at a time, and again at the time that [`LeafServer::next_event_at`] gives.

use std::collections::VecDeque;

/// Work that is left by rounding alone (core seconds).
const ROUNDING_S: f64 = 1e-9;

/// A turn comes so much late: one that came early by rounding would come again and again (seconds).
const EVENT_DELAY_S: f64 = 1e-6;

/// What a leaf server is made of.
#[derive(Clone, Copy, Debug)]
pub struct LeafServerSetup {
    /// Jobs that run at full speed at once.
    pub cores: usize,
    /// Jobs that run at once, sharing the cores; as many as cores at least.
    pub slots: usize,
    /// Jobs that may wait beside.
    pub queue_capacity: usize,
    /// Share of its capacity at its start.
    pub slow_start_from: f64,
    /// It has all of it so long after its start (seconds).
    pub slow_start_s: f64,
    /// It falls over where it is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for so long (seconds).
    pub overload_window_s: f64,
    /// Whether what nobody waits for any more is stopped.
    pub cancels: bool,
    /// Its pauses, where it has any.
    pub pauses: Option<Pauses>,
}

/// A leaf server that stands still now and then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pauses {
    /// From one to the next (seconds).
    pub period_s: f64,
    /// How long (seconds).
    pub duration_s: f64,
    /// When the first one begins (seconds).
    pub first_at: f64,
}

impl Pauses {
    /// The end of the pause at that time, if it is one; else when the next begins.
    fn boundary(&self, now: f64) -> Result<f64, f64> {
        let since = (now - self.first_at).rem_euclid(self.period_s);
        if since < self.duration_s {
            Ok(now - since + self.duration_s)
        } else {
            Err(now - since + self.period_s)
        }
    }
}

/// What is wrong with a leaf server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ServerFault {
    /// Nothing.
    #[default]
    None,
    /// Its process is dead: connections are refused.
    Dead,
    /// Its machine is gone or cut off: nothing comes back, and new connections never come up.
    Lost,
    /// It takes work and answers nothing.
    Silent,
    /// It fails this share of its parts at once.
    Fails(f64),
}

/// What becomes of a job that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is accepted: it runs, or waits.
    Accepted,
    /// The room is full.
    QueueFull,
    /// It fails at once.
    Failed,
    /// Nobody hears of it again.
    Ignored,
    /// There is no process.
    Refused,
}

/// A job that arrives.
#[derive(Clone, Copy, Debug)]
pub struct IncomingJob<J> {
    /// What it is.
    pub job: J,
    /// Its work (core seconds).
    pub work_s: f64,
    /// Its work by the cold rule's count.
    pub nominal_work_s: f64,
    /// Whether it goes before what waits.
    pub is_prioritized: bool,
    /// Whether whoever sent it was told of the leaf server's start.
    pub sender_knows_start: bool,
}

/// One leaf server, holding jobs of some kind.
#[derive(Clone, Debug)]
pub struct LeafServer<J> {
    /// What it is made of. Pauses may change, between two turns.
    pub setup: LeafServerSetup,
    /// What is wrong with it.
    pub fault: ServerFault,
    /// When its process started; 0 for long ago.
    pub started_at: f64,
    /// So many times slower than usual, by itself.
    pub slowdown: f64,
    /// Told apart from the process before.
    pub incarnation: u32,
    running: Vec<(f64, J)>,          // work that is left
    prioritized: VecDeque<(f64, J)>, // words, which go before what waits
    waiting: VecDeque<(f64, J)>,
    advanced_to: f64,                          // how far its work has been reckoned
    cold_arrivals: VecDeque<(f64, f64, bool)>, // when work came while it was cold, how much, and whether from one who was told
    /// Whether it was pushed over while cold.
    pub has_collapsed: bool,
    /// Work that it has done (core seconds).
    pub completed_work_s: f64,
}

impl<J: Copy + PartialEq> LeafServer<J> {
    /// A warm and idle leaf server.
    pub fn new(setup: LeafServerSetup) -> LeafServer<J> {
        LeafServer {
            setup,
            fault: ServerFault::None,
            started_at: 0.0,
            slowdown: 1.0,
            incarnation: 0,
            running: Vec::new(),
            prioritized: VecDeque::new(),
            waiting: VecDeque::new(),
            advanced_to: 0.0,
            cold_arrivals: VecDeque::new(),
            has_collapsed: false,
            completed_work_s: 0.0,
        }
    }

    /// The share of its capacity that it has.
    pub fn capacity(&self, now: f64) -> f64 {
        if self.started_at <= 0.0 {
            return 1.0;
        }
        let ramp = ((now - self.started_at) / self.setup.slow_start_s).clamp(0.0, 1.0);
        self.setup.slow_start_from + (1.0 - self.setup.slow_start_from) * ramp
    }

    /// Jobs that it holds.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.prioritized.len() + self.waiting.len()
    }

    /// Its process dies; gives what it held. It comes back by [`LeafServer::start`].
    pub fn die(&mut self) -> Vec<J> {
        self.fault = ServerFault::Dead;
        self.incarnation += 1;
        let interrupted = self
            .running
            .drain(..)
            .chain(self.prioritized.drain(..))
            .chain(self.waiting.drain(..));
        interrupted.map(|(_, job)| job).collect()
    }

    /// A new process, cold.
    pub fn start(&mut self, now: f64) {
        (self.fault, self.started_at, self.advanced_to) = (ServerFault::None, now, now);
        self.cold_arrivals.clear();
    }

    /// What each job that runs gets done in a second (core seconds); 0 while it stands still.
    fn rate(&self, now: f64, slowdown: f64) -> f64 {
        if self
            .setup
            .pauses
            .is_some_and(|pauses| pauses.boundary(now).is_ok())
        {
            return 0.0;
        }
        let shared = (self.setup.cores as f64 / self.running.len().max(1) as f64).min(1.0);
        self.capacity(now).max(0.01) * shared / (slowdown * self.slowdown)
    }

    /// Reckons the work done since the last turn at a speed that held until now; gives what has ended, in order. What
    /// waits begins in its place.
    pub fn advance(&mut self, now: f64, slowdown: f64) -> Vec<J> {
        let done_s = (now - self.advanced_to).max(0.0) * self.rate(self.advanced_to, slowdown);
        self.advanced_to = self.advanced_to.max(now);
        let mut ended = Vec::new();
        for (left_s, _) in &mut self.running {
            self.completed_work_s += done_s.min(*left_s);
            *left_s -= done_s;
        }
        self.running.retain(|(left_s, job)| {
            let over = *left_s <= ROUNDING_S;
            if over {
                ended.push(*job);
            }
            !over
        });
        self.begin();
        ended
    }

    fn begin(&mut self) {
        while self.running.len() < self.setup.slots.max(self.setup.cores) {
            let Some(next) = self
                .prioritized
                .pop_front()
                .or_else(|| self.waiting.pop_front())
            else {
                return;
            };
            self.running.push(next);
        }
    }

    /// When it has to be turned again, if nothing else happens to it.
    pub fn next_event_at(&self, now: f64, slowdown: f64) -> Option<f64> {
        let min_s = self
            .running
            .iter()
            .map(|(left_s, _)| *left_s)
            .reduce(f64::min)?;
        let rate = self.rate(now, slowdown);
        let ends_at = if rate > 0.0 {
            now + min_s / rate
        } else {
            f64::MAX
        };
        let edge = self
            .setup
            .pauses
            .map_or(f64::MAX, |pauses| match pauses.boundary(now) {
                Ok(edge) | Err(edge) => edge,
            });
        Some(ends_at.min(edge).max(now) + EVENT_DELAY_S)
    }

    /// A job arrives. `lot` is a random number from 0 to 1.
    pub fn arrive(&mut self, now: f64, arriving: IncomingJob<J>, draw: f64) -> Admission {
        let IncomingJob {
            job,
            work_s,
            nominal_work_s,
            is_prioritized,
            sender_knows_start,
        } = arriving;
        if self.fault == ServerFault::Dead {
            return Admission::Refused;
        }
        if self.fault == ServerFault::Lost {
            return Admission::Ignored;
        }
        if self.is_overloaded_by(now, nominal_work_s, sender_knows_start) {
            self.has_collapsed = true;
            return Admission::Refused;
        }
        match self.fault {
            ServerFault::Silent => return Admission::Ignored,
            ServerFault::Fails(share) if draw < share => return Admission::Failed,
            _ => {}
        }
        let queue_capacity = self.setup.queue_capacity
            + self
                .setup
                .slots
                .max(self.setup.cores)
                .saturating_sub(self.running.len());
        if self.prioritized.len() + self.waiting.len() >= queue_capacity {
            return Admission::QueueFull;
        }
        let queue = if is_prioritized {
            &mut self.prioritized
        } else {
            &mut self.waiting
        };
        queue.push_back((work_s, job));
        self.begin();
        Admission::Accepted
    }

    /// Work that is no job of a client's, and goes before what waits: a handshake.
    pub fn add_priority_work(&mut self, job: J, work_s: f64) {
        self.prioritized.push_back((work_s, job));
        self.begin();
    }

    /// Nobody waits for a job any more. Where the leaf server stops such work, gives what it need not do (core seconds).
    pub fn cancel(&mut self, job: J) -> Option<f64> {
        if !self.setup.cancels {
            return None;
        }
        let mut left = None;
        let mut keep = |(left_s, other): &(f64, J)| {
            if *other == job {
                left = Some(*left_s);
            }
            *other != job
        };
        self.running.retain(&mut keep);
        self.prioritized.retain(&mut keep);
        self.waiting.retain(&mut keep);
        self.begin();
        left
    }

    /// The rule on cold leaf servers, as a budget over the window that ends now: all that comes counts, and the rule is broken
    /// where two thirds of it came from those who were told of the start.
    fn is_overloaded_by(
        &mut self,
        now: f64,
        nominal_work_s: f64,
        sender_knows_start: bool,
    ) -> bool {
        let capacity = self.capacity(now);
        if capacity >= 1.0 {
            self.cold_arrivals.clear();
            return false;
        }
        self.cold_arrivals
            .push_back((now, nominal_work_s, sender_knows_start));
        while self
            .cold_arrivals
            .front()
            .is_some_and(|(at, ..)| *at <= now - self.setup.overload_window_s)
        {
            self.cold_arrivals.pop_front();
        }
        let work: f64 = self.cold_arrivals.iter().map(|(_, work, _)| work).sum();
        let informed_work: f64 = self
            .cold_arrivals
            .iter()
            .filter(|(.., knows_start)| *knows_start)
            .map(|(_, work, _)| work)
            .sum();
        let max_work_s = self.setup.overload_multiple
            * capacity
            * self.setup.cores as f64
            * self.setup.overload_window_s;
        // A little slack for chance: two parts of the usual kind.
        work > max_work_s + 2.0 * nominal_work_s && informed_work >= 2.0 / 3.0 * work
    }
}

#[cfg(test)]
mod tests;
