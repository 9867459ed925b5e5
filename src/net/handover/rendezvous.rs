//! Where the processes of one mixer find each other: the listener that the platform holds, and the socket's path.
//!
//! This file owns how both are named. It must never open a socket.

use crate::net::error::NetError;
use std::io;
use std::path::{Path, PathBuf};

/// Characters of a mixer's name that its socket's path has: such a path has a bound of some 100 bytes.
const MAX_NAME_CHARS: usize = 40;

/// The listener that the platform holds for all processes of this mixer, where `LB_LISTEN_FD` names one. An error: the
/// variable holds no descriptor, or not that of a listener. It is to be called before any other thread is started, since it
/// talks to `listenfd` through the environment.
pub fn inherited_listener() -> Result<Option<std::net::TcpListener>, NetError> {
    let Ok(number) = std::env::var("LB_LISTEN_FD") else {
        return Ok(None);
    };
    if number.parse::<u32>().is_err() {
        let reason = format!("LB_LISTEN_FD is no descriptor: {number:?}");
        return Err(NetError::Loop(io::Error::new(
            io::ErrorKind::InvalidInput,
            reason,
        )));
    }
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS_FIRST_FD", &number);
    std::env::set_var("LISTEN_FDS", "1");
    Ok(listenfd::ListenFd::from_env().take_tcp_listener(0)?)
}

/// The path of the socket at which the processes of the mixer of that name connect.
pub fn rendezvous_path(folder: &Path, name: &str) -> PathBuf {
    let path_safe = |c: char| {
        if c.is_ascii_alphanumeric() || c == '-' {
            c
        } else {
            '_'
        }
    };
    let name: String = name.chars().map(path_safe).take(MAX_NAME_CHARS).collect();
    folder.join(format!("wharfhub-{name}.sock"))
}
