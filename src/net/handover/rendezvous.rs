//! The inherited listener that the processes of one mixer share, and the path of the socket at which they connect to each
//! other.

use crate::net::error::NetError;
use std::io;
use std::path::{Path, PathBuf};

/// Maximum number of characters of the mixer's name in the socket's path, because the system limits such paths to about 100
/// bytes.
const MAX_NAME_CHARS: usize = 40;

/// Returns the listener that the platform holds open for all processes of this mixer, if `LB_LISTEN_FD` names one. Fails if the
/// variable is not a descriptor number or the descriptor is not a listener. It must be called before other threads are started,
/// because it passes values to `listenfd` through the environment.
pub fn inherited_listener() -> Result<Option<std::net::TcpListener>, NetError> {
    let Ok(number) = std::env::var("LB_LISTEN_FD") else {
        return Ok(None);
    };
    if number.parse::<u32>().is_err() {
        let reason = format!("LB_LISTEN_FD is not a file descriptor: {number:?}");
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

/// Returns the path of the socket at which the processes of the mixer with the given name connect.
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
