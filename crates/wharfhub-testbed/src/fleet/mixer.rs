//! Hollow mixer: the daemon's event loop on a thread of its own, connected to discovery but without clients and leaf servers.
//!
//! The thread runs the daemon's unmodified code. This module starts and stops it, and records when each revision of the list was
//! applied.

use super::discovery::unix_us;
use super::usage::ThreadCpu;
use crate::standin::lock;
use miniserde::{json, Deserialize, Serialize};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use thiserror::Error;
use wharfhub::config::{Config, SettingsError};
use wharfhub::net::{EndpointListInUse, Mixer, NetError, Signals};

/// Stack size of a mixer's thread; the deepest call chain needs a tenth of it.
const STACK_BYTES: usize = 512 * 1024;
/// Revisions recorded between two reports of a mixer; later ones are only counted.
const MAX_RECORDS_PER_REPORT: usize = 20_000;

/// Setup of a hollow mixer.
#[derive(Clone, Debug)]
pub struct MixerSetup {
    /// Number of the mixer in the fleet.
    pub number: u32,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Settings, in the JSON form of the daemon's configuration.
    pub settings: String,
    /// Seed of the mixer's random numbers.
    pub seed: u64,
}

/// Error that keeps a hollow mixer from running.
#[derive(Debug, Error)]
pub enum HollowMixerError {
    /// The configuration is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The event loop failed.
    #[error(transparent)]
    Loop(#[from] NetError),
    /// A system call failed.
    #[error(transparent)]
    System(#[from] std::io::Error),
}

/// Revision of the list that a mixer has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedRevision {
    /// Number of the revision.
    pub revision: u64,
    /// Time at which the mixer applied it (Unix microseconds).
    pub at_us: u64,
}

/// Report of a hollow mixer on the time since its last report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MixerReport {
    /// Number of the mixer in the fleet.
    pub number: u32,
    /// CPU time of its thread since the start (seconds).
    pub cpu_s: f64,
    /// Latest applied revision; 0 before the first list.
    pub revision: u64,
    /// Number of servers that the mixer knows.
    pub servers: u64,
    /// Revisions applied since the last report, in order.
    #[serde(rename = "in_force")]
    pub applied: Vec<AppliedRevision>,
    /// Applied revisions that are missing from `applied` because a report holds a limited number.
    pub dropped: u64,
    /// Error with which its event loop ended, if any.
    pub failure: Option<String>,
}

#[derive(Default)]
struct Record {
    revision: u64,
    servers: u64,
    applied: Vec<AppliedRevision>,
    dropped: u64,
}

impl Record {
    fn record(&mut self, list: &EndpointListInUse) {
        let revision = list.revision.unwrap_or(0);
        self.servers = list.servers as u64;
        if revision == self.revision {
            return;
        }
        self.revision = revision;
        if self.applied.len() < MAX_RECORDS_PER_REPORT {
            self.applied.push(AppliedRevision {
                revision,
                at_us: unix_us(),
            });
        } else {
            self.dropped += 1;
        }
    }
}

/// Running hollow mixer; its thread is stopped and joined on drop.
pub struct HollowMixer {
    number: u32,
    stop: UnixStream,
    _reload: UnixStream, // kept open: the mixer's end of a closed pair would stay readable
    record: Arc<Mutex<Record>>,
    failure: Arc<Mutex<Option<String>>>,
    cpu: ThreadCpu,
    last_cpu_s: f64,
    thread: Option<JoinHandle<()>>,
}

impl Drop for HollowMixer {
    fn drop(&mut self) {
        self.request_stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl HollowMixer {
    /// Starts the mixer on a thread of its own.
    pub fn start(setup: &MixerSetup) -> Result<HollowMixer, HollowMixerError> {
        let ((stop, stopped), (reload, reload_requests)) =
            (UnixStream::pair()?, UnixStream::pair()?);
        let options = Config::decode(config(setup).as_bytes())?.options()?;
        let record = Arc::new(Mutex::new(Record::default()));
        let failure = Arc::new(Mutex::new(None));
        let (thread_record, thread_failure) = (record.clone(), failure.clone());
        let (reported_cpu, cpu_known) = std::sync::mpsc::channel();
        let run = move || {
            let _ = reported_cpu.send(ThreadCpu::of_this_thread());
            let signals = Signals {
                stop: stopped,
                reload: reload_requests,
                config_path: "hollow".into(),
            };
            let observer = move |list: EndpointListInUse| lock(&thread_record).record(&list);
            let result = Mixer::new(options, signals).and_then(|mut mixer| {
                mixer.observe_lists(Box::new(observer));
                mixer.run()
            });
            *lock(&thread_failure) = result.err().map(|error| error.to_string());
        };
        let name = format!("mixer-{}", setup.number);
        let thread = std::thread::Builder::new()
            .name(name)
            .stack_size(STACK_BYTES)
            .spawn(run)?;
        let cpu = cpu_known
            .recv()
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::BrokenPipe))??;
        let thread = Some(thread);
        Ok(HollowMixer {
            number: setup.number,
            stop,
            _reload: reload,
            record,
            failure,
            cpu,
            last_cpu_s: 0.0,
            thread,
        })
    }

    /// Requests a shutdown, as SIGTERM does. Dropping the mixer waits for its end.
    pub fn request_stop(&mut self) {
        let _ = self.stop.write_all(b"x");
    }

    /// Returns the report on the time since the last one.
    pub fn report(&mut self) -> MixerReport {
        if let Ok(cpu_s) = self.cpu.read_s() {
            self.last_cpu_s = cpu_s;
        }
        let mut record = lock(&self.record);
        MixerReport {
            number: self.number,
            cpu_s: self.last_cpu_s,
            revision: record.revision,
            servers: record.servers,
            applied: std::mem::take(&mut record.applied),
            dropped: record.dropped,
            failure: lock(&self.failure).clone(),
        }
    }
}

/// Returns the configuration. Its initial list names one server that discovery never lists, because a mixer without known
/// servers may wait for a list before it serves.
fn config(setup: &MixerSetup) -> String {
    let MixerSetup {
        number,
        discovery,
        settings,
        seed,
    } = setup;
    let name = json::to_string(&format!("hollow-{number}"));
    format!(
        "{{\"name\":{name},\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:x}\",\
         \"drain_s\":0,\"limits\":{{\"sockets\":1024}},\
         \"known\":{{\"complete\":true,\"members\":[{{\"id\":\"s-none\",\"host_port\":\"127.0.0.1:9\",\
         \"locality\":\"none\",\"cell\":0,\"phase\":\"Ready\",\"up_since_ms\":0}}]}},\"settings\":{settings}}}"
    )
}
