//! Starts the program as a real process, and implements stand-ins for discovery, leaf servers and clients on loopback sockets.
//!
//! The threads of a stand-in run until the process of its test exits.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of every wait; longer than any awaited event takes on a busy machine.
pub const MAX_WAIT: Duration = Duration::from_secs(60);
/// Seed of the program's random delays. With this seed, a mixer among 1,000 delays its watch by only a few seconds.
const SEED: u32 = 7;
const SETTINGS: &str = include_str!("../exchanges/settings.json");
/// Interval at which a stand-in that can be stopped checks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// Time that a client waits between an answer and its next query.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(10);
/// List entry of a server at an address where nothing listens.
pub const UNREACHABLE_SERVER: &str =
    r#"{"id":"s0","host_port":"127.0.0.1:1","cell":0,"phase":"Ready","up_since_ms":0}"#;

/// A call to discovery. A call for changes gives the revision from which it asks and the longest time that discovery may wait for
/// a change (ms); a call for the whole list is `None`.
pub type DiscoveryCall = Option<(u64, u64)>;

/// Reaction of the discovery stand-in to a call.
pub enum Reply {
    List(String),
    /// A list of which only a part is sent.
    Truncated(String, Truncation),
    Status(u16),
    NoAnswer,
    /// The connection is closed without an answer, after the request was read.
    Close,
    /// The connection is closed before the request's headers are read, so that the system resets it.
    Reset,
}

/// The part of an answer that is sent before the stand-in closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncation {
    NoBytes,
    Half,
    AllButLast,
    /// The first half is sent; the connection stays open, and the rest is never sent.
    HalfThenSilent,
}

impl Truncation {
    /// Returns the number of bytes that are sent of an answer of `length` bytes.
    fn sent_bytes(self, length: usize) -> usize {
        match self {
            Truncation::NoBytes => 0,
            Truncation::Half | Truncation::HalfThenSilent => length / 2,
            Truncation::AllButLast => length - 1,
        }
    }
}

/// Returns an answer with a complete list, or with the entries that changed.
pub fn list(revision: u64, complete: bool, endpoints: &str) -> Reply {
    Reply::List(format!(
        "{{\"revision\":{revision},\"complete\":{complete},\"members\":[{endpoints}]}}"
    ))
}

/// Starts a discovery stand-in that answers each call with the result of `reply`, and returns its address.
pub fn discovery(reply: impl Fn(DiscoveryCall) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let address = listener.local_addr().expect("read the local address");
    let reply = Arc::new(reply);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let reply = reply.clone();
            std::thread::spawn(move || answer_calls(stream, reply.as_ref()));
        }
    });
    address
}

/// Starts a discovery stand-in like [`discovery`] that stops listening once `is_stopped` is set.
pub fn discovery_until(
    is_stopped: Arc<AtomicBool>,
    reply: impl Fn(DiscoveryCall) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    listener.set_nonblocking(true).expect("set non-blocking");
    let address = listener.local_addr().expect("read the local address");
    let reply = Arc::new(reply);
    std::thread::spawn(move || {
        while !is_stopped.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            stream.set_nonblocking(false).expect("set blocking");
            let reply = reply.clone();
            std::thread::spawn(move || answer_calls(stream, reply.as_ref()));
        }
    });
    address
}

fn answer_text(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn answer_calls(mut stream: TcpStream, reply: &dyn Fn(DiscoveryCall) -> Reply) {
    // The capacity of one byte leaves the headers unread in the socket until the reply is chosen, as `Reply::Reset` needs.
    let mut lines =
        BufReader::with_capacity(1, stream.try_clone().expect("duplicate the descriptor"))
            .lines()
            .map_while(Result::ok);
    while let Some(line) = lines.next() {
        let number = |key: &str| {
            let rest = line.split_once(key)?.1;
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse()
                .ok()
        };
        let call = number("index=").zip(number("wait="));
        let reply = reply(call);
        if matches!(reply, Reply::Reset) {
            return;
        }
        lines
            .by_ref()
            .take_while(|header| !header.is_empty())
            .for_each(drop);
        let sent = match reply {
            Reply::NoAnswer => continue,
            Reply::Close | Reply::Reset => return,
            Reply::Truncated(body, truncation) => {
                let answer = answer_text(&body);
                let sent =
                    stream.write_all(&answer.as_bytes()[..truncation.sent_bytes(answer.len())]);
                if truncation == Truncation::HalfThenSilent && sent.is_ok() {
                    continue;
                }
                return;
            }
            Reply::Status(status) => {
                write!(stream, "HTTP/1.1 {status} No\r\nContent-Length: 0\r\n\r\n")
            }
            Reply::List(body) => stream.write_all(answer_text(&body).as_bytes()),
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Configuration of a program under test.
pub struct Setup {
    /// Number of mixers in the settings.
    pub mixers: u32,
    /// Discovery mode in the settings: `subscribe` (lists arrive only as answers to the mixer's calls) or `automatic` (lists are pushed
    /// to an agent, which the mixer calls).
    pub mode: &'static str,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Entries of the last known list (revision 1), if the configuration has one.
    pub known: Option<String>,
}

/// A running program. It is killed when this value is dropped.
pub struct Program {
    pub child: Child,
    pub log: Receiver<(Instant, String)>,
    /// Time at which the program was started.
    pub started_at: Instant,
    path: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Program {
    /// Starts the program.
    pub fn start(setup: &Setup) -> Program {
        let Setup {
            mixers,
            mode,
            discovery,
            known,
        } = setup;
        let settings = SETTINGS.replace(
            "\"replicasOfMe\": 1",
            &format!("\"replicasOfMe\": {mixers}"),
        );
        let settings = settings.replace("\"subscribe\"", &format!("\"{mode}\""));
        let known = known.as_ref().map_or(String::new(), |endpoints| {
            format!("\"known\":{{\"revision\":1,\"complete\":true,\"members\":[{endpoints}]}},")
        });
        let config = format!(
            "{{\"settings\":{settings},\"listen\":\"127.0.0.1:0\",\"seed\":\"{SEED}\",{known}\
             \"limits\":{{\"memory_mb\":64}},\"discovery\":\"{discovery}\"}}"
        );
        let name = format!(
            "wharfhub-test-{}-{}-{mixers}-{mode}",
            std::process::id(),
            discovery.port()
        );
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config).expect("write the configuration file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_wharfhub"));
        let started_at = Instant::now();
        let mut child = command
            .args(["serve", "--config"])
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the program");
        let (lines, log) = channel();
        let errors = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            errors
                .lines()
                .map_while(Result::ok)
                .all(|line| lines.send((Instant::now(), line)).is_ok())
        });
        Program {
            child,
            log,
            started_at,
            path,
        }
    }

    /// Starts the program and waits until it is ready. Returns the address of its listener for clients, too.
    pub fn start_serving(setup: &Setup) -> (Program, SocketAddr) {
        let program = Program::start(setup);
        let address = program.await_address();
        program.await_log("ready: serving");
        (program, address)
    }

    /// Sends the program a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "send SIG{name}: kill failed"
        );
    }

    /// Waits for the address at which the program listens for clients.
    pub fn await_address(&self) -> SocketAddr {
        let (_, line) = self.await_line("start: ");
        let address = line
            .split(" on ")
            .nth(1)
            .expect("log line without an address");
        address.trim().parse().expect("parse the address")
    }

    /// Waits until the program has logged a line with `text`, and returns the time of that line.
    pub fn await_log(&self, text: &str) -> Instant {
        self.await_line(text).0
    }

    /// Waits until the program has logged a line with `text`, and returns the time and the line.
    pub fn await_line(&self, text: &str) -> (Instant, String) {
        let end = Instant::now() + MAX_WAIT;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let (at, line) = self
                .log
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("not logged in time: {text}"));
            if line.contains(text) {
                return (at, line);
            }
        }
    }
}

/// A leaf server that serves every part, and records the time of each call.
pub struct LeafServer {
    /// Address at which the leaf server listens.
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl LeafServer {
    /// Starts a leaf server that answers without delay.
    pub fn start() -> LeafServer {
        LeafServer::start_slow(Duration::ZERO)
    }

    /// Starts a leaf server that handles the calls of a connection one after the other and answers each after `answer_delay`.
    pub fn start_slow(answer_delay: Duration) -> LeafServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let address = listener.local_addr().expect("read the local address");
        let calls = Arc::new(Mutex::new(Vec::new()));
        let shared_calls = calls.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let calls = shared_calls.clone();
                std::thread::spawn(move || serve_parts(stream, &calls, answer_delay));
            }
        });
        LeafServer { address, calls }
    }

    /// Returns the times at which calls were received.
    pub fn calls(&self) -> Vec<Instant> {
        self.calls.lock().expect("lock poisoned").clone()
    }

    /// Returns the entry of this server in a list of discovery.
    pub fn list_entry(&self, name: &str, phase: &str) -> String {
        let address = self.address;
        format!(
            "{{\"id\":\"{name}\",\"host_port\":\"{address}\",\"cell\":0,\"phase\":\"{phase}\",\"up_since_ms\":0}}"
        )
    }
}

/// Answers calls, each with a single part, until the connection is closed.
fn serve_parts(mut stream: TcpStream, calls: &Mutex<Vec<Instant>>, answer_delay: Duration) {
    let _ = stream.set_nodelay(true);
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() {
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut frame).is_err() || frame[0] != b'q' {
            continue;
        }
        calls.lock().expect("lock poisoned").push(Instant::now());
        std::thread::sleep(answer_delay);
        let text = String::from_utf8_lossy(&frame[1..]).into_owned();
        let id = text.split(' ').next().unwrap_or_default();
        let rest = format!("a{id} served 1 -\nvalue");
        let mut answer = (rest.len() as u32).to_be_bytes().to_vec();
        answer.extend_from_slice(rest.as_bytes());
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

/// A client that sends requests on one connection.
pub struct Client {
    stream: BufReader<TcpStream>,
    requests: u32,
    timeout_ms: u32,
}

impl Client {
    /// Connects with a timeout of 5 s for each query.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("connect");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        stream
            .set_read_timeout(Some(MAX_WAIT))
            .expect("set the read timeout");
        Client {
            stream: BufReader::new(stream),
            requests: 0,
            timeout_ms: 5000,
        }
    }

    /// Connects with the given timeout for each query and for reading each answer.
    pub fn connect_with_timeouts(
        address: SocketAddr,
        timeout_ms: u32,
        read_timeout: Duration,
    ) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(read_timeout))?;
        Ok(Client {
            stream: BufReader::new(stream),
            requests: 0,
            timeout_ms,
        })
    }

    /// Requests one of the operators' pages and returns its text.
    pub fn get_page(&mut self, path: &str) -> String {
        self.send(&format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n"));
        let (_, body) = self.try_read_answer().expect("read an answer");
        String::from_utf8(body).expect("page is not UTF-8")
    }

    /// Returns whether the program reports that it is ready.
    pub fn is_ready(&mut self) -> bool {
        self.exchange("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n") == 200
    }

    /// Sends a query of one part, for shard 0, and returns the status of the answer.
    pub fn query(&mut self) -> u16 {
        self.send_query();
        self.read_status()
    }

    /// Sends a query of one part, for shard 0, without waiting for the answer.
    pub fn send_query(&mut self) {
        self.requests += 1;
        let body = r#"{"tablets":[{"tablet":0,"fraction":1}],"statement":"s"}"#;
        let id = self.requests;
        let port = self.port();
        self.send(&format!(
            "POST /slot HTTP/1.1\r\nHost: s\r\nX-Request-ID: {port}-{id}\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.timeout_ms,
            body.len()
        ))
    }

    /// Returns the client's port, which makes its request ids unique.
    fn port(&self) -> u16 {
        self.stream
            .get_ref()
            .local_addr()
            .expect("read the local address")
            .port()
    }

    fn exchange(&mut self, request: &str) -> u16 {
        self.send(request);
        self.read_status()
    }

    fn send(&mut self, request: &str) {
        self.stream
            .get_mut()
            .write_all(request.as_bytes())
            .expect("send the request");
    }

    /// Reads the next answer and returns its status.
    pub fn read_status(&mut self) -> u16 {
        self.try_read_answer().expect("read an answer").0
    }

    /// Reads the next answer and returns its status and body.
    pub fn try_read_answer(&mut self) -> std::io::Result<(u16, Vec<u8>)> {
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .expect("answer without a status");
        let mut length = 0;
        loop {
            line.clear();
            self.stream.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().expect("parse the content length");
            }
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        Ok((status, body))
    }
}

/// Results of the queries of one client.
#[derive(Default)]
pub struct QueryResults {
    pub sent: u32,
    pub served: u32,
    /// Times at which the answers of the served queries were read.
    pub served_at: Vec<Instant>,
    /// Whether the last query was served.
    pub is_last_served: bool,
}

/// Connects a client that sends one query after the other for `duration`.
pub fn query_for(address: SocketAddr, duration: Duration) -> QueryResults {
    let mut client = Client::connect(address);
    let until = Instant::now() + duration;
    let mut results = QueryResults::default();
    while Instant::now() < until {
        results.is_last_served = client.query() == 200;
        results.sent += 1;
        if results.is_last_served {
            results.served += 1;
            results.served_at.push(Instant::now());
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    results
}

/// Runs all cases in parallel and returns the descriptions of those that failed; `run` returns a description if its case fails.
pub fn failed_cases<C: Copy + Send + std::fmt::Debug + 'static>(
    cases: impl IntoIterator<Item = C>,
    run: impl Fn(C) -> Option<String> + Copy + Send + 'static,
) -> Vec<String> {
    let start = |case: C| (case, std::thread::spawn(move || run(case)));
    let threads: Vec<_> = cases.into_iter().map(start).collect();
    // All threads are joined before a panic of one is passed on, so that each run kills its program first.
    let results: Vec<_> = threads
        .into_iter()
        .map(|(case, run)| (case, run.join()))
        .collect();
    results
        .into_iter()
        .filter_map(|(case, result)| {
            let failure = result.expect("case panicked")?;
            Some(format!("{case:?}: {failure}"))
        })
        .collect()
}
