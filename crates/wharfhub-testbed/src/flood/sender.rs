//! The peers that send to a mixer at full speed, or hold its memory. Each thread drives one connection at a time, or many
//! connections.

use super::mixer::Addresses;
use super::FloodKind;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use wharfhub::store::{Message, Version};
use wharfhub::vrrp::Advertisement;

/// Number of peers that send at full speed.
const SENDERS: usize = 6;
/// Size up to which requests are collected for one write (bytes).
const BLOCK_BYTES: usize = 32 * 1024;
/// Number of connections of clients that stop and stay.
const STALLED_CONNECTIONS: usize = 600;
/// Pause of a sender whose connection accepts no more bytes.
const BLOCKED_PAUSE: Duration = Duration::from_micros(200);
/// Interval at which stalled clients replace the connections that the mixer has closed.
const REPLACE_INTERVAL: Duration = Duration::from_millis(20);
/// Bytes that a stalled client sends of its body of 64 KiB.
const SENT_BODY_BYTES: usize = 60 * 1024;
/// Number of fields in the head of a request with many of them, below the limit of 64.
const FIELDS: usize = 60;
/// Shard that leaf servers hold, and shard that none holds.
const SERVED_SHARD: u32 = 1;
const UNSERVED_SHARD: u32 = 5;
/// Length of a value that peers write to the store (bytes).
const STORED_BYTES: usize = 1000;

/// State that all senders of a flood share.
#[derive(Default)]
struct Shared {
    /// Beginning of each name.
    name_prefix: String,
    is_stopped: AtomicBool,
    sent: AtomicU64,
    next_name: AtomicU64,
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    fn count(&self, sent: usize) {
        self.sent.fetch_add(sent as u64, Ordering::Relaxed);
    }

    /// Returns a name that no request of this flood has had.
    fn new_name(&self) -> String {
        let number = self.next_name.fetch_add(1, Ordering::Relaxed);
        format!("{}{number:x}", self.name_prefix)
    }
}

/// The running senders.
pub struct Senders {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Senders {
    /// Starts the senders of a kind.
    pub fn start(kind: FloodKind, addresses: &Addresses) -> Senders {
        let count = match kind {
            FloodKind::LeafAnswers | FloodKind::DiscoveryTrailer => 0,
            FloodKind::VrrpAdvertisements | FloodKind::VrrpGarbage => 1,
            FloodKind::HalfRequests
            | FloodKind::ManyFields
            | FloodKind::UnreadAnswers
            | FloodKind::StorePeerConnections => 1,
            _ => SENDERS,
        };
        Senders::start_named(kind, addresses, "n", count)
    }

    /// Starts clients that flood the mixer at this address with a kind of request. All names begin with `name_prefix`.
    pub fn start_clients(
        kind: FloodKind,
        address: SocketAddr,
        name_prefix: &str,
        count: usize,
    ) -> Senders {
        let addresses = Addresses {
            clients: address,
            search: address,
            admin: address,
            store: address,
            vrrp: address,
            vrrp_peer: address,
        };
        Senders::start_named(kind, &addresses, name_prefix, count)
    }

    fn start_named(
        kind: FloodKind,
        addresses: &Addresses,
        name_prefix: &str,
        count: usize,
    ) -> Senders {
        let shared = Arc::new(Shared {
            name_prefix: name_prefix.to_string(),
            ..Shared::default()
        });
        let threads = (0..count)
            .map(|_| {
                let (shared, addresses) = (shared.clone(), *addresses);
                std::thread::spawn(move || send(kind, &addresses, &shared))
            })
            .collect();
        Senders { shared, threads }
    }

    /// Stops the senders and returns the number of messages sent.
    pub fn stop(self) -> u64 {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.shared.sent.load(Ordering::Relaxed)
    }
}

/// Runs one sender until the flood is over. A connection that fails is replaced.
fn send(kind: FloodKind, addresses: &Addresses, shared: &Shared) {
    match kind {
        FloodKind::VrrpAdvertisements | FloodKind::VrrpGarbage => {
            return send_datagrams(kind, addresses, shared);
        }
        FloodKind::HalfRequests
        | FloodKind::ManyFields
        | FloodKind::UnreadAnswers
        | FloodKind::StorePeerConnections => return hold_stalled(kind, addresses, shared),
        _ => {}
    }
    while !shared.is_stopped() {
        let result = match kind {
            FloodKind::Malformed | FloodKind::Reconnects | FloodKind::AdminCalls => {
                send_once(kind, addresses, shared)
            }
            _ => send_stream(kind, target(kind, addresses), shared),
        };
        if result.is_err() {
            std::thread::sleep(BLOCKED_PAUSE);
        }
    }
}

/// Returns the address to which a kind of peer connects.
fn target(kind: FloodKind, addresses: &Addresses) -> SocketAddr {
    match kind {
        FloodKind::UnknownIndices => addresses.search,
        FloodKind::AdminCalls => addresses.admin,
        FloodKind::StorePeerRequests | FloodKind::StorePeerConnections => addresses.store,
        _ => addresses.clients,
    }
}

fn page(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n")
}

/// Returns a query of a class for one shard, with a new id and a new idempotency key. Without a timeout header the deadline of the
/// class applies.
fn query(class: &str, name: &str, shard: u32) -> String {
    let body =
        format!("{{\"tablets\":[{{\"tablet\":{shard},\"fraction\":1}}],\"statement\":\"s\"}}");
    format!(
        "POST /{class} HTTP/1.1\r\nHost: s\r\nX-Request-ID: {name}\r\nX-Tenant-Id: acme\r\nIdempotency-Key: {name}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the next request on a connection that is used for many.
fn next_request(kind: FloodKind, shared: &Shared) -> Vec<u8> {
    let name = shared.new_name();
    let text = match kind {
        FloodKind::ReadyPage => page("/-/ready"),
        FloodKind::MetricsPage => page("/-/figures"),
        FloodKind::EndpointsPage => page("/-/members"),
        FloodKind::UnknownClasses => query(&name, &name, SERVED_SHARD),
        FloodKind::UnknownIndices => page(&format!("/{name}/_search")),
        FloodKind::StorePages => {
            let value = "v".repeat(STORED_BYTES);
            format!(
                "PUT /-/store/key HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{value}",
                value.len()
            )
        }
        FloodKind::StorePeerRequests => {
            let message = Message {
                operation: 1,
                step: 2,
                key: "key".into(),
                version: Version {
                    counter: 1,
                    node: 2,
                },
                value: Some("v".repeat(STORED_BYTES)),
                ..Message::default()
            };
            return message.encode();
        }
        FloodKind::RejectedNames | FloodKind::UnreadLog => query("hold", &name, UNSERVED_SHARD),
        _ => query("hold", &name, SERVED_SHARD),
    };
    text.into_bytes()
}

/// Sends requests on one connection as fast as the connection accepts them, and discards the answers.
fn send_stream(kind: FloodKind, address: SocketAddr, shared: &Shared) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_nonblocking(true)?;
    let mut block = Vec::new();
    let mut discarded = vec![0; BLOCK_BYTES];
    if kind == FloodKind::EndlessChunks {
        block = b"POST /slot HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    }
    while !shared.is_stopped() {
        let mut requests = 0;
        while block.len() < BLOCK_BYTES {
            match kind {
                FloodKind::EndlessChunks => {
                    block.extend_from_slice(b"1;x=yyyyyyyyyyyyyyyyyy\r\nz\r\n")
                }
                _ => block.extend(next_request(kind, shared)),
            }
            requests += 1;
        }
        write_block(&mut stream, &mut block, &mut discarded, shared)?;
        shared.count(requests);
    }
    Ok(())
}

/// Writes a block completely, and reads whatever arrives meanwhile.
fn write_block(
    stream: &mut TcpStream,
    block: &mut Vec<u8>,
    discarded: &mut [u8],
    shared: &Shared,
) -> io::Result<()> {
    while !block.is_empty() && !shared.is_stopped() {
        let mut is_blocked = true;
        match stream.write(block) {
            Ok(count) => {
                block.drain(..count);
                is_blocked = false;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        match stream.read(discarded) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => is_blocked = false,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        if is_blocked {
            std::thread::sleep(BLOCKED_PAUSE);
        }
    }
    Ok(())
}

/// Opens a connection for one request. The answer is read only where the peer waits for it.
fn send_once(kind: FloodKind, addresses: &Addresses, shared: &Shared) -> io::Result<()> {
    let mut stream = TcpStream::connect(target(kind, addresses))?;
    shared.count(1);
    let text = match kind {
        FloodKind::Malformed => "NONSENSE\r\n\r\n".to_string(),
        FloodKind::AdminCalls => "METRICS\n".to_string(),
        _ => query("slot", &shared.new_name(), SERVED_SHARD),
    };
    stream.write_all(text.as_bytes())?;
    if kind != FloodKind::Reconnects {
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.shutdown(Shutdown::Write)?;
        let mut discarded = [0; 4096];
        while stream.read(&mut discarded)? > 0 {}
    }
    Ok(())
}

/// Sends datagrams from the address of the mixer's VRRP peer.
fn send_datagrams(kind: FloodKind, addresses: &Addresses, shared: &Shared) {
    let Ok(socket) = UdpSocket::bind(addresses.vrrp_peer) else {
        return;
    };
    let advertisement = Advertisement {
        router: 7,
        priority: 100,
        interval_cs: 100,
        addresses: vec![[127, 0, 0, 1].into()],
    };
    let bytes = match kind {
        FloodKind::VrrpAdvertisements => advertisement.encode(),
        _ => b"garbage".to_vec(),
    };
    while !shared.is_stopped() {
        let _ = socket.send_to(&bytes, addresses.vrrp);
        shared.count(1);
    }
}

/// Keeps many connections open that each hold as much of the mixer's memory as they can.
fn hold_stalled(kind: FloodKind, addresses: &Addresses, shared: &Shared) {
    let mut stalled: Vec<TcpStream> = Vec::new();
    while !shared.is_stopped() {
        stalled.retain_mut(|stream| is_open(stream, kind));
        while stalled.len() < STALLED_CONNECTIONS && !shared.is_stopped() {
            let Ok(stream) = open_stalled(kind, target(kind, addresses)) else {
                break;
            };
            shared.count(1);
            stalled.push(stream);
        }
        std::thread::sleep(REPLACE_INTERVAL);
    }
}

/// Returns whether a connection is still open. Answers are discarded unless the kind leaves them unread.
fn is_open(stream: &mut TcpStream, kind: FloodKind) -> bool {
    let mut buffer = [0; 4096];
    let result = match kind {
        FloodKind::UnreadAnswers => stream.peek(&mut buffer[..1]),
        _ => stream.read(&mut buffer),
    };
    match result {
        Ok(count) => count > 0,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}

/// Opens a connection of a stalled client and writes what the mixer has to keep.
fn open_stalled(kind: FloodKind, address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nonblocking(true)?;
    let fields: String = match kind {
        FloodKind::ManyFields => (0..FIELDS)
            .map(|field| format!("f{field}: v\r\n"))
            .collect(),
        _ => String::new(),
    };
    let text = match kind {
        FloodKind::UnreadAnswers => page("/-/members").repeat(4),
        FloodKind::StorePeerConnections => String::new(),
        _ => format!(
            "POST /slot HTTP/1.1\r\nHost: s\r\n{fields}Content-Length: 65536\r\n\r\n{}",
            "x".repeat(SENT_BODY_BYTES)
        ),
    };
    // What the socket does not accept at once is left out.
    let _ = stream.write(text.as_bytes());
    Ok(stream)
}
