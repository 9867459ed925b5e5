//! The mixers of a soak: real processes of the daemon, started, killed, stopped and told to end.
//!
//! All that this file starts ends with its value. It must never touch a process that it did not start.

use super::clients;
use super::history::{ProcessEvent, Recorder};
use super::plan::Plan;
use crate::standin::lock;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a process is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A process listens within this time.
const MAX_LISTEN_DELAY: Duration = Duration::from_secs(2);
/// A process that was told to end is killed so long after that, and its clients' longest wait (seconds): the operators' term.
const KILL_DELAY_S: f64 = 0.7;
/// A client's wait counts as so much at most there (seconds).
const MAX_COUNTED_TIMEOUT_S: f64 = 3.0;
/// The classes' deadline is at least this (seconds).
const MIN_DEADLINE_S: f64 = 1.0;
/// What is read of the guard's counts.
const VIOLATIONS_METRIC: &str = "svc_violations_total";
const GUARD_STOPS_METRIC: &str = "svc_guard_stops_total";

/// A signal that a soak sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Stands still.
    Stop,
    /// Goes on.
    Continue,
    /// Ends in order.
    Terminate,
    /// Reads its configuration again.
    HangUp,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
            Signal::HangUp => "-HUP",
        }
    }
}

/// What a mixer is started with.
#[derive(Clone, Debug)]
struct Config {
    path: PathBuf,
    listen: SocketAddr,
    settings: String,
    seed: u64,
    sockets: usize,
}

impl Config {
    fn write(&self, discovery: SocketAddr, known: &str) -> io::Result<()> {
        let Config {
            path,
            listen,
            settings,
            seed,
            sockets,
        } = self;
        let text = format!(
            "{{\"name\":\"soak\",\"listen\":\"{listen}\",\"seed\":\"{seed:x}\",\"discovery\":\"{discovery}\",\
             \"limits\":{{\"sockets\":{sockets},\"memory_mb\":64}},\"known\":{known},\"settings\":{settings}}}"
        );
        // Whole or not at all: a process may be reading it.
        let new_path = path.with_extension("new");
        std::fs::write(&new_path, text)?;
        std::fs::rename(&new_path, path)
    }
}

/// A mixer over all its processes.
pub struct MixerProcess {
    number: usize,
    program: PathBuf,
    config: Config,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    recorder: Arc<Recorder>,
    /// When it is killed after it was told to end.
    kill_delay: Duration,
}

impl Drop for MixerProcess {
    fn drop(&mut self) {
        if let Some(mut child) = lock(&self.child).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.config.path);
    }
}

/// An address of this machine at which nobody listens, on a loopback address of the mixer's own: no other socket gets its
/// port before the mixer does.
fn free_address(mixer: usize) -> io::Result<SocketAddr> {
    let loopback = std::net::Ipv4Addr::new(127, 9, 0, (mixer % 250) as u8 + 1);
    TcpListener::bind((loopback, 0))?.local_addr()
}

impl MixerProcess {
    /// A mixer that does not run yet. Its logs go to that folder.
    pub fn new(
        number: usize,
        plan: &Plan,
        folder: &Path,
        recorder: &Arc<Recorder>,
    ) -> io::Result<MixerProcess> {
        let name = format!(
            "wharfhub-soak-{}-{}-{number}.json",
            std::process::id(),
            plan.seed
        );
        let config = Config {
            path: std::env::temp_dir().join(name),
            listen: free_address(number)?,
            settings: settings(plan),
            seed: plan.seed * 1000 + number as u64,
            sockets: plan.sockets,
        };
        Ok(MixerProcess {
            number,
            program: crate::daemon::program()?,
            config,
            log: folder.join(format!("m{number}.log")),
            child: Mutex::new(None),
            recorder: recorder.clone(),
            kill_delay: Duration::from_secs_f64(
                plan.max_client_timeout_s().min(MAX_COUNTED_TIMEOUT_S) + KILL_DELAY_S,
            ),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.config.listen
    }

    /// Starts it, with that as its last known list.
    pub fn start(&self, discovery: SocketAddr, known: &str) -> io::Result<()> {
        self.config.write(discovery, known)?;
        let mut command = Command::new(&self.program);
        let mut child = command
            .args(["serve", "--config"])
            .arg(&self.config.path)
            .env_remove("LB_DISCOVERY")
            .stderr(Stdio::piped())
            .spawn()?;
        self.recorder
            .record_process(self.number, ProcessEvent::Started);
        let errors = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut log = File::options().create(true).append(true).open(&self.log)?;
        let recorder = self.recorder.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(errors).lines().map_while(Result::ok) {
                // A log that can't be written is no reason to end the soak.
                let _ = writeln!(log, "{:.3} {line}", recorder.now());
            }
        });
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        clients::get(self.address(), "/-/ready").is_ok_and(|(status, _)| status == 200)
    }

    /// Waits until it answers; says whether it did.
    pub fn await_listener(&self) -> bool {
        let until = Instant::now() + MAX_LISTEN_DELAY;
        while clients::get(self.address(), "/-/healthy").is_err() {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Sends a signal to it, where it runs.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(id) = lock(&self.child).as_ref().map(Child::id) else {
            return Ok(());
        };
        Command::new("kill")
            .args([signal.name(), &id.to_string()])
            .status()
            .map(drop)
    }

    /// Writes a configuration address of discovery, and has it read.
    pub fn reconfigure(&self, discovery: SocketAddr, known: &str) -> io::Result<()> {
        self.config.write(discovery, known)?;
        self.recorder
            .record_process(self.number, ProcessEvent::Reconfigured);
        self.signal(Signal::HangUp)
    }

    /// Whether a process of it runs.
    pub fn is_running(&self) -> bool {
        lock(&self.child).is_some()
    }

    /// Notes a process that has ended by itself.
    pub fn record_crash(&self) {
        let mut child = lock(&self.child);
        if child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        {
            *child = None;
            self.recorder
                .record_process(self.number, ProcessEvent::Crashed);
        }
    }

    /// Kills it.
    pub fn kill(&self) {
        if let Some(mut child) = lock(&self.child).take() {
            self.recorder
                .record_process(self.number, ProcessEvent::Killed);
            let _ = child.kill();
            let _ = child.wait();
            self.recorder
                .record_process(self.number, ProcessEvent::Reaped);
        }
    }

    /// Tells it to end, sends it other signals meanwhile, each so long after the one before, and waits until it has ended or
    /// is killed.
    pub fn terminate(&self, series: &[(Signal, Duration)]) -> io::Result<()> {
        if !self.is_running() {
            return Ok(());
        }
        self.recorder
            .record_process(self.number, ProcessEvent::SigtermSent);
        let until = Instant::now() + self.kill_delay;
        self.signal(Signal::Terminate)?;
        for (signal, after) in series {
            std::thread::sleep((*after).min(until.saturating_duration_since(Instant::now())));
            self.signal(*signal)?;
        }
        let Some(mut child) = lock(&self.child).take() else {
            return Ok(());
        };
        while child.try_wait()?.is_none() {
            if Instant::now() > until {
                self.recorder
                    .record_process(self.number, ProcessEvent::KilledAfterSigterm);
                child.kill()?;
                child.wait()?;
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.recorder
            .record_process(self.number, ProcessEvent::Exited);
        Ok(())
    }

    /// Notes what its guard has counted since its start.
    pub fn record_guard_counters(&self) {
        if !self.is_running() {
            return;
        }
        let Ok((_, text)) = clients::get(self.address(), "/-/figures") else {
            return;
        };
        let sum = |name: &str| {
            text.lines()
                .filter(|line| line.starts_with(name))
                .filter_map(parse_count)
                .sum()
        };
        self.recorder.record_process(
            self.number,
            ProcessEvent::GuardViolations(sum(VIOLATIONS_METRIC)),
        );
        self.recorder.record_process(
            self.number,
            ProcessEvent::GuardStops(sum(GUARD_STOPS_METRIC)),
        );
    }
}

/// The count at the end of a line of figures.
fn parse_count(line: &str) -> Option<u64> {
    line.rsplit(' ').next()?.parse().ok()
}

/// The settings of all mixers of a plan.
fn settings(plan: &Plan) -> String {
    let Plan {
        terms,
        cells,
        configured_fleet_size,
        allows_cancelling,
        allows_second_copies,
        ..
    } = plan;
    let deadline_s = plan.max_client_timeout_s().max(MIN_DEADLINE_S);
    let mode = if terms.lists_pushed {
        "automatic"
    } else {
        "subscribe"
    };
    let shards = cells * 2;
    format!(
        "{{\"categories\":[{{\"name\":\"slot\",\"aimS\":0.4,\"giveUpS\":{deadline_s},\"effect\":\"retryable\",\"lateWorth\":0.3,\
         \"worth\":1.0}},{{\"name\":\"hold\",\"aimS\":0.4,\"giveUpS\":{deadline_s},\"effect\":\"dedup\",\"windowS\":{dedup_window_s},\
         \"lateWorth\":0.1,\"worth\":2.0}}],\"tenants\":[{{\"name\":\"acme\",\"share\":1.0,\"allowancePerS\":100000.0}}],\
         \"zones\":[\"a\"],\"myZone\":0,\"replicasOfMe\":{configured_fleet_size},\"roundS\":0.005,\"discovery\":\"{mode}\",\
         \"familyInfo\":{{\"cells\":{cells},\"inARow\":2,\"slabs\":{shards},\"perCall\":1,\"classPartial\":[0.9,0.9],\
         \"completeFrom\":[1.0,1.0],\"floorByClass\":[1.0,1.0],\"followUp\":[0,0]}},\
         \"permissions\":{{\"cancelling\":{allows_cancelling},\"connIdleS\":4.0,\"connectTimeoutS\":0.25,\"maxRetryAfterS\":2.0,\
         \"mostHeld\":200,\"retryAfter\":true,\"secondCopies\":{allows_second_copies},\"sendCap\":4,\"streamsPerConn\":32}},\
         \"rules\":{{\"askWithinS\":10.0,\"coldFrom\":0.5,\"coldS\":3.0,\"drainGraceS\":{grace_s},\"fallMultiple\":2.5,\
         \"overloadForS\":1.5}}}}",
        dedup_window_s = terms.dedup_window_s,
        grace_s = terms.drain_grace_s,
    )
}
