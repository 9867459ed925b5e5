//! Fleet of hollow mixers in host processes: starts the processes, requests reports from them, and kills them when the fleet is
//! dropped.

use super::host::{HostReport, HostSetup, REPORT_COMMAND};
use super::mixer::MixerReport;
use super::setup::{FleetError, FleetSetup};
use miniserde::json;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Longest wait for the report of a host process.
const MAX_REPORT_WAIT: Duration = Duration::from_secs(20);
/// Interval between two reports while the fleet waits for a revision.
const POLL_EVERY: Duration = Duration::from_millis(100);

/// Host process, which is killed on drop.
struct Host {
    index: usize,
    child: Child,
    input: ChildStdin,
    lines: Receiver<String>,
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Host {
    fn start(setup: &FleetSetup, index: usize) -> Result<Host, FleetError> {
        let mut command = Command::new(&setup.program);
        command
            .arg("host")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        let mut child = command.spawn()?;
        let failed = |reason: &str| FleetError::Host {
            index,
            reason: reason.into(),
        };
        let input = child
            .stdin
            .take()
            .ok_or_else(|| failed("no standard input"))?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| failed("no standard output"))?;
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            BufReader::new(output)
                .lines()
                .map_while(Result::ok)
                .all(|line| sender.send(line).is_ok())
        });
        let mut host = Host {
            index,
            child,
            input,
            lines,
        };
        let region = index % setup.discovery.len();
        let numbers = (0..setup.mixers).filter(|number| *number % setup.processes == index as u32);
        let host_setup = HostSetup {
            numbers: numbers.collect(),
            discovery: setup.discovery[region].to_string(),
            settings: setup.settings.to_json(),
            seed: setup.seed,
        };
        host.send_line(&json::to_string(&host_setup))?;
        Ok(host)
    }

    fn failed(&self, reason: impl ToString) -> FleetError {
        FleetError::Host {
            index: self.index,
            reason: reason.to_string(),
        }
    }

    fn send_line(&mut self, line: &str) -> Result<(), FleetError> {
        writeln!(self.input, "{line}").map_err(|error| self.failed(error))
    }

    fn receive(&self) -> Result<HostReport, FleetError> {
        let line = self
            .lines
            .recv_timeout(MAX_REPORT_WAIT)
            .map_err(|error| self.failed(error))?;
        json::from_str(&line).map_err(|_| self.failed("cannot parse the report"))
    }
}

/// Report of all mixers of a fleet on the time since the last report.
#[derive(Clone, Debug, Default)]
pub struct FleetReport {
    /// Resident memory of all host processes (bytes).
    pub resident_bytes: u64,
    /// Reports of the mixers, sorted by number.
    pub mixers: Vec<MixerReport>,
}

impl FleetReport {
    /// Returns the CPU time of all mixers since their start (seconds).
    pub fn cpu_s(&self) -> f64 {
        self.mixers.iter().map(|mixer| mixer.cpu_s).sum()
    }
}

/// Running fleet; its processes are killed on drop.
pub struct Fleet {
    setup: FleetSetup,
    hosts: Vec<Option<Host>>,
}

impl Fleet {
    /// Starts all host processes.
    pub fn start(setup: FleetSetup) -> Result<Fleet, FleetError> {
        setup.check()?;
        let mut fleet = Fleet {
            hosts: (0..setup.processes).map(|_| None).collect(),
            setup,
        };
        fleet.start_missing(|_| true)?;
        Ok(fleet)
    }

    /// Returns the setup of the fleet.
    pub fn setup(&self) -> &FleetSetup {
        &self.setup
    }

    /// Kills the selected host processes and all their mixers at once.
    pub fn kill(&mut self, is_selected: impl Fn(usize) -> bool) {
        let indices = (0..self.hosts.len()).filter(|index| is_selected(*index));
        let mut killed: Vec<Host> = indices
            .filter_map(|index| self.hosts[index].take())
            .collect();
        killed.iter_mut().for_each(|host| drop(host.child.kill()));
    }

    /// Starts the selected host processes that are not running.
    pub fn start_missing(&mut self, is_selected: impl Fn(usize) -> bool) -> Result<(), FleetError> {
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_none() && is_selected(index) {
                self.hosts[index] = Some(Host::start(&self.setup, index)?);
            }
        }
        Ok(())
    }

    /// Returns the number of mixers in running processes.
    pub fn running(&self) -> usize {
        let of = |index: usize| {
            (0..self.setup.mixers)
                .skip(index)
                .step_by(self.setup.processes as usize)
        };
        (0..self.hosts.len())
            .filter(|index| self.hosts[*index].is_some())
            .map(|index| of(index).count())
            .sum()
    }

    /// Returns the region of a mixer.
    pub fn region(&self, mixer: u32) -> usize {
        (mixer % self.setup.processes) as usize % self.setup.discovery.len()
    }

    /// Collects the reports of all processes on the time since the last report. Fails if a mixer has exited or the fleet uses too
    /// much memory.
    pub fn report(&mut self) -> Result<FleetReport, FleetError> {
        let mut hosts: Vec<&mut Host> = self.hosts.iter_mut().flatten().collect();
        for host in &mut hosts {
            host.send_line(REPORT_COMMAND)?;
        }
        let mut all = FleetReport::default();
        for host in hosts {
            let report = host.receive()?;
            all.resident_bytes += report.resident_bytes;
            all.mixers.extend(report.mixers);
        }
        all.mixers.sort_by_key(|mixer| mixer.number);
        let (held, max) = (all.resident_bytes, self.setup.max_memory_bytes);
        if held > max {
            return Err(FleetError::TooMuchMemory { held, max });
        }
        let ended = all
            .mixers
            .iter()
            .find_map(|mixer| Some((mixer.number, mixer.failure.clone()?)));
        match ended {
            Some((number, reason)) => Err(FleetError::MixerEnded { number, reason }),
            None => Ok(all),
        }
    }

    /// Waits until every running mixer has applied the revision given for its region, or a later one. Returns the reports until
    /// then merged into one.
    pub fn await_revisions(
        &mut self,
        revisions: &[u64],
        within_s: f64,
    ) -> Result<FleetReport, FleetError> {
        let until = Instant::now() + Duration::from_secs_f64(within_s);
        let mut all = FleetReport::default();
        loop {
            all = merged(all, self.report()?);
            let is_behind =
                |mixer: &&MixerReport| mixer.revision < revisions[self.region(mixer.number)];
            let missing =
                all.mixers.iter().filter(is_behind).count() + (self.running() - all.mixers.len());
            if missing == 0 {
                return Ok(all);
            }
            if Instant::now() >= until {
                return Err(FleetError::Timeout {
                    awaited: format!("revisions {revisions:?}"),
                    within_s,
                    missing,
                });
            }
            std::thread::sleep(POLL_EVERY);
        }
    }
}

/// Merges two successive reports into one: the later figures, and the applied revisions of both.
pub fn merged(before: FleetReport, after: FleetReport) -> FleetReport {
    let mut mixers = after.mixers;
    for mixer in &mut mixers {
        let earlier = before
            .mixers
            .binary_search_by_key(&mixer.number, |other| other.number);
        if let Ok(index) = earlier {
            let records = before.mixers[index]
                .applied
                .iter()
                .copied()
                .chain(mixer.applied.iter().copied());
            mixer.applied = records.collect();
        }
    }
    FleetReport {
        resident_bytes: after.resident_bytes,
        mixers,
    }
}
