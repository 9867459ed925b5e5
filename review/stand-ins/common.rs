//! What the review's cases share: the record, the start of mixers with the command of the deploy file, a small HTTP client, and
//! stand-ins for leaf servers of both kinds. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a case ends by itself (seconds); the limit is 120.
const MAX_RUN_S: u64 = 100;

struct Global {
    start: Instant,
    record: Mutex<File>,
    children: Mutex<Vec<Child>>,
    folder: PathBuf,
}

static GLOBAL: OnceLock<Global> = OnceLock::new();

fn global() -> &'static Global {
    GLOBAL.get().expect("begin() is called first")
}

/// Opens the record, creates the temporary folder and starts the watchdog. Arguments: the folder of the case, and a file to which the
/// ids of started processes are written.
pub fn begin() {
    let case = std::env::args().nth(1).expect("usage: PROGRAM FOLDER-OF-THE-CASE");
    let folder = std::env::temp_dir().join(format!("wharfhub-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = File::create(Path::new(&case).join("record.txt")).expect("record.txt");
    let _ = GLOBAL.set(Global {
        start: Instant::now(),
        record: Mutex::new(record),
        children: Mutex::new(Vec::new()),
        folder,
    });
    std::panic::set_hook(Box::new(|info| {
        note(&format!("the case could not run: {info}"));
        end(2);
    }));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(MAX_RUN_S));
        note("the case could not run: it took too long");
        end(2);
    });
    note(if trouble() { "with the disruption" } else { "TROUBLE=0: without the disruption" });
}

/// Whether the case plays its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Seconds since the start of the case.
pub fn now() -> f64 {
    global().start.elapsed().as_secs_f64()
}

/// Writes a line to the record.
pub fn note(line: &str) {
    let mut record = global().record.lock().unwrap_or_else(|error| error.into_inner());
    let _ = writeln!(record, "{:9.4} {line}", now());
}

/// Writes a line to the record and to standard output.
pub fn say(line: &str) {
    println!("{line}");
    note(line);
}

/// Ends all processes, copies their logs to the record, and exits: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn end(code: i32) -> ! {
    let global = global();
    let mut children = global.children.lock().unwrap_or_else(|error| error.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let mut logs: Vec<_> = fs::read_dir(&global.folder).into_iter().flatten().flatten().collect();
    logs.sort_by_key(|entry| entry.file_name());
    for entry in logs.iter().filter(|entry| entry.path().extension().is_some_and(|end| end == "log")) {
        let name = entry.file_name().to_string_lossy().into_owned();
        for line in fs::read_to_string(entry.path()).unwrap_or_default().lines() {
            note(&format!("log of {name}: {line}"));
        }
    }
    let _ = fs::remove_dir_all(&global.folder);
    note(&format!("exit {code}"));
    std::process::exit(code)
}

pub fn sleep_s(seconds: f64) {
    if seconds > 0.0 {
        thread::sleep(Duration::from_secs_f64(seconds));
    }
}

pub fn sleep_until(at: f64) {
    sleep_s(at - now());
}

/// The folder for configurations, data and logs.
pub fn folder() -> PathBuf {
    global().folder.clone()
}

/// A loopback address that nobody listens on now, for a mixer; each call returns another one. The ports are below those that the system
/// gives to connections, so that none of these takes one meanwhile.
pub fn free_address() -> SocketAddr {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(61) + TRIED.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (number % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns the command `run` of deploy/balancer.toml. The current folder is the root of the repository.
fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = deploy.lines().find(|line| line.starts_with("run")).expect("run");
    line.split('"').nth(1).expect("run = \"...\"").to_string()
}

/// Starts a mixer by the command of the deploy file and returns its process id; `name` is that of its log.
pub fn start_mixer(name: &str, config: &Path) -> u32 {
    let log = File::options().create(true).append(true).open(folder().join(format!("{name}.log"))).expect("a log");
    let child = Command::new("/bin/sh")
        .args(["-c", &run_command()])
        .env("LB_CONFIG", config)
        .env("TMPDIR", folder())
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("a mixer");
    let id = child.id();
    let mut children = global().children.lock().unwrap();
    children.push(child);
    note(&format!("mixer {name}: started as process {id}"));
    if let Some(path) = std::env::args().nth(2) {
        let mut list = File::options().append(true).open(path).expect("the list of processes");
        writeln!(list, "{id}").expect("the list of processes");
    }
    id
}

/// Sends a signal to a process that `start_mixer` started.
pub fn signal(id: u32, name: &str) {
    note(&format!("signal {name} to process {id}"));
    let status = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).status();
    assert!(status.is_ok_and(|status| status.success()), "kill -{name} {id}");
}

/// Waits until a process has exited.
pub fn await_exit(id: u32, max_s: f64) {
    let until = now() + max_s;
    while now() < until {
        let mut children = global().children.lock().unwrap();
        let child = children.iter_mut().find(|child| child.id() == id).expect("a child");
        if let Ok(Some(status)) = child.try_wait() {
            drop(children);
            return note(&format!("process {id} has exited: {status}"));
        }
        drop(children);
        sleep_s(0.01);
    }
    panic!("process {id} does not exit");
}

/// Waits until `GET /-/ready` is answered with 200.
pub fn await_ready(address: SocketAddr, max_s: f64) {
    let until = now() + max_s;
    while now() < until {
        if let Ok(response) = request_once(address, "GET", "/-/ready", &[], "", 1.0) {
            if response.status == 200 {
                return note(&format!("{address} is ready"));
            }
        }
        sleep_s(0.02);
    }
    panic!("{address} does not get ready");
}

// ---- HTTP

pub struct Response {
    pub status: u16,
    pub body: String,
}

/// A request or a response as read from a socket.
pub struct HttpMessage {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// Reads one HTTP message with a Content-Length; bytes after it stay in `buffer`.
pub fn read_http(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<HttpMessage> {
    let mut chunk = [0; 8192];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_string();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let total = head_end + 4 + length;
    while buffer.len() < total {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    let body = String::from_utf8_lossy(&buffer[head_end + 4..total]).into_owned();
    buffer.drain(..total);
    Ok(HttpMessage { first_line, headers, body })
}

/// A client's connection, which is kept between requests.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout_s: f64) -> io::Result<Client> {
        let timeout = Duration::from_secs_f64(timeout_s);
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Client { stream, buffer: Vec::new() })
    }

    pub fn request(&mut self, method: &str, target: &str, headers: &[(&str, String)], body: &str) -> io::Result<Response> {
        self.send(method, target, headers, body)?;
        self.receive()
    }

    pub fn send(&mut self, method: &str, target: &str, headers: &[(&str, String)], body: &str) -> io::Result<()> {
        let mut text = format!("{method} {target} HTTP/1.1\r\nHost: service.internal\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        self.stream.write_all(text.as_bytes())
    }

    pub fn receive(&mut self) -> io::Result<Response> {
        let message = read_http(&mut self.stream, &mut self.buffer)?;
        let status = message.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        Ok(Response { status, body: message.body })
    }
}

/// Sends one request on a connection of its own.
pub fn request_once(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout_s: f64,
) -> io::Result<Response> {
    Client::connect(address, timeout_s)?.request(method, target, headers, body)
}

/// Headers of a query in the platform's form.
pub fn query_headers(id: &str, class: &str, timeout_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("X-Request-ID", id.to_string()),
        ("X-Priority-Class", class.to_string()),
        ("X-Tenant-Id", "tegid-direct".to_string()),
        ("X-Timeout-Ms", timeout_ms.to_string()),
    ]
}

/// The body of a query in the platform's form.
pub fn query_body(tablets: &[u32], statement: &str) -> String {
    let fraction = 1.0 / tablets.len() as f64;
    let tablets: Vec<String> = tablets
        .iter()
        .map(|tablet| format!("{{\"tablet\":{tablet},\"fraction\":{fraction}}}"))
        .collect();
    format!("{{\"tablets\":[{}],\"statement\":\"{statement}\"}}", tablets.join(","))
}

// ---- leaf servers of the platform's frames

/// A part that a leaf server has received whole.
#[derive(Clone, Debug)]
pub struct FramePart {
    pub id: String,
    pub shard: u32,
    pub options: String,
    pub text: String,
    /// Time of the first byte of the frame, as far as the stand-in can see it, and of its last byte.
    pub first_at: f64,
    pub at: f64,
}

/// What a leaf server does with a part: the word of its answer and its value, or nothing.
pub type FrameBehaviour = dyn Fn(&FramePart) -> Option<(String, String)> + Send + Sync;

/// Starts a leaf server that speaks the platform's frames. Every part runs in a thread of its own.
pub fn frame_leaf(name: &str, behaviour: Arc<FrameBehaviour>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let name = name.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = behaviour.clone();
            let name = name.clone();
            thread::spawn(move || {
                let _ = serve_frames(&name, stream, &behaviour);
            });
        }
    });
    address
}

fn serve_frames(name: &str, mut stream: TcpStream, behaviour: &Arc<FrameBehaviour>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let out = Arc::new(Mutex::new(stream.try_clone()?));
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length[..1])?;
        let first_at = now();
        stream.read_exact(&mut length[1..])?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame)?;
        let at = now();
        if frame.first() != Some(&b'q') {
            note(&format!("leaf {name}: frame {}", String::from_utf8_lossy(&frame)));
            continue;
        }
        let mut rest = &frame[1..];
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let fields: Vec<&str> = line.split(' ').collect();
            let length: usize = fields[3].parse().map_err(|_| io::ErrorKind::InvalidData)?;
            let part = FramePart {
                id: fields[0].to_string(),
                shard: fields[1].parse().map_err(|_| io::ErrorKind::InvalidData)?,
                options: fields[2].to_string(),
                text: String::from_utf8_lossy(&rest[end + 1..end + 1 + length]).into_owned(),
                first_at,
                at,
            };
            rest = &rest[end + 1 + length..];
            note(&format!("leaf {name}: got part {} ({}) {}", part.id, part.options, part.text));
            let (name, out, behaviour) = (name.to_string(), out.clone(), behaviour.clone());
            thread::spawn(move || {
                let Some((word, value)) = behaviour(&part) else { return };
                note(&format!("leaf {name}: answers {} {word}", part.id));
                let answer = format!("a{} {word} 1 qps=5.0\n{value}", part.id);
                let mut bytes = (answer.len() as u32).to_be_bytes().to_vec();
                bytes.extend(answer.as_bytes());
                let _ = out.lock().unwrap().write_all(&bytes);
            });
        }
    }
}

// ---- leaf servers of the search API

/// A call that a leaf server of the search API has received whole.
#[derive(Clone, Debug)]
pub struct SearchCall {
    pub method: String,
    pub path: String,
    pub query: String,
    pub id: String,
    pub body: String,
}

/// What a leaf server does with a call: status, body, and how many copies of the answer it writes.
pub type SearchBehaviour = dyn Fn(&SearchCall) -> (u16, String, usize) + Send + Sync;

/// Starts a leaf server that speaks the search API.
pub fn search_leaf(name: &str, behaviour: Arc<SearchBehaviour>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let name = name.to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = behaviour.clone();
            let name = name.clone();
            thread::spawn(move || {
                let _ = serve_search(&name, stream, &behaviour);
            });
        }
    });
    address
}

fn serve_search(name: &str, mut stream: TcpStream, behaviour: &Arc<SearchBehaviour>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let from = stream.peer_addr()?.port();
    let mut buffer = Vec::new();
    loop {
        let message = read_http(&mut stream, &mut buffer)?;
        let mut words = message.first_line.split(' ');
        let method = words.next().unwrap_or_default().to_string();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let call = SearchCall {
            method,
            path: path.to_string(),
            query: query.to_string(),
            id: message.headers.get("x-request-id").cloned().unwrap_or_default(),
            body: message.body,
        };
        note(&format!("leaf {name}: from :{from} {} {}?{} id {} {}", call.method, call.path, call.query, call.id, call.body));
        let (status, body, copies) = behaviour(&call);
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nX-Server-Load: qps=5.0\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        note(&format!("leaf {name}: to :{from} answers {} with {status}, copies {copies}: {body}", call.id));
        stream.write_all(answer.repeat(copies).as_bytes())?;
    }
}

/// A list entry for `known`.
pub fn member(id: &str, address: SocketAddr, zone: &str, cell: u32, speaks: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"{zone}\",\"cell\":{cell},\"phase\":\"Ready\",\"up_since_ms\":0,\"speaks\":\"{speaks}\"}}"
    )
}

/// Settings like those of deploy/operator.json. `hold` is the effect of the class stem-hold, `cells` the number of cells.
pub fn settings(hold: &str, cells: u32, slabs: u32, send_cap: u32) -> String {
    format!(
        r#"{{"categories": [
    {{"name": "area-search", "aimS": 1.5, "giveUpS": 3.0, "effect": "retryable", "lateWorth": 0.1, "worth": 2.0}},
    {{"name": "slot-check", "aimS": 1.2, "giveUpS": 3.0, "effect": "retryable", "lateWorth": 0.3, "worth": 1.0}},
    {{"name": "stem-hold", "aimS": 1.5, "giveUpS": 5.0, "effect": "{hold}", "windowS": 2.5, "lateWorth": 0.1, "worth": 2.0}}],
  "tenants": [{{"name": "tegid-direct", "share": 0.7, "allowancePerS": 14.0}}, {{"name": "garden-gate", "share": 0.3, "allowancePerS": 5.0}}],
  "zones": ["cardiff-bay", "newport-east"], "myZone": 0, "replicasOfMe": 1, "roundS": 0.005,
  "familyInfo": {{"cells": {cells}, "inARow": 2, "slabs": {slabs}, "perCall": 1, "completeFrom": [1.0, 1.0, 1.0],
    "floorByClass": [0.7, 1.0, 1.0], "classPartial": [0.9, 0.9, 0.9]}},
  "permissions": {{"cancelling": true, "connIdleS": 15.0, "connectTimeoutS": 0.25, "maxRetryAfterS": 2.0, "mostHeld": 214,
    "retryAfter": true, "secondCopies": true, "sendCap": {send_cap}, "streamsPerConn": 32}},
  "rules": {{"coldFrom": 0.2, "coldS": 14.0, "drainGraceS": 0.5, "fallMultiple": 2.5, "overloadForS": 1.5}}}}"#
    )
}

/// Writes a configuration. `extra` holds further top-level keys, each with a comma after it.
pub fn write_config(name: &str, listen: SocketAddr, extra: &str, members: &[String], settings: &str) -> PathBuf {
    let path = folder().join(format!("{name}.json"));
    let text = format!(
        "{{\"name\": \"{name}\", \"listen\": \"{listen}\", {extra} \"limits\": {{\"sockets\": 1024}},\n\"known\": {{\"revision\": 1, \"complete\": true, \"members\": [{}]}},\n\"settings\": {settings}}}\n",
        members.join(",\n ")
    );
    // Replaced in one step, so that no reader finds half a file.
    let fresh = path.with_extension("new");
    fs::write(&fresh, &text).expect("a configuration");
    fs::rename(&fresh, &path).expect("a configuration");
    note(&format!("configuration {name}: {}", text.replace('\n', " ")));
    path
}

// ---- a link between machine rooms that can be cut

/// A proxy for connections to one address. While the link is cut it passes nothing on, in either direction and without a sign; new
/// connections stay silent too.
pub fn link(to: SocketAddr, is_cut: Arc<std::sync::atomic::AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let is_cut = is_cut.clone();
            thread::spawn(move || {
                await_link(&is_cut);
                let Ok(other) = TcpStream::connect(to) else { return };
                let _ = stream.set_nodelay(true);
                let _ = other.set_nodelay(true);
                let (Ok(from), Ok(back)) = (stream.try_clone(), other.try_clone()) else { return };
                let there = is_cut.clone();
                thread::spawn(move || pass(from, other, &there));
                pass(back, stream, &is_cut);
            });
        }
    });
    address
}

fn await_link(is_cut: &std::sync::atomic::AtomicBool) {
    while is_cut.load(std::sync::atomic::Ordering::SeqCst) {
        sleep_s(0.01);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &std::sync::atomic::AtomicBool) {
    let mut buffer = [0; 65536];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        await_link(is_cut);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    await_link(is_cut);
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
