//! The listening sockets of both protocols. The caller decides when sockets are opened and closed, and accepts from them.

use crate::net::runtime::Runtime;
use crate::net::socket::bind_listener;
use crate::net::timer_queue::Deadline;
use crate::net::tokens::{LISTENERS, PROTOCOLS};
use crate::requests::query_request::Protocol;
use mio::net::TcpListener;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// Delay before opening a listener is retried (seconds). An address may not be available yet, such as the virtual one of VRRP.
const BIND_RETRY_S: f64 = 0.1;

/// The listening sockets, by protocol.
pub(super) struct Listeners {
    open: [Option<TcpListener>; 2],
    /// Protocols whose accept queue may hold more connections than one turn has accepted.
    pending: Vec<Protocol>,
    /// Earliest time at which connections that are left in an accept queue may have arrived (seconds); `f64::MAX` if none is left.
    queued_since: f64,
    /// Address of each listener; `None` for a protocol that is off and for an inherited listener.
    addresses: [Option<SocketAddr>; 2],
}

impl Listeners {
    /// Creates the listeners from the sockets that are already open and the addresses to listen on, both indexed by protocol.
    pub(super) fn new(
        open: [Option<TcpListener>; 2],
        addresses: [Option<SocketAddr>; 2],
    ) -> Listeners {
        Listeners {
            open,
            pending: Vec::new(),
            queued_since: f64::MAX,
            addresses,
        }
    }

    /// Returns the socket of a protocol if it is open.
    pub(super) fn get(&self, protocol: Protocol) -> Option<&TcpListener> {
        self.open[protocol as usize].as_ref()
    }

    /// Records that the accept queue of a protocol may hold more connections.
    pub(super) fn set_pending(&mut self, protocol: Protocol) {
        if !self.pending.contains(&protocol) {
            self.pending.push(protocol);
        }
    }

    /// Records the earliest time at which the connections in the accept queues may have arrived. `f64::MAX` if none was left.
    pub(super) fn set_queued_since(&mut self, since: f64) {
        self.queued_since = since;
    }

    /// Returns the earliest time at which the connections in the accept queues may have arrived.
    pub(super) fn queued_since(&self) -> f64 {
        self.queued_since
    }

    /// Returns whether an accept queue may hold more connections.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes the protocols whose accept queue may hold more connections.
    pub(super) fn take_pending(&mut self) -> Vec<Protocol> {
        std::mem::take(&mut self.pending)
    }

    /// Logs the address of each open socket.
    pub(super) fn log(&self, runtime: &mut Runtime) {
        for (protocol, suffix) in PROTOCOLS.into_iter().zip(["", ", search API"]) {
            if let Some(Ok(address)) = self.get(protocol).map(TcpListener::local_addr) {
                runtime.log(&format!(
                    "start: {} listens on {address}{suffix}",
                    runtime.name
                ));
            }
        }
    }

    /// Opens the sockets that are not open. A failed attempt is logged and repeated after a delay.
    pub(super) fn open(&mut self, runtime: &mut Runtime) {
        let mut is_any_new = false;
        for protocol in PROTOCOLS {
            let index = protocol as usize;
            let (Some(address), None) = (self.addresses[index], &self.open[index]) else {
                continue;
            };
            match listen(runtime, protocol, address) {
                Ok(listener) => {
                    self.open[index] = Some(listener);
                    is_any_new = true;
                }
                Err(error) => {
                    runtime.log(&format!("cannot listen on {address} yet: {error}"));
                    let retry_at = runtime.now + BIND_RETRY_S;
                    return runtime.timers.add(retry_at, Deadline::OpenListeners);
                }
            }
        }
        if is_any_new {
            self.log(runtime);
        }
    }

    /// Closes all sockets. The system resets the connections in the accept queue of a socket that no other process holds.
    pub(super) fn close(&mut self) {
        self.open = [None, None];
    }

    /// Registers the inherited listener of the platform protocol with the poll.
    pub(super) fn adopt(&mut self, mut listener: TcpListener, runtime: &mut Runtime) {
        let token = LISTENERS[Protocol::Platform as usize];
        let registry = runtime.poll.registry();
        if let Err(error) = registry.register(&mut listener, token, Interest::READABLE) {
            runtime.log(&format!("poll: {error}"));
        }
        self.open[Protocol::Platform as usize] = Some(listener);
        self.log(runtime);
    }

    /// Removes the platform protocol's listener from the poll and returns it, open and with its accept queue.
    pub(super) fn release(&mut self, runtime: &Runtime) -> Option<TcpListener> {
        let mut listener = self.open[Protocol::Platform as usize].take()?;
        let _ = runtime.poll.registry().deregister(&mut listener);
        Some(listener)
    }
}

fn listen(runtime: &Runtime, protocol: Protocol, address: SocketAddr) -> io::Result<TcpListener> {
    let mut listener = bind_listener(address)?;
    let token = LISTENERS[protocol as usize];
    let registry = runtime.poll.registry();
    registry.register(&mut listener, token, Interest::READABLE)?;
    Ok(listener)
}
