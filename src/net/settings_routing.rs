//! Integration of settings into the event loop: those of the configuration file, of the store and of a predecessor process.

use crate::config::DecodedSettings;
use crate::net::event_loop::Mixer;
use crate::net::handover::SettingsMessage;
use crate::net::lifecycle::Phase;
use crate::net::reload::{self, ReloadOutcome};
use crate::requests::settings_schedule::{DueSettings, Origin};
use std::net::SocketAddr;

/// A successor reads its file again if the predecessor has accepted the file since, or at most this long before (seconds): a
/// process begins to read its file some time before its clock starts.
const FILE_READ_MARGIN_S: f64 = 1.0;

// ---- the configuration file

impl Mixer {
    /// Handles SIGHUP: reads the configuration again. Requests and connections are kept; an invalid file changes nothing.
    pub(super) fn reload_requested(&mut self) {
        let ReloadOutcome::Accepted {
            settings,
            discovery,
        } = self.reload.reload_config(&mut self.runtime)
        else {
            return;
        };
        // Settings stored by the operators take precedence over the file.
        if !self.has_stored_settings() {
            self.accept_settings(settings, Origin::Signal);
        }
        if discovery.is_none() {
            self.runtime.log("reload: discovery unchanged");
        }
        self.change_discovery_to(discovery);
    }

    /// Begins anew with the configuration file as it is now, after a time in which another process may have accepted a new one.
    /// Clients may follow the file since long, or not yet.
    pub(super) fn begin_from_file(&mut self) {
        let settings = self
            .read_file()
            .unwrap_or_else(|| self.reload.last_accepted().clone());
        if !self.has_stored_settings() {
            self.reload.begin_settings(self.runtime.now, settings);
        }
        self.apply_due_settings();
    }

    /// Reads the configuration file again and switches to the discovery that it names. Returns its settings, or `None` if it is
    /// invalid.
    fn read_file(&mut self) -> Option<DecodedSettings> {
        match self.reload.read_config(&mut self.runtime) {
            ReloadOutcome::Rejected => None,
            ReloadOutcome::Accepted {
                settings,
                discovery,
            } => {
                self.change_discovery_to(discovery);
                Some(settings)
            }
        }
    }

    fn change_discovery_to(&mut self, discovery: Option<SocketAddr>) {
        if let Some(address) = discovery {
            self.change_discovery(address);
        }
    }
}

// ---- the store

impl Mixer {
    /// Records that the store's settings, or their absence, were read from a majority of its nodes.
    pub(super) fn store_settings_read(&mut self) {
        self.reload.store_read(self.runtime.now);
        self.apply_due_settings();
    }

    /// Records that the store could not be read.
    pub(super) fn store_settings_lost(&mut self) {
        self.reload.store_lost();
        self.apply_due_settings();
    }
}

// ---- a predecessor

impl Mixer {
    /// Returns the settings for the successor process.
    pub(super) fn settings_for_successor(&self) -> Option<SettingsMessage> {
        let are_stored = self.has_stored_settings();
        self.reload.settings_message(self.runtime.now, are_stored)
    }

    /// Goes on with the predecessor's settings, which clients follow, and then with the own ones where they differ. A
    /// predecessor of an earlier release sends none.
    pub(super) fn inherit_settings(&mut self, message: Option<&SettingsMessage>) {
        let Some(message) = message else {
            self.runtime
                .log("handover: the predecessor sent no settings");
            return self.begin_from_file();
        };
        let now = self.runtime.now;
        let own = self.reload.last_accepted().clone();
        if let Err(error) = self.reload.inherit_settings(now, message) {
            self.runtime.log(&format!(
                "handover: the predecessor's settings cannot be used: {error}"
            ));
            return self.begin_from_file();
        }
        self.runtime
            .log("handover: going on with the predecessor's settings");
        let own = self.own_settings(own, message);
        if let Some(own) = own.filter(|own| own != self.reload.last_accepted()) {
            self.reload.begin_settings(now, own);
        }
        self.apply_due_settings();
    }

    /// Returns the settings that take precedence over the predecessor's, if there are any. `own` are those before the handover.
    /// Stored settings take precedence over a file, and those of a store that was read over those of a data folder.
    fn own_settings(
        &mut self,
        own: DecodedSettings,
        message: &SettingsMessage,
    ) -> Option<DecodedSettings> {
        let own_file_age_s = self.reload.file_age_s(self.runtime.now);
        let is_predecessors_newer = message.are_stored && self.is_store_unread();
        if is_predecessors_newer {
            let text = self.reload.last_accepted().text.to_string();
            if let Some(store) = &mut self.store {
                store.adopt_settings(text);
            }
            None
        } else if self.has_stored_settings() {
            Some(own)
        } else if message.file_age_s < own_file_age_s + FILE_READ_MARGIN_S {
            self.read_file()
        } else {
            Some(own)
        }
    }

    /// Returns whether this process has a store that it has not read.
    fn is_store_unread(&self) -> bool {
        self.store.is_some() && self.runtime.deployment.is_store_unread()
    }
}

// ---- settings from all sources

impl Mixer {
    /// Accepts valid settings, and restricts the rules in use to what they allow where clients may follow them already. A state
    /// that has been sent to a successor is outdated then.
    pub(super) fn accept_settings(&mut self, settings: DecodedSettings, origin: Origin) {
        if self.lifecycle.phase() == Phase::Inheriting {
            // No client is served yet, so the settings need not wait.
            self.reload.begin_settings(self.runtime.now, settings);
        } else {
            let is_new = self
                .reload
                .accept_settings(&mut self.runtime, settings, origin);
            if is_new {
                self.take_back_state();
            }
        }
        self.apply_due_settings();
    }

    /// Applies each of the accepted settings that are due, and begins and ends restrictions.
    pub(super) fn apply_due_settings(&mut self) {
        while let Some(due) = self.reload.take_due_settings(&self.runtime) {
            self.apply_settings(due);
        }
        self.reload.schedule_next_change(&mut self.runtime);
    }

    fn apply_settings(&mut self, due: DueSettings) {
        let zones = due.deployment.zones.clone();
        self.runtime.directory.set_zones(zones);
        let former = std::mem::replace(&mut self.runtime.deployment, due.deployment);
        let drain_grace_s = self.runtime.deployment.policy.drain_grace_s;
        self.discovery.set_drain_grace(drain_grace_s);
        self.publish_lease();
        reload::apply_settings(&mut self.runtime, &former, due.are_new);
    }

    /// Logs which classes have two-phase queries, if any.
    pub(super) fn log_phases(&mut self) {
        reload::log_phases(&mut self.runtime);
    }
}
