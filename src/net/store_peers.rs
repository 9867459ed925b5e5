//! The replicated store: TCP connections to its peers, and the queue of operations, of which one runs at a time. Every
//! operation has a timeout. [`StorePeers::next_completed`] returns completed operations; the caller replies to clients and
//! applies values.

mod connection;
mod contents;

pub(in crate::net) use connection::PeerConnection;
pub(in crate::net) use contents::{StoredChange, SETTINGS};

use crate::config::StoreSetup;
use crate::net::backlog::{ReadProgress, Work};
use crate::net::connection_table::Connection;
use crate::net::error::NetError;
use crate::net::runtime::Runtime;
use crate::net::socket::listen;
use crate::net::timer_queue::Deadline;
use crate::net::tokens::STORE;
use crate::net::ConnectionKey;
use crate::store::{Completed, Message, Operation, OperationSetup, Progress};
use connection::Direction;
use miniserde::json;
use mio::net::{TcpListener, TcpStream};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use thiserror::Error;

/// Time after which an operation without a majority fails (seconds).
const OPERATION_TIMEOUT_S: f64 = 2.0;
/// Interval at which the mixer reads its keys (seconds).
const REFRESH_INTERVAL_S: f64 = 2.0;
/// Maximum number of queued operations.
const MAX_WAITING_OPERATIONS: usize = 64;
/// Connections from peers that are accepted at once: a fixed number, and more for each peer.
const MIN_ACCEPTED: usize = 8;
const ACCEPTED_PER_PEER: usize = 2;
/// Divisor of the memory limit that gives the share for messages of peers, and that for the values of queued operations.
const MEMORY_DIVISOR: usize = 8;

/// The origin of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum Requester {
    /// A client, given by its connection.
    Client(ConnectionKey),
    /// The mixer itself, which reads its keys at an interval.
    Refresh,
}

/// A completed operation. The caller replies to the requester, applies the value and begins the next operation;
/// [`StorePeers::next_completed`] continues from there.
pub(in crate::net) struct CompletedOperation {
    pub(in crate::net) requester: Requester,
    pub(in crate::net) completed: Completed,
}

/// Reason why a client's request to the store is rejected. The text is sent in the reply.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(in crate::net) enum StoreRequestError {
    /// The method is neither GET nor PUT.
    #[error("GET or PUT")]
    Method,
    /// The key or the value exceeds a limit, or the value does not have the format required for its key.
    #[error("a key or value that is not sound")]
    Invalid,
    /// The queue of operations is full.
    #[error("too many operations wait")]
    TooMany,
}

impl StoreRequestError {
    /// Returns the HTTP status of the reply.
    pub(in crate::net) fn status(self) -> u16 {
        match self {
            StoreRequestError::Method => 405,
            StoreRequestError::Invalid => 400,
            StoreRequestError::TooMany => 503,
        }
    }
}

/// Availability of a majority of the nodes, as logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum Quorum {
    /// The last refresh was completed.
    Reached,
    /// The last refresh timed out.
    Lost,
}

/// A queued operation: a write if it has a value, otherwise a read.
struct WaitingOperation {
    requester: Requester,
    key: String,
    value: Option<String>,
}

impl WaitingOperation {
    fn value_bytes(&self) -> usize {
        self.value.as_ref().map_or(0, String::len)
    }
}

/// The operation in progress.
struct RunningOperation {
    requester: Requester,
    operation: Operation,
}

/// A peer of the store.
struct Peer {
    node: u32,
    address: SocketAddr,
}

/// A task in progress. Other tasks, or the completion of an operation, may come between its steps.
enum Task {
    /// Sends a message to the remaining peers, one after the other; then this node handles its own answer.
    Send {
        bytes: Vec<u8>,
        peers: VecDeque<Peer>,
        own_answer: Option<Message>,
    },
    /// Handles the remaining answers of a node, one after the other.
    HandleAnswers {
        node: u32,
        answers: VecDeque<Message>,
    },
}

/// This node of the store, with its sockets. Times are on the event loop's clock (seconds).
pub(in crate::net) struct StorePeers {
    setup: StoreSetup,
    listener: TcpListener,
    /// Open connections to peers, by node.
    connections: BTreeMap<u32, ConnectionKey>,
    /// Open connections from peers.
    accepted: Vec<ConnectionKey>,
    waiting: VecDeque<WaitingOperation>,
    running: Option<RunningOperation>,
    /// Number of the operation that was started last, and the time at which it times out.
    last_operation: u64,
    times_out_at: f64,
    /// Values that this mixer has applied, by key.
    applied: BTreeMap<String, String>,
    /// Settings that a peer has stored at this node and that have not been taken yet.
    replicated_settings: Option<String>,
    /// Result of the last refresh, so that only changes are logged.
    quorum: Option<Quorum>,
    /// Stack of tasks in progress; the last one continues first.
    tasks: Vec<Task>,
}

impl StorePeers {
    /// Listens for peers and schedules the first read of the mixer's keys.
    pub(in crate::net) fn open(
        runtime: &mut Runtime,
        setup: StoreSetup,
    ) -> Result<StorePeers, NetError> {
        let listener = listen(runtime.poll.registry(), setup.listen, STORE)?;
        let line = format!(
            "store: node {} listens on {}",
            setup.node,
            listener.local_addr()?
        );
        runtime.log(&line);
        runtime.timers.add(runtime.now, Deadline::StoreRefresh);
        // The mixer has started with the settings of the data folder, if there are any.
        let (_, settings) = setup.registers.get(contents::SETTINGS);
        let applied = settings.map(|text| (contents::SETTINGS.to_string(), text.to_string()));
        Ok(StorePeers {
            applied: applied.into_iter().collect(),
            replicated_settings: None,
            setup,
            listener,
            connections: BTreeMap::new(),
            accepted: Vec::new(),
            waiting: VecDeque::new(),
            running: None,
            last_operation: 0,
            times_out_at: 0.0,
            quorum: None,
            tasks: Vec::new(),
        })
    }

    /// Returns the names of draining leaf servers that the data folder holds. The store may have newer ones, which only a majority
    /// of the nodes can tell; until then it is safer to send these servers nothing.
    pub(in crate::net) fn restored_drains(&mut self) -> Vec<String> {
        let (_, value) = self.setup.registers.get(contents::DRAINING);
        let change = value
            .map(String::from)
            .and_then(|value| self.take_value(contents::DRAINING, value));
        match change {
            Some(StoredChange::Draining(names)) => names,
            _ => Vec::new(),
        }
    }

    /// Accepts one peer and reads the data it has sent. Returns whether there was one. [`StorePeers::next_completed`] has to be
    /// called afterwards.
    pub(in crate::net) fn accept(&mut self, runtime: &mut Runtime) -> bool {
        let Ok((stream, _)) = self.listener.accept() else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        self.evict_if_full(runtime);
        let peer = PeerConnection::from_peer(stream, runtime.now);
        let key = runtime.connections.insert(Connection::Peer(Box::new(peer)));
        self.accepted.push(key);
        runtime.register(key);
        self.connection_event(runtime, key);
        true
    }

    /// Queues reads of the mixer's keys before all other operations, unless some are pending, and schedules the next refresh.
    /// [`StorePeers::begin_next`] has to be called afterwards.
    pub(in crate::net) fn refresh(&mut self, runtime: &mut Runtime) {
        let waiting = self.waiting.iter().map(|operation| operation.requester);
        let running = self.running.iter().map(|operation| operation.requester);
        if !waiting.chain(running).any(|it| it == Requester::Refresh) {
            // Clients that keep the queue full must not delay the operators' settings and drains.
            for key in contents::KEYS.into_iter().rev() {
                self.waiting.push_front(WaitingOperation {
                    requester: Requester::Refresh,
                    key: key.to_string(),
                    value: None,
                });
            }
        }
        runtime
            .timers
            .add(runtime.now + REFRESH_INTERVAL_S, Deadline::StoreRefresh);
    }

    /// Queues a client's request: GET reads a key, PUT writes it. `memory_bytes` is the memory limit of the process.
    /// [`StorePeers::begin_next`] has to be called afterwards.
    pub(in crate::net) fn queue_request(
        &mut self,
        client: ConnectionKey,
        method: &str,
        key: &str,
        body: &[u8],
        memory_bytes: usize,
    ) -> Result<(), StoreRequestError> {
        let is_write = match method {
            "GET" => false,
            "PUT" => true,
            _ => return Err(StoreRequestError::Method),
        };
        let value = std::str::from_utf8(body).map_err(|_| StoreRequestError::Invalid)?;
        if !contents::is_valid(key, value, is_write) {
            return Err(StoreRequestError::Invalid);
        }
        let waiting_bytes: usize = self.waiting.iter().map(WaitingOperation::value_bytes).sum();
        let is_over_limit =
            waiting_bytes > 0 && waiting_bytes + value.len() > memory_bytes / MEMORY_DIVISOR;
        if self.waiting.len() >= MAX_WAITING_OPERATIONS || (is_write && is_over_limit) {
            return Err(StoreRequestError::TooMany);
        }
        self.waiting.push_back(WaitingOperation {
            requester: Requester::Client(client),
            key: key.to_string(),
            value: is_write.then(|| value.to_string()),
        });
        Ok(())
    }

    /// Starts the next operation, unless one is in progress: each node runs one at a time. [`StorePeers::next_completed`] has
    /// to be called afterwards.
    pub(in crate::net) fn begin_next(&mut self, runtime: &mut Runtime) {
        if self.running.is_some() {
            return;
        }
        let Some(next) = self.waiting.pop_front() else {
            return;
        };
        self.last_operation += 1;
        let setup = OperationSetup {
            id: self.last_operation,
            node: self.setup.node,
            node_count: self.setup.peers.len() + 1,
            min_counter: runtime.clock.unix_ms(runtime.now),
        };
        let (operation, message) = Operation::begin(setup, &next.key, next.value);
        self.running = Some(RunningOperation {
            requester: next.requester,
            operation,
        });
        self.times_out_at = runtime.now + OPERATION_TIMEOUT_S;
        runtime.timers.add(
            self.times_out_at,
            Deadline::StoreOperation(self.last_operation),
        );
        self.send(&message);
    }

    /// Adds a task that sends a message to all nodes, including this one.
    fn send(&mut self, message: &Message) {
        let peers = self
            .setup
            .peers
            .iter()
            .map(|(node, address)| Peer {
                node: *node,
                address: *address,
            })
            .collect();
        let own_answer = self.setup.registers.serve(message);
        self.tasks.push(Task::Send {
            bytes: message.encode(),
            peers,
            own_answer,
        });
    }

    /// Continues the tasks in progress until an operation is complete. Returns `None` when no task is left.
    pub(in crate::net) fn next_completed(
        &mut self,
        runtime: &mut Runtime,
    ) -> Option<CompletedOperation> {
        while let Some(task) = self.tasks.pop() {
            let completed = match task {
                Task::Send {
                    bytes,
                    peers,
                    own_answer,
                } => self.send_to_next_peer(runtime, bytes, peers, own_answer),
                Task::HandleAnswers { node, answers } => self.handle_answers(node, answers),
            };
            if completed.is_some() {
                let deadline = Deadline::StoreOperation(self.last_operation);
                runtime.timers.remove(self.times_out_at, deadline);
                return completed;
            }
        }
        None
    }

    /// Sends a message to the next peer. After the last peer, this node handles its own answer.
    fn send_to_next_peer(
        &mut self,
        runtime: &mut Runtime,
        bytes: Vec<u8>,
        mut peers: VecDeque<Peer>,
        own_answer: Option<Message>,
    ) -> Option<CompletedOperation> {
        let Some(peer) = peers.pop_front() else {
            return self.handle_answer(self.setup.node, own_answer?);
        };
        let key = match self.connections.get(&peer.node) {
            Some(key) => Some(*key),
            None => self.connect(runtime, &peer),
        };
        let connection = key.and_then(|key| runtime.connections.get_mut(key));
        let is_queued = match connection {
            Some(Connection::Peer(connection)) => {
                connection.queue_request(&bytes);
                true
            }
            _ => false,
        };
        self.tasks.push(Task::Send {
            bytes,
            peers,
            own_answer,
        });
        // An immediate answer of this peer is handled before the message is sent to the next one.
        if let Some(key) = key.filter(|_| is_queued) {
            self.connection_event(runtime, key);
        }
        None
    }

    fn handle_answers(
        &mut self,
        node: u32,
        mut answers: VecDeque<Message>,
    ) -> Option<CompletedOperation> {
        let answer = answers.pop_front()?;
        self.tasks.push(Task::HandleAnswers { node, answers });
        self.handle_answer(node, answer)
    }

    fn handle_answer(&mut self, node: u32, answer: Message) -> Option<CompletedOperation> {
        let running = self.running.as_mut()?;
        match running.operation.handle_answer(node, answer) {
            Progress::Waiting => None,
            Progress::Send(message) => {
                self.send(&message);
                None
            }
            Progress::Completed(completed) => {
                let requester = self.running.take()?.requester;
                Some(CompletedOperation {
                    requester,
                    completed,
                })
            }
        }
    }

    fn connect(&mut self, runtime: &mut Runtime, peer: &Peer) -> Option<ConnectionKey> {
        let stream = TcpStream::connect(peer.address).ok()?;
        let connection = PeerConnection::to(peer.node, stream, runtime.now);
        let key = runtime
            .connections
            .insert(Connection::Peer(Box::new(connection)));
        self.connections.insert(peer.node, key);
        runtime.register(key);
        Some(key)
    }

    /// Reads and writes a connection. Requests that a peer sent on it are answered. [`StorePeers::next_completed`] has to be
    /// called afterwards.
    pub(in crate::net) fn connection_event(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(Connection::Peer(peer)) = runtime.connections.get_mut(key) else {
            return;
        };
        let direction = peer.direction();
        let mut received = Vec::new();
        match peer.exchange(runtime.now, &mut received) {
            Ok(ReadProgress::Drained) => {}
            Ok(ReadProgress::MoreInput) => runtime.backlog.push(Work::Connection(key)),
            Err(_) => self.drop_connection(runtime, key),
        }
        self.drop_if_over_memory_limit(runtime, key);
        match direction {
            Direction::To(node) => self.tasks.push(Task::HandleAnswers {
                node,
                answers: received.into(),
            }),
            Direction::FromPeer => self.serve(runtime, key, &received),
        }
    }

    /// Answers requests of a peer. Closes the connection if the peer does not read its answers.
    fn serve(&mut self, runtime: &mut Runtime, key: ConnectionKey, requests: &[Message]) {
        for request in requests {
            let answer = self.serve_request(request);
            let Some(Connection::Peer(peer)) = runtime.connections.get_mut(key) else {
                return;
            };
            let bytes = answer.map(|answer| answer.encode()).unwrap_or_default();
            peer.queue_answer(bytes);
            let is_write_buffer_full = peer.is_write_buffer_full();
            if peer.flush().is_err() || is_write_buffer_full {
                return self.drop_connection(runtime, key);
            }
            self.drop_if_over_memory_limit(runtime, key);
        }
    }

    /// Executes a request of a peer on the registers, and keeps settings that are newer than before.
    fn serve_request(&mut self, request: &Message) -> Option<Message> {
        let registers = &mut self.setup.registers;
        let (former_version, _) = registers.get(contents::SETTINGS);
        let answer = registers.serve(request);
        let (version, settings) = registers.get(contents::SETTINGS);
        if version > former_version {
            self.replicated_settings = settings.map(String::from);
        }
        answer
    }

    /// Takes settings that a peer has stored at this node since the last call. The write may be complete at a majority with the
    /// answer of this node, so others may follow it from now on. If it is not, the next read of this node completes it.
    pub(in crate::net) fn take_replicated_settings(&mut self) -> Option<String> {
        self.replicated_settings.take()
    }

    /// Drops the accepted connection that has been silent for the longest time if no more may be accepted.
    fn evict_if_full(&mut self, runtime: &mut Runtime) {
        if self.accepted.len() < self.max_accepted() {
            return;
        }
        let received_at = |key: &ConnectionKey| match runtime.connections.get(*key) {
            Some(Connection::Peer(peer)) => peer.received_at(),
            _ => f64::NEG_INFINITY,
        };
        let by_time =
            |a: &&ConnectionKey, b: &&ConnectionKey| received_at(a).total_cmp(&received_at(b));
        if let Some(oldest) = self.accepted.iter().min_by(by_time).copied() {
            self.drop_connection(runtime, oldest);
        }
    }

    /// Returns how many connections are accepted at once. A peer that restarts may leave some behind.
    fn max_accepted(&self) -> usize {
        MIN_ACCEPTED + ACCEPTED_PER_PEER * self.setup.peers.len()
    }

    /// Drops a connection if the buffers of all connections to and from peers exceed their share of the memory. The only one
    /// with anything buffered is kept; the size of a message has its own limit.
    fn drop_if_over_memory_limit(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let buffered_bytes = |key: &ConnectionKey| match runtime.connections.get(*key) {
            Some(Connection::Peer(peer)) => peer.buffered_bytes(),
            _ => 0,
        };
        let keys = self.accepted.iter().chain(self.connections.values());
        let all: usize = keys.map(buffered_bytes).sum();
        let own = buffered_bytes(&key);
        if all > runtime.memory_bytes / MEMORY_DIVISOR && all > own && own > 0 {
            runtime.log_peer(|| {
                format!("store: connection closed ({all} bytes buffered for all peers)")
            });
            self.drop_connection(runtime, key);
        }
    }

    fn drop_connection(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        if let Some(Connection::Peer(peer)) = runtime.connections.remove(key) {
            match peer.direction() {
                Direction::To(node) => drop(self.connections.remove(&node)),
                Direction::FromPeer => self.accepted.retain(|other| *other != key),
            }
        }
    }

    /// Abandons an operation that has timed out and returns its requester, or `None` if the operation is complete.
    /// [`StorePeers::begin_next`] has to be called after a timeout.
    pub(in crate::net) fn operation_due(&mut self, id: u64) -> Option<Requester> {
        if self.last_operation != id {
            return None;
        }
        self.running.take().map(|running| running.requester)
    }

    /// Logs the result of a refresh if it differs from the previous one.
    pub(in crate::net) fn log_quorum(&mut self, runtime: &mut Runtime, quorum: Quorum) {
        if self.quorum == Some(quorum) {
            return;
        }
        self.quorum = Some(quorum);
        runtime.log(match quorum {
            Quorum::Reached => "store: quorum reached",
            Quorum::Lost => "store: no quorum",
        });
    }

    /// Records a value that was read or written. Returns the change that the mixer has to apply, if the value is new.
    pub(in crate::net) fn take_value(&mut self, key: &str, value: String) -> Option<StoredChange> {
        if self.applied.get(key) == Some(&value) {
            return None;
        }
        let change = StoredChange::decode(key, &value);
        self.applied.insert(key.to_string(), value);
        change
    }

    /// Records settings that a predecessor has read from the store and that this mixer follows.
    pub(in crate::net) fn adopt_settings(&mut self, settings: String) {
        self.applied.insert(contents::SETTINGS.into(), settings);
    }

    /// Returns whether the store contains settings, which take precedence over the configuration file.
    pub(in crate::net) fn has_settings(&self) -> bool {
        self.applied.contains_key(contents::SETTINGS)
    }
}

/// Returns the body of the reply for a completed operation.
pub(in crate::net) fn completed_body(completed: &Completed) -> String {
    let value = completed
        .value
        .as_ref()
        .map_or("null".into(), json::to_string);
    format!(
        "{{\"key\":{},\"version\":[{},{}],\"value\":{value}}}",
        json::to_string(&completed.key),
        completed.version.counter,
        completed.version.node
    )
}
