//! A hollow mixer: the daemon's own loop on a thread of its own, with discovery and without queries.
//!
//! This file owns that thread and records which version of the list was in force when. All that it runs is the
//! daemon's; what is hollow is that no client connects. It must never decide what a mixer does.

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

/// Stack of a mixer's thread: its deepest calls need a tenth of it.
const STACK_BYTES: usize = 512 * 1024;
/// Versions that are recorded between two reports of a mixer, at most.
const MAX_RECORDS_PER_REPORT: usize = 20_000;

/// What a hollow mixer is made of.
#[derive(Clone, Debug)]
pub struct MixerSetup {
    /// Its number in the fleet.
    pub number: u32,
    /// Its discovery.
    pub discovery: SocketAddr,
    /// The settings, as the daemon's decoder reads them.
    pub settings: String,
    /// For its draws.
    pub seed: u64,
}

/// Why a hollow mixer did not run.
#[derive(Debug, Error)]
pub enum HollowMixerError {
    /// Its settings are not taken.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Its loop failed.
    #[error(transparent)]
    Loop(#[from] NetError),
    /// The system.
    #[error(transparent)]
    System(#[from] std::io::Error),
}

/// A version, and when it came into force (Unix microseconds).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedRevision {
    /// The version.
    pub revision: u64,
    /// When.
    pub at_us: u64,
}

/// What a hollow mixer has done since its last report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MixerReport {
    /// Its number in the fleet.
    pub number: u32,
    /// Processor time of its thread since its start (seconds).
    pub cpu_s: f64,
    /// The version in force; 0 before the first list.
    pub revision: u64,
    /// Servers that the mixer knows.
    pub servers: u64,
    /// The versions that came into force since the last report, in order.
    pub applied: Vec<AppliedRevision>,
    /// Records that found no room.
    pub dropped: u64,
    /// Why it ended, if it did.
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

/// A hollow mixer that runs. It ends with this value.
pub struct HollowMixer {
    number: u32,
    stop: UnixStream,
    _reload: UnixStream, // kept open: a pipe that ends would be readable for ever
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
    /// Starts it on a thread of its own.
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

    /// Tells it to end, as SIGTERM does; dropping it waits for that.
    pub fn request_stop(&mut self) {
        let _ = self.stop.write_all(b"x");
    }

    /// What it has done since the last report.
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

/// Its configuration. It knows one server that no list names: a mixer that knows none may wait to be told.
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
