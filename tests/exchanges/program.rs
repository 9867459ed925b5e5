//! A process of the program under test: its addresses, log and signals.

use crate::MAX_WAIT;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::mpsc::Receiver;
use std::time::Instant;

pub struct Program {
    pub child: Child,
    pub config_path: PathBuf,
    /// Lines of the log that were not awaited yet.
    pub log: Receiver<String>,
    pub client_address: SocketAddr,
    pub search_address: Option<SocketAddr>,
    pub admin_address: Option<SocketAddr>,
    pub store_address: Option<SocketAddr>,
    pub vrrp_address: Option<SocketAddr>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Program {
    /// Waits until the program listens for clients, and for searches if it `has_search`.
    pub fn await_client_addresses(&mut self, has_search: bool) {
        self.client_address = self.await_address("start: ");
        self.search_address = has_search.then(|| self.await_address("search API"));
    }

    /// Waits until the program listens for searches, where its listener for other clients is inherited.
    pub fn await_search_address(&mut self) {
        self.search_address = Some(self.await_address("search API"));
    }

    /// Waits for the log line with `text`, and returns the address in it.
    pub fn await_address(&mut self, text: &str) -> SocketAddr {
        let line = self.await_log(text);
        let after = line.split(" on ").nth(1).or(line.split(" from ").nth(1));
        let address = after.and_then(|rest| rest.split([' ', ',']).next());
        address
            .and_then(|text| text.parse().ok())
            .expect("log line without an address")
    }

    /// Waits for the next log line with `text`.
    pub fn await_log(&mut self, text: &str) -> String {
        // The timeout covers all lines, so that a program that keeps logging other lines does not make the wait endless.
        let end = Instant::now() + MAX_WAIT;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let line = self
                .log
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("not logged in time: {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id();
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -{signal} {id}")])
            .status()
            .expect("run kill in a shell");
        assert!(sent.success());
    }

    /// Pauses the process, and waits until it is stopped.
    pub fn stop(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let stopped = || std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T "));
        while !stopped() {
            std::thread::yield_now();
        }
    }

    /// Waits until the program has exited with status 0.
    pub fn await_exit(&mut self) {
        let end = Instant::now() + MAX_WAIT;
        let status = loop {
            match self.child.try_wait().expect("wait for the program") {
                Some(status) => break status,
                None if Instant::now() < end => std::thread::yield_now(),
                None => panic!("program did not exit in time"),
            }
        };
        assert!(status.success(), "{status}");
    }
}
