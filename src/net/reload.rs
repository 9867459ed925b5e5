//! Reload of the configuration on SIGHUP: the settings and the address of discovery. An invalid configuration changes nothing,
//! and requests and client connections are not affected.

use crate::config::{Config, DecodedSettings, Deployment, KeyPaths, SettingsError, Uncertainty};
use crate::net::handover::SettingsMessage;
use crate::net::runtime::Runtime;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use crate::requests::settings_schedule::{DueSettings, Origin, SettingsSchedule};
use mio::net::UnixStream;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum length of all settings that are handed over to a successor (bytes), of which a message may contain 48 MiB.
const MAX_HANDED_OVER_BYTES: usize = 8 * 1024 * 1024;

/// The configuration file and the results of reloading it.
pub(super) struct Reload {
    /// Becomes readable when the process has received SIGHUP.
    signals: UnixStream,
    /// Path of the configuration file.
    config_path: PathBuf,
    /// Keys of the file that was accepted last.
    key_paths: KeyPaths,
    /// The settings in use, and those that come into force soon.
    schedule: SettingsSchedule,
    /// Time of the last timer that was set for a change of the settings in use (seconds).
    next_change_at: Option<f64>,
    /// Address of discovery in the file that was accepted last; the environment may override it.
    file_discovery: Option<SocketAddr>,
    /// Time at which that file was read (seconds).
    file_read_at: f64,
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
        settings: DecodedSettings,
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
        schedule: SettingsSchedule,
        now: f64,
    ) -> Reload {
        Reload {
            signals,
            config_path,
            key_paths,
            schedule,
            next_change_at: None,
            file_discovery,
            file_read_at: now,
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
        let outcome = self.read_config(runtime);
        match outcome {
            ReloadOutcome::Rejected => self.rejected += 1,
            ReloadOutcome::Accepted { .. } => self.accepted += 1,
        }
        outcome
    }

    /// Reads the configuration file again.
    pub(super) fn read_config(&mut self, runtime: &mut Runtime) -> ReloadOutcome {
        let reloaded = match Config::reload(&self.config_path, &self.key_paths) {
            Ok(reloaded) => reloaded,
            Err(error) => {
                runtime.log(&format!(
                    "reload: rejected, the old configuration stays in use: {error}"
                ));
                return ReloadOutcome::Rejected;
            }
        };
        self.file_read_at = runtime.now;
        self.key_paths = reloaded.key_paths;
        // The environment of a running process cannot change, but the file can: a new address of discovery in the file takes
        // precedence.
        let discovery = reloaded
            .discovery
            .filter(|address| Some(*address) != self.file_discovery);
        self.file_discovery = discovery.or(self.file_discovery);
        ReloadOutcome::Accepted {
            settings: reloaded.settings,
            discovery,
        }
    }

    fn consume_signals(&mut self) {
        let mut buffer = [0; 64];
        while matches!(self.signals.read(&mut buffer), Ok(count) if count > 0) {}
    }

    /// Returns the time since the configuration file was last read and accepted (seconds).
    pub(super) fn file_age_s(&self, now: f64) -> f64 {
        now - self.file_read_at
    }

    /// Returns the settings that were accepted last, which may not be in use yet.
    pub(super) fn last_accepted(&self) -> &DecodedSettings {
        self.schedule.last_accepted()
    }

    /// Begins anew with settings of unknown age.
    pub(super) fn begin_settings(&mut self, now: f64, settings: DecodedSettings) {
        self.schedule.begin(now, settings);
    }

    /// Returns the settings for the successor process. `are_stored` says that they come from the store. Returns `None` if they are too
    /// long to be sent.
    pub(super) fn settings_message(&self, now: f64, are_stored: bool) -> Option<SettingsMessage> {
        let schedule = self.schedule.hand_over(now);
        let is_sendable = schedule.text_bytes() <= MAX_HANDED_OVER_BYTES;
        is_sendable.then(|| SettingsMessage {
            schedule,
            are_stored,
            file_age_s: self.file_age_s(now),
        })
    }

    /// Adopts the predecessor's settings in place of the own ones. Changes nothing if they cannot be decoded.
    pub(super) fn inherit_settings(
        &mut self,
        now: f64,
        message: &SettingsMessage,
    ) -> Result<(), SettingsError> {
        self.schedule.inherit(now, &message.schedule)
    }

    /// Accepts valid settings and schedules their use. Returns false if they equal the last ones.
    pub(super) fn accept_settings(
        &mut self,
        runtime: &mut Runtime,
        settings: DecodedSettings,
        origin: Origin,
    ) -> bool {
        let is_new = self.schedule.accept(runtime.now, settings, origin);
        if is_new {
            runtime.log("reload: new settings accepted; they are applied in 1 s");
        }
        is_new
    }

    /// Records that the store's settings were read from a majority of its nodes.
    pub(super) fn store_read(&mut self, now: f64) {
        self.schedule.store_read(now);
    }

    /// Records that the store could not be read.
    pub(super) fn store_lost(&mut self) {
        self.schedule.store_lost();
    }

    /// Returns the settings to be used from now on, if they differ from those in use. Has to be called until it returns `None`.
    pub(super) fn take_due_settings(&mut self, runtime: &Runtime) -> Option<DueSettings> {
        let due_by = runtime.now + TIMER_TOLERANCE_S;
        self.schedule.take_due(due_by, &runtime.deployment)
    }

    /// Sets the timer of the next change of the settings in use, unless it is set.
    pub(super) fn schedule_next_change(&mut self, runtime: &mut Runtime) {
        let due_by = runtime.now + TIMER_TOLERANCE_S;
        let Some(at) = self.schedule.next_change_at(due_by) else {
            return;
        };
        let is_set = |set_at: f64| set_at > due_by && set_at <= at;
        if !self.next_change_at.is_some_and(is_set) {
            self.next_change_at = Some(at);
            runtime.timers.add(at, Deadline::ApplySettings);
        }
    }
}

/// Applies the settings of the runtime, which have replaced `former`, to the request coordinator. `are_new` is false if only
/// restrictions have begun or ended.
pub(super) fn apply_settings(runtime: &mut Runtime, former: &Deployment, are_new: bool) {
    let deployment = runtime.deployment.clone();
    runtime
        .coordinator
        .reconfigure(runtime.now, deployment.clone(), &mut runtime.commands);
    if are_new {
        let classes = &deployment.classes;
        runtime.log(&format!("reload: settings applied, classes {classes:?}"));
    }
    log_restrictions(runtime, former);
    if are_new {
        log_phases(runtime);
    }
}

/// Logs which parts are not retried for a time, and when that has ended.
fn log_restrictions(runtime: &mut Runtime, former: &Deployment) {
    let deployment = runtime.deployment.clone();
    let changing: Vec<&String> = deployment
        .effect_changes
        .keys()
        .map(|class| &deployment.classes[*class])
        .collect();
    if !changing.is_empty() {
        runtime.log(&format!(
            "reload: parts of {changing:?} that may have run are not retried until all clients use the new effect"
        ));
    } else if !former.effect_changes.is_empty() {
        runtime.log("reload: all clients use the new effects of their classes");
    }
    if deployment.uncertainty != former.uncertainty {
        log_uncertainty(runtime);
    }
}

/// Logs whether parts that may have run are retried, and why not.
fn log_uncertainty(runtime: &mut Runtime) {
    runtime.log(match runtime.deployment.uncertainty {
        Some(Uncertainty::UnknownAge) => {
            "retries: not after attempts that may have run (clients may still follow former settings)"
        }
        Some(Uncertainty::StoreUnread) => {
            "retries: not after attempts that may have run (the store's settings have not been read)"
        }
        None => "retries: as the settings allow",
    });
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
