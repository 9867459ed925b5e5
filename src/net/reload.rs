//! SIGHUP: settings and discovery from a configuration that is read again.
//!
//! This file owns when new settings are applied, and which discovery the file names. It must never change anything for a
//! configuration that is invalid, and never touch requests or connections of clients.

use crate::config::{Config, Deployment, KeyPaths};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::Deadline;
use mio::net::UnixStream;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// Settings accepted while the mixer runs are applied after this time (seconds): clients learn of them up to 1.2 s after
/// SIGHUP, and use the old ones until then.
const APPLY_AFTER_S: f64 = 1.0;

/// The configuration's file, and what it has brought since the start.
pub(super) struct Reload {
    /// Becomes readable when the file is to be read again.
    signals: UnixStream,
    /// Path of the file.
    config: PathBuf,
    /// The keys of the file that was accepted last.
    shape: KeyPaths,
    /// Settings that were accepted and are not applied yet.
    pending: Option<Rc<Deployment>>,
    /// Discovery as the file that was accepted last names it, whatever the environment says.
    file_discovery: Option<SocketAddr>,
    accepted: u64,
    rejected: u64,
}

/// What reading the configuration again has brought.
pub(super) enum ReloadOutcome {
    /// The file is invalid; the old configuration stays in use.
    Rejected,
    /// The file is valid.
    Accepted {
        /// Its settings.
        deployment: Box<Deployment>,
        /// The discovery that it names, if that is another one than before.
        discovery: Option<SocketAddr>,
    },
}

impl Reload {
    /// Nothing was read again yet.
    pub(super) fn new(
        signals: UnixStream,
        config: PathBuf,
        shape: KeyPaths,
        file_discovery: Option<SocketAddr>,
    ) -> Reload {
        Reload {
            signals,
            config,
            shape,
            pending: None,
            file_discovery,
            accepted: 0,
            rejected: 0,
        }
    }

    /// Number of files that were accepted at SIGHUP.
    pub(super) fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Number of files that were rejected at SIGHUP.
    pub(super) fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Reads the configuration again after one or more signals.
    pub(super) fn reread(&mut self, runtime: &mut Runtime) -> ReloadOutcome {
        self.consume_signals();
        let reread = match Config::reload(&self.config, &self.shape) {
            Ok(reread) => reread,
            Err(error) => {
                self.rejected += 1;
                runtime.log(&format!(
                    "reload: rejected, the old configuration stays in use: {error}"
                ));
                return ReloadOutcome::Rejected;
            }
        };
        self.accepted += 1;
        self.shape = reread.key_paths;
        // The environment of the process can't change, the file can: a new discovery in it is the one that is wanted now.
        let discovery = reread
            .discovery
            .filter(|address| Some(*address) != self.file_discovery);
        self.file_discovery = discovery.or(self.file_discovery);
        ReloadOutcome::Accepted {
            deployment: Box::new(reread.deployment),
            discovery,
        }
    }

    fn consume_signals(&mut self) {
        let mut buffer = [0; 64];
        while matches!(self.signals.read(&mut buffer), Ok(count) if count > 0) {}
    }

    /// Accepts valid settings. They are applied a little later, because clients use the old names and rules until then.
    pub(super) fn accept_settings(&mut self, runtime: &mut Runtime, deployment: Deployment) {
        let is_new = deployment != *runtime.deployment;
        self.pending = is_new.then(|| Rc::new(deployment));
        if is_new {
            runtime
                .timers
                .add(runtime.now + APPLY_AFTER_S, Deadline::ApplySettings);
            runtime.log("reload: new settings accepted; they are applied in 1 s");
        }
    }

    /// The settings that are to be applied now; each only once.
    pub(super) fn take_pending(&mut self) -> Option<Rc<Deployment>> {
        self.pending.take()
    }
}

/// Applies new settings to requests.
pub(super) fn apply_settings(runtime: &mut Runtime, deployment: Rc<Deployment>) {
    runtime
        .coordinator
        .reconfigure(runtime.now, deployment, &mut runtime.commands);
    let classes = &runtime.deployment.classes;
    let line = format!("reload: settings applied, classes {classes:?}");
    runtime.log(&line);
    log_phases(runtime);
}

/// Logs which classes have two-phase queries, if any.
pub(super) fn log_phases(runtime: &mut Runtime) {
    let deployment = &runtime.deployment;
    let classes: Vec<&String> = deployment
        .phases
        .classes
        .iter()
        .map(|class| &deployment.classes[*class])
        .collect();
    if classes.is_empty() {
        return;
    }
    let line = format!("two-phase queries: enabled for {classes:?}");
    runtime.log(&line);
}
