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
    /// Time of the pending timer; infinite if none is pending.
    timer_at: f64,
}

/// Result of receiving one message.
pub(in crate::net) enum VrrpReceived {
    /// Valid advertisement of a configured peer.
    Event(Event),
    /// Message that is ignored.
    Ignored,
    /// No message is available.
    Nothing,
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
            timer_at: f64::INFINITY,
        })
    }

    /// Returns the state of the router.
    pub(in crate::net) fn state(&self) -> State {
        self.router.state()
    }

    /// Receives one message.
    pub(in crate::net) fn receive(&self, runtime: &mut Runtime) -> VrrpReceived {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        let (count, from) = match self.socket.recv_from(&mut buffer) {
            Ok(received) => received,
            Err(error) => {
                return match error.kind() {
                    // A peer that is down causes the second error; later messages are not affected.
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionRefused => {
                        VrrpReceived::Ignored
                    }
                    _ => VrrpReceived::Nothing,
                };
            }
        };
        let address = match from.ip() {
            IpAddr::V4(address) if self.peers.contains(&from) => address,
            _ => return VrrpReceived::Ignored,
        };
        match Advertisement::decode(&buffer[..count]) {
            Ok(advertisement) => VrrpReceived::Event(Event::Received {
                from: address,
                advertisement,
            }),
            Err(error) => {
                runtime.log_peer(|| format!("vrrp: from {from}: {error}"));
                VrrpReceived::Ignored
            }
        }
    }

    /// Records that the pending timer has expired.
    pub(in crate::net) fn timer_expired(&mut self) {
        self.timer_at = f64::INFINITY;
    }

    /// Adds the router's timer to the queue, unless an earlier one is pending: each advertisement restarts the timer.
    fn schedule_timer(&mut self, runtime: &mut Runtime) {
        let Some(at) = self.router.timer_at().filter(|at| *at < self.timer_at) else {
            return;
        };
        self.timer_at = at;
        runtime.timers.add(at, Deadline::VrrpTimer);
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
        self.schedule_timer(runtime);
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
