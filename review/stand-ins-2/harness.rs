//! Parts that all cases of the second review share: processes of the program, stand-ins for leaf servers and clients, and the record.

use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Ids of all processes that were started, so that a timeout can end them.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static BEGIN: OnceLock<Instant> = OnceLock::new();

/// Time since the start of the test (seconds).
pub fn now() -> f64 {
    BEGIN.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Waits until `time`, on the clock of [`now`].
pub fn sleep_until(time: f64) {
    sleep(time - now());
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends every process that was started.
pub fn end_all() {
    for id in STARTED.lock().map(|ids| ids.clone()).unwrap_or_default() {
        send_signal(id, "KILL");
    }
}

fn send_signal(id: u32, name: &str) {
    let line = format!("kill -{name} {id} 2>/dev/null");
    let _ = Command::new("sh").args(["-c", &line]).status();
}

/// Appends the id of a process to the file that `REVIEW_IDS` names, so that the script can end it where it is told to end itself.
fn note_id(id: u32) {
    let Ok(path) = std::env::var("REVIEW_IDS") else {
        return;
    };
    if let Ok(mut file) = fs::OpenOptions::new().append(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

/// What was sent, answered and run, written to `record.txt`.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<String>>);

impl Record {
    pub fn add(&self, text: impl AsRef<str>) {
        let mut lines = self.0.lock().expect("record");
        let _ = writeln!(lines, "{:9.3} {}", now(), text.as_ref());
    }

    pub fn save(&self, folder: &Path) {
        let lines = self.0.lock().expect("record");
        let _ = fs::write(folder.join("record.txt"), lines.as_bytes());
    }
}

/// Returns a loopback address with a free port.
pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Returns a loopback address with a free UDP port.
pub fn free_udp_address(ip: &str) -> SocketAddr {
    let socket = UdpSocket::bind((ip, 0)).expect("a free port");
    socket.local_addr().expect("an address")
}

/// A new folder for one run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    pub fn sub(&self, name: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::create_dir_all(&path).expect("a folder");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// One process of the program.
pub struct Mixer {
    pub label: String,
    child: Child,
    log: PathBuf,
    record: Record,
}

/// What a process is started with, beside the command of the deploy file.
pub struct Start<'a> {
    pub label: &'a str,
    pub config: &'a str,
    pub folder: &'a Path,
    /// Listener that the platform holds, inherited as descriptor 0.
    pub listener: Option<&'a TcpListener>,
    pub variables: Vec<(&'a str, String)>,
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run"));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.expect("a line `run`").to_string()
}

impl Mixer {
    /// Starts a process by the command of the deploy file, from the root of the repository.
    pub fn start(record: &Record, start: Start) -> Mixer {
        let config = start.folder.join(format!("{}.json", start.label));
        fs::write(&config, start.config).expect("a configuration");
        let log = start.folder.join(format!("{}-{}.log", start.label, now()));
        let stdin = match start.listener {
            Some(listener) => Stdio::from(OwnedFd::from(listener.try_clone().expect("a listener"))),
            None => Stdio::null(),
        };
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command()])
            .env("LB_CONFIG", &config)
            .env("TMPDIR", start.folder)
            .stdin(stdin)
            .stdout(Stdio::null())
            .stderr(fs::File::create(&log).expect("a log"));
        if start.listener.is_some() {
            command.env("LB_LISTEN_FD", "0");
        }
        for (name, value) in start.variables {
            command.env(name, value);
        }
        let child = command.spawn().expect("the program starts");
        STARTED.lock().expect("ids").push(child.id());
        note_id(child.id());
        record.add(format!("{}: started", start.label));
        Mixer {
            label: start.label.to_string(),
            child,
            log,
            record: record.clone(),
        }
    }

    pub fn signal(&self, name: &str) {
        self.record.add(format!("{}: SIG{name}", self.label));
        send_signal(self.child.id(), name);
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits for a text in the log.
    pub fn await_log(&self, text: &str, timeout_s: f64) -> bool {
        let found = await_that(timeout_s, || self.log().contains(text));
        self.record
            .add(format!("{}: log has `{text}`: {found}", self.label));
        found
    }

    pub fn await_exit(&mut self, timeout_s: f64) -> bool {
        let exited = await_that(timeout_s, || matches!(self.child.try_wait(), Ok(Some(_))));
        self.record.add(format!("{}: exited: {exited}", self.label));
        exited
    }

    /// Adds the log of the process to the record.
    pub fn record_log(&self) {
        for line in self.log().lines() {
            self.record.add(format!("{} log: {line}", self.label));
        }
    }
}

impl Drop for Mixer {
    fn drop(&mut self) {
        send_signal(self.child.id(), "CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls until a condition holds. Returns whether it did in time.
pub fn await_that(timeout_s: f64, mut holds: impl FnMut() -> bool) -> bool {
    let end = now() + timeout_s;
    while now() < end {
        if holds() {
            return true;
        }
        sleep(0.005);
    }
    holds()
}

/// What a leaf server does with a part.
pub struct Reply {
    pub after_s: f64,
    pub end: &'static str,
    pub value: String,
}

/// An attempt that a leaf server has received whole.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Name of the leaf server.
    pub leaf: String,
    pub part: String,
    pub text: String,
    pub options: String,
    pub began: f64,
    /// Time of the answer; infinite while there is none.
    pub ended: f64,
    pub end: &'static str,
}

/// All attempts that the leaf servers have received.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Starts a leaf server that speaks frames. Each part is answered as `reply` says, at its own time; a part that is given up is not
/// answered any more.
pub fn start_leaf(
    name: &str,
    attempts: &Attempts,
    record: &Record,
    reply: impl Fn(&Attempt) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let reply: Arc<dyn Fn(&Attempt) -> Reply + Send + Sync> = Arc::new(reply);
    let (name, attempts, record) = (name.to_string(), attempts.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, attempts, record) = (name.clone(), attempts.clone(), record.clone());
            let reply = reply.clone();
            thread::spawn(move || {
                let _ = serve_leaf(stream, &name, &attempts, &record, &reply);
            });
        }
    });
    address
}

fn serve_leaf(
    mut stream: TcpStream,
    name: &str,
    attempts: &Attempts,
    record: &Record,
    reply: &Arc<dyn Fn(&Attempt) -> Reply + Send + Sync>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let cancelled: Arc<Mutex<Vec<String>>> = Arc::default();
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame)?;
        let Some((letter, mut rest)) = frame.split_first() else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        if *letter == b'c' {
            let part = String::from_utf8_lossy(rest).into_owned();
            record.add(format!("{name}: {part} is given up"));
            cancelled.lock().expect("parts").push(part);
            continue;
        }
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let words: Vec<&str> = line.split(' ').collect();
            let count: usize = words[3].parse().map_err(|_| io::ErrorKind::InvalidData)?;
            let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + count]).into_owned();
            rest = &rest[end + 1 + count..];
            let attempt = Attempt {
                leaf: name.to_string(),
                part: words[0].to_string(),
                text,
                options: words[2].to_string(),
                began: now(),
                ended: f64::INFINITY,
                end: "open",
            };
            record.add(format!(
                "{name}: gets {} ({})",
                attempt.part, attempt.options
            ));
            let answer = reply(&attempt);
            let index = {
                let mut all = attempts.lock().expect("attempts");
                all.push(attempt.clone());
                all.len() - 1
            };
            let (writer, cancelled) = (writer.clone(), cancelled.clone());
            let (attempts, record, name) = (attempts.clone(), record.clone(), name.to_string());
            thread::spawn(move || {
                sleep(answer.after_s);
                let part = attempt.part;
                let is_cancelled = cancelled.lock().expect("parts").contains(&part);
                {
                    let mut all = attempts.lock().expect("attempts");
                    all[index].ended = now();
                    all[index].end = if is_cancelled { "given up" } else { answer.end };
                }
                if is_cancelled {
                    return;
                }
                record.add(format!("{name}: answers {part} {}", answer.end));
                let body = format!("a{part} {} 0 -\n{}", answer.end, answer.value);
                let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
                bytes.extend(body.into_bytes());
                let _ = writer.lock().expect("writer").write_all(&bytes);
            });
        }
    }
}

/// Answer of a mixer to a client.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status, or 0 if the connection was refused, ended or silent.
    pub status: u16,
    pub body: String,
}

/// Sends one HTTP request on a new connection and reads its answer.
pub fn call(to: SocketAddr, request: &str, timeout_s: f64) -> Answer {
    let failed = |error: io::Error| Answer {
        status: 0,
        body: error.to_string(),
    };
    exchange(to, request, timeout_s).unwrap_or_else(failed)
}

fn exchange(to: SocketAddr, request: &str, timeout_s: f64) -> io::Result<Answer> {
    let timeout = Duration::from_secs_f64(timeout_s);
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            if length.is_some_and(|length| body.len() >= length) {
                let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
                return Ok(Answer {
                    status: status.unwrap_or(0),
                    body: body.to_string(),
                });
            }
        }
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Returns a query of one part, in the platform's form.
pub fn query(class: &str, id: &str, shard: u32, timeout_ms: u32) -> String {
    let body =
        format!("{{\"tablets\":[{{\"tablet\":{shard},\"fraction\":1.0}}],\"statement\":\"{id}\"}}");
    format!(
        "POST /{class} HTTP/1.1\r\nHost: mixer\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: tegid-direct\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends one line to the admin interface, and returns the reply's first line.
pub fn admin(to: SocketAddr, line: &str) -> String {
    let ask = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(300)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        Ok(text.lines().next().unwrap_or_default().to_string())
    };
    ask().unwrap_or_else(|error| format!("no reply ({error})"))
}

/// Returns whether a mixer says that it is ready.
pub fn is_ready(to: SocketAddr) -> bool {
    let request = "GET /-/ready HTTP/1.1\r\nHost: mixer\r\n\r\n";
    call(to, request, 0.5).status == 200
}

/// Returns an entry of the list of leaf servers.
pub fn member(name: &str, address: SocketAddr, cell: u32, zone: &str) -> String {
    format!(
        "{{\"id\":\"{name}\",\"host_port\":\"{address}\",\"locality\":\"{zone}\",\"cell\":{cell},\
         \"phase\":\"Ready\",\"up_since_ms\":0}}"
    )
}

/// Values of the settings that differ between cases. The others are those of `deploy/operator.json`.
pub struct Settings<'a> {
    pub hold_effect: &'a str,
    pub most_held: u32,
    pub mixers: u32,
}

/// Returns the settings as JSON.
pub fn settings(values: &Settings) -> String {
    let Settings {
        hold_effect,
        most_held,
        mixers,
    } = values;
    format!(
        r#"{{"categories":[
  {{"name":"area-search","aimS":1.5,"giveUpS":3.0,"effect":"retryable","lateWorth":0.1,"worth":2.0}},
  {{"name":"slot-check","aimS":1.2,"giveUpS":3.0,"effect":"retryable","lateWorth":0.3,"worth":1.0}},
  {{"name":"stem-hold","aimS":1.5,"giveUpS":5.0,"effect":"{hold_effect}","windowS":2.5,"lateWorth":0.1,"worth":2.0}}],
 "tenants":[{{"name":"tegid-direct","share":0.7,"allowancePerS":140.0}},{{"name":"garden-gate","share":0.3,"allowancePerS":50.0}}],
 "zones":["cardiff-bay","newport-east"],"myZone":0,"replicasOfMe":{mixers},"roundS":0.005,
 "familyInfo":{{"cells":2,"inARow":2,"slabs":4,"perCall":1,"completeFrom":[1.0,1.0,1.0],"floorByClass":[0.7,1.0,1.0],
  "classPartial":[0.9,0.9,0.9]}},
 "permissions":{{"cancelling":true,"connIdleS":15.0,"connectTimeoutS":0.25,"maxRetryAfterS":2.0,"mostHeld":{most_held},
  "retryAfter":true,"secondCopies":true,"sendCap":4,"streamsPerConn":32}},
 "rules":{{"coldFrom":0.2,"coldS":14.0,"drainGraceS":0.5,"fallMultiple":2.5,"overloadForS":1.5}}}}"#
    )
}

/// Returns a configuration; `extra` holds further top-level keys, each followed by a comma.
pub fn config(
    name: &str,
    listen: SocketAddr,
    members: &[String],
    settings: &str,
    extra: &str,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"limits\":{{\"sockets\":1024}},{extra}\
         \"known\":{{\"revision\":1,\"complete\":true,\"members\":[{}]}},\"settings\":{settings}}}",
        members.join(",")
    )
}
