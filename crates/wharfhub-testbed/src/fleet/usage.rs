//! CPU time of threads and memory of processes, read from `/proc`.

use std::io;
use std::path::{Path, PathBuf};

/// CPU time counter of a thread, which other threads can read while the thread runs.
#[derive(Clone, Debug)]
pub struct ThreadCpu {
    path: PathBuf,
}

impl ThreadCpu {
    /// Returns the counter of the calling thread.
    pub fn of_this_thread() -> io::Result<ThreadCpu> {
        let own = std::fs::read_link("/proc/thread-self")?;
        Ok(ThreadCpu {
            path: Path::new("/proc").join(own).join("schedstat"),
        })
    }

    /// Reads the CPU time used so far (seconds).
    pub fn read_s(&self) -> io::Result<f64> {
        let text = std::fs::read_to_string(&self.path)?;
        let nanoseconds = text
            .split(' ')
            .next()
            .and_then(|word| word.parse::<u64>().ok());
        nanoseconds
            .map(|count| count as f64 / 1e9)
            .ok_or_else(|| io::ErrorKind::InvalidData.into())
    }
}

/// Returns the resident memory of a process, or of this process for `None` (bytes).
pub fn resident_bytes(process: Option<u32>) -> io::Result<u64> {
    let name = process.map_or("self".to_string(), |id| id.to_string());
    let text = std::fs::read_to_string(format!("/proc/{name}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes
        .map(|count| count * 1024)
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}
