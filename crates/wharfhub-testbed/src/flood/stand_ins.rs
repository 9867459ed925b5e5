//! The leaf servers and the discovery of a flooded mixer.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Answers that a flooding leaf server sends in one write.
const ANSWERS_PER_WRITE: usize = 500;
/// Trailer lines that a flooding discovery sends in one write.
const LINES_PER_WRITE: usize = 1000;

/// A leaf server that serves each part at once.
pub struct LeafServer {
    /// Address at which the server listens.
    pub address: SocketAddr,
    repeated: Arc<AtomicU64>,
}

impl LeafServer {
    /// Starts a server. With `repeats`, the server sends the answer to the first part of each connection without end.
    pub fn start(repeats: bool) -> io::Result<LeafServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let repeated = Arc::new(AtomicU64::new(0));
        let count = repeated.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let count = count.clone();
                // An error ends only the connection that it occurs on.
                std::thread::spawn(move || serve(stream, repeats.then_some(count)));
            }
        });
        Ok(LeafServer { address, repeated })
    }

    /// Returns the number of answers that were sent more than once.
    pub fn repeated(&self) -> u64 {
        self.repeated.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream, repeated: Option<Arc<AtomicU64>>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut length = [0; 4];
    loop {
        stream.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame)?;
        if frame.first() != Some(&b'q') {
            continue;
        }
        let text = String::from_utf8_lossy(&frame[1..]).into_owned();
        let id = text.split(' ').next().unwrap_or_default();
        let content = format!("a{id} served 1 -\nvalue");
        let mut answer = (content.len() as u32).to_be_bytes().to_vec();
        answer.extend_from_slice(content.as_bytes());
        stream.write_all(&answer)?;
        let Some(repeated) = &repeated else { continue };
        let answers = answer.repeat(ANSWERS_PER_WRITE);
        loop {
            stream.write_all(&answers)?;
            repeated.fetch_add(ANSWERS_PER_WRITE as u64, Ordering::Relaxed);
        }
    }
}

/// A discovery that answers the first call with the list in use, and any other with a body whose trailer never ends.
pub struct DiscoveryFlood {
    /// Address at which discovery listens.
    pub address: SocketAddr,
    sent: Arc<AtomicU64>,
}

impl DiscoveryFlood {
    /// Starts discovery.
    pub fn start() -> io::Result<DiscoveryFlood> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let sent = Arc::new(AtomicU64::new(0));
        let count = sent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let count = count.clone();
                std::thread::spawn(move || answer_calls(stream, &count));
            }
        });
        Ok(DiscoveryFlood { address, sent })
    }

    /// Returns the number of trailer lines sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

fn answer_calls(mut stream: TcpStream, sent: &AtomicU64) -> io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    while let Some(line) = lines.next().transpose()? {
        if !line.starts_with("GET ") {
            continue;
        }
        let waits = line.contains("wait=") && !line.contains("wait=0");
        if !waits {
            let body = r#"{"revision":1,"complete":false,"members":[]}"#;
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            continue;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")?;
        let trailer = "a: b\r\n".repeat(LINES_PER_WRITE);
        loop {
            stream.write_all(trailer.as_bytes())?;
            sent.fetch_add(LINES_PER_WRITE as u64, Ordering::Relaxed);
        }
    }
    Ok(())
}
