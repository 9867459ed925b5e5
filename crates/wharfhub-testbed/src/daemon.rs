//! The daemon under test: real processes on loopback, started with a scenario's settings and ended with it.
//!
//! This file owns those processes and their configuration files. It must never end a process that it did not start.

use crate::site::Scenario;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// Longest wait for a line of the log.
const PATIENCE: Duration = Duration::from_secs(10);

/// A mixer that runs.
pub struct Daemon {
    child: Child,
    file: PathBuf,
    log: Receiver<String>,
    /// Where clients connect.
    pub address: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// The program, beside this one, or where this is a test in the folder above.
pub fn program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let mut indices = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join("wharfhub"));
    let missing = || {
        io::Error::new(
            io::ErrorKind::NotFound,
            "the daemon is not built: cargo build --workspace",
        )
    };
    indices.find(|path| path.is_file()).ok_or_else(missing)
}

/// A mixer's configuration: a scenario's settings, and leaf servers that listen there; those of some numbers speak the search
/// style, and those of some know phases.
pub fn config(
    scenario: &Scenario,
    number: u32,
    leaf_servers: &[SocketAddr],
    search: &[u32],
) -> String {
    let knowing = scenario.draw_leaf_servers(10, scenario.pre_check_share);
    let endpoint = |(index, address): (usize, &SocketAddr)| {
        let leaf_server = index as u32;
        let (queue_capacity, cell) = (
            scenario.site.zones[usize::from(scenario.zone(leaf_server))],
            scenario.cell(leaf_server),
        );
        let speaks = if search.contains(&leaf_server) {
            "opensearch"
        } else {
            "frames"
        };
        format!(
            "{{\"id\":\"box-{leaf_server}\",\"host_port\":\"{address}\",\"locality\":\"{queue_capacity}\",\"cell\":{cell},\
             \"phase\":\"Ready\",\"up_since_ms\":0,\"speaks\":\"{speaks}\",\"prefilter\":{}}}",
            knowing.contains(&leaf_server)
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

/// Starts a mixer and waits until it serves.
pub fn start(program: &Path, config: &str, name: &str) -> io::Result<Daemon> {
    let file = std::env::temp_dir().join(format!(
        "wharfhub-testbed-{}-{name}.json",
        std::process::id()
    ));
    std::fs::write(&file, config)?;
    let mut child = Command::new(program)
        .args(["serve", "--config"])
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()?;
    let errors = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let (lines, log) = channel();
    std::thread::spawn(move || {
        BufReader::new(errors)
            .lines()
            .map_while(Result::ok)
            .all(|line| lines.send(line).is_ok())
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut daemon = Daemon {
        child,
        file,
        log,
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

/// What a process has used so far, as the kernel counts it.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor time of all its threads (seconds).
    pub cpu_s: f64,
    /// Memory that it occupies (bytes).
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
    /// Processor time and memory of the process. The scheduler's own counters are exact to the nanosecond, where those
    /// of `/proc/PID/stat` go by ticks of 10 ms.
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
            let line = self.log.recv_timeout(PATIENCE);
            let line = line.map_err(|_| {
                io::Error::new(io::ErrorKind::TimedOut, format!("never logged: {text}"))
            })?;
            if line.contains(text) {
                return Ok(line);
            }
        }
    }
}
