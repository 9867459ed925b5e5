//! The program as a real process, and stand-ins for discovery, leaf servers and clients on loopback sockets.
//!
//! A stand-in ends with the process of its test.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longer than anything here takes on a busy machine.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Draws the times that are random: with this one a watch among 1,000 mixers is put off for some seconds only.
const SEED: u32 = 7;
const SETTINGS: &str = include_str!("../exchanges/settings.json");
/// How often a stand-in that may end looks for connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// How long a client that asks one thing after the other rests between two.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(10);
/// The line of a list for a server that nobody listens for.
pub const UNREACHABLE_SERVER: &str =
    r#"{"id":"s0","host_port":"127.0.0.1:1","cell":0,"phase":"Ready","up_since_ms":0}"#;

/// A call as the stand-in reads it: the version it asks from and how long it waits (ms); none for the whole list.
pub type Asked = Option<(u64, u64)>;

pub enum Reply {
    List(String),
    /// A list of which not all arrives.
    Lost(String, Cut),
    Status(u16),
    Nothing,
    /// The connection is closed.
    Reset,
    /// The connection is reset, because the rest of the request is not read.
    ResetUnread,
}

/// What arrives of an answer, before its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    NoByte,
    Half,
    AllButLast,
    /// The connection stays open and nothing more comes.
    HalfThenSilence,
}

impl Cut {
    /// Of so many bytes.
    fn arriving(self, length: usize) -> usize {
        match self {
            Cut::NoByte => 0,
            Cut::Half | Cut::HalfThenSilence => length / 2,
            Cut::AllButLast => length - 1,
        }
    }
}

/// A list, or the changes of one.
pub fn list(revision: u64, complete: bool, endpoints: &str) -> Reply {
    Reply::List(format!(
        "{{\"revision\":{revision},\"complete\":{complete},\"members\":[{endpoints}]}}"
    ))
}

/// A discovery that answers each call with what `reply` says. It ends with the test's process.
pub fn discovery(reply: impl Fn(Asked) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let reply = Arc::new(reply);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let reply = reply.clone();
            std::thread::spawn(move || answer_calls(stream, reply.as_ref()));
        }
    });
    address
}

/// The same, until the flag is set: from then on nobody listens there.
pub fn discovery_until(
    is_over: Arc<AtomicBool>,
    reply: impl Fn(Asked) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a socket");
    let address = listener.local_addr().expect("an address");
    let reply = Arc::new(reply);
    std::thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            stream.set_nonblocking(false).expect("a socket");
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

fn answer_calls(mut stream: TcpStream, reply: &dyn Fn(Asked) -> Reply) {
    // One byte at a time, so that the rest of a request stays unread until it is asked for.
    let mut lines = BufReader::with_capacity(1, stream.try_clone().expect("a descriptor"))
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
        let asked = number("index=").zip(number("wait="));
        let reply = reply(asked);
        if matches!(reply, Reply::ResetUnread) {
            return;
        }
        lines
            .by_ref()
            .take_while(|header| !header.is_empty())
            .for_each(drop);
        let sent = match reply {
            Reply::Nothing => continue,
            Reply::Reset | Reply::ResetUnread => return,
            Reply::Lost(body, cut) => {
                let complete = answer_text(&body);
                let sent = stream.write_all(&complete.as_bytes()[..cut.arriving(complete.len())]);
                if cut == Cut::HalfThenSilence && sent.is_ok() {
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

/// How the program is started.
pub struct Setup {
    /// How many mixers its settings tell of.
    pub mixers: u32,
    /// How lists come: `subscribe` or `automatic`.
    pub mode: &'static str,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The lines of its last known list, of revision 1, where it has one.
    pub known: Option<String>,
}

/// The program. It ends with this value.
pub struct Program {
    pub child: Child,
    pub log: Receiver<(Instant, String)>,
    /// When it was started.
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
    /// Starts it.
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
        std::fs::write(&path, config).expect("a file for the configuration");
        let mut command = Command::new(env!("CARGO_BIN_EXE_wharfhub"));
        let started_at = Instant::now();
        let mut child = command
            .args(["serve", "--config"])
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("a program");
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

    /// Starts it, and waits until it serves. Gives where it listens for clients, too.
    pub fn start_serving(setup: &Setup) -> (Program, SocketAddr) {
        let program = Program::start(setup);
        let address = program.await_address();
        program.await_log("ready: serving");
        (program, address)
    }

    /// Sends it a signal, by its name without SIG.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "no signal {name}"
        );
    }

    /// Where it listens for clients.
    pub fn await_address(&self) -> SocketAddr {
        let (_, line) = self.await_line("start: ");
        let address = line
            .split(" on ")
            .nth(1)
            .expect("a line that names the address");
        address.trim().parse().expect("an address")
    }

    /// Waits until it has logged that; gives when.
    pub fn await_log(&self, text: &str) -> Instant {
        self.await_line(text).0
    }

    /// The same, with the line.
    pub fn await_line(&self, text: &str) -> (Instant, String) {
        let end = Instant::now() + PATIENCE;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let (at, line) = self
                .log
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("never logged: {text}"));
            if line.contains(text) {
                return (at, line);
            }
        }
    }
}

/// A leaf server that serves all it is asked, and remembers when each call came.
pub struct LeafServer {
    /// Where it listens.
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl LeafServer {
    /// Starts it.
    pub fn start() -> LeafServer {
        LeafServer::start_slow(Duration::ZERO)
    }

    /// Starts one that takes so long for each call of a connection.
    pub fn start_slow(work: Duration) -> LeafServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(Mutex::new(Vec::new()));
        let shared = calls.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let calls = shared.clone();
                std::thread::spawn(move || serve_parts(stream, &calls, work));
            }
        });
        LeafServer { address, calls }
    }

    /// When each call came.
    pub fn calls(&self) -> Vec<Instant> {
        self.calls.lock().expect("a lock").clone()
    }

    /// Its line in a list.
    pub fn line(&self, name: &str, phase: &str) -> String {
        let address = self.address;
        format!(
            "{{\"id\":\"{name}\",\"host_port\":\"{address}\",\"cell\":0,\"phase\":\"{phase}\",\"up_since_ms\":0}}"
        )
    }
}

/// Answers calls of one part each until the connection ends.
fn serve_parts(mut stream: TcpStream, calls: &Mutex<Vec<Instant>>, work: Duration) {
    let _ = stream.set_nodelay(true);
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() {
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut frame).is_err() || frame[0] != b'q' {
            continue;
        }
        calls.lock().expect("a lock").push(Instant::now());
        std::thread::sleep(work);
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

/// A client that asks one thing after the other on one connection.
pub struct Client {
    stream: BufReader<TcpStream>,
    asked: u32,
    timeout_ms: u32,
}

impl Client {
    /// Connects.
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("a socket");
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        Client {
            stream: BufReader::new(stream),
            asked: 0,
            timeout_ms: 5000,
        }
    }

    /// Connects; it tells that timeout, and waits so long for each answer.
    pub fn connect_hurried(
        address: SocketAddr,
        timeout_ms: u32,
        leaves_after: Duration,
    ) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(leaves_after))?;
        Ok(Client {
            stream: BufReader::new(stream),
            asked: 0,
            timeout_ms,
        })
    }

    /// The text of one of the pages.
    pub fn page(&mut self, path: &str) -> String {
        self.send(&format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n"));
        let (_, body) = self.try_answer().expect("an answer");
        String::from_utf8(body).expect("text")
    }

    /// Whether the program says that it is ready.
    pub fn is_ready(&mut self) -> bool {
        self.exchange("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n") == 200
    }

    /// Asks one part of the first shard; gives the answer's status.
    pub fn query(&mut self) -> u16 {
        self.send_query();
        self.answer()
    }

    /// Asks the same, and does not wait for the answer.
    pub fn send_query(&mut self) {
        self.asked += 1;
        let body = r#"{"tablets":[{"tablet":0,"fraction":1}],"statement":"s"}"#;
        let id = self.asked;
        let name = self.name();
        self.send(&format!(
            "POST /slot HTTP/1.1\r\nHost: s\r\nX-Request-ID: {name}-{id}\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.timeout_ms,
            body.len()
        ))
    }

    /// Different for each client: its port.
    fn name(&self) -> u16 {
        self.stream
            .get_ref()
            .local_addr()
            .expect("connected")
            .port()
    }

    fn exchange(&mut self, request: &str) -> u16 {
        self.send(request);
        self.answer()
    }

    fn send(&mut self, request: &str) {
        self.stream
            .get_mut()
            .write_all(request.as_bytes())
            .expect("it takes the request");
    }

    /// The next answer's status.
    pub fn answer(&mut self) -> u16 {
        self.try_answer().expect("an answer").0
    }

    /// The next answer's status and body.
    pub fn try_answer(&mut self) -> std::io::Result<(u16, Vec<u8>)> {
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .expect("a status");
        let mut length = 0;
        loop {
            line.clear();
            self.stream.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().expect("a length");
            }
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        Ok((status, body))
    }
}

/// What became of the requests of a client that asks one thing after the other.
#[derive(Default)]
pub struct Served {
    pub asked: u32,
    pub served: u32,
    /// When each of these was.
    pub served_at: Vec<Instant>,
    /// Whether the last one was.
    pub served_last: bool,
}

/// A client asks one thing after the other.
pub fn ask_for(address: SocketAddr, time: Duration) -> Served {
    let mut client = Client::connect(address);
    let until = Instant::now() + time;
    let mut served = Served::default();
    while Instant::now() < until {
        served.served_last = client.query() == 200;
        served.asked += 1;
        if served.served_last {
            served.served += 1;
            served.served_at.push(Instant::now());
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    served
}

/// Plays all cases side by side; those that went wrong, with what `play` says of them.
pub fn failures<C: Copy + Send + std::fmt::Debug + 'static>(
    cases: impl IntoIterator<Item = C>,
    play: impl Fn(C) -> Option<String> + Copy + Send + 'static,
) -> Vec<String> {
    let start = |case: C| (case, std::thread::spawn(move || play(case)));
    let plays: Vec<_> = cases.into_iter().map(start).collect();
    // All have ended before one that panicked ends the test: a program ends with its play.
    let ended: Vec<_> = plays
        .into_iter()
        .map(|(case, play)| (case, play.join()))
        .collect();
    ended
        .into_iter()
        .filter_map(|(case, result)| {
            let failure = result.expect("a play that ends")?;
            Some(format!("{case:?}: {failure}"))
        })
        .collect()
}
