//! A fleet of hollow mixers in host processes.
//!
//! This file owns those processes: it starts them, asks them for reports, and ends them, also when its owner fails.
//! It must never end a process that it did not start.

use super::host::{HostReport, HostSetup, REPORT};
use super::mixer::MixerReport;
use super::setup::{FleetError, FleetSetup};
use miniserde::json;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Longest wait for a host's report.
const MAX_REPORT_WAIT: Duration = Duration::from_secs(20);
/// How often the fleet is asked whether something has come about.
const POLL_EVERY: Duration = Duration::from_millis(100);

/// One host process.
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
        json::from_str(&line).map_err(|_| self.failed("a report that can't be read"))
    }
}

/// What a fleet has done since its last report.
#[derive(Clone, Debug, Default)]
pub struct FleetReport {
    /// Memory of its processes (bytes).
    pub resident_bytes: u64,
    /// Its mixers, by their numbers.
    pub mixers: Vec<MixerReport>,
}

impl FleetReport {
    /// Processor time of all mixers since their start (seconds).
    pub fn cpu_s(&self) -> f64 {
        self.mixers.iter().map(|mixer| mixer.cpu_s).sum()
    }
}

/// A fleet that runs. Its processes end with this value.
pub struct Fleet {
    setup: FleetSetup,
    hosts: Vec<Option<Host>>,
}

impl Fleet {
    /// Starts all its processes.
    pub fn start(setup: FleetSetup) -> Result<Fleet, FleetError> {
        setup.check()?;
        let mut fleet = Fleet {
            hosts: (0..setup.processes).map(|_| None).collect(),
            setup,
        };
        fleet.start_missing(|_| true)?;
        Ok(fleet)
    }

    /// What it is made of.
    pub fn setup(&self) -> &FleetSetup {
        &self.setup
    }

    /// Kills the processes of these places, all their mixers at once.
    pub fn kill(&mut self, is_selected: impl Fn(usize) -> bool) {
        let indices = (0..self.hosts.len()).filter(|index| is_selected(*index));
        let mut killed: Vec<Host> = indices
            .filter_map(|index| self.hosts[index].take())
            .collect();
        killed.iter_mut().for_each(|host| drop(host.child.kill()));
    }

    /// Starts the processes of these places, where they do not run.
    pub fn start_missing(&mut self, is_selected: impl Fn(usize) -> bool) -> Result<(), FleetError> {
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_none() && is_selected(index) {
                self.hosts[index] = Some(Host::start(&self.setup, index)?);
            }
        }
        Ok(())
    }

    /// The mixers that run.
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

    /// The region of a mixer.
    pub fn region(&self, mixer: u32) -> usize {
        (mixer % self.setup.processes) as usize % self.setup.discovery.len()
    }

    /// Asks all processes what they have done since the last report. A mixer that ended by itself is an error.
    pub fn report(&mut self) -> Result<FleetReport, FleetError> {
        let mut hosts: Vec<&mut Host> = self.hosts.iter_mut().flatten().collect();
        for host in &mut hosts {
            host.send_line(REPORT)?;
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

    /// Waits until each mixer that runs has the version of its region in force, or a later one; gives the reports up
    /// to then as one.
    pub fn await_revisions(
        &mut self,
        revisions: &[u64],
        within_s: f64,
    ) -> Result<FleetReport, FleetError> {
        let until = Instant::now() + Duration::from_secs_f64(within_s);
        let mut all = FleetReport::default();
        loop {
            all = merged(all, self.report()?);
            let lacks =
                |mixer: &&MixerReport| mixer.revision < revisions[self.region(mixer.number)];
            let missing =
                all.mixers.iter().filter(lacks).count() + (self.running() - all.mixers.len());
            if missing == 0 {
                return Ok(all);
            }
            if Instant::now() >= until {
                return Err(FleetError::Timeout {
                    what: format!("revisions {revisions:?}"),
                    within_s,
                    missing,
                });
            }
            std::thread::sleep(POLL_EVERY);
        }
    }
}

/// Two reports one after the other as one.
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
