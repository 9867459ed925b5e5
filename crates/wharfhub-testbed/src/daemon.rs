//! Daemon processes under test on loopback, started with a scenario's settings.

use crate::site::Scenario;
use std::io::{self, BufRead, BufReader, PipeWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for a log line.
const MAX_LOG_WAIT: Duration = Duration::from_secs(10);
/// Interval at which the reader of a log that is left unread checks whether the process has ended.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of a pipe (Linux), and the part of it that is left for a daemon whose log is not read.
const PIPE_BYTES: usize = 65_536;
const FREE_PIPE_BYTES: usize = 4096;
/// Buffer of the thread that reads the log.
const LOG_BUFFER_BYTES: usize = 1024;

/// Running mixer process; killed on drop, which also removes its configuration file.
pub struct Daemon {
    child: Child,
    config_file: PathBuf,
    log: Receiver<String>,
    /// Writing end of the daemon's standard error.
    log_pipe: PipeWriter,
    /// Whether the thread that reads the log has stopped reading.
    is_log_unread: Arc<AtomicBool>,
    /// Address at which it accepts clients.
    pub address: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

/// Returns the path of the daemon, which is in the directory of the current program, or in its parent directory if the current
/// program is a test.
pub fn program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut candidates = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("wharfhub"));
    let missing = || {
        io::Error::new(
            io::ErrorKind::NotFound,
            "cannot find the wharfhub program; run cargo build --workspace",
        )
    };
    candidates.find(|path| path.is_file()).ok_or_else(missing)
}

/// Returns the configuration of a mixer: the settings of a scenario, and a list with leaf servers at the given addresses. Those with
/// the numbers in `search` speak the search API, and a share drawn by the scenario supports two-phase queries.
pub fn config(
    scenario: &Scenario,
    number: u32,
    leaf_servers: &[SocketAddr],
    search: &[u32],
) -> String {
    let pre_check_servers = scenario.draw_leaf_servers(10, scenario.pre_check_share);
    let endpoint = |(index, address): (usize, &SocketAddr)| {
        let leaf_server = index as u32;
        let (zone, cell) = (
            scenario.site.zones[usize::from(scenario.zone(leaf_server))],
            scenario.cell(leaf_server),
        );
        let speaks = if search.contains(&leaf_server) {
            "opensearch"
        } else {
            "frames"
        };
        format!(
            "{{\"id\":\"box-{leaf_server}\",\"host_port\":\"{address}\",\"locality\":\"{zone}\",\"cell\":{cell},\
             \"phase\":\"Ready\",\"up_since_ms\":0,\"speaks\":\"{speaks}\",\"prefilter\":{}}}",
            pre_check_servers.contains(&leaf_server)
        )
    };
    let endpoints = leaf_servers
        .iter()
        .enumerate()
        .map(endpoint)
        .collect::<Vec<_>>()
        .join(",");
    format!(
        "{{\"name\":\"lab-{number}\",\"listen\":\"127.0.0.1:0\",\"seed\":\"{:x}\",\"limits\":{{\"sockets\":1024}},\
         \"known\":{{\"revision\":1,\"complete\":true,\"members\":[{endpoints}]}},\"settings\":{}}}",
        scenario.seed * 1000 + u64::from(number),
        scenario.settings()
    )
}

/// Starts a mixer and waits until it logs that it serves.
pub fn start(program: &Path, config: &str, name: &str) -> io::Result<Daemon> {
    let config_file = std::env::temp_dir().join(format!(
        "wharfhub-testbed-{}-{name}.json",
        std::process::id()
    ));
    std::fs::write(&config_file, config)?;
    let (errors, log_pipe) = std::io::pipe()?;
    let child = Command::new(program)
        .args(["serve", "--config"])
        .arg(&config_file)
        .stderr(log_pipe.try_clone()?)
        .spawn()?;
    let (lines, log) = channel();
    let is_log_unread = Arc::new(AtomicBool::new(false));
    let stops_reading = is_log_unread.clone();
    std::thread::spawn(move || {
        for line in BufReader::with_capacity(LOG_BUFFER_BYTES, errors)
            .lines()
            .map_while(Result::ok)
        {
            // The pipe has to stay open: a write to a closed one fails at once instead of blocking.
            while stops_reading.load(Ordering::Relaxed) {
                std::thread::park_timeout(UNREAD_CHECK_INTERVAL);
            }
            if lines.send(line).is_err() {
                return;
            }
        }
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut daemon = Daemon {
        child,
        config_file,
        log,
        log_pipe,
        is_log_unread,
        address,
    };
    let line = daemon.await_log("start: ")?;
    let address = line
        .split(" on ")
        .nth(1)
        .and_then(|text| text.trim().parse().ok());
    daemon.address = address.ok_or(io::ErrorKind::InvalidData)?;
    daemon.await_log("ready: serving")?;
    Ok(daemon)
}

/// Resources that a process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// CPU time of its running threads (seconds).
    pub cpu_s: f64,
    /// Resident memory (bytes).
    pub resident_bytes: u64,
}

fn first_number(text: &str) -> io::Result<u64> {
    let number = text
        .split_whitespace()
        .next()
        .and_then(|word| word.parse().ok());
    number.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

impl Daemon {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Stops reading the daemon's log, and fills the pipe so that it has room for a few lines.
    pub fn fill_log_pipe(&mut self) -> io::Result<()> {
        self.is_log_unread.store(true, Ordering::Relaxed);
        std::thread::sleep(UNREAD_CHECK_INTERVAL);
        // The thread that reads the log stops at the first of these lines, which takes one buffer out of the pipe.
        self.log_pipe.write_all(&[b'\n'; LOG_BUFFER_BYTES])?;
        std::thread::sleep(UNREAD_CHECK_INTERVAL);
        self.log_pipe
            .write_all(&[b'x'; PIPE_BYTES - FREE_PIPE_BYTES])
    }

    /// Reads the CPU time and memory of the process. `schedstat` has a resolution of nanoseconds; `/proc/PID/stat` counts ticks of
    /// 10 ms.
    pub fn usage(&self) -> io::Result<Usage> {
        let process = PathBuf::from(format!("/proc/{}", self.child.id()));
        let mut cpu_ns = 0;
        for thread in std::fs::read_dir(process.join("task"))? {
            let counters = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            cpu_ns += first_number(&counters)?;
        }
        let status = std::fs::read_to_string(process.join("status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kb = first_number(resident.ok_or(io::ErrorKind::InvalidData)?)?;
        Ok(Usage {
            cpu_s: cpu_ns as f64 * 1e-9,
            resident_bytes: resident_kb * 1024,
        })
    }

    fn await_log(&mut self, text: &str) -> io::Result<String> {
        loop {
            let line = self.log.recv_timeout(MAX_LOG_WAIT);
            let line = line.map_err(|_| {
                io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("timed out waiting for the log line {text:?}"),
                )
            })?;
            if line.contains(text) {
                return Ok(line);
            }
        }
    }
}
