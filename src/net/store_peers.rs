//! The store's peers over TCP, and the operations on the store, one at a time.
//!
//! This file owns the listener for peers, the connections to them and the queue of operations. It must never be in the way on
//! the platform, where no store is set up, never let a client wait for the store without end, and never apply a value or
//! answer a client itself: [`StorePeers::next_completed`] hands back what is to be answered and applied.

mod connection;
mod contents;

pub(in crate::net) use connection::PeerConnection;
pub(in crate::net) use contents::StoredChange;

use crate::config::StoreSetup;
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

/// An operation that has no majority after this time has failed (seconds).
const OPERATION_TIMEOUT_S: f64 = 2.0;
/// How often the keys that matter to a mixer are read (seconds).
const REFRESH_INTERVAL_S: f64 = 2.0;
/// Operations that may wait.
const MAX_WAITING_OPERATIONS: usize = 64;

/// Who wants an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum Requester {
    /// The client on that connection.
    Client(ConnectionKey),
    /// This mixer, which reads its keys again and again.
    Refresh,
}

/// An operation that is complete. The requester is to be answered, the value applied, and the next operation begun;
/// [`StorePeers::next_completed`] goes on from there.
pub(in crate::net) struct CompletedOperation {
    pub(in crate::net) requester: Requester,
    pub(in crate::net) completed: Completed,
}

/// Why a client's request to the store is rejected. The text is that of the reply.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(in crate::net) enum StoreRequestError {
    /// The method is neither GET nor PUT.
    #[error("GET or PUT")]
    Method,
    /// The key or the value is beyond the limits, or the value does not have the form that its key wants.
    #[error("a key or value that is not sound")]
    Invalid,
    /// The queue of operations is full.
    #[error("too many operations wait")]
    TooMany,
}

impl StoreRequestError {
    /// The status of the reply.
    pub(in crate::net) fn status(self) -> u16 {
        match self {
            StoreRequestError::Method => 405,
            StoreRequestError::Invalid => 400,
            StoreRequestError::TooMany => 503,
        }
    }
}

/// Whether a majority of the nodes answers, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum Quorum {
    /// An operation was completed.
    Reached,
    /// One was not, within its timeout.
    Lost,
}

/// An operation that waits: a read, or with a value a write.
struct WaitingOperation {
    requester: Requester,
    key: String,
    value: Option<String>,
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

/// Work that has begun. The end of an operation, or an answer that begins further work, may come between its steps.
enum Work {
    /// A message goes to these peers, one after the other; then this node handles its own answer.
    Send {
        bytes: Vec<u8>,
        peers: VecDeque<Peer>,
        own_answer: Option<Message>,
    },
    /// Answers of a node are handled, one after the other.
    HandleAnswers {
        node: u32,
        answers: VecDeque<Message>,
    },
}

/// The store on its sockets. Times are of the loop's clock (seconds).
pub(in crate::net) struct StorePeers {
    setup: StoreSetup,
    listener: TcpListener,
    /// The connection to each peer to which there is one.
    connections: BTreeMap<u32, ConnectionKey>,
    waiting: VecDeque<WaitingOperation>,
    running: Option<RunningOperation>,
    /// The number of the operation that was begun last.
    last_operation: u64,
    /// The values that this mixer has taken, by key.
    applied: BTreeMap<String, String>,
    /// How the last refresh ended, so that only changes are logged.
    quorum: Option<Quorum>,
    /// Work that has begun; the last item goes on first.
    work: Vec<Work>,
}

impl StorePeers {
    /// Listens for peers, and begins to read the keys that matter here.
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
        Ok(StorePeers {
            setup,
            listener,
            connections: BTreeMap::new(),
            waiting: VecDeque::new(),
            running: None,
            last_operation: 0,
            applied: BTreeMap::new(),
            quorum: None,
            work: Vec::new(),
        })
    }

    /// Accepts one peer and reads what it has sent. Says whether there was one. [`StorePeers::next_completed`] is to follow.
    pub(in crate::net) fn accept(&mut self, runtime: &mut Runtime) -> bool {
        let Ok((stream, _)) = self.listener.accept() else {
            return false;
        };
        let _ = stream.set_nodelay(true);
        let peer = PeerConnection::from_peer(stream);
        let key = runtime.connections.insert(Connection::Peer(Box::new(peer)));
        runtime.register(key);
        self.connection_event(runtime, key);
        true
    }

    /// Queues reads of the keys that matter here, unless operations wait already, and sets the time of the next refresh.
    /// [`StorePeers::begin_next`] is to follow.
    pub(in crate::net) fn refresh(&mut self, runtime: &mut Runtime) {
        if self.waiting.is_empty() && self.running.is_none() {
            self.waiting
                .extend(contents::KEYS.map(|key| WaitingOperation {
                    requester: Requester::Refresh,
                    key: key.to_string(),
                    value: None,
                }));
        }
        runtime
            .timers
            .add(runtime.now + REFRESH_INTERVAL_S, Deadline::StoreRefresh);
    }

    /// Queues a client's request: GET reads a key, PUT writes it. [`StorePeers::begin_next`] is to follow.
    pub(in crate::net) fn queue_request(
        &mut self,
        client: ConnectionKey,
        method: &str,
        key: &str,
        body: &[u8],
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
        if self.waiting.len() >= MAX_WAITING_OPERATIONS {
            return Err(StoreRequestError::TooMany);
        }
        self.waiting.push_back(WaitingOperation {
            requester: Requester::Client(client),
            key: key.to_string(),
            value: is_write.then(|| value.to_string()),
        });
        Ok(())
    }

    /// Begins the next operation, unless one is in progress: one node has one at a time. [`StorePeers::next_completed`] is to follow.
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
        runtime.timers.add(
            runtime.now + OPERATION_TIMEOUT_S,
            Deadline::StoreOperation(self.last_operation),
        );
        self.send(&message);
    }

    /// Begins to send a message to all nodes, this one included.
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
        self.work.push(Work::Send {
            bytes: message.encode(),
            peers,
            own_answer,
        });
    }

    /// Goes on with the work that has begun until an operation is complete; none when all is done.
    pub(in crate::net) fn next_completed(
        &mut self,
        runtime: &mut Runtime,
    ) -> Option<CompletedOperation> {
        while let Some(work) = self.work.pop() {
            let completed = match work {
                Work::Send {
                    bytes,
                    peers,
                    own_answer,
                } => self.send_on(runtime, bytes, peers, own_answer),
                Work::HandleAnswers { node, answers } => self.handle_answers(node, answers),
            };
            if completed.is_some() {
                return completed;
            }
        }
        None
    }

    /// Sends a message to the next peer; after the last one this node handles its own answer.
    fn send_on(
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
        self.work.push(Work::Send {
            bytes,
            peers,
            own_answer,
        });
        // What this peer answers at once is handled before the message goes to the next one.
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
        self.work.push(Work::HandleAnswers { node, answers });
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
        let connection = PeerConnection::to(peer.node, stream);
        let key = runtime
            .connections
            .insert(Connection::Peer(Box::new(connection)));
        self.connections.insert(peer.node, key);
        runtime.register(key);
        Some(key)
    }

    /// A connection can be read or written, or has failed. Requests on it are answered.
    /// [`StorePeers::next_completed`] is to follow.
    pub(in crate::net) fn connection_event(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(Connection::Peer(peer)) = runtime.connections.get_mut(key) else {
            return;
        };
        let direction = peer.direction();
        let mut received = Vec::new();
        if peer.exchange(&mut received).is_err() {
            self.drop_connection(runtime, key);
        }
        match direction {
            Direction::To(node) => self.work.push(Work::HandleAnswers {
                node,
                answers: received.into(),
            }),
            Direction::FromPeer => self.serve(runtime, key, &received),
        }
    }

    /// Answers the requests of a peer.
    fn serve(&mut self, runtime: &mut Runtime, key: ConnectionKey, requests: &[Message]) {
        for request in requests {
            let answer = self.setup.registers.serve(request);
            let Some(Connection::Peer(peer)) = runtime.connections.get_mut(key) else {
                return;
            };
            let bytes = answer.map(|answer| answer.encode()).unwrap_or_default();
            peer.queue_answer(bytes);
            let is_write_buffer_full = peer.is_write_buffer_full();
            if peer.exchange(&mut Vec::new()).is_err() || is_write_buffer_full {
                return self.drop_connection(runtime, key);
            }
        }
    }

    fn drop_connection(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        if let Some(Connection::Peer(peer)) = runtime.connections.remove(key) {
            if let Direction::To(node) = peer.direction() {
                self.connections.remove(&node);
            }
        }
    }

    /// The timeout of an operation has come. Gives who waits for it, if it is still in progress;
    /// [`StorePeers::begin_next`] is to follow then.
    pub(in crate::net) fn operation_due(&mut self, id: u64) -> Option<Requester> {
        if self.last_operation != id {
            return None;
        }
        self.running.take().map(|running| running.requester)
    }

    /// Logs how a refresh ended, where that has changed.
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

    /// Takes a value that was read or written; gives what it changes for this mixer, if it is new.
    pub(in crate::net) fn take_value(&mut self, key: &str, value: String) -> Option<StoredChange> {
        if self.applied.get(key) == Some(&value) {
            return None;
        }
        let change = StoredChange::decode(key, &value);
        self.applied.insert(key.to_string(), value);
        change
    }

    /// Whether the store has settings, which come before those of the file.
    pub(in crate::net) fn has_settings(&self) -> bool {
        self.applied.contains_key(contents::SETTINGS)
    }
}

/// The body of the reply to a request that is complete.
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
