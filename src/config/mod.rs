//! Decoding and validation of the configuration. Errors name the invalid key.

mod bounds;
mod configuration;
mod error;
mod fault;
mod key_paths;
mod options;
mod settings;
mod yaml;

pub use configuration::{Config, ReloadedConfig};
pub use error::SettingsError;
pub use fault::{JsonFault, Mismatch};
pub use key_paths::KeyPaths;
pub use options::{InheritedListener, Options, StoreSetup, VrrpSetup};
pub use settings::{decode, DecodedSettings, Deployment, EffectChange, Uncertainty};
pub use yaml::YamlError;
