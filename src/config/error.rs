//! The error type of the configuration decoder. Its messages are shown to operators.

use super::fault::JsonFault;
use super::yaml::YamlError;
use crate::store::StoreError;
use thiserror::Error;

/// Reason for which a configuration is rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot be read: {0}")]
    Unreadable(#[from] std::io::Error),
    /// The text exceeds the maximum length of a configuration.
    #[error("settings: more than {max_bytes} bytes")]
    TooLong {
        /// Maximum length (bytes).
        max_bytes: usize,
    },
    /// The text is not UTF-8.
    #[error("settings are not UTF-8: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// The text is not YAML, or is YAML that JSON cannot represent.
    #[error("settings: not YAML: {0}")]
    NotYaml(#[from] YamlError),
    /// The text is not JSON, or its JSON does not match the configuration's structure.
    #[error("settings: {0}")]
    NotJson(#[from] JsonFault),
    /// A required key is missing.
    #[error("settings: {0} is missing")]
    Missing(&'static str),
    /// A number is outside its range.
    #[error("settings: {key}: {value} is not between {min} and {max}")]
    OutOfBounds {
        /// Path of the key in the configuration.
        key: String,
        /// Rejected value of the key.
        value: f64,
        /// Minimum accepted value.
        min: f64,
        /// Maximum accepted value.
        max: f64,
    },
    /// A count is outside its range or has a fractional part.
    #[error("settings: {key}: {value} is not an integer from {min} to {max}")]
    NotInteger {
        /// Path of the key in the configuration.
        key: &'static str,
        /// Rejected value of the key.
        value: f64,
        /// Minimum accepted value.
        min: f64,
        /// Maximum accepted value.
        max: f64,
    },
    /// A string is not one of the values that the key accepts.
    #[error("settings: {key}: {value:?} is not one of {choices:?}")]
    UnknownChoice {
        /// Path of the key in the configuration.
        key: String,
        /// Rejected value of the key.
        value: String,
        /// Accepted values.
        choices: &'static [&'static str],
    },
    /// A string cannot be parsed as an address.
    #[error("settings: {key} is not an address: {value:?}")]
    NotAnAddress {
        /// Path of the key in the configuration.
        key: &'static str,
        /// Rejected value of the key.
        value: String,
    },
    /// A reloaded file lacks a key that the configuration in use has.
    #[error("settings: {0} is missing, but is set in the configuration in use")]
    RemovedKey(String),
    /// `categories` is empty.
    #[error("settings: categories defines no query class")]
    NoClasses,
    /// Two classes have the same name, or a class has an empty name.
    #[error("settings: categories: a class name is duplicated or empty")]
    AmbiguousClassNames,
    /// `permissions.sendCap` is 0.
    #[error("settings: permissions.sendCap: 0 allows no attempt for a part")]
    NoAttempts,
    /// A per-class list in `familyInfo` has fewer entries than there are classes.
    #[error("settings: familyInfo: a per-class list has fewer entries than there are classes")]
    ShortClassList,
    /// `phases.classes` names a class that does not exist.
    #[error("settings: phases.classes: there is no class {0:?}")]
    UnknownPhaseClass(String),
    /// `phases.classes` names a class that is not idempotent and therefore cannot have a pre-check.
    #[error("settings: phases.classes: {0:?} is not idempotent, so it cannot have a pre-check")]
    PhaseClassNotIdempotent(String),
    /// `phases.classes` names a class twice.
    #[error("settings: phases.classes: {0:?} is listed twice")]
    RepeatedPhaseClass(String),
    /// `store.peers` contains the node itself.
    #[error("settings: store.peers contains this node")]
    StorePeersNameThisNode,
    /// The registers in `store.folder` cannot be opened.
    #[error("settings: store.folder {folder}: {error}")]
    StoreFolder {
        /// Path from the configuration.
        folder: String,
        /// Error of the store for this folder.
        #[source]
        error: StoreError,
    },
    /// `vrrp.listen` is not an IPv4 address.
    #[error("settings: vrrp.listen is not an IPv4 address")]
    VrrpNotIpv4,
    /// `vrrp` has no address, or a priority or interval of 0.
    #[error("settings: vrrp: addresses is empty, or priority or interval_cs is 0")]
    IncompleteVrrp,
}
