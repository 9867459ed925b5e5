use super::{LogWriter, MAX_PENDING_BYTES};
use std::io::Read;
use std::os::fd::AsRawFd;

/// A log reader that had stopped held up the whole event loop once the pipe was full (issue 64).
#[test]
fn lines_that_are_not_read_are_left_out_and_counted() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    let path = format!("/proc/self/fd/{}", writer.as_raw_fd());
    let mut log = LogWriter {
        pipe: super::open_pipe(&path).unwrap(),
        pending: Vec::new(),
        omitted_lines: 0,
    };
    assert!(log.pipe.is_some());
    let line = "x".repeat(999) + "\n";
    for _ in 0..200 {
        log.write_line(&line);
    }
    assert!(log.omitted_lines > 0);
    assert!(log.pending.len() <= MAX_PENDING_BYTES);
    // The buffer exceeds the capacity of the pipe, so that a single read empties the pipe.
    let _ = reader.read(&mut vec![0; 1 << 20]).unwrap();
    log.write_line("last\n");
    drop((log, writer));
    let mut rest = String::new();
    reader.read_to_string(&mut rest).unwrap();
    assert!(
        rest.ends_with("were left out, because they were not read\nlast\n"),
        "{rest}"
    );
}
