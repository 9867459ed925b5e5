//! A toy stock box: it listens on each address given, takes calls in frames, and answers every part with its
//! shard and text. It owns no stock and must never stand in for a real box.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

fn serve(mut stream: TcpStream) -> io::Result<()> {
    loop {
        let mut head = [0; 4];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes(head) as usize;
        if length == 0 || length > 1 << 20 {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut frame = vec![0; length];
        stream.read_exact(&mut frame)?;
        let Some((b'q', mut rest)) = frame.split_first().map(|(letter, rest)| (*letter, rest)) else {
            continue; // a part given up: it was answered long ago
        };
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let [id, shard, _, length] = line.split(' ').collect::<Vec<_>>()[..] else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            let text = rest.get(end + 1..end + 1 + length).ok_or(io::ErrorKind::InvalidData)?;
            let line = format!("a{id} served 0 inflight=1\nshard {shard}: ");
            let whole = (line.len() + text.len()) as u32;
            stream.write_all(&[&whole.to_be_bytes()[..], line.as_bytes(), text].concat())?;
            rest = &rest[end + 1 + length..];
        }
    }
}

fn main() -> io::Result<()> {
    let listeners = std::env::args().skip(1).map(TcpListener::bind).collect::<io::Result<Vec<_>>>()?;
    if listeners.is_empty() {
        eprintln!("give one or more addresses, such as 127.0.0.1:7101");
    }
    let boxes = listeners.into_iter().map(|listener| {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || serve(stream));
            }
        })
    });
    boxes.collect::<Vec<_>>().into_iter().for_each(|each| drop(each.join()));
    Ok(())
}
