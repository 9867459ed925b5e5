//! The start of the mixer: opens its sockets, derives its limits and creates its subsystems.

use crate::config::{DecodedSettings, Deployment, Options};
use crate::endpoints::directory::Directory;
use crate::net::backlog::Backlog;
use crate::net::client::connections::ClientConnections;
use crate::net::clock::Clock;
use crate::net::discovery::DiscoveryClient;
use crate::net::error::NetError;
use crate::net::event_loop::{Mixer, Signals};
use crate::net::lifecycle::Lifecycle;
use crate::net::listeners::Listeners;
use crate::net::log::Log;
use crate::net::loop_metrics::LoopMetrics;
use crate::net::reload::Reload;
use crate::net::replica::pool::ReplicaConnections;
use crate::net::runtime::Runtime;
use crate::net::socket::listen;
use crate::net::timer_queue::TimerQueue;
use crate::net::tokens::{LISTENERS, PROTOCOLS, RELOAD, SIGNALS};
use crate::net::{admin, handover};
use crate::requests::coordinator::Coordinator;
use crate::requests::settings_schedule::SettingsSchedule;
use mio::net::{TcpListener, UnixStream};
use mio::{Interest, Poll, Registry, Token};
use slotmap::SlotMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Number of descriptors reserved for anything but client and replica connections: the standard streams, the poll, listeners,
/// signal pipes, spare ones, and those of the admin interface.
const OTHER_DESCRIPTORS: usize = 24 + admin::DESCRIPTORS;
/// Minimum number of connections to clients and replicas, regardless of the limit on descriptors.
const MIN_CONNECTIONS: usize = 8;

/// Starts a mixer: opens its sockets and takes over the configured endpoint list, if there is one.
pub(super) fn start(mut options: Options, signals: Signals) -> Result<Mixer, NetError> {
    // With VRRP the listeners are opened and closed by its state changes, so an inherited listener is not used.
    let inherited = options.inherited.take().filter(|_| options.vrrp.is_none());
    let known_list = options.known_list.take();
    let admin_address = options.operator;
    let store = options.store.take();
    let vrrp = options.vrrp.take();
    // With VRRP the listeners are opened when the router becomes Active; with an inherited listener, after the takeover or its failure.
    let is_listening = vrrp.is_none() && inherited.is_none();
    let kind = StartupKind {
        is_inheriting: inherited.is_some(),
        is_listening,
        has_store: store.is_some(),
    };
    let mut mixer = build(options, signals, kind)?;
    mixer.log_listeners();
    mixer.log_phases();
    mixer.apply_due_settings();
    if let Some(address) = admin_address {
        mixer.open_admin_interface(address)?;
    }
    if let Some(setup) = store {
        mixer.set_up_store(setup)?;
    }
    if let Some(setup) = vrrp {
        mixer.set_up_vrrp(setup)?;
    }
    if inherited.is_some() {
        mixer.lifecycle.begin_inheriting();
    }
    if let Some(known) = &known_list {
        mixer.apply_list(known);
    }
    if let Some(inherited) = inherited {
        mixer.set_up_handover(inherited)?;
    }
    mixer.publish_lease();
    if !mixer.runtime.deployment.policy.must_poll {
        mixer.call_discovery();
    }
    let runtime = &mut mixer.runtime;
    runtime
        .coordinator
        .start(runtime.now, &mut runtime.commands);
    mixer.process_commands();
    Ok(mixer)
}

/// The parts of the configuration on which the start depends.
#[derive(Clone, Copy)]
struct StartupKind {
    /// The process inherits its listener, and may take over from a predecessor.
    is_inheriting: bool,
    /// The listeners are opened at once.
    is_listening: bool,
    /// The store is configured.
    has_store: bool,
}

/// Creates the subsystems in their initial states.
fn build(options: Options, signals: Signals, kind: StartupKind) -> Result<Mixer, NetError> {
    let poll = Poll::new()?;
    let addresses = [
        Some(options.listen).filter(|_| !kind.is_inheriting),
        options.search,
    ];
    let open = open_listeners(poll.registry(), addresses, kind.is_listening)?;
    let stop = watch_pipe(poll.registry(), signals.stop, SIGNALS)?;
    let reload = watch_pipe(poll.registry(), signals.reload, RELOAD)?;
    let max_connections = max_connections(options.max_sockets, kind.is_inheriting);
    let setup = RuntimeSetup {
        name: options.name,
        seed: options.seed,
        max_connections,
        memory_bytes: options.max_memory_bytes,
    };
    let settings = DecodedSettings::new(options.deployment, options.settings_text);
    let mut runtime = build_runtime(poll, setup, settings.deployment.clone());
    let schedule = SettingsSchedule::new(runtime.now, settings, kind.has_store);
    let discovery = DiscoveryClient::new(
        options.discovery,
        &runtime.deployment.policy,
        options.max_memory_bytes,
        runtime.now,
        runtime.rng.rand_float(),
    );
    let started_at = runtime.now;
    Ok(Mixer {
        runtime,
        listeners: Listeners::new(open, addresses),
        clients: ClientConnections::new(
            options.max_sockets,
            options.max_memory_bytes,
            options.search_tenant,
        ),
        replicas: ReplicaConnections::new(options.max_memory_bytes, max_connections),
        discovery,
        lifecycle: Lifecycle::new(stop, options.drain_s),
        reload: Reload::new(
            reload,
            signals.config_path,
            options.key_paths,
            options.file_discovery,
            schedule,
            started_at,
        ),
        admin: None,
        handover: None,
        store: None,
        vrrp: None,
    })
}

/// The options for the runtime, without the settings.
struct RuntimeSetup {
    name: String,
    seed: u64,
    max_connections: usize,
    memory_bytes: usize,
}

/// Creates the runtime and starts its clock.
fn build_runtime(poll: Poll, setup: RuntimeSetup, deployment: Rc<Deployment>) -> Runtime {
    let clock = Clock::start();
    let now = clock.now();
    Runtime {
        poll,
        name: setup.name,
        clock,
        now,
        iteration_started_at: now,
        previous_iteration_at: now,
        timers: TimerQueue::default(),
        backlog: Backlog::default(),
        log: Log::new(now),
        loop_metrics: LoopMetrics::default(),
        rng: oorandom::Rand64::new(u128::from(setup.seed) + 1),
        connections: SlotMap::with_key(),
        memory_bytes: setup.memory_bytes,
        max_connections: setup.max_connections,
        coordinator: Coordinator::new(deployment.clone(), setup.seed, now),
        commands: Vec::new(),
        directory: Directory::new(deployment.zones.clone()),
        deployment,
    }
}

/// Returns how many connections to clients and replicas the limit on descriptors allows.
fn max_connections(max_descriptors: usize, is_inheriting: bool) -> usize {
    let handover = if is_inheriting {
        handover::RESERVED_DESCRIPTORS
    } else {
        0
    };
    max_descriptors
        .saturating_sub(OTHER_DESCRIPTORS + handover)
        .max(MIN_CONNECTIONS)
}

/// Opens the listeners of the protocols that have an address, unless listening starts later. The result is indexed by protocol.
fn open_listeners(
    registry: &Registry,
    addresses: [Option<SocketAddr>; 2],
    is_listening: bool,
) -> Result<[Option<TcpListener>; 2], NetError> {
    let mut listeners = [None, None];
    for protocol in PROTOCOLS.into_iter().filter(|_| is_listening) {
        let index = protocol as usize;
        if let Some(address) = addresses[index] {
            listeners[index] = Some(listen(registry, address, LISTENERS[index])?);
        }
    }
    Ok(listeners)
}

/// Registers the pipe that reports a signal with the poll.
fn watch_pipe(
    registry: &Registry,
    pipe: std::os::unix::net::UnixStream,
    token: Token,
) -> io::Result<UnixStream> {
    pipe.set_nonblocking(true)?;
    let mut pipe = UnixStream::from_std(pipe);
    registry.register(&mut pipe, token, Interest::READABLE)?;
    Ok(pipe)
}
