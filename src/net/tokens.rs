//! The tokens that identify sockets in poll events: fixed ones for listeners, signals and subsystems, and one for each
//! connection.

use crate::endpoints::directory::ConnectionKey;
use crate::requests::coordinator::Protocol;
use mio::Token;
use slotmap::{Key, KeyData};

pub(super) const LISTENERS: [Token; 2] = [Token(0), Token(1)]; // indexed by protocol
pub(super) const SIGNALS: Token = Token(2);
pub(super) const STORE: Token = Token(3);
pub(super) const VRRP: Token = Token(4);
pub(super) const RELOAD: Token = Token(5);
pub(super) const ADMIN: Token = Token(6);
pub(super) const PROTOCOLS: [Protocol; 2] = [Protocol::Platform, Protocol::Search];

/// Returns the token of a connection.
pub(super) fn token(key: ConnectionKey) -> Token {
    Token(key.data().as_ffi() as usize)
}

/// Returns the key of the connection with a token. The result is no valid key if the token is one of the fixed ones.
pub(super) fn connection_key(token: Token) -> ConnectionKey {
    ConnectionKey::from(KeyData::from_ffi(token.0 as u64))
}
