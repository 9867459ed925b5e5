//! Floods: one kind of peer sends to a real mixer at full speed, or holds as much of its memory as it can, while a few other
//! clients send queries at a low rate. The answers to these clients, and the memory of the mixer, show whether the work for
//! one peer is bounded.

pub mod mixer;
pub mod probe;
pub mod sender;
pub mod stand_ins;

use mixer::{FloodedMixer, Scenario};
use probe::{ProbeClients, ProbeSummary};
use sender::Senders;
use std::io;
use std::time::{Duration, Instant};

/// Interval at which the memory of the mixer is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(100);
/// Time from the start of a flood to the first query of another client, so that the flood is at full speed by then.
const WARM_UP: Duration = Duration::from_millis(300);
/// Memory by which the last third of a flood may exceed the first third: buffers and statistics of a few seconds (bytes).
const MAX_GROWTH_BYTES: u64 = 8 * 1024 * 1024;
/// Memory limit in the configuration of the mixer (megabytes).
pub const MEMORY_LIMIT_MB: u64 = 64;

/// The peers that flood the mixer, and what they send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FloodKind {
    /// Clients request the readiness page.
    ReadyPage,
    /// Clients request the metrics page.
    MetricsPage,
    /// Clients request the page of endpoints.
    EndpointsPage,
    /// Clients send valid queries, each with a new id and a new idempotency key, which leaf servers serve.
    NewNames,
    /// Clients send valid queries, each with a new id, for a shard without a leaf server, so that they are rejected.
    RejectedNames,
    /// Clients send queries of classes that do not exist, each another one.
    UnknownClasses,
    /// Clients send malformed requests, each on a new connection.
    Malformed,
    /// Clients connect, send a query, and disconnect without waiting for the answer.
    Reconnects,
    /// Clients send one request whose chunked body never ends, in chunks of one byte.
    EndlessChunks,
    /// Clients of the search API search indices that do not exist, each another one.
    UnknownIndices,
    /// Clients read and write keys of the store.
    StorePages,
    /// Operators call the admin interface, each call on a new connection.
    AdminCalls,
    /// Peers of the store send requests on several connections.
    StorePeerRequests,
    /// Peers of the store open connections and keep them open.
    StorePeerConnections,
    /// A VRRP peer sends advertisements.
    VrrpAdvertisements,
    /// A VRRP peer sends messages that are no advertisements.
    VrrpGarbage,
    /// A leaf server repeats an answer without end.
    LeafAnswers,
    /// Discovery answers a call with a body whose trailer never ends.
    DiscoveryTrailer,
    /// Hundreds of clients send most of a large request each, and stop.
    HalfRequests,
    /// Hundreds of clients send a head of very many short fields each, and most of a body.
    ManyFields,
    /// Hundreds of clients request the page of endpoints again and again, and read none of the answers.
    UnreadAnswers,
    /// The reader of the mixer's log stops reading while clients send requests that are logged.
    UnreadLog,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [FloodKind; 22] = [
        FloodKind::ReadyPage,
        FloodKind::MetricsPage,
        FloodKind::EndpointsPage,
        FloodKind::NewNames,
        FloodKind::RejectedNames,
        FloodKind::UnknownClasses,
        FloodKind::Malformed,
        FloodKind::Reconnects,
        FloodKind::EndlessChunks,
        FloodKind::UnknownIndices,
        FloodKind::StorePages,
        FloodKind::AdminCalls,
        FloodKind::StorePeerRequests,
        FloodKind::StorePeerConnections,
        FloodKind::VrrpAdvertisements,
        FloodKind::VrrpGarbage,
        FloodKind::LeafAnswers,
        FloodKind::DiscoveryTrailer,
        FloodKind::HalfRequests,
        FloodKind::ManyFields,
        FloodKind::UnreadAnswers,
        FloodKind::UnreadLog,
    ];

    /// Returns the name of the kind on the command line.
    pub fn name(self) -> String {
        let mut name = String::new();
        for letter in format!("{self:?}").chars() {
            if letter.is_uppercase() && !name.is_empty() {
                name.push('-');
            }
            name.push(letter.to_ascii_lowercase());
        }
        name
    }
}

/// Parameters of a flood.
#[derive(Clone, Copy, Debug)]
pub struct FloodOptions {
    /// Length of the flood.
    pub length: Duration,
    /// Whether the mixer shares a core with a process that is always busy.
    pub half_core: bool,
}

/// What was observed during a flood.
#[derive(Clone, Debug)]
pub struct FloodOutcome {
    /// The answers to the other clients.
    pub probes: ProbeSummary,
    /// Messages that the flooding peers sent, or connections that they opened.
    pub sent: u64,
    /// Largest resident memory of the mixer in the first third of the flood (bytes).
    pub early_bytes: u64,
    /// Largest resident memory of the mixer in the last third of the flood (bytes).
    pub late_bytes: u64,
    /// Largest resident memory of the mixer (bytes).
    pub max_bytes: u64,
    /// CPU time of the mixer divided by the length of the flood.
    pub cpu_share: f64,
}

impl FloodOutcome {
    /// Returns the criteria that the mixer misses, as text: every query of another client has to be answered in time, and the
    /// memory has to stay flat and below its limit.
    pub fn shortfalls(&self) -> Vec<String> {
        let mut shortfalls = Vec::new();
        let ProbeSummary {
            queries,
            in_time,
            slowest_s,
            ..
        } = self.probes;
        if in_time < queries || queries == 0 {
            let missed = queries - in_time;
            shortfalls.push(format!(
                "{missed} of {queries} queries of other clients not answered in time, the slowest after {slowest_s:.3} s"
            ));
        }
        if self.late_bytes > self.early_bytes + MAX_GROWTH_BYTES {
            shortfalls.push(format!(
                "memory grew from {} to {} bytes",
                self.early_bytes, self.late_bytes
            ));
        }
        if self.max_bytes > MEMORY_LIMIT_MB << 20 {
            shortfalls.push(format!(
                "{} bytes of memory used, the limit is {MEMORY_LIMIT_MB} MB",
                self.max_bytes
            ));
        }
        shortfalls
    }
}

/// Starts a mixer, floods it, and observes the other clients and the mixer's memory.
pub fn run(kind: FloodKind, options: FloodOptions) -> io::Result<FloodOutcome> {
    let scenario = Scenario::start(kind)?;
    let mixer = FloodedMixer::start(&scenario, options.half_core)?;
    let cpu_before_s = mixer.usage()?.cpu_s;
    let senders = Senders::start(kind, &mixer.addresses);
    std::thread::sleep(WARM_UP);
    let probes = ProbeClients::start(mixer.addresses.clients);
    let samples = sample_memory(&mixer, options.length)?;
    let probes = probes.stop();
    let sent = senders.stop() + scenario.sent();
    let cpu_s = mixer.usage()?.cpu_s - cpu_before_s;
    let third = samples.len().div_ceil(3);
    let max = |samples: &[u64]| samples.iter().copied().max().unwrap_or_default();
    Ok(FloodOutcome {
        probes,
        sent,
        early_bytes: max(&samples[..third]),
        late_bytes: max(&samples[samples.len() - third..]),
        max_bytes: max(&samples),
        cpu_share: cpu_s / (options.length + WARM_UP).as_secs_f64(),
    })
}

/// Reads the resident memory of the mixer at an interval (bytes).
fn sample_memory(mixer: &FloodedMixer, length: Duration) -> io::Result<Vec<u64>> {
    let end = Instant::now() + length;
    let mut samples = Vec::new();
    while Instant::now() < end || samples.is_empty() {
        samples.push(mixer.usage()?.resident_bytes);
        std::thread::sleep(MEMORY_INTERVAL);
    }
    Ok(samples)
}
