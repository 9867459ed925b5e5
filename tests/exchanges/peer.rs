//! The parties that a script plays: leaf servers, discovery, clients, store peers and VRRP routers.

use crate::text::{bytes, matches};
use crate::{MAX_WAIT, QUEUE_FULL_TIMEOUT};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixListener;
use std::time::Instant;

/// A party that the script plays.
#[derive(Default)]
pub struct Peer {
    pub listener: Option<TcpListener>,
    pub address: Option<SocketAddr>,
    /// JSON of the leaf server's cell; empty for other parties.
    pub cell: String,
    pub uses_frames: bool,
    pub speaks_search_api: bool,
    pub supports_prefilter: bool,
    pub stream: Option<TcpStream>,
    /// Bytes received since the last match.
    pub received: Vec<u8>,
    /// Text that `{id}` has captured.
    pub captured_id: String,
    pub udp: Option<UdpSocket>,
    /// Listener of a predecessor that the script plays.
    pub handover_listener: Option<UnixListener>,
    /// Connections of the script to its own listener, which fill the listener's queue.
    pub queued_connections: Vec<TcpStream>,
}

impl Peer {
    /// Accepts the next connection in place of the present one.
    pub fn accept(&mut self) {
        if let Some(handover_listener) = &self.handover_listener {
            let (stream, _) = handover_listener
                .accept()
                .expect("accept a handover connection");
            (self.stream, self.received) =
                (Some(TcpStream::from(OwnedFd::from(stream))), Vec::new());
            return;
        }
        let listener = self.listener.as_ref().expect("party does not listen");
        listener.set_nonblocking(true).expect("set non-blocking");
        let started = Instant::now();
        let stream = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(_) if started.elapsed() < MAX_WAIT => std::thread::yield_now(),
                Err(error) => panic!("no connection: {error}"),
            }
        };
        stream.set_nonblocking(false).expect("set blocking");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        (self.stream, self.received) = (Some(stream), Vec::new());
    }

    /// Fills the listener's queue: the system establishes connections until the queue is full.
    pub fn fill_queue(&mut self) {
        let address = self.address.expect("party does not listen");
        while let Ok(stream) = TcpStream::connect_timeout(&address, QUEUE_FULL_TIMEOUT) {
            self.queued_connections.push(stream);
            assert!(
                self.queued_connections.len() < 10_000,
                "the queue of {address} does not fill up"
            );
        }
    }

    /// Accepts the connections that fill the queue, which are ahead of all others in it.
    pub fn empty_queue(&mut self) {
        for _ in self.queued_connections.drain(..) {
            self.listener
                .as_ref()
                .expect("party does not listen")
                .accept()
                .expect("accept a queued connection");
        }
    }

    /// Returns the connection; accepts one if there is none.
    pub fn stream(&mut self) -> &mut TcpStream {
        if self.stream.is_none() {
            self.accept();
        }
        let stream = self.stream.as_mut().expect("not connected");
        stream
            .set_read_timeout(Some(MAX_WAIT))
            .expect("set the read timeout");
        stream
    }

    /// Sends a text of the script, in a frame if the party uses frames.
    pub fn send(&mut self, text: &str) {
        let mut out = bytes(&text.replace("{id}", &self.captured_id));
        if self.uses_frames {
            out.remove(1); // the space after the letter
            let mut frame = (out.len() as u32).to_be_bytes().to_vec();
            frame.append(&mut out);
            out = frame;
        }
        self.stream().write_all(&out).expect("send the text");
    }

    /// Waits until the program's side has acknowledged all sent bytes. Until then a busy machine may deliver them after bytes that
    /// another connection sends later.
    pub fn await_arrival(&mut self) {
        let local = self.stream().local_addr().expect("read the local address");
        let remote = self.stream().peer_addr().expect("read the peer address");
        let end = Instant::now() + MAX_WAIT;
        while unacknowledged_bytes(local, remote) > 0 {
            assert!(Instant::now() < end, "sent bytes not acknowledged in time");
            std::thread::yield_now();
        }
    }

    /// Reads until the bytes received since the last match are as in `text`.
    pub fn await_text(&mut self, text: &str) {
        let pattern = bytes(&text.replace("{id}", "*"));
        // The timeout covers all bytes, so that a program that keeps sending other bytes does not make the wait endless.
        let end = Instant::now() + MAX_WAIT;
        let mut byte = [0];
        loop {
            let seen = if self.uses_frames && self.received.len() > 4 {
                let length =
                    u32::from_be_bytes(self.received[..4].try_into().expect("four bytes")) as usize;
                let complete = self.received.len() == length + 4;
                complete.then(|| [&self.received[4..5], b" ", &self.received[5..]].concat())
            } else {
                (!self.uses_frames).then(|| self.received.clone())
            };
            if let Some(seen) = seen.filter(|seen| matches(&pattern, seen)) {
                if let Some((before, after)) = text.split_once("{id}") {
                    let rest = &seen[bytes(before).len()..];
                    let end = rest
                        .iter()
                        .position(|byte| after.as_bytes().first() == Some(byte));
                    self.captured_id = String::from_utf8_lossy(
                        &rest[..end.expect("captured text without an end")],
                    )
                    .into_owned();
                }
                return self.received.clear();
            }
            match self.stream().read(&mut byte) {
                Ok(1..) if Instant::now() < end => self.received.push(byte[0]),
                // A read with a timeout may be interrupted when a process is paused and resumed.
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                other => panic!(
                    "expected {text}\nreceived {} ({other:?})",
                    String::from_utf8_lossy(&self.received)
                ),
            }
        }
    }

    /// Waits until the program closes the connection in order, without further bytes.
    pub fn await_orderly_close(&mut self) {
        let result = self.stream().read_to_end(&mut Vec::new());
        assert!(matches!(result, Ok(0)), "not closed in order: {result:?}");
        self.stream = None;
    }

    /// Waits until the program closes or resets the connection, without further bytes.
    pub fn await_close(&mut self) {
        let mut rest = Vec::new();
        let result = self.stream().read_to_end(&mut rest);
        let reset = |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionReset;
        assert!(
            result.is_ok() || result.as_ref().is_err_and(reset),
            "not closed: {result:?}"
        );
        assert!(
            rest.is_empty(),
            "bytes before the close: {}",
            String::from_utf8_lossy(&rest)
        );
        self.stream = None;
    }
}

/// Returns the number of sent bytes of a local connection that are not acknowledged yet, from `/proc/net/tcp`.
fn unacknowledged_bytes(local: SocketAddr, remote: SocketAddr) -> u64 {
    const LOCAL: usize = 1;
    const REMOTE: usize = 2;
    const QUEUES: usize = 4;
    let table = std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp");
    let port = |field: &str| {
        let (_, port) = field.split_once(':')?;
        u16::from_str_radix(port, 16).ok()
    };
    let queue = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_same = port(fields.get(LOCAL)?) == Some(local.port())
            && port(fields.get(REMOTE)?) == Some(remote.port());
        let (sent, _) = fields.get(QUEUES)?.split_once(':')?;
        is_same.then(|| u64::from_str_radix(sent, 16).expect("parse the queue length"))
    });
    queue.expect("connection not in /proc/net/tcp")
}
