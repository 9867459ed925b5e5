//! Log lines on standard error, limited to a number of lines per second. Lines about single requests, and lines about what a peer
//! has sent, have limits of their own, so that they cannot displace lines about the whole mixer.

mod writer;

use writer::LogWriter;

/// Maximum number of lines per second about the mixer as a whole.
const MAX_MIXER_LINES_PER_S: u32 = 50;
/// Maximum number of lines per second about single requests.
const MAX_REQUEST_LINES_PER_S: u32 = 5;
/// Maximum number of lines per second about the input of peers that cannot be used.
const MAX_PEER_LINES_PER_S: u32 = 5;

/// A limit on the number of lines per second.
#[derive(Debug)]
struct LineLimit {
    max_lines: u32,
    second_started_at: f64,
    lines: u32,
    suppressed: u64, // since the last written line
}

impl LineLimit {
    fn new(max_lines: u32, now: f64) -> LineLimit {
        LineLimit {
            max_lines,
            second_started_at: now,
            lines: 0,
            suppressed: 0,
        }
    }

    /// Counts a line. Returns the number of lines suppressed since the last written one, or `None` if this line exceeds the
    /// limit.
    fn count_line(&mut self, now: f64) -> Option<u64> {
        if now >= self.second_started_at + 1.0 {
            (self.second_started_at, self.lines) = (now, 0);
        }
        self.lines += 1;
        if self.lines > self.max_lines {
            self.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// The log of a mixer, with its line limits.
#[derive(Debug)]
pub(super) struct Log {
    mixer: LineLimit,
    requests: LineLimit,
    peers: LineLimit,
    writer: LogWriter,
}

impl Log {
    /// Creates a log; `now` is on the event loop's clock (seconds).
    pub(super) fn new(now: f64) -> Log {
        Log {
            mixer: LineLimit::new(MAX_MIXER_LINES_PER_S, now),
            requests: LineLimit::new(MAX_REQUEST_LINES_PER_S, now),
            peers: LineLimit::new(MAX_PEER_LINES_PER_S, now),
            writer: LogWriter::open(),
        }
    }

    /// Writes a line about the mixer as a whole, unless the limit on such lines is exceeded. `age_s` is the time since the
    /// start of the process.
    pub(super) fn write(&mut self, now: f64, age_s: f64, line: &str) {
        let line = || line.to_string();
        write_limited(&mut self.writer, &mut self.mixer, now, age_s, line);
    }

    /// Writes a line about one request, unless the limit on such lines is exceeded; `line` is evaluated only if the line is
    /// written.
    pub(super) fn write_request(&mut self, now: f64, age_s: f64, line: impl FnOnce() -> String) {
        write_limited(&mut self.writer, &mut self.requests, now, age_s, line);
    }

    /// Writes a line about a peer's input, unless the limit on such lines is exceeded; `line` is evaluated only if the line is
    /// written.
    pub(super) fn write_peer(&mut self, now: f64, age_s: f64, line: impl FnOnce() -> String) {
        write_limited(&mut self.writer, &mut self.peers, now, age_s, line);
    }
}

/// Writes a line with the number of lines suppressed before, unless the limit is exceeded.
fn write_limited(
    writer: &mut LogWriter,
    limit: &mut LineLimit,
    now: f64,
    age_s: f64,
    line: impl FnOnce() -> String,
) {
    let Some(suppressed) = limit.count_line(now) else {
        return;
    };
    let mut line = line();
    if suppressed > 0 {
        line += &format!(" ({suppressed} such lines were left out before)");
    }
    writer.write_line(&format!("wharfhub {age_s:.3} {line}\n"));
}
