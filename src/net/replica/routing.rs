//! Connects the connections to leaf servers to clients, discovery and the handover. Each method calls one subsystem and
//! passes its result to the next.

use crate::decisions::api::ReplicaId;
use crate::net::event_loop::Mixer;
use crate::net::replica::pool::{Placement, UnplacedCall};
use crate::net::ConnectionKey;
use crate::requests::coordinator::{AttemptKey, CallPart};
use mio::net::TcpStream;
use std::io;
use std::net::SocketAddr;

impl Mixer {
    /// Returns the time until which the endpoint list may be used.
    fn list_until(&self) -> f64 {
        self.discovery.list_until(self.runtime.now)
    }

    /// Sends a call on a connection that accepts it, or on a new connection.
    pub(in crate::net) fn call(&mut self, replica: ReplicaId, parts: Vec<CallPart>) {
        let list_until = self.list_until();
        match self
            .replicas
            .place_call(&mut self.runtime, replica, parts, list_until)
        {
            Placement::Done => {}
            Placement::OnePartPerCall(parts) => {
                for part in parts {
                    self.call(replica, vec![part]);
                }
            }
            Placement::NeedsConnection(call) => self.open_connection_for(&call, list_until),
        }
    }

    fn open_connection_for(&mut self, call: &UnplacedCall, list_until: f64) {
        let max_connections = self.connection_limits().replicas;
        if !self
            .replicas
            .ensure_capacity(&mut self.runtime, max_connections)
        {
            return self.replicas.open_failed(&mut self.runtime, call, None);
        }
        let address = call.address();
        match TcpStream::connect(address).or_else(|error| self.connect_again(address, error)) {
            Ok(stream) => self
                .replicas
                .send_on_new(&mut self.runtime, stream, call, list_until),
            Err(error) => self
                .replicas
                .open_failed(&mut self.runtime, call, Some(&error)),
        }
    }

    /// Connects to a leaf server or to discovery again after a failure. If the failure was caused by a lack of file
    /// descriptors, an idle client connection is closed before.
    pub(in crate::net) fn connect_again(
        &mut self,
        to: SocketAddr,
        error: io::Error,
    ) -> io::Result<TcpStream> {
        self.free_descriptor_after(&error);
        match error.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::NetworkUnreachable => Err(error),
            _ => TcpStream::connect(to), // other errors may be temporary
        }
    }

    /// Handles an event of a connection to a leaf server that is readable or writable, or has failed.
    pub(in crate::net) fn replica_event(&mut self, key: ConnectionKey) {
        let list_until = self.list_until();
        self.replicas
            .connection_event(&mut self.runtime, key, list_until);
    }

    /// Handles a deadline of a connection to a leaf server.
    pub(in crate::net) fn replica_due(&mut self, key: ConnectionKey) {
        self.replicas.connection_due(&mut self.runtime, key);
    }

    /// Writes calls that were postponed in the previous iteration, in which the event loop was delayed: by now the loop has
    /// read what discovery wrote and which clients have disconnected.
    pub(in crate::net) fn flush_postponed(&mut self) {
        for key in self.replicas.take_postponed() {
            let list_until = self.list_until();
            self.replicas
                .flush_or_close(&mut self.runtime, key, list_until);
            self.process_commands();
        }
    }

    /// Cancels an attempt whose outcome the coordinator knows.
    pub(in crate::net) fn cancel_attempt(&mut self, attempt: AttemptKey) {
        let list_until = self.list_until();
        self.replicas.cancel(&mut self.runtime, attempt, list_until);
    }

    /// Withdraws an attempt that no client waits for, unless writing its call has started.
    pub(in crate::net) fn withdraw_unsent(&mut self, attempt: AttemptKey) {
        self.replicas.withdraw_unsent(&mut self.runtime, attempt);
    }

    /// Drops the connections to a leaf server that carry no attempt.
    pub(in crate::net) fn close_idle(&mut self, replica: ReplicaId) {
        self.replicas.close_idle(&mut self.runtime, replica);
    }
}
