//! The set of key paths in a configuration, used on reload to detect a file that lacks keys of the configuration in use.

use super::SettingsError;
use miniserde::json::Value;
use std::collections::BTreeSet;

/// Keys that a reloaded file may lack although the configuration in use has them: they take effect only at a start, or
/// operators may remove them to return to the default.
const OPTIONAL: [&str; 11] = [
    "settings.phases",
    "known",
    "search",
    "store",
    "vrrp",
    "operator",
    "drain_s",
    "settings.categories[].aimStretch",
    "settings.rules.extraFloor",
    "settings.rules.furtherRatio",
    "settings.rules.ratioSpanS",
];

/// Paths of the keys in a configuration, such as `settings.categories[].name`. For a list of objects, only the keys that all
/// entries have are included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeyPaths(BTreeSet<String>);

impl KeyPaths {
    /// Collects the key paths of a complete configuration.
    pub(super) fn of(configuration: &Value) -> KeyPaths {
        KeyPaths(paths_below(configuration, ""))
    }

    /// Returns an error if a key of the configuration in use is missing. A truncated file, or one with a line removed by
    /// mistake, would otherwise silently reset the missing keys to their defaults.
    pub(super) fn check_includes(&self, in_use: &KeyPaths) -> Result<(), SettingsError> {
        match in_use.0.difference(&self.0).next() {
            Some(path) => Err(SettingsError::RemovedKey(path.clone())),
            None => Ok(()),
        }
    }
}

fn paths_below(value: &Value, at: &str) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                let path = if at.is_empty() {
                    key.clone()
                } else {
                    format!("{at}.{key}")
                };
                if !OPTIONAL.contains(&path.as_str()) {
                    paths.extend(paths_below(value, &path));
                    paths.insert(path);
                }
            }
        }
        Value::Array(values) => {
            let entry = format!("{at}[]");
            let entry_paths = values.iter().map(|value| paths_below(value, &entry));
            paths = entry_paths
                .reduce(|common, paths| &common & &paths)
                .unwrap_or_default();
        }
        _ => {}
    }
    paths
}
