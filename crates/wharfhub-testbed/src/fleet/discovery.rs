//! A discovery stand-in on loopback sockets: one thread that serves over a thousand watchers.
//!
//! This file owns its sockets and counts what passes over them. Which call is answered when is decided in
//! `call_queue.rs`, and what a list says in `catalog.rs`. It must never learn more of a mixer than its calls.

use super::call_queue::{Answer, Call, CallQueue};
use super::catalog::{Catalog, Layout, ListedServer};
use super::counters::Counters;
use super::usage;
use crate::standin::lock;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use slotmap::{Key, KeyData, SlotMap};
use std::collections::{HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wharfhub::net::http::{self, Message, MessageReader, StartLine};

const WAKER: Token = Token(usize::MAX);
/// Bytes that may wait for one watcher that does not read; beyond that its connection is closed.
const MAX_UNSENT_BYTES: usize = 16 * 1024 * 1024;
/// Longest body that a call may have.
const MAX_CALL_BYTES: usize = 64 * 1024;
/// Longest wait of a watch, as the protocol has it (seconds).
const MAX_WATCH_S: f64 = 60.0;
/// Accepts in a row before other sockets are served.
const MAX_ACCEPTS_PER_ITERATION: usize = 256;
/// Longest sleep of the loop where nothing is due (seconds).
const MAX_POLL_S: f64 = 1.0;

slotmap::new_key_type! {
    struct ConnectionKey;
}

/// What becomes of the body of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// It is written whole.
    #[default]
    Whole,
    /// So many bytes of it are written, and the connection is closed.
    TruncateAfter(usize),
    /// So many bytes of it are written, and nothing more ever.
    StallAfter(usize),
}

/// How discovery behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Behavior {
    /// Connections are reset, new ones too.
    pub is_down: bool,
    /// Calls are read and never answered.
    pub is_unresponsive: bool,
    /// Changes are told so much later (seconds).
    pub publish_delay_s: f64,
    /// Each call takes so long, one after the other (seconds).
    pub service_time_s: f64,
    /// Watches are answered with the complete list too.
    pub complete_lists_only: bool,
    /// How lists are laid out.
    pub layout: Layout,
    /// What becomes of complete lists.
    pub delivery: Delivery,
}

/// A version that was published, and when it could first be told (Unix microseconds).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Published {
    /// The version.
    pub revision: u64,
    /// When.
    pub at_us: u64,
}

/// The wall clock (Unix microseconds): the same for all processes of this machine.
pub fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

struct Shared {
    catalog: Catalog,
    /// Changes that are not told yet, and from when on they are.
    pending: VecDeque<(Instant, Vec<ListedServer>)>,
    behavior: Behavior,
    counters: Counters,
    region_partitioned: Vec<bool>,
    ignore_open_watches: bool,
    stop: bool,
}

/// A discovery that runs. It ends with this value.
pub struct Discovery {
    /// Where it listens: an address for each region.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    waker: Waker,
    thread: Option<JoinHandle<io::Result<()>>>,
    cpu: usage::ThreadCpu,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        lock(&self.shared).stop = true;
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Discovery {
    /// Starts one that serves this catalog to so many regions.
    pub fn start(catalog: Catalog, regions: usize, behavior: Behavior) -> io::Result<Discovery> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        let mut listeners = Vec::new();
        for region in 0..regions {
            let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            poll.registry()
                .register(&mut listener, Token(region), Interest::READABLE)?;
            listeners.push(listener);
        }
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let shared = Arc::new(Mutex::new(Shared {
            catalog,
            pending: VecDeque::new(),
            behavior,
            counters: Counters::default(),
            region_partitioned: vec![false; regions],
            ignore_open_watches: false,
            stop: false,
        }));
        let (reported_cpu, cpu_known) = std::sync::mpsc::channel();
        let server_shared = shared.clone();
        let serve = move || {
            let _ = reported_cpu.send(usage::ThreadCpu::of_this_thread());
            Server::new(poll, listeners, server_shared, behavior).run()
        };
        let thread = std::thread::Builder::new()
            .name("discovery".into())
            .spawn(serve)?;
        let cpu = cpu_known.recv().map_err(|_| io::ErrorKind::BrokenPipe)??;
        Ok(Discovery {
            addresses,
            shared,
            waker,
            thread: Some(thread),
            cpu,
        })
    }

    /// Makes changes known as one version.
    pub fn publish(&self, changes: Vec<ListedServer>) -> Published {
        let now_us = unix_us();
        let mut shared = lock(&self.shared);
        let lag = Duration::from_secs_f64(shared.behavior.publish_delay_s.max(0.0));
        shared.pending.push_back((Instant::now() + lag, changes));
        let revision = shared.catalog.revision() + shared.pending.len() as u64;
        drop(shared);
        let _ = self.waker.wake();
        Published {
            revision,
            at_us: now_us + lag.as_micros() as u64,
        }
    }

    /// Behaves in that way from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        lock(&self.shared).behavior = behavior;
        let _ = self.waker.wake();
    }

    /// Cuts a region off, without a sign to either side, or connects it again; what was open then is reset.
    pub fn set_partitioned(&self, region: usize, is_partitioned: bool) {
        if let Some(partitioned) = lock(&self.shared).region_partitioned.get_mut(region) {
            *partitioned = is_partitioned;
        }
        let _ = self.waker.wake();
    }

    /// Never answers the watches that are open now.
    pub fn ignore_open_watches(&self) {
        lock(&self.shared).ignore_open_watches = true;
        let _ = self.waker.wake();
    }

    /// What has passed so far.
    pub fn counters(&self) -> Counters {
        lock(&self.shared).counters
    }

    /// The servers that it lists now, and those it will list.
    pub fn catalog(&self) -> Catalog {
        let shared = lock(&self.shared);
        let mut catalog = shared.catalog.clone();
        shared.pending.iter().for_each(|(_, changes)| {
            catalog.apply(changes.clone());
        });
        catalog
    }

    /// Processor time of its thread so far (seconds).
    pub fn cpu_s(&self) -> f64 {
        self.cpu.read_s().unwrap_or(0.0)
    }
}

/// A connection of a mixer.
struct Connection {
    stream: TcpStream,
    region: usize,
    reader: MessageReader,
    inbuf: Vec<u8>,
    out: VecDeque<(Rc<[u8]>, usize)>, // texts, and how much of each is written
    unsent: usize,
    closes: bool, // once all is written
    stalled: bool,
}

impl Connection {
    /// Writes what the socket takes; says how much that was.
    fn flush(&mut self) -> io::Result<u64> {
        let mut written = 0;
        while let Some((text, done)) = self.out.front_mut() {
            match self.stream.write(&text[*done..]) {
                Ok(count) => {
                    (*done, written) = (*done + count, written + count as u64);
                    self.unsent -= count;
                    if *done == text.len() {
                        self.out.pop_front();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        if self.closes && self.out.is_empty() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(written)
    }
}

struct Server {
    poll: Poll,
    listeners: Vec<TcpListener>,
    connections: SlotMap<ConnectionKey, Connection>,
    queue: CallQueue<ConnectionKey>,
    shared: Arc<Mutex<Shared>>,
    behavior: Behavior,
    partitioned: Vec<bool>,
    rendered: HashMap<Answer, Rc<[u8]>>, // answers at the present version
    rendered_for: (u64, Layout),
    start: Instant,
}

impl Server {
    fn new(
        poll: Poll,
        listeners: Vec<TcpListener>,
        shared: Arc<Mutex<Shared>>,
        behavior: Behavior,
    ) -> Server {
        let partitioned = vec![false; listeners.len()];
        let queue = CallQueue::new(behavior.service_time_s);
        let (connections, rendered) = (SlotMap::with_key(), HashMap::new());
        let (rendered_for, start) = ((0, Layout::Compact), Instant::now());
        Server {
            poll,
            listeners,
            connections,
            queue,
            shared,
            behavior,
            partitioned,
            rendered,
            rendered_for,
            start,
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        loop {
            let wait_s = self.wait_s();
            match self
                .poll
                .poll(&mut events, Some(Duration::from_secs_f64(wait_s)))
            {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                result => result?,
            }
            for event in &events {
                match event.token() {
                    WAKER => {}
                    Token(region) if region < self.listeners.len() => self.accept(region),
                    Token(key) => self.serve(ConnectionKey::from(KeyData::from_ffi(key as u64))),
                }
            }
            if self.apply_commands() {
                return Ok(());
            }
            self.answer_due();
        }
    }

    /// How long nothing is due.
    fn wait_s(&self) -> f64 {
        let pending = lock(&self.shared).pending.front().map(|(at, _)| *at);
        let until_s = |at: Instant| at.saturating_duration_since(Instant::now()).as_secs_f64();
        let queue_s = self
            .queue
            .next_due_at()
            .map_or(MAX_POLL_S, |at| at - self.now());
        let pending_s = pending.map_or(MAX_POLL_S, until_s);
        queue_s.min(pending_s).clamp(0.0, MAX_POLL_S)
    }

    /// Takes up what the owner of this discovery wants; says whether it is to end.
    fn apply_commands(&mut self) -> bool {
        let shared = self.shared.clone();
        let mut shared = lock(&shared);
        while shared
            .pending
            .front()
            .is_some_and(|(at, _)| *at <= Instant::now())
        {
            if let Some((_, changes)) = shared.pending.pop_front() {
                shared.catalog.apply(changes);
            }
        }
        self.behavior = shared.behavior;
        self.queue.set_service_time_s(self.behavior.service_time_s);
        if std::mem::take(&mut shared.ignore_open_watches) {
            self.queue.take_watches();
        }
        let joined = |region: usize| self.partitioned[region] && !shared.region_partitioned[region];
        let joined: Vec<usize> = (0..self.partitioned.len())
            .filter(|region| joined(*region))
            .collect();
        self.partitioned.clone_from(&shared.region_partitioned);
        let stop = shared.stop;
        drop(shared);
        let is_reset =
            |connection: &Connection| self.behavior.is_down || joined.contains(&connection.region);
        let reset: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_reset(connection))
            .map(|(key, _)| key)
            .collect();
        reset.into_iter().for_each(|key| self.close(key));
        stop
    }

    fn close(&mut self, key: ConnectionKey) {
        self.connections.remove(key);
        self.queue.remove_watch(key);
    }

    fn accept(&mut self, region: usize) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Ok((mut stream, _)) = self.listeners[region].accept() else {
                return;
            };
            lock(&self.shared).counters.connections += 1;
            if self.behavior.is_down {
                continue;
            }
            let _ = stream.set_nodelay(true);
            let registry = self.poll.registry();
            let reader = MessageReader::requests(MAX_CALL_BYTES);
            let key = self.connections.insert_with_key(|key| {
                let both = Interest::READABLE | Interest::WRITABLE;
                let _ = registry.register(&mut stream, Token(key.data().as_ffi() as usize), both);
                let (inbuf, out) = (Vec::new(), VecDeque::new());
                Connection {
                    stream,
                    region,
                    reader,
                    inbuf,
                    out,
                    unsent: 0,
                    closes: false,
                    stalled: false,
                }
            });
            self.serve(key);
        }
        // More may wait: the listener is looked at again in the next turn.
        let token = Token(region);
        let _ =
            self.poll
                .registry()
                .reregister(&mut self.listeners[region], token, Interest::READABLE);
    }

    /// Something has come on a connection, or more can be written to it.
    fn serve(&mut self, key: ConnectionKey) {
        let partitioned = &self.partitioned;
        let Some(connection) = self
            .connections
            .get_mut(key)
            .filter(|connection| !partitioned[connection.region])
        else {
            return;
        };
        let mut calls = Vec::new();
        let read = read_calls(connection, &mut calls);
        let flushed = connection.flush();
        let mut shared = lock(&self.shared);
        let counters = &mut shared.counters;
        counters.bytes_in += read.as_ref().map_or(0, |count| *count);
        counters.bytes_out += flushed.as_ref().map_or(0, |count| *count);
        counters.calls += calls.len() as u64;
        let is_heartbeat =
            |call: &&Call| matches!(call, Call::Watch { wait_s, .. } if *wait_s <= 0.0);
        counters.heartbeats += calls.iter().filter(is_heartbeat).count() as u64;
        drop(shared);
        if read.is_err() || flushed.is_err() {
            return self.close(key);
        }
        if !self.behavior.is_unresponsive {
            let now = self.now();
            calls
                .into_iter()
                .for_each(|call| self.queue.push(now, key, call));
        }
    }

    /// Answers what is due.
    fn answer_due(&mut self) {
        let shared = self.shared.clone();
        let mut shared = lock(&shared);
        let revision = shared.catalog.revision();
        if self.rendered_for != (revision, self.behavior.layout) {
            self.rendered.clear();
            self.rendered_for = (revision, self.behavior.layout);
        }
        let (now, complete_lists_only) = (self.now(), self.behavior.complete_lists_only);
        let catalog = &shared.catalog;
        let answers = self
            .queue
            .poll(now, revision, |since| catalog.has_changes_since(since));
        let mut closed = Vec::new();
        for (key, answer) in answers {
            let answer = match answer {
                Answer::Changes { .. } if complete_lists_only => Answer::CompleteList,
                answer => answer,
            };
            let is_served = |connection: &&mut Connection| {
                !connection.stalled && connection.unsent <= MAX_UNSENT_BYTES
            };
            let Some(connection) = self.connections.get_mut(key).filter(is_served) else {
                continue;
            };
            let text = self.rendered.entry(answer);
            let text = text
                .or_insert_with(|| render(&shared.catalog, answer, self.behavior.layout))
                .clone();
            count_answer(&mut shared.counters, answer, revision, text.len());
            send(connection, text, answer, self.behavior.delivery);
            let unsent = connection.unsent as u64;
            shared.counters.max_unsent_bytes = shared.counters.max_unsent_bytes.max(unsent);
            if self.partitioned[connection.region] {
                continue;
            }
            match connection.flush() {
                Ok(count) => shared.counters.bytes_out += count,
                Err(_) => closed.push(key),
            }
            if connection.unsent > MAX_UNSENT_BYTES {
                shared.counters.slow_closed += 1;
                closed.push(key);
            }
        }
        shared.counters.max_queued = self.queue.max_queued() as u64;
        shared.counters.watches = self.queue.watches() as u64;
        drop(shared);
        closed.into_iter().for_each(|key| self.close(key));
    }
}

/// Reads what has come; an error ends the connection.
fn read_calls(connection: &mut Connection, calls: &mut Vec<Call>) -> io::Result<u64> {
    let (mut buffer, mut count) = ([0; 4096], 0);
    loop {
        match connection.stream.read(&mut buffer) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(some) => {
                count += some as u64;
                connection.inbuf.extend_from_slice(&buffer[..some]);
                let invalid = |_| io::Error::from(io::ErrorKind::InvalidData);
                while let Some(message) = connection
                    .reader
                    .read(&mut connection.inbuf, false)
                    .map_err(invalid)?
                {
                    calls.push(call_of(&message).ok_or(io::ErrorKind::InvalidData)?);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(count),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// What a message asks: the complete list, or a watch from `index` on that waits for `wait` milliseconds.
fn call_of(message: &Message) -> Option<Call> {
    let StartLine::Request { target, .. } = &message.start else {
        return None;
    };
    let query = match target.strip_prefix("/api/targets")? {
        "" => return Some(Call::CompleteList),
        query => query.strip_prefix('?')?,
    };
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| value.parse::<u64>().ok())
    };
    let wait_s = value("wait").unwrap_or(0) as f64 / 1000.0;
    Some(match value("index") {
        Some(since) => Call::Watch {
            since,
            wait_s: wait_s.min(MAX_WATCH_S),
        },
        None => Call::CompleteList,
    })
}

fn render(catalog: &Catalog, answer: Answer, layout: Layout) -> Rc<[u8]> {
    let (status, body) = match answer {
        Answer::CompleteList => (200, catalog.complete_list(layout)),
        Answer::Changes { since } => (200, catalog.changes_since(since, layout)),
        Answer::Overloaded => (503, "{}".into()),
    };
    http::json_response(status, &[], &body, false).into()
}

fn count_answer(counters: &mut Counters, answer: Answer, revision: u64, bytes: usize) {
    match answer {
        Answer::CompleteList => counters.complete_lists += 1,
        Answer::Changes { since } if since < revision => {
            counters.change_answers += 1;
            counters.change_bytes += bytes as u64;
        }
        Answer::Changes { .. } => counters.empty_answers += 1,
        Answer::Overloaded => counters.overloaded += 1,
    }
}

/// Hands a text to a connection, as far as it is to be delivered.
fn send(connection: &mut Connection, text: Rc<[u8]>, answer: Answer, delivery: Delivery) {
    let (text, cut) = match (answer, delivery) {
        (Answer::CompleteList, Delivery::TruncateAfter(bytes) | Delivery::StallAfter(bytes)) => {
            (Rc::from(&text[..bytes.min(text.len())]), true)
        }
        _ => (text, false),
    };
    connection.closes = cut && matches!(delivery, Delivery::TruncateAfter(_));
    connection.stalled = cut && matches!(delivery, Delivery::StallAfter(_));
    connection.unsent += text.len();
    connection.out.push_back((text, 0));
}
