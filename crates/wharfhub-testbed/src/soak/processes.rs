//! The mixers of a soak: real processes of the daemon that are started, stopped, reconfigured, terminated and killed.
//!
//! Dropping a [`MixerProcess`] kills its process.

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

/// Interval at which a process is checked for its listener or its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a process to listen.
const MAX_LISTEN_DELAY: Duration = Duration::from_secs(2);
/// By the operators' terms, a process that has not exited after SIGTERM is killed after the clients' longest timeout plus this
/// time (seconds).
const KILL_DELAY_S: f64 = 0.7;
/// Upper limit of the clients' timeout in that sum (seconds).
const MAX_COUNTED_TIMEOUT_S: f64 = 3.0;
/// Smallest deadline of the classes in the settings (seconds).
const MIN_DEADLINE_S: f64 = 1.0;
/// Metrics of the invariant checks that are recorded.
const VIOLATIONS_METRIC: &str = "svc_violations_total";
const STOPPED_ACTIONS_METRIC: &str = "svc_guard_stops_total";

/// A signal that a soak sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGSTOP: the process is stopped.
    Stop,
    /// SIGCONT: the process continues.
    Continue,
    /// SIGTERM: the process shuts down gracefully.
    Terminate,
    /// SIGHUP: the process reloads its configuration.
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

/// The configuration file of a mixer and the values in it that stay the same during a soak.
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
        // The rename replaces the file atomically, since a process may be reading it.
        let new_path = path.with_extension("new");
        std::fs::write(&new_path, text)?;
        std::fs::rename(&new_path, path)
    }
}

/// A mixer. The mixer has at most one process at a time, which may be replaced by a new one.
pub struct MixerProcess {
    number: usize,
    program: PathBuf,
    config: Config,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    recorder: Arc<Recorder>,
    /// Time from SIGTERM after which a process that has not exited is killed.
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

/// Returns a free address on a loopback IP that only this mixer uses, so that no other socket takes the port before the mixer
/// listens.
fn free_address(mixer: usize) -> io::Result<SocketAddr> {
    let loopback = std::net::Ipv4Addr::new(127, 9, 0, (mixer % 250) as u8 + 1);
    TcpListener::bind((loopback, 0))?.local_addr()
}

impl MixerProcess {
    /// Creates a mixer without starting it. Its logs go to `folder`.
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

    /// Returns the address at which the mixer listens.
    pub fn address(&self) -> SocketAddr {
        self.config.listen
    }

    /// Starts a process with `known` as its last known list.
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
                // The soak goes on if a log can't be written.
                let _ = writeln!(log, "{:.3} {line}", recorder.now());
            }
        });
        *lock(&self.child) = Some(child);
        Ok(())
    }

    /// Returns whether the process reports that it is ready.
    pub fn is_ready(&self) -> bool {
        clients::get(self.address(), "/-/ready").is_ok_and(|(status, _)| status == 200)
    }

    /// Waits until the process answers calls and returns whether it does in time.
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

    /// Sends a signal to the process, if one is running.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(id) = lock(&self.child).as_ref().map(Child::id) else {
            return Ok(());
        };
        Command::new("kill")
            .args([signal.name(), &id.to_string()])
            .status()
            .map(drop)
    }

    /// Writes a configuration with this address of discovery and makes the process reload it.
    pub fn reconfigure(&self, discovery: SocketAddr, known: &str) -> io::Result<()> {
        self.config.write(discovery, known)?;
        self.recorder
            .record_process(self.number, ProcessEvent::Reconfigured);
        self.signal(Signal::HangUp)
    }

    /// Returns whether a process has been started and not yet been found to have exited.
    pub fn is_running(&self) -> bool {
        lock(&self.child).is_some()
    }

    /// Records a process that has exited without a signal to do so.
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

    /// Kills the process, if one is running.
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

    /// Sends SIGTERM, then the signals of `series`, each with its delay after the previous one, and waits until the process has
    /// exited or its time is up and it is killed.
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

    /// Records the counts of the invariant checks since the start of the process.
    pub fn record_invariant_counts(&self) {
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
            ProcessEvent::InvariantViolations(sum(VIOLATIONS_METRIC)),
        );
        self.recorder.record_process(
            self.number,
            ProcessEvent::StoppedActions(sum(STOPPED_ACTIONS_METRIC)),
        );
    }
}

/// Parses the count at the end of a line of metrics.
fn parse_count(line: &str) -> Option<u64> {
    line.rsplit(' ').next()?.parse().ok()
}

/// Returns the settings that all mixers of a plan share, as JSON.
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
