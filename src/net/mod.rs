//! The loop: one thread, one poll, every socket.
//!
//! This file owns the listeners and signals, the table of connections, what falls due when, and the
//! phases of the program from start to exit. It carries out what the core commands and tells it what came
//! of that. It must never decide about a request, never block but in its poll, and never let clients take
//! the descriptors that replicas and discovery need.

mod agenda;
mod clients;
mod control;
pub mod discovery;
pub mod handover;
pub mod http;
pub mod leaf;
pub mod opensearch;
pub mod operator;
pub mod platform;
mod replicas;

use crate::choices::connections;
use crate::core::{AttemptKey, Command, Core, Style};
pub use crate::members::ConnKey;
use crate::members::Directory;
use crate::settings::{Config, Deployment, Options, Shape};
use agenda::{Agenda, Due};
use clients::{Client, ClientState};
use discovery::DiscoveryConn;
use leaf::LeafConn;
use mio::net::{TcpListener, TcpStream, UnixStream};
use mio::{Events, Interest, Poll, Token};
use slotmap::{Key, KeyData, SecondaryMap, SlotMap};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// What exits must wait for a last answer to be read, at most (seconds).
const LAST_LINGER_S: f64 = 0.2;
/// Bytes that may wait to be written on a connection to a replica: bounds on what the memory leaves for it.
const WAITING_LEAST: usize = 64 * 1024;
const WAITING_MOST: usize = 512 * 1024;
/// Descriptors for anything but connections: standard ones, poll, listener, signals, spare; and the door's.
const OTHER_DESCRIPTORS: usize = 24 + control::DESCRIPTORS;
/// Settings that come while it runs are taken up after this time: clients learn of them up to 1.2 s after SIGHUP,
/// and go by the old ones until then (seconds).
const TAKE_UP_S: f64 = 1.0;
/// Paused, clients are served as usual for so long: whoever stands before us has to notice first. After that
/// answers are the last ones on their connections, and from the second time on idle connections are closed, again
/// and again for those that are still brought (seconds).
const PAUSED_PARTING_S: f64 = 0.4;
const PAUSED_IDLE_S: f64 = 0.7;
const PAUSED_AGAIN_S: f64 = 0.2;
/// Of the time for which clients are served after SIGTERM, the last share, in which connections end with answers.
const PARTING_SHARE: f64 = 0.2;
/// Clients hold a third of the descriptors at most for requests; beyond this share of that third they are a crowd.
const CROWD: f64 = 0.5;
/// Where an accept failed for want of descriptors it is tried again after this time (seconds).
const ACCEPT_AGAIN_S: f64 = 0.02;
/// Of the time after which a replica closes an idle connection, the share after which we do.
const IDLE_SHARE: f64 = 0.8;
/// Log lines in a second, at most.
const LINES_MOST: u32 = 50;
const LISTENERS: [Token; 2] = [Token(0), Token(1)]; // by style
const SIGNALS: Token = Token(2);
const STORE: Token = Token(3);
const VRRP: Token = Token(4);
const REREAD: Token = Token(5);
const DOOR: Token = Token(6);
const STYLES: [Style; 2] = [Style::Platform, Style::Search];

fn token(key: ConnKey) -> Token {
    Token(key.data().as_ffi() as usize)
}

/// Why the mixer could not start or go on.
#[derive(Debug, Error)]
pub enum NetError {
    /// The listener could not be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// The system refuses what the loop itself needs.
    #[error("the loop failed: {0}")]
    Loop(#[from] io::Error),
}

/// What the program hears from outside while it runs.
pub struct Signals {
    /// Becomes readable when the program is to end.
    pub stop: std::os::unix::net::UnixStream,
    /// Becomes readable when it is to reread its configuration.
    pub reread: std::os::unix::net::UnixStream,
    /// Where the configuration is.
    pub config: PathBuf,
}

/// The one clock, in Unix seconds: monotonic, tied to wall time once, so that a time told twice is twice the same,
/// and means the same to the process that takes over.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    start_s: f64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), start_s: wall.as_secs_f64() }
    }

    /// The time now (seconds).
    pub fn now(&self) -> f64 {
        self.start_s + self.origin.elapsed().as_secs_f64()
    }

    /// How long it has run at that time (seconds).
    pub fn since_start(&self, now: f64) -> f64 {
        now - self.start_s
    }

    /// A time of this clock as a Unix time in milliseconds.
    pub fn wall_now_ms(&self, now: f64) -> u64 {
        (now * 1000.0).max(0.0) as u64
    }
}

/// From start to exit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Another process still serves, and is to hand over: not ready, not accepting.
    Inheriting,
    /// No list of replicas yet: not ready.
    Starting,
    /// Ready.
    Serving,
    /// Told by the operators to send clients away: unready, still accepting.
    Paused,
    /// Another process has taken over: not accepting, ending connections with their answers until told to end.
    Leaving,
    /// Told to end: unready, still accepting until that time.
    Draining { until: f64 },
    /// The listener is closed; what is held is answered until none is left, or that time.
    Closing { until: f64 },
    /// Over.
    Stopped,
}

enum Conn {
    Client(Box<Client>),
    Leaf(Box<LeafConn>),
    Discovery(Box<DiscoveryConn>),
    Peer(Box<operator::PeerConn>),
    Caller(Box<control::Caller>),
}

/// The mixer on its sockets.
pub struct Mixer {
    poll: Poll,
    name: String,
    listeners: [Option<TcpListener>; 2], // by style
    signals: UnixStream,
    rereads: UnixStream,
    config: PathBuf,
    conns: SlotMap<ConnKey, Conn>,
    flights: SecondaryMap<AttemptKey, ConnKey>, // where each attempt is out
    agenda: Agenda,
    core: Core,
    commands: Vec<Command>,
    resumed: Vec<ConnKey>, // clients that may have sent more while they were being answered
    deployment: Rc<Deployment>,
    directory: Directory,
    discovery: Option<SocketAddr>,
    file_discovery: Option<SocketAddr>,
    shape: Shape,
    coming: Option<Rc<Deployment>>, // settings that were accepted and are taken up soon
    asking: Option<ConnKey>,
    rng: oorandom::Rand64, // for lots that keep a fleet out of step
    revision: Option<u64>,
    /// Whether it goes over to another discovery: the old list holds until the new one has told its own.
    going_over: bool,
    phase: Phase,
    sweep_at: f64,   // in phases that send clients away: when idle ones are next
    parting_at: f64, // from when on an answer is the last one on its connection
    door: Option<control::Door>,
    handover: Option<handover::Handover>,
    addresses: [Option<SocketAddr>; 2], // to listen on, by style; none for a listener that is inherited
    conf_loaded: u64,                   // files that were accepted at SIGHUP,
    conf_invalid: u64,                  // and turned down
    clock: Clock,
    now: f64,
    clients: usize,
    usable: usize,        // descriptors for connections to clients and replicas
    crowd: usize,         // more clients than this are one
    buffered_most: usize, // bytes of requests that are not whole yet, over all clients
    leaves: usize,
    waiting_most: usize, // bytes that may wait to be written to one replica's connection
    lines: (f64, u32),
    search_tenant: Option<String>,
    last_search: u64,
    drain_s: f64,
    store: Option<operator::Store>,
    vrrp: Option<operator::Vrrp>,
}

impl Mixer {
    /// Opens the listener and all that the loop needs.
    pub fn new(options: Options, signals: Signals) -> Result<Mixer, NetError> {
        let poll = Poll::new()?;
        let listen = |address: SocketAddr, style: Style| {
            let mut listener =
                TcpListener::bind(address).map_err(|error| NetError::Listen { address, error })?;
            poll.registry().register(&mut listener, LISTENERS[style as usize], Interest::READABLE)?;
            Ok::<_, NetError>(listener)
        };
        let inherited = options.inherited.filter(|_| options.vrrp.is_none());
        let addresses = [Some(options.listen).filter(|_| inherited.is_none()), options.search];
        let mut listeners = [None, None];
        // With VRRP it is the Active state that opens them; beside another process, its end.
        let at_once = options.vrrp.is_none() && inherited.is_none();
        for (style, address) in STYLES.into_iter().zip(addresses).filter(|_| at_once) {
            listeners[style as usize] = address.map(|address| listen(address, style)).transpose()?;
        }
        let Signals { stop, reread, config } = signals;
        let watch = |pipe: std::os::unix::net::UnixStream, token: Token| {
            pipe.set_nonblocking(true)?;
            let mut pipe = UnixStream::from_std(pipe);
            poll.registry().register(&mut pipe, token, Interest::READABLE)?;
            Ok::<_, io::Error>(pipe)
        };
        let (signals, rereads) = (watch(stop, SIGNALS)?, watch(reread, REREAD)?);
        let clock = Clock::start();
        let now = clock.now();
        let deployment = Rc::new(options.deployment);
        // Guards the sockets to replicas and discovery: clients get what is left of the limit.
        let other = OTHER_DESCRIPTORS + if inherited.is_some() { handover::DESCRIPTORS } else { 0 };
        let usable = options.sockets.saturating_sub(other).max(8);
        let leaves_most = connections::shares(usable, usize::MAX).1;
        let mut mixer = Mixer {
            poll,
            name: options.name,
            listeners,
            signals,
            rereads,
            config,
            conns: SlotMap::with_key(),
            flights: SecondaryMap::new(),
            agenda: Agenda::default(),
            core: Core::new(deployment.clone(), options.seed, now),
            commands: Vec::new(),
            resumed: Vec::new(),
            directory: Directory::new(deployment.zones.clone()),
            deployment,
            discovery: options.discovery,
            file_discovery: options.file_discovery,
            shape: options.shape,
            coming: None,
            asking: None,
            rng: oorandom::Rand64::new(u128::from(options.seed) + 1),
            revision: None,
            going_over: false,
            phase: Phase::Starting,
            sweep_at: 0.0,
            parting_at: f64::MAX,
            door: None,
            handover: None,
            addresses,
            conf_loaded: 0,
            conf_invalid: 0,
            clock,
            now,
            clients: 0,
            usable,
            crowd: (CROWD * options.sockets as f64 / 3.0) as usize,
            buffered_most: options.memory / 8,
            leaves: 0,
            waiting_most: (options.memory / 8 / leaves_most).clamp(WAITING_LEAST, WAITING_MOST),
            lines: (now, 0),
            search_tenant: options.search_tenant,
            last_search: 0,
            drain_s: options.drain_s,
            store: None,
            vrrp: None,
        };
        mixer.log_listeners();
        mixer.log_phases();
        if let Some(address) = options.operator {
            mixer.open_door(address)?;
        }
        if let Some(setup) = options.store {
            mixer.set_up_store(setup)?;
        }
        if let Some(setup) = options.vrrp {
            mixer.set_up_vrrp(setup)?;
        }
        if inherited.is_some() {
            mixer.phase = Phase::Inheriting;
        }
        if let Some(known) = &options.known {
            mixer.take_list(known);
        }
        if let Some((listener, path)) = inherited {
            mixer.set_up_handover(listener, path)?;
        }
        if !mixer.deployment.policy.must_ask {
            mixer.ask();
        }
        mixer.core.start(mixer.now, &mut mixer.commands);
        mixer.settle();
        Ok(mixer)
    }

    /// Runs until the program is to end and all that was held is answered.
    pub fn run(&mut self) -> Result<(), NetError> {
        let mut events = Events::with_capacity(256);
        while self.phase != Phase::Stopped {
            let wait = self.agenda.wait(self.clock.now());
            match self.poll.poll(&mut events, wait) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                result => result?,
            }
            self.now = self.clock.now();
            // Operators come first: what clients bring must not keep their replies waiting.
            for event in &events {
                match event.token() {
                    DOOR => self.door_accept(),
                    Token(key) => self.caller_event(ConnKey::from(KeyData::from_ffi(key as u64))),
                }
            }
            for event in &events {
                match event.token() {
                    Token(style) if style < STYLES.len() => self.accept(STYLES[style]),
                    SIGNALS => self.stop_asked(),
                    REREAD => self.reread_asked(),
                    STORE => self.store_accept(),
                    VRRP => self.vrrp_event(),
                    DOOR => {}
                    handover::MEETING => self.meeting_event(),
                    handover::PREDECESSOR => self.link_event(handover::Side::Predecessor),
                    handover::SUCCESSOR => self.link_event(handover::Side::Successor),
                    Token(key) => {
                        let key = ConnKey::from(KeyData::from_ffi(key as u64));
                        let gone = event.is_error() || (event.is_read_closed() && event.is_write_closed());
                        self.conn_event(key, gone, event.is_read_closed());
                    }
                }
                self.settle();
            }
            self.now = self.clock.now();
            while let Some(due) = self.agenda.next(self.now) {
                self.due(due);
                self.settle();
            }
            self.check_end();
        }
        Ok(())
    }

    fn log(&mut self, line: &str) {
        if self.now >= self.lines.0 + 1.0 {
            self.lines = (self.now, 0);
        }
        self.lines.1 += 1;
        if self.lines.1 <= LINES_MOST {
            // A log that nobody reads is no reason to end.
            let _ = writeln!(io::stderr(), "wharfhub {:.3} {line}", self.clock.since_start(self.now));
        }
    }

    /// Which classes may be asked in two phases, if any.
    fn log_phases(&mut self) {
        let classes = self.deployment.phases.classes.iter().map(|class| &self.deployment.classes[*class]);
        let classes: Vec<&String> = classes.collect();
        if !classes.is_empty() {
            self.log(&format!("phases: on for {classes:?}"));
        }
    }

    fn log_listeners(&mut self) {
        for (style, what) in STYLES.into_iter().zip(["", ", search API"]) {
            let address = self.listeners[style as usize].as_ref().map(TcpListener::local_addr);
            if let Some(Ok(address)) = address {
                self.log(&format!("start: {} listens on {address}{what}", self.name));
            }
        }
    }

    /// Carries out what the core commands, and what comes of that, until nothing is left.
    fn settle(&mut self) {
        while !self.commands.is_empty() || !self.resumed.is_empty() {
            for key in std::mem::take(&mut self.resumed) {
                self.read_client(key);
            }
            for command in std::mem::take(&mut self.commands) {
                match command {
                    Command::Call { replica, parts } => self.call(replica, parts),
                    Command::GiveUp { attempt } => self.give_up(attempt),
                    Command::Unsend { attempt } => self.unsend(attempt),
                    Command::Reply { caller, last, asked, took_s } => {
                        let key = ConnKey::from(KeyData::from_ffi(caller));
                        let close = self.parts_with_clients();
                        let Some(Conn::Client(client)) = self.conns.get_mut(key) else { continue };
                        let close = close || client.close;
                        let bytes = match client.context.take() {
                            Some(context) => opensearch::answer(&context, &asked, last, took_s, close),
                            None => platform::answer(&asked, last, close),
                        };
                        self.respond(key, bytes, close);
                    }
                    Command::WakeAt { at, wake } => self.agenda.add(at, Due::Core(wake)),
                    Command::Watch => self.ask(),
                    Command::CloseIdle { replica } => self.close_idle(replica),
                    Command::Log(line) => self.log(&line),
                }
            }
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Core(wake) => self.core.wake(self.now, wake, &mut self.commands),
            Due::Conn(key) => self.conn_due(key),
            Due::Handover => self.handover_due(),
            Due::Door => self.door_accept(),
            Due::Accept => STYLES.into_iter().for_each(|style| self.accept(style)),
            Due::Ask => self.ask(),
            Due::Settings => self.take_settings(),
            Due::Listen => self.open_listeners(),
            Due::Vrrp => self.vrrp_take(crate::vrrp::Event::Timer),
            Due::Refresh => self.refresh(),
            Due::Operation(id) => self.operation_due(id),
            Due::Phase => match self.phase {
                Phase::Draining { until } if self.now + 1e-4 >= until => self.close_listener(),
                // One at a time, however often it was told to pause and to resume.
                Phase::Paused | Phase::Leaving if self.now + 1e-4 >= self.sweep_at => {
                    let fresh_s = if self.phase == Phase::Leaving { 0.0 } else { PAUSED_AGAIN_S / 2.0 };
                    self.send_idle_away(fresh_s);
                    self.sweep_idle_at(self.now + PAUSED_AGAIN_S);
                }
                _ => {}
            },
        }
    }

    // ---- phases

    fn closes(&self) -> bool {
        !matches!(self.phase, Phase::Inheriting | Phase::Starting | Phase::Serving | Phase::Paused)
    }

    /// Whether an answer is the last one on its connection. Told to end, we keep connections at first: those
    /// who stand before us may not have another mixer ready yet, and their clients would have nowhere to go.
    /// Guards the clients' own share of connections in a crowd: where each asks once and then keeps its connection,
    /// the next one could open none until the idle ones are closed.
    fn parts_with_clients(&self) -> bool {
        self.now >= self.parting_at || self.clients > self.crowd
    }

    fn ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Unready from now on: whoever stands before us sends no new clients once it has noticed. Until then they
    /// are served as usual, for a client sent away too early would come back through the same front.
    fn pause(&mut self) {
        if !matches!(self.phase, Phase::Starting | Phase::Serving) {
            return;
        }
        self.phase = Phase::Paused;
        self.parting_at = self.now + PAUSED_PARTING_S;
        self.sweep_idle_at(self.now + PAUSED_IDLE_S);
        self.log("pause: unready, sending clients away");
        self.vrrp_take(crate::vrrp::Event::Shutdown);
    }

    /// When idle clients are sent away next.
    fn sweep_idle_at(&mut self, at: f64) {
        self.sweep_at = at;
        self.agenda.add(at, Due::Phase);
    }

    /// Back to work.
    fn resume(&mut self) {
        if self.phase != Phase::Paused {
            return;
        }
        self.phase = if self.directory.has_ready() { Phase::Serving } else { Phase::Starting };
        self.parting_at = f64::MAX;
        self.log("resume: back to work");
        self.vrrp_take(crate::vrrp::Event::Startup);
    }

    fn stop_asked(&mut self) {
        let mut buffer = [0; 64];
        while matches!(self.signals.read(&mut buffer), Ok(count) if count > 0) {}
        if matches!(self.phase, Phase::Inheriting | Phase::Leaving) {
            self.leave_predecessor();
            self.close_listener();
        } else if !self.closes() {
            let until = self.now + self.drain_s;
            self.phase = Phase::Draining { until };
            self.parting_at = self.parting_at.min(until - PARTING_SHARE * self.drain_s);
            self.agenda.add(until, Due::Phase);
            self.log("drain: told to end; unready, still serving");
        }
    }

    /// Rereads the configuration. Requests and connections stay as they are; what is wrong changes nothing.
    fn reread_asked(&mut self) {
        let mut buffer = [0; 64];
        while matches!(self.rereads.read(&mut buffer), Ok(count) if count > 0) {}
        let reread = match Config::reread(&self.config, &self.shape) {
            Ok(reread) => reread,
            Err(error) => {
                self.conf_invalid += 1;
                return self.log(&format!("reload: the old configuration stays: {error}"));
            }
        };
        self.conf_loaded += 1;
        self.shape = reread.shape;
        // What the operators stored comes before the file.
        if !self.settings_stored() {
            self.settings_come(reread.deployment);
        }
        // The environment of a start can't change, the file can: what is new in it is what is wanted now.
        match reread.discovery.filter(|address| Some(*address) != self.file_discovery) {
            Some(address) => self.go_over(address),
            None => self.log("reload: discovery stays"),
        }
    }

    /// Settings that are sound. They are taken up a little later: clients go by the old names and rules until then.
    fn settings_come(&mut self, deployment: Deployment) {
        let new = deployment != *self.deployment;
        self.coming = new.then(|| Rc::new(deployment));
        if new {
            self.agenda.add(self.now + TAKE_UP_S, Due::Settings);
            self.log("reload: settings are new; they are taken up in a second");
        }
    }

    fn take_settings(&mut self) {
        let Some(deployment) = self.coming.take() else { return };
        self.directory.set_zones(deployment.zones.clone());
        self.deployment = deployment.clone();
        self.core.reconfigure(self.now, deployment, &mut self.commands);
        self.log(&format!("reload: settings taken up, classes {:?}", self.deployment.classes));
        self.log_phases();
    }

    /// Leaves the old discovery. The new one's versions are its own, so its whole list comes first; until
    /// then the old list is in use. In the phases of an end it serves what is still held.
    fn go_over(&mut self, address: SocketAddr) {
        self.log(&format!("reload: going over to discovery {address}"));
        (self.discovery, self.file_discovery, self.revision) = (Some(address), Some(address), None);
        if let Some(key) = self.asking {
            self.drop_conn(key);
        }
        self.going_over = true;
        self.ask();
    }

    /// Empties the accept queue, closes the listener and sends idle clients away. A queue that was inherited stays
    /// for the next process.
    fn close_listener(&mut self) {
        if self.handover.is_some() {
            self.leave_queue();
        }
        STYLES.into_iter().for_each(|style| self.accept(style));
        self.listeners = [None, None];
        self.vrrp_take(crate::vrrp::Event::Shutdown);
        let longest = self.deployment.policy.classes.iter().map(|class| class.deadline_s);
        let until = self.now + longest.fold(3.0, f64::max);
        (self.phase, self.parting_at) = (Phase::Closing { until }, self.now);
        self.agenda.add(until, Due::Phase);
        self.send_idle_away(0.0);
        self.log(&format!("drain: listener closed, {} requests held", self.core.open()));
    }

    fn check_end(&mut self) {
        let Phase::Closing { until } = self.phase else { return };
        let busy = |conn: &Conn| match conn {
            Conn::Client(client) => {
                client.state != ClientState::Lingering || self.now < client.since + LAST_LINGER_S
            }
            _ => false,
        };
        if self.now >= until || !self.conns.values().any(busy) {
            self.phase = Phase::Stopped;
            self.log("stop: all that was held is answered");
        } else {
            self.agenda.add(self.now + LAST_LINGER_S / 4.0, Due::Phase);
        }
    }

    // ---- connections of every kind

    fn register(&mut self, key: ConnKey) {
        let both = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        let result = match self.conns.get_mut(key) {
            Some(Conn::Client(client)) => registry.register(&mut client.stream, token(key), both),
            Some(Conn::Leaf(leaf)) => registry.register(&mut leaf.stream, token(key), both),
            Some(Conn::Discovery(conn)) => registry.register(&mut conn.stream, token(key), both),
            Some(Conn::Peer(peer)) => peer.register(registry, key),
            Some(Conn::Caller(caller)) => caller.register(registry, key),
            None => Ok(()),
        };
        if let Err(error) = result {
            self.log(&format!("poll: {error}"));
        }
    }

    fn conn_event(&mut self, key: ConnKey, gone: bool, read_closed: bool) {
        match self.conns.get_mut(key) {
            Some(Conn::Client(client)) => {
                client.ended |= gone || read_closed;
                match client.state {
                    ClientState::Writing => self.write_client(key),
                    ClientState::Held(_) | ClientState::Waiting => self.heed_end(key),
                    _ => self.read_client(key),
                }
            }
            Some(Conn::Leaf(_)) => self.leaf_event(key),
            Some(Conn::Discovery(_)) => self.discovery_event(key),
            Some(Conn::Peer(_)) => self.peer_event(key),
            Some(Conn::Caller(_)) => {} // served before all others
            None => {}                  // an event for a connection that is gone
        }
    }

    fn conn_due(&mut self, key: ConnKey) {
        match self.conns.get_mut(key) {
            Some(Conn::Client(client)) => {
                client.watched_to = 0.0;
                if self.now + 1e-4 < client.limit() {
                    self.watch_client(key);
                } else if client.state == ClientState::Reading && !client.idle() {
                    let bytes = match client.style {
                        Style::Platform => {
                            platform::error(408, "the request took too long to come", &[], true)
                        }
                        Style::Search => opensearch::too_slow(),
                    };
                    self.respond(key, bytes, true);
                } else if client.state == ClientState::Reading {
                    // Guards a request that has come and was not read yet: whoever turns out to have sent one stays.
                    self.read_client(key);
                    if matches!(self.conns.get(key), Some(Conn::Client(client)) if client.idle()) {
                        self.linger(key);
                    }
                } else {
                    self.drop_conn(key);
                }
            }
            Some(Conn::Leaf(leaf)) => {
                if !leaf.up {
                    return self.end_leaf(key, "never came up");
                }
                // Guards the parts on a connection where an answer never ends.
                if leaf.whole_by().is_some_and(|by| by <= self.now + 1e-4) {
                    let error = leaf.spoil(None, "an answer that does not end");
                    return self.end_leaf(key, &error.to_string());
                }
                // Guards against a part lost on a connection that the other side is closing: ours goes first.
                let limit = leaf.used_at + IDLE_SHARE * self.deployment.conn_idle_s;
                if self.now + 1e-4 < limit {
                    self.agenda.add(limit, Due::Conn(key));
                } else if leaf.unused() {
                    self.drop_conn(key);
                } else {
                    self.agenda.add(self.now + 0.5, Due::Conn(key));
                }
            }
            Some(Conn::Discovery(conn)) if self.now + 1e-4 >= conn.due => {
                self.end_discovery(key, "no answer in time");
            }
            Some(Conn::Caller(_)) => self.caller_due(key),
            Some(Conn::Discovery(_) | Conn::Peer(_)) | None => {}
        }
    }

    /// Forgets a connection. What was out on a connection to a replica must have been taken from it before.
    fn drop_conn(&mut self, key: ConnKey) {
        match self.conns.remove(key) {
            Some(Conn::Client(_)) => self.clients -= 1,
            Some(Conn::Leaf(leaf)) => {
                self.leaves -= 1;
                if let Some(member) = self.directory.member(leaf.replica) {
                    member.conns.retain(|other| *other != key);
                }
            }
            Some(Conn::Discovery(_)) => self.asking = None,
            Some(Conn::Peer(_) | Conn::Caller(_)) | None => {}
        }
    }
}

/// Whether a connection has come up; an error says why it never will.
fn came_up(stream: &TcpStream) -> io::Result<bool> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(error) => Err(error),
    }
}
