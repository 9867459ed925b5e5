//! Reload of the configuration on SIGHUP: the settings and the address of discovery. An invalid configuration changes nothing,
//! and requests and client connections are not affected.

mod settings_schedule;

use crate::config::{Config, Deployment, KeyPaths};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use mio::net::UnixStream;
use settings_schedule::SettingsSchedule;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// The configuration file and the results of reloading it.
pub(super) struct Reload {
    /// Becomes readable when the process has received SIGHUP.
    signals: UnixStream,
    /// Path of the configuration file.
    config_path: PathBuf,
    /// Keys of the file that was accepted last.
    key_paths: KeyPaths,
    /// Settings that are accepted but not applied yet.
    schedule: SettingsSchedule,
    /// Address of discovery in the file that was accepted last; the environment may override it.
    file_discovery: Option<SocketAddr>,
    /// Number of files that were accepted on SIGHUP.
    accepted: u64,
    /// Number of files that were rejected on SIGHUP.
    rejected: u64,
}

/// The result of reloading the configuration.
pub(super) enum ReloadOutcome {
    /// The file is invalid; the old configuration remains in use.
    Rejected,
    /// The file is valid.
    Accepted {
        /// Settings of the file.
        deployment: Box<Deployment>,
        /// Address of discovery, if the file names another one than before.
        discovery: Option<SocketAddr>,
    },
}

impl Reload {
    /// Creates the state before the first reload.
    pub(super) fn new(
        signals: UnixStream,
        config_path: PathBuf,
        key_paths: KeyPaths,
        file_discovery: Option<SocketAddr>,
    ) -> Reload {
        Reload {
            signals,
            config_path,
            key_paths,
            schedule: SettingsSchedule::default(),
            file_discovery,
            accepted: 0,
            rejected: 0,
        }
    }

    /// Returns the number of files that were accepted on SIGHUP.
    pub(super) fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Returns the number of files that were rejected on SIGHUP.
    pub(super) fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Reloads the configuration after one or more signals.
    pub(super) fn reload_config(&mut self, runtime: &mut Runtime) -> ReloadOutcome {
        self.consume_signals();
        let reloaded = match Config::reload(&self.config_path, &self.key_paths) {
            Ok(reloaded) => reloaded,
            Err(error) => {
                self.rejected += 1;
                runtime.log(&format!(
                    "reload: rejected, the old configuration stays in use: {error}"
                ));
                return ReloadOutcome::Rejected;
            }
        };
        self.accepted += 1;
        self.key_paths = reloaded.key_paths;
        // The environment of a running process cannot change, but the file can: a new address of discovery in the file takes
        // precedence.
        let discovery = reloaded
            .discovery
            .filter(|address| Some(*address) != self.file_discovery);
        self.file_discovery = discovery.or(self.file_discovery);
        ReloadOutcome::Accepted {
            deployment: Box::new(reloaded.deployment),
            discovery,
        }
    }

    fn consume_signals(&mut self) {
        let mut buffer = [0; 64];
        while matches!(self.signals.read(&mut buffer), Ok(count) if count > 0) {}
    }

    /// Accepts valid settings. They are applied after a delay, because clients use the old names and rules until then.
    pub(super) fn accept_settings(&mut self, runtime: &mut Runtime, deployment: Deployment) {
        let now = runtime.now;
        let times = self.schedule.accept(now, deployment, &runtime.deployment);
        if let Some(times) = times {
            for at in [times.apply_at, times.complete_at] {
                runtime.timers.add(at, Deadline::ApplySettings);
            }
            runtime.log("reload: new settings accepted; they are applied in 1 s");
        }
    }

    /// Returns the settings to be used from now on, if they differ from those in use. Has to be called until it returns `None`.
    pub(super) fn take_due_settings(&mut self, runtime: &Runtime) -> Option<Rc<Deployment>> {
        let due_by = runtime.now + TIMER_TOLERANCE_S;
        self.schedule.take_due(due_by, &runtime.deployment)
    }
}

/// Applies new settings to the request coordinator.
pub(super) fn apply_settings(runtime: &mut Runtime, deployment: Rc<Deployment>) {
    runtime
        .coordinator
        .reconfigure(runtime.now, deployment.clone(), &mut runtime.commands);
    let classes = &deployment.classes;
    runtime.log(&format!("reload: settings applied, classes {classes:?}"));
    let changing: Vec<&String> = (0..classes.len())
        .filter(|class| deployment.is_effect_changing(*class))
        .map(|class| &classes[class])
        .collect();
    if !changing.is_empty() {
        runtime.log(&format!(
            "reload: parts of {changing:?} that may have run are not retried until all clients use the new effect"
        ));
    }
    log_phases(runtime);
}

/// Logs the classes for which two-phase queries are enabled, if any.
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
