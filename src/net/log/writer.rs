//! Writing of log lines to standard error without waiting for the process that reads them.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};

/// Path by which the process opens its standard error a second time (Linux).
const STANDARD_ERROR: &str = "/proc/self/fd/2";
/// Flag of a descriptor whose operations do not wait (Linux).
const O_NONBLOCK: i32 = 0o4000;
/// Limit on the bytes that wait for the reader of the log.
const MAX_PENDING_BYTES: usize = 64 * 1024;

/// Writer of log lines. If standard error is a pipe whose reader is too slow, lines wait up to a limit, and further ones are left out.
#[derive(Debug)]
pub(super) struct LogWriter {
    /// Own descriptor of the pipe: the flag on it does not concern other processes that write to the pipe. `None` if standard error
    /// is no pipe.
    pipe: Option<File>,
    pending: Vec<u8>,
    /// Number of lines left out since the last written one.
    omitted_lines: u64,
}

impl LogWriter {
    /// Opens standard error.
    pub(super) fn open() -> LogWriter {
        LogWriter {
            pipe: open_pipe(STANDARD_ERROR).ok().flatten(),
            pending: Vec::new(),
            omitted_lines: 0,
        }
    }

    /// Writes a line, which includes its end.
    pub(super) fn write_line(&mut self, line: &str) {
        let Some(pipe) = &mut self.pipe else {
            // The mixer keeps serving if standard error is closed.
            let _ = io::stderr().write_all(line.as_bytes());
            return;
        };
        // Bytes of an earlier line come first, so that lines are not mixed.
        write_pending(pipe, &mut self.pending);
        if self.pending.len() + line.len() > MAX_PENDING_BYTES {
            self.omitted_lines += 1;
            return;
        }
        if self.omitted_lines > 0 {
            let omitted_lines = std::mem::take(&mut self.omitted_lines);
            let text =
                format!("log: {omitted_lines} lines were left out, because they were not read\n");
            self.pending.extend_from_slice(text.as_bytes());
        }
        self.pending.extend_from_slice(line.as_bytes());
        write_pending(pipe, &mut self.pending);
    }
}

/// Opens the pipe at a path without waiting. Returns `None` if the path is no pipe.
fn open_pipe(path: &str) -> io::Result<Option<File>> {
    if !std::fs::metadata(path)?.file_type().is_fifo() {
        return Ok(None);
    }
    let mut options = OpenOptions::new();
    let file = options.write(true).custom_flags(O_NONBLOCK).open(path)?;
    Ok(Some(file))
}

/// Writes as much as the pipe accepts, and removes it from the pending bytes. All are removed if the pipe has no reader any more.
fn write_pending(pipe: &mut File, pending: &mut Vec<u8>) {
    while !pending.is_empty() {
        match pipe.write(pending) {
            Ok(count) => drop(pending.drain(..count)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => pending.clear(),
        }
    }
}

#[cfg(test)]
mod tests;
