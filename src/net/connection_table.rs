//! The entries of the connection table: connections to clients, leaf servers, discovery, peers of the store and operators.

use crate::net::admin;
use crate::net::client::connection::ClientConnection;
use crate::net::discovery::connection::DiscoveryConnection;
use crate::net::replica::connection::ReplicaConnection;
use crate::net::store_peers;
use mio::net::TcpStream;

/// A connection of any kind.
pub(super) enum Connection {
    Client(Box<ClientConnection>),
    Replica(Box<ReplicaConnection>),
    Discovery(Box<DiscoveryConnection>),
    Peer(Box<store_peers::PeerConnection>),
    Admin(Box<admin::AdminConnection>),
}

impl Connection {
    /// Returns the connection's socket, to be registered with the poll.
    pub(super) fn stream_mut(&mut self) -> &mut TcpStream {
        match self {
            Connection::Client(connection) => connection.stream_mut(),
            Connection::Replica(connection) => connection.stream_mut(),
            Connection::Discovery(connection) => &mut connection.stream,
            Connection::Peer(connection) => connection.stream_mut(),
            Connection::Admin(connection) => connection.stream_mut(),
        }
    }
}
