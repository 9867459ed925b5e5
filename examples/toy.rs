//! A leaf server for trying the mixer out: it listens on each given address, speaks the platform's frames, and answers every part
//! with the part's shard and text. It holds no data.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

fn serve(mut stream: TcpStream) -> io::Result<()> {
    // Without TCP_NODELAY, an answer would wait for the acknowledgement of the previous answer.
    stream.set_nodelay(true)?;
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let length = u32::from_be_bytes(length) as usize;
        if length == 0 || length > 1 << 20 {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut frame = vec![0; length];
        stream.read_exact(&mut frame)?;
        let Some((b'q', mut rest)) = frame.split_first().map(|(letter, rest)| (*letter, rest))
        else {
            continue; // the cancellation of a part, which was already answered
        };
        while let Some(line_end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&rest[..line_end]).into_owned();
            let [id, shard, options, length] = line.split(' ').collect::<Vec<_>>()[..] else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            let text = rest
                .get(line_end + 1..line_end + 1 + length)
                .ok_or(io::ErrorKind::InvalidData)?;
            // A pre-check reports no match for a text that contains `nowhere`.
            let is_pre_check = options.split(',').any(|word| word == "p=1");
            let has_no_match = text.windows(7).any(|word| word == b"nowhere");
            let (outcome, value) = match (is_pre_check, has_no_match) {
                (true, false) => ("match", String::new()),
                (true, true) => ("none", format!("shard {shard}: nothing")),
                (false, _) => (
                    "served",
                    format!("shard {shard}: {}", String::from_utf8_lossy(text)),
                ),
            };
            let answer = format!("a{id} {outcome} 0 inflight=1\n{value}");
            let answer_length = answer.len() as u32;
            stream.write_all(&[&answer_length.to_be_bytes()[..], answer.as_bytes()].concat())?;
            rest = &rest[line_end + 1 + length..];
        }
    }
}

fn main() -> io::Result<()> {
    let listeners = std::env::args()
        .skip(1)
        .map(TcpListener::bind)
        .collect::<io::Result<Vec<_>>>()?;
    if listeners.is_empty() {
        eprintln!("usage: toy ADDRESS..., for example 127.0.0.1:7101");
    }
    let servers = listeners.into_iter().map(|listener| {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || serve(stream));
            }
        })
    });
    servers
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|server| drop(server.join()));
    Ok(())
}
