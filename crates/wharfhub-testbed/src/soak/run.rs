//! Runs one soak: starts the stand-ins and the mixers, injects the faults of the plan at their times, and checks the history.
//!
//! Each fault has its own thread, so that faults overlap as planned. The mixers are killed at the end of the soak.

use super::checker::{Checker, Violation};
use super::clients::ClientPool;
use super::history::{DiscoveryFailure, History, ProcessEvent, Recorder, RequestEnd, ServerPhase};
use super::plan::{Cut, InjectedFault, Plan, PlannedFault};
use super::processes::{MixerProcess, Signal};
use super::registry::{ListedServer, Outage, Registry, ADDRESSES_PER_MIXER};
use super::servers::{Behavior, LeafServer};
use crate::flood::sender::Senders;
use crate::flood::FloodKind;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Number of clients of each mixer.
const CLIENTS_PER_MIXER: usize = 2;
/// Number of clients that flood a mixer.
const FLOOD_CLIENTS: usize = 3;
/// Interval at which the mixers are checked for exits and readiness.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the start of a drain with cut-off answers to the removal of the server (seconds).
const CUT_DRAIN_GONE_S: f64 = 4.0;
/// Time from the start of a drain with cut-off answers to the return of the server (seconds).
const CUT_DRAIN_BACK_S: f64 = 6.0;
/// Time after SIGTERM for which clients still open new connections, as a load balancer that has not noticed yet would (seconds).
const NEW_CONNECTIONS_AFTER_SIGTERM_S: f64 = 0.3;
/// Time beyond the clients' longest timeout that the mixers get to end their last requests, before the counts of their invariant
/// checks are read (seconds).
const LAST_REQUESTS_MARGIN_S: f64 = 0.7;
/// Number of idle clients of each mixer in a soak with a shortage of descriptors.
const IDLE_CLIENTS_PER_MIXER: usize = 160;

/// The result of a soak.
#[derive(Debug)]
pub struct Outcome {
    /// Violations that the checker found.
    pub violations: Vec<Violation>,
    /// Numbers of requests by their end.
    pub requests: RequestCounts,
    /// Share of requests that were served in the last one or two seconds, when faults have ended. Requests whose clients closed
    /// their connection do not count.
    pub final_served_share: f64,
    /// Number of parts that servers received.
    pub calls: usize,
    /// Number of actions that the mixers' invariant checks stopped.
    pub stopped_actions: u64,
    /// Total time for which the stand-ins themselves were stalled (seconds).
    pub stalled_s: f64,
}

/// Numbers of requests by their end.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    /// All requests.
    pub all: usize,
    /// Requests answered with status 200.
    pub served: usize,
    /// Requests answered with status 429 or 503.
    pub refused: usize,
    /// Requests answered with another status.
    pub failed: usize,
    /// Requests whose client closed its connection before the answer.
    pub closed_by_client: usize,
    /// Requests for which no connection could be opened.
    pub not_accepted: usize,
    /// Requests whose connection was closed without an answer, and requests that timed out.
    pub unanswered: usize,
}

impl RequestCounts {
    fn of<'a>(requests: impl Iterator<Item = &'a super::history::Request>) -> RequestCounts {
        let mut counts = RequestCounts::default();
        for request in requests {
            counts.all += 1;
            let kind = match request.end {
                RequestEnd::Answered { status: 200, .. } => &mut counts.served,
                RequestEnd::Answered {
                    status: 429 | 503, ..
                } => &mut counts.refused,
                RequestEnd::Answered { .. } => &mut counts.failed,
                RequestEnd::ClientClosed { .. } => &mut counts.closed_by_client,
                RequestEnd::NotAccepted => &mut counts.not_accepted,
                RequestEnd::ConnectionLost { .. } | RequestEnd::TimedOut => &mut counts.unanswered,
            };
            *kind += 1;
        }
        counts
    }
}

/// A running soak: the stand-ins, the mixers and the state of the faults.
struct SoakRun {
    recorder: Arc<Recorder>,
    registry: Registry,
    servers: Vec<LeafServer>,
    mixers: Vec<Mixer>,
    client_pool: Arc<ClientPool>,
    duration_s: f64,
    /// Number of active outages of discovery. Discovery returns when the last one ends.
    outage_faults: AtomicUsize,
    /// Number of active faults that make clients close early. Clients stop doing so when the last one ends.
    early_close_faults: AtomicUsize,
}

/// A mixer with the lock for changes to its process.
struct Mixer {
    process: MixerProcess,
    /// Lock held while the process is changed, so that kills, restarts and stops of one mixer follow each other.
    process_lock: Mutex<()>,
    /// Index of the address of discovery that the configuration of the mixer names.
    discovery: AtomicUsize,
}

impl Mixer {
    fn lock_process(&self) -> MutexGuard<'_, ()> {
        crate::standin::lock(&self.process_lock)
    }
}

/// Runs a soak by its plan and returns the history and the result. The logs of the mixers go to `folder`.
pub fn run_plan(plan: &Plan, folder: &Path) -> io::Result<(History, Outcome)> {
    std::fs::create_dir_all(folder)?;
    let soak = Arc::new(SoakRun::new(plan, folder)?);
    soak.start_mixers();
    let clients: Vec<_> = (0..plan.terms.mixers * CLIENTS_PER_MIXER)
        .map(|client| {
            let client_pool = soak.client_pool.clone();
            std::thread::spawn(move || client_pool.run_client(client / CLIENTS_PER_MIXER))
        })
        .collect();
    let idle_clients: Vec<_> = (0..plan.terms.mixers)
        .filter(|_| plan.terms.has_descriptor_shortage)
        .map(|mixer| {
            let client_pool = soak.client_pool.clone();
            std::thread::spawn(move || client_pool.run_idle_clients(mixer, IDLE_CLIENTS_PER_MIXER))
        })
        .collect();
    let client_pool = soak.client_pool.clone();
    let recorder = soak.recorder.clone();
    let stall_watch = std::thread::spawn(move || {
        recorder.record_stalls(|| client_pool.is_over.load(Ordering::Relaxed))
    });
    let faults: Vec<_> = plan
        .faults
        .iter()
        .map(|planned| {
            let (soak, planned) = (soak.clone(), planned.clone());
            std::thread::spawn(move || soak.inject(&planned))
        })
        .collect();
    while soak.recorder.now() < plan.terms.duration_s {
        soak.poll_mixers();
        std::thread::sleep(POLL_INTERVAL);
    }
    soak.client_pool.is_over.store(true, Ordering::Relaxed);
    faults.into_iter().for_each(|thread| drop(thread.join()));
    clients
        .into_iter()
        .chain(idle_clients)
        .for_each(|thread| drop(thread.join()));
    drop(stall_watch.join());
    std::thread::sleep(Duration::from_secs_f64(
        plan.max_client_timeout_s() + LAST_REQUESTS_MARGIN_S,
    ));
    soak.mixers
        .iter()
        .for_each(|mixer| mixer.process.record_invariant_counts());
    let history = soak.recorder.history();
    let outcome = outcome(plan, &history);
    Ok((history, outcome))
}

fn outcome(plan: &Plan, history: &History) -> Outcome {
    let quiet_from = plan.faults.iter().map(fault_ends_at).fold(0.0, f64::max);
    let final_from_s =
        (plan.terms.duration_s - 2.0).max(quiet_from.min(plan.terms.duration_s - 1.0));
    let final_counts = RequestCounts::of(
        history
            .requests
            .iter()
            .filter(|request| request.at > final_from_s),
    );
    let stops = history.processes.iter().map(|record| match record.event {
        ProcessEvent::StoppedActions(count) => count,
        _ => 0,
    });
    Outcome {
        violations: Checker::check(history, &plan.terms),
        requests: RequestCounts::of(history.requests.iter()),
        final_served_share: final_counts.served as f64
            / (final_counts.all - final_counts.closed_by_client).max(1) as f64,
        calls: history.calls.len(),
        stopped_actions: stops.sum(),
        stalled_s: history
            .stalls
            .iter()
            .map(|stall| stall.to - stall.from)
            .sum(),
    }
}

/// Returns the end of a fault (seconds since the start of the soak).
fn fault_ends_at(planned: &PlannedFault) -> f64 {
    let duration_s = match &planned.fault {
        InjectedFault::Kill { down_s, .. } | InjectedFault::KillMany { down_s, .. } => *down_s,
        InjectedFault::Stop { for_s, .. }
        | InjectedFault::DiscoveryDown { for_s, .. }
        | InjectedFault::DiscoveryHangs { for_s, .. }
        | InjectedFault::DiscoverySlow { for_s, .. }
        | InjectedFault::AnswersCut { for_s, .. }
        | InjectedFault::ServerHangs { for_s, .. }
        | InjectedFault::ServerResets { for_s, .. }
        | InjectedFault::ServerFull { for_s, .. }
        | InjectedFault::Flood { for_s, .. }
        | InjectedFault::ClientsLeave { for_s } => *for_s,
        InjectedFault::Drain { back_s, .. } | InjectedFault::Die { back_s, .. } => *back_s,
        InjectedFault::DrainCut { outage_s, .. } => outage_s + CUT_DRAIN_BACK_S,
        InjectedFault::Reread { times, every_s, .. } => *times as f64 * every_s,
        InjectedFault::Terminate { .. }
        | InjectedFault::Move { .. }
        | InjectedFault::WatchesSilent
        | InjectedFault::WatchesReset => 0.0,
    };
    planned.at + duration_s
}

fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl SoakRun {
    fn new(plan: &Plan, folder: &Path) -> io::Result<SoakRun> {
        let recorder = Arc::new(Recorder::default());
        let servers: Vec<LeafServer> = (0..plan.servers)
            .map(|number| LeafServer::start(number, &recorder))
            .collect::<io::Result<_>>()?;
        let listed = servers
            .iter()
            .enumerate()
            .map(|(number, server)| ListedServer {
                name: format!("s{number}"),
                address: server.address,
                cell: plan.cell(number),
                phase: ServerPhase::Ready,
                up_since_ms: 0,
            });
        let registry = Registry::start(listed.collect(), plan.terms.mixers, &recorder)?;
        let mixers: Vec<Mixer> = (0..plan.terms.mixers)
            .map(|number| {
                let process = MixerProcess::new(number, plan, folder, &recorder)?;
                Ok(Mixer {
                    process,
                    process_lock: Mutex::default(),
                    discovery: AtomicUsize::default(),
                })
            })
            .collect::<io::Result<_>>()?;
        let addresses = mixers.iter().map(|mixer| mixer.process.address()).collect();
        let client_pool = Arc::new(ClientPool::new(
            addresses,
            plan.cells * 2,
            plan.max_client_timeout_ms,
            recorder.clone(),
        ));
        let (outage_faults, early_close_faults) = (AtomicUsize::default(), AtomicUsize::default());
        let duration_s = plan.terms.duration_s;
        Ok(SoakRun {
            recorder,
            registry,
            servers,
            mixers,
            client_pool,
            duration_s,
            outage_faults,
            early_close_faults,
        })
    }

    /// Starts all mixers.
    fn start_mixers(&self) {
        for number in 0..self.mixers.len() {
            self.start(number);
        }
    }

    fn start(&self, number: usize) {
        let mixer = &self.mixers[number];
        let address = self.registry.addresses[number][mixer.discovery.load(Ordering::Relaxed)];
        if let Err(error) = mixer.process.start(address, &self.registry.known(number)) {
            eprintln!("soak: start of m{number} failed: {error}");
            self.recorder.record_process(number, ProcessEvent::Crashed);
        }
    }

    /// Records processes that have exited unexpectedly, and puts mixers that have become ready into rotation.
    fn poll_mixers(&self) {
        for (number, mixer) in self.mixers.iter().enumerate() {
            // A mixer whose process is being changed is checked next time.
            let Ok(_process_lock) = mixer.process_lock.try_lock() else {
                continue;
            };
            mixer.process.record_crash();
            let routing = &self.client_pool.routing[number];
            if mixer.process.is_running()
                && !routing.is_in_rotation.load(Ordering::Relaxed)
                && mixer.process.is_ready()
            {
                self.recorder.record_process(number, ProcessEvent::Ready);
                routing
                    .allows_new_connections
                    .store(true, Ordering::Relaxed);
                routing.is_in_rotation.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Takes a mixer out of rotation: clients open no new connections to it.
    fn remove_from_rotation(&self, number: usize) {
        let routing = &self.client_pool.routing[number];
        routing.is_in_rotation.store(false, Ordering::Relaxed);
        routing
            .allows_new_connections
            .store(false, Ordering::Relaxed);
    }

    fn sleep(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
    }

    fn inject(&self, planned: &PlannedFault) {
        self.sleep(planned.at - self.recorder.now());
        match &planned.fault {
            InjectedFault::Kill { mixer, down_s } => self.kill(*mixer, *down_s),
            InjectedFault::KillMany { mixers, down_s } => self.kill_many(mixers, *down_s),
            InjectedFault::Terminate { mixer, series } => self.terminate(*mixer, series),
            InjectedFault::Reread {
                mixer,
                times,
                every_s,
            } => self.reload(*mixer, *times, *every_s),
            InjectedFault::Stop { mixer, for_s } => self.stop(*mixer, *for_s),
            InjectedFault::Move { mixer } => self.move_discovery(*mixer),
            InjectedFault::DiscoveryDown { outage, for_s } => self.discovery_down(*outage, *for_s),
            InjectedFault::DiscoveryHangs { mixers, for_s } => self.discovery_hangs(mixers, *for_s),
            InjectedFault::DiscoverySlow { by_s, for_s } => self.discovery_slow(*by_s, *for_s),
            InjectedFault::AnswersCut { cut, for_s } => self.answers_cut(*cut, *for_s),
            InjectedFault::DrainCut {
                server,
                mixers,
                count,
                cut,
                outage_s,
            } => {
                if *outage_s > 0.0 {
                    self.discovery_down(Outage::Closes, *outage_s);
                }
                self.registry.cut_next(mixers, *count, *cut);
                self.drain(*server, CUT_DRAIN_GONE_S, CUT_DRAIN_BACK_S);
            }
            InjectedFault::WatchesSilent => self.registry.silence_watches(),
            InjectedFault::WatchesReset => self.registry.reset_watches(),
            InjectedFault::Drain {
                server,
                gone_s,
                back_s,
            } => self.drain(*server, *gone_s, *back_s),
            InjectedFault::Die {
                servers,
                noticed_s,
                back_s,
            } => self.kill_servers(servers, *noticed_s, *back_s),
            InjectedFault::ServerHangs { server, for_s } => {
                self.inject_server_fault(*server, *for_s, |behavior, on| behavior.hangs = on);
            }
            InjectedFault::ServerResets { server, for_s } => {
                self.inject_server_fault(*server, *for_s, |behavior, on| behavior.resets = on);
            }
            InjectedFault::ServerFull { server, for_s } => {
                self.inject_server_fault(*server, *for_s, |behavior, on| {
                    behavior.is_overloaded = on
                });
            }
            InjectedFault::ClientsLeave { for_s } => self.close_clients_early(*for_s),
            InjectedFault::Flood { mixer, kind, for_s } => self.flood(*mixer, *kind, *for_s),
        }
    }

    fn kill_many(&self, mixers: &[usize], down_s: f64) {
        std::thread::scope(|scope| {
            for mixer in mixers {
                scope.spawn(|| self.kill(*mixer, down_s));
            }
        });
    }

    fn answers_cut(&self, cut: Cut, for_s: f64) {
        self.registry.set_cut_all(Some(cut));
        self.sleep(for_s);
        self.registry.set_cut_all(None);
    }

    fn discovery_slow(&self, by_s: f64, for_s: f64) {
        self.registry.set_delay(by_s);
        self.sleep(for_s);
        self.registry.set_delay(0.0);
    }

    fn kill(&self, number: usize, down_s: f64) {
        let mixer = &self.mixers[number];
        let _process_lock = mixer.lock_process();
        if !mixer.process.is_running() {
            return;
        }
        // The mixer stays in rotation until the kill is done, so clients may find no listener.
        mixer.process.kill();
        self.remove_from_rotation(number);
        self.sleep(down_s.min(self.duration_s - self.recorder.now() - 1.0));
        self.start(number);
    }

    fn terminate(&self, number: usize, series: &[(Signal, f64)]) {
        let mixer = &self.mixers[number];
        let _process_lock = mixer.lock_process();
        let routing = &self.client_pool.routing[number];
        // Clients keep using their open connections, and open new ones for a while.
        std::thread::scope(|scope| {
            scope.spawn(|| {
                self.sleep(NEW_CONNECTIONS_AFTER_SIGTERM_S);
                routing
                    .allows_new_connections
                    .store(false, Ordering::Relaxed);
                routing.is_in_rotation.store(false, Ordering::Relaxed);
            });
            let series: Vec<(Signal, Duration)> = series
                .iter()
                .map(|(signal, after_s)| (*signal, Duration::from_secs_f64(*after_s)))
                .collect();
            if let Err(error) = mixer.process.terminate(&series) {
                eprintln!("soak: termination of m{number} failed: {error}");
            }
        });
        self.start(number);
    }

    fn stop(&self, number: usize, for_s: f64) {
        let mixer = &self.mixers[number];
        let _process_lock = mixer.lock_process();
        if !mixer.process.is_running() {
            return;
        }
        self.recorder.record_process(number, ProcessEvent::Stopped);
        let stopped = mixer.process.signal(Signal::Stop);
        self.sleep(for_s);
        self.recorder
            .record_process(number, ProcessEvent::Continued);
        let continued = mixer.process.signal(Signal::Continue);
        if let Err(error) = stopped.and(continued) {
            eprintln!("soak: stop of m{number} failed: {error}");
        }
    }

    fn move_discovery(&self, number: usize) {
        let mixer = &self.mixers[number];
        let _process_lock = mixer.lock_process();
        let index = (mixer.discovery.load(Ordering::Relaxed) + 1) % ADDRESSES_PER_MIXER;
        mixer.discovery.store(index, Ordering::Relaxed);
        // SIGHUP would end a process that has just been started and has not yet installed its handler.
        if mixer.process.is_running() && mixer.process.await_listener() {
            let known = self.registry.known(number);
            if let Err(error) = mixer
                .process
                .reconfigure(self.registry.addresses[number][index], &known)
            {
                eprintln!(
                    "soak: move of m{number} to another address of discovery failed: {error}"
                );
            }
        }
    }

    /// Makes a mixer reload its unchanged configuration several times in a row.
    fn reload(&self, number: usize, times: usize, every_s: f64) {
        let mixer = &self.mixers[number];
        let _process_lock = mixer.lock_process();
        if !mixer.process.is_running() || !mixer.process.await_listener() {
            return;
        }
        for _ in 0..times {
            let address = self.registry.addresses[number][mixer.discovery.load(Ordering::Relaxed)];
            if let Err(error) = mixer
                .process
                .reconfigure(address, &self.registry.known(number))
            {
                eprintln!("soak: reload of m{number} failed: {error}");
            }
            self.sleep(every_s);
        }
    }

    fn discovery_down(&self, outage: Outage, for_s: f64) {
        let from = self.recorder.now();
        self.outage_faults.fetch_add(1, Ordering::Relaxed);
        self.registry.set_outage(Some(outage));
        self.sleep(for_s);
        if self.outage_faults.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.registry.set_outage(None);
        }
        self.registry
            .record_unreachable(None, DiscoveryFailure::Down, from);
    }

    fn discovery_hangs(&self, mixers: &[usize], for_s: f64) {
        let from = self.recorder.now();
        self.registry.set_unresponsive(mixers, true);
        self.sleep(for_s);
        self.registry.set_unresponsive(mixers, false);
        self.registry
            .record_unreachable(Some(mixers), DiscoveryFailure::Silent, from);
    }

    fn drain(&self, server: usize, gone_s: f64, back_s: f64) {
        self.registry
            .change(&[server], |line| line.phase = ServerPhase::Draining);
        self.sleep(gone_s);
        self.servers[server].update_behavior(|behavior| behavior.is_down = true);
        self.registry
            .change(&[server], |line| line.phase = ServerPhase::Gone);
        self.sleep(back_s - gone_s);
        self.restore_servers(&[server]);
    }

    fn kill_servers(&self, servers: &[usize], noticed_s: f64, back_s: f64) {
        servers.iter().for_each(|server| {
            self.servers[*server].update_behavior(|behavior| behavior.is_down = true)
        });
        self.sleep(noticed_s);
        self.registry
            .change(servers, |line| line.phase = ServerPhase::Gone);
        self.sleep(back_s - noticed_s);
        self.restore_servers(servers);
    }

    fn restore_servers(&self, servers: &[usize]) {
        servers.iter().for_each(|server| {
            self.servers[*server].update_behavior(|behavior| behavior.is_down = false)
        });
        let up_since_ms = unix_time_ms();
        self.registry.change(servers, |line| {
            (line.phase, line.up_since_ms) = (ServerPhase::Ready, up_since_ms);
        });
    }

    fn inject_server_fault(&self, server: usize, for_s: f64, set: impl Fn(&mut Behavior, bool)) {
        self.servers[server].update_behavior(|behavior| set(behavior, true));
        self.sleep(for_s);
        self.servers[server].update_behavior(|behavior| set(behavior, false));
    }

    /// Floods a mixer. The process may be replaced meanwhile; the clients then connect to the new one.
    fn flood(&self, number: usize, kind: FloodKind, for_s: f64) {
        let address = self.mixers[number].process.address();
        let prefix = format!("m{number}-flood-");
        let senders = Senders::start_clients(kind, address, &prefix, FLOOD_CLIENTS);
        self.sleep(for_s);
        senders.stop();
    }

    fn close_clients_early(&self, for_s: f64) {
        self.early_close_faults.fetch_add(1, Ordering::Relaxed);
        self.client_pool
            .clients_close_early
            .store(true, Ordering::Relaxed);
        self.sleep(for_s);
        if self.early_close_faults.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.client_pool
                .clients_close_early
                .store(false, Ordering::Relaxed);
        }
    }
}
