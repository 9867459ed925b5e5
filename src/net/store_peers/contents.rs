//! The keys of the store that a mixer uses, and the formats of their values.

use crate::config::{self, DecodedSettings, SettingsError};
use crate::endpoints::json_limits;
use crate::store::is_storable;
use miniserde::json::{self, Value};

/// Key of the endpoint list, which has discovery's format.
const ENDPOINT_LIST: &str = "members";
/// Key of the names of leaf servers that are draining.
pub(super) const DRAINING: &str = "drains";
/// Key of the settings, which take precedence over those of the configuration file.
pub(in crate::net) const SETTINGS: &str = "settings";
/// The keys that a mixer reads.
pub(super) const KEYS: [&str; 3] = [ENDPOINT_LIST, DRAINING, SETTINGS];

/// A new value in the store that affects the mixer.
pub(in crate::net) enum StoredChange {
    /// The endpoint list. Its revision is unrelated to discovery's revisions.
    EndpointList(Value),
    /// Names of the leaf servers that are draining.
    Draining(Vec<String>),
    /// New settings.
    Settings(DecodedSettings),
    /// Settings that cannot be decoded.
    InvalidSettings(SettingsError),
}

impl StoredChange {
    /// Decodes a value. Returns `None` if the mixer does not use its key, or the value is beyond the limits on JSON texts.
    pub(super) fn decode(key: &str, value: &str) -> Option<StoredChange> {
        if !json_limits::is_within_limits(value) {
            return None;
        }
        match key {
            ENDPOINT_LIST => json::from_str(value).ok().map(StoredChange::EndpointList),
            DRAINING => Some(StoredChange::Draining(
                json::from_str(value).unwrap_or_default(),
            )),
            SETTINGS => Some(match DecodedSettings::decode(value) {
                Ok(settings) => StoredChange::Settings(settings),
                Err(error) => StoredChange::InvalidSettings(error),
            }),
            _ => None,
        }
    }
}

/// Returns whether a request for a key is valid. `value` is the body of the request, which a read may have too. Writes are
/// checked more strictly because an invalid value would reach every mixer.
pub(super) fn is_valid(key: &str, value: &str, is_write: bool) -> bool {
    is_storable(key, value) && (!is_write || has_valid_form(key, value))
}

fn has_valid_form(key: &str, value: &str) -> bool {
    if KEYS.contains(&key) && !json_limits::is_within_limits(value) {
        return false;
    }
    match key {
        ENDPOINT_LIST => json::from_str::<Value>(value).is_ok(),
        DRAINING => json::from_str::<Vec<String>>(value).is_ok(),
        SETTINGS => config::decode(value.as_bytes()).is_ok(),
        _ => true,
    }
}
