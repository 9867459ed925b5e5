//! The model of a leaf server: cores, slots, a bounded queue, slow start, pauses, slowdowns and faults.
//!
//! The emulator uses the model in virtual time and the stand-ins use it on sockets, so it has no clock, network or random
//! number generator: callers pass in the time and the random numbers.
//!
//! Running jobs share the cores. Their speed is the current capacity of the leaf server divided by the common slowdown and by the
//! server's own; during a pause it is 0. After a start the capacity rises linearly from an initial share to the full value. At
//! each point in time, callers call [`LeafServer::advance`] before any other method, and again at the time that
//! [`LeafServer::next_event_at`] returns.

use std::collections::VecDeque;

/// Remaining work up to which a job counts as completed, because rounding may leave a little (core seconds).
const ROUNDING_S: f64 = 1e-9;

/// Delay added to the time of the next event (seconds). If rounding made an event early, the job would not be completed yet and
/// the event would be repeated again and again.
const EVENT_DELAY_S: f64 = 1e-6;

/// Configuration of a leaf server.
#[derive(Clone, Copy, Debug)]
pub struct LeafServerSetup {
    /// Number of jobs that can run at full speed concurrently.
    pub cores: usize,
    /// Number of jobs that run concurrently and share the cores; a value below `cores` counts as `cores`.
    pub slots: usize,
    /// Number of jobs that may wait in addition to the running ones.
    pub queue_capacity: usize,
    /// Share of the full capacity directly after a start.
    pub slow_start_from: f64,
    /// Time from a start until the full capacity is reached (seconds).
    pub slow_start_s: f64,
    /// Multiple of the current capacity above which incoming work overloads a server during slow start.
    pub overload_multiple: f64,
    /// Length of the window over which incoming work is compared with that limit (seconds).
    pub overload_window_s: f64,
    /// True if the server stops cancelled jobs.
    pub cancels: bool,
    /// Periodic pauses, if the server has any.
    pub pauses: Option<Pauses>,
}

/// Periodic pauses during which a leaf server does no work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pauses {
    /// Time from the start of one pause to the start of the next (seconds).
    pub period_s: f64,
    /// Length of a pause (seconds).
    pub duration_s: f64,
    /// Time at which the first pause begins (seconds).
    pub first_at: f64,
}

impl Pauses {
    /// Returns `Ok` with the end of the current pause, or `Err` with the start of the next one if there is no pause at `now`.
    fn boundary(&self, now: f64) -> Result<f64, f64> {
        let since = (now - self.first_at).rem_euclid(self.period_s);
        if since < self.duration_s {
            Ok(now - since + self.duration_s)
        } else {
            Err(now - since + self.period_s)
        }
    }
}

/// Fault of a leaf server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ServerFault {
    /// No fault.
    #[default]
    None,
    /// The process has died; connections are refused.
    Dead,
    /// The machine is lost or partitioned: no answers arrive, and new connections are never established.
    Lost,
    /// The server accepts work but sends no answers.
    Silent,
    /// The server answers this share of its parts with an immediate error.
    Fails(f64),
}

/// Result of the arrival of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The job runs or waits in the queue.
    Accepted,
    /// The job is rejected because the queue is full.
    QueueFull,
    /// The job fails immediately.
    Failed,
    /// The job never gets an answer.
    Ignored,
    /// The job is refused because the process has died or is overloaded during slow start.
    Refused,
}

/// Job that arrives at a leaf server.
#[derive(Clone, Copy, Debug)]
pub struct IncomingJob<J> {
    /// Identification of the job.
    pub job: J,
    /// Work of the job (core seconds).
    pub work_s: f64,
    /// Work with which the job counts towards the overload limit of slow start (core seconds).
    pub nominal_work_s: f64,
    /// True if the job runs before all ordinary waiting jobs.
    pub is_prioritized: bool,
    /// True if the sender had been notified of the leaf server's latest start.
    pub sender_knows_start: bool,
}

/// Modelled leaf server; `J` identifies its jobs.
#[derive(Clone, Debug)]
pub struct LeafServer<J> {
    /// Configuration. The pauses may be changed between two calls of [`LeafServer::advance`].
    pub setup: LeafServerSetup,
    /// Current fault.
    pub fault: ServerFault,
    /// Start time of the process; 0 if the server was warm from the beginning.
    pub started_at: f64,
    /// Factor by which this server is slower than usual, in addition to the common slowdown.
    pub slowdown: f64,
    /// Number of times that the process has died.
    pub incarnation: u32,
    running: Vec<(f64, J)>,          // remaining work (core seconds) and job
    prioritized: VecDeque<(f64, J)>, // waiting pre-checks and handshakes, which run before other jobs
    waiting: VecDeque<(f64, J)>,
    advanced_to: f64, // time up to which the work has been computed
    cold_arrivals: VecDeque<(f64, f64, bool)>, // arrivals during slow start: time, work, sender knows the start
    /// True if the server was ever overloaded during slow start.
    pub has_collapsed: bool,
    /// Work done so far (core seconds).
    pub completed_work_s: f64,
}

impl<J: Copy + PartialEq> LeafServer<J> {
    /// Creates an idle leaf server at full capacity.
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

    /// Returns the current share of the full capacity.
    pub fn capacity(&self, now: f64) -> f64 {
        if self.started_at <= 0.0 {
            return 1.0;
        }
        let ramp = ((now - self.started_at) / self.setup.slow_start_s).clamp(0.0, 1.0);
        self.setup.slow_start_from + (1.0 - self.setup.slow_start_from) * ramp
    }

    /// Returns the number of running and waiting jobs.
    pub fn job_count(&self) -> usize {
        self.running.len() + self.prioritized.len() + self.waiting.len()
    }

    /// Kills the process and returns the jobs that it held. [`LeafServer::start`] starts a new process.
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

    /// Starts a new process, which begins with slow start.
    pub fn start(&mut self, now: f64) {
        (self.fault, self.started_at, self.advanced_to) = (ServerFault::None, now, now);
        self.cold_arrivals.clear();
    }

    /// Returns the work done on each running job per second (core seconds); 0 during a pause.
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

    /// Computes the work done since the previous call and returns the completed jobs, in order of their start; waiting jobs
    /// take their slots. The speed at the time of the previous call is used for the whole interval.
    pub fn advance(&mut self, now: f64, slowdown: f64) -> Vec<J> {
        let done_s = (now - self.advanced_to).max(0.0) * self.rate(self.advanced_to, slowdown);
        self.advanced_to = self.advanced_to.max(now);
        let mut completed = Vec::new();
        for (remaining_s, _) in &mut self.running {
            self.completed_work_s += done_s.min(*remaining_s);
            *remaining_s -= done_s;
        }
        self.running.retain(|(remaining_s, job)| {
            let is_done = *remaining_s <= ROUNDING_S;
            if is_done {
                completed.push(*job);
            }
            !is_done
        });
        self.start_waiting_jobs();
        completed
    }

    /// Moves waiting jobs to free slots.
    fn start_waiting_jobs(&mut self) {
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

    /// Returns the time at which [`LeafServer::advance`] must be called next if nothing else happens, or `None` if no job
    /// runs.
    pub fn next_event_at(&self, now: f64, slowdown: f64) -> Option<f64> {
        let shortest_s = self
            .running
            .iter()
            .map(|(remaining_s, _)| *remaining_s)
            .reduce(f64::min)?;
        let rate = self.rate(now, slowdown);
        let ends_at = if rate > 0.0 {
            now + shortest_s / rate
        } else {
            f64::MAX
        };
        let pause_boundary =
            self.setup
                .pauses
                .map_or(f64::MAX, |pauses| match pauses.boundary(now) {
                    Ok(pause_boundary) | Err(pause_boundary) => pause_boundary,
                });
        Some(ends_at.min(pause_boundary).max(now) + EVENT_DELAY_S)
    }

    /// Handles the arrival of a job. `draw` is a random number from 0 to 1, which decides whether the job fails.
    pub fn arrive(&mut self, now: f64, incoming: IncomingJob<J>, draw: f64) -> Admission {
        let IncomingJob {
            job,
            work_s,
            nominal_work_s,
            is_prioritized,
            sender_knows_start,
        } = incoming;
        if self.fault == ServerFault::Dead {
            return Admission::Refused;
        }
        if self.fault == ServerFault::Lost {
            return Admission::Ignored;
        }
        if self.record_arrival(now, nominal_work_s, sender_knows_start) {
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
        self.start_waiting_jobs();
        Admission::Accepted
    }

    /// Queues work that belongs to no client, such as a handshake, before all ordinary waiting jobs; the queue limit does not
    /// apply.
    pub fn add_priority_work(&mut self, job: J, work_s: f64) {
        self.prioritized.push_back((work_s, job));
        self.start_waiting_jobs();
    }

    /// Cancels a job. Returns the work that is saved (core seconds), or `None` if the server does not stop cancelled jobs or
    /// does not hold this one.
    pub fn cancel(&mut self, job: J) -> Option<f64> {
        if !self.setup.cancels {
            return None;
        }
        let mut saved_s = None;
        let mut keep = |(remaining_s, other): &(f64, J)| {
            if *other == job {
                saved_s = Some(*remaining_s);
            }
            *other != job
        };
        self.running.retain(&mut keep);
        self.prioritized.retain(&mut keep);
        self.waiting.retain(&mut keep);
        self.start_waiting_jobs();
        saved_s
    }

    /// Records an arrival and returns whether it overloads the server during slow start. All work that arrived within the window
    /// counts towards the limit. Exceeding the limit is an overload only if at least two thirds of that work came from senders
    /// that knew of the start, because others could not slow down.
    fn record_arrival(&mut self, now: f64, nominal_work_s: f64, sender_knows_start: bool) -> bool {
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
        // Two more parts of nominal work are allowed, because arrivals vary by chance.
        work > max_work_s + 2.0 * nominal_work_s && informed_work >= 2.0 / 3.0 * work
    }
}

#[cfg(test)]
mod tests;
