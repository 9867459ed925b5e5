//! The listening sockets of both protocols.
//!
//! This file owns them and their addresses. It must never accept a connection, and never decide when a socket is opened or
//! closed.

use crate::net::runtime::Runtime;
use crate::net::timer_queue::Deadline;
use crate::net::tokens::{LISTENERS, PROTOCOLS};
use crate::requests::query_request::Protocol;
use mio::net::TcpListener;
use mio::Interest;
use std::io;
use std::net::SocketAddr;

/// Where an address cannot be listened on yet, such as the virtual one of VRRP, it is retried after this time (seconds).
const BIND_RETRY_S: f64 = 0.1;

/// The listening sockets, by protocol.
pub(super) struct Listeners {
    open: [Option<TcpListener>; 2],
    /// Where to listen; none for a front that is off, and for a listener that is inherited.
    addresses: [Option<SocketAddr>; 2],
}

impl Listeners {
    /// The sockets that are open already, and where to listen; both by protocol.
    pub(super) fn new(
        open: [Option<TcpListener>; 2],
        addresses: [Option<SocketAddr>; 2],
    ) -> Listeners {
        Listeners { open, addresses }
    }

    /// The socket of a protocol, while it is open.
    pub(super) fn get(&self, protocol: Protocol) -> Option<&TcpListener> {
        self.open[protocol as usize].as_ref()
    }

    /// Writes the address of each open socket to the log.
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

    /// Opens the sockets that are not open; again a little later where that is not possible yet.
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

    /// Closes all. What waits in the accept queue of a socket that no other process holds is reset by the system.
    pub(super) fn close(&mut self) {
        self.open = [None, None];
    }

    /// Begins to watch the platform's inherited listener.
    pub(super) fn adopt(&mut self, mut listener: TcpListener, runtime: &mut Runtime) {
        let token = LISTENERS[Protocol::Platform as usize];
        let registry = runtime.poll.registry();
        if let Err(error) = registry.register(&mut listener, token, Interest::READABLE) {
            runtime.log(&format!("poll: {error}"));
        }
        self.open[Protocol::Platform as usize] = Some(listener);
        self.log(runtime);
    }

    /// Stops watching the platform's listener, and returns it open with its accept queue as it is.
    pub(super) fn release(&mut self, runtime: &Runtime) -> Option<TcpListener> {
        let mut listener = self.open[Protocol::Platform as usize].take()?;
        let _ = runtime.poll.registry().deregister(&mut listener);
        Some(listener)
    }
}

fn listen(runtime: &Runtime, protocol: Protocol, address: SocketAddr) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(address)?;
    let token = LISTENERS[protocol as usize];
    let registry = runtime.poll.registry();
    registry.register(&mut listener, token, Interest::READABLE)?;
    Ok(listener)
}
