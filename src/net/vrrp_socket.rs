//! The UDP socket on which VRRP advertisements are exchanged, and the virtual router's state machine. The caller opens and
//! closes the client listeners after a [`VrrpChange`].

use crate::config::VrrpSetup;
use crate::net::error::NetError;
use crate::net::runtime::Runtime;
use crate::net::socket::open_with_retries;
use crate::net::timer_queue::Deadline;
use crate::net::tokens::VRRP;
use crate::vrrp::{Advertisement, Event, Router, State};
use mio::net::UdpSocket;
use mio::Interest;
use std::io;
use std::net::{IpAddr, SocketAddr};

/// Size of the receive buffer (bytes); an advertisement of 255 addresses has 1,028 bytes.
const MAX_MESSAGE_BYTES: usize = 2048;

/// A state change that requires opening or closing the client listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum VrrpChange {
    /// This router has become Active: the client listeners have to be opened.
    BecameActive,
    /// This router is no longer Active: another one serves the addresses, or none does.
    LeftActive,
}

/// A virtual router with its socket.
pub(in crate::net) struct VrrpSocket {
    router: Router,
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
}

impl VrrpSocket {
    /// Opens the socket. The router starts with [`Event::Startup`].
    pub(in crate::net) fn open(
        runtime: &mut Runtime,
        setup: VrrpSetup,
    ) -> Result<VrrpSocket, NetError> {
        let address = setup.listen;
        let mut socket = open_with_retries(|| UdpSocket::bind(address))
            .map_err(|error| NetError::Listen { address, error })?;
        runtime
            .poll
            .registry()
            .register(&mut socket, VRRP, Interest::READABLE)?;
        let line = format!(
            "vrrp: router {} advertises from {}",
            setup.router.router,
            socket.local_addr()?
        );
        runtime.log(&line);
        Ok(VrrpSocket {
            router: Router::new(setup.router),
            socket,
            peers: setup.peers,
        })
    }

    /// Returns the state of the router.
    pub(in crate::net) fn state(&self) -> State {
        self.router.state()
    }

    /// Reads messages until a valid advertisement of a configured peer is found. Returns `None` if no more messages are
    /// available.
    pub(in crate::net) fn receive(&self, runtime: &mut Runtime) -> Option<Event> {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        loop {
            let (count, from) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                // A peer that is down causes this error; later messages are not affected.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(_) => return None,
            };
            if !self.peers.contains(&from) {
                continue;
            }
            let IpAddr::V4(address) = from.ip() else {
                continue;
            };
            match Advertisement::decode(&buffer[..count]) {
                Ok(advertisement) => {
                    return Some(Event::Received {
                        from: address,
                        advertisement,
                    })
                }
                Err(error) => runtime.log_peer(|| format!("vrrp: from {from}: {error}")),
            }
        }
    }

    /// Passes an event to the state machine and sends the resulting advertisement. Returns the change that affects the
    /// listeners, if any.
    pub(in crate::net) fn handle(
        &mut self,
        runtime: &mut Runtime,
        event: Event,
    ) -> Option<VrrpChange> {
        let before = self.router.state();
        self.router
            .set_busy(runtime.coordinator.open_requests() > 0);
        if let Some(advertisement) = self.router.handle(runtime.now, event) {
            let bytes = advertisement.encode();
            for peer in &self.peers {
                let _ = self.socket.send_to(&bytes, *peer); // a lost advertisement is repeated after the interval
            }
        }
        let state = self.router.state();
        if let Some(at) = self.router.timer_at() {
            runtime.timers.add(at, Deadline::VrrpTimer);
        }
        if state == before {
            return None;
        }
        runtime.log(&format!("vrrp: {state:?}"));
        match state {
            State::Active => Some(VrrpChange::BecameActive),
            State::Backup | State::Initialize if before == State::Active => {
                Some(VrrpChange::LeftActive)
            }
            State::Backup | State::Initialize => None,
        }
    }
}
