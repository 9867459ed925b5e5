//! Range and choice checks for configuration values, and bounds that several keys share.

use super::SettingsError;
use std::ops::RangeInclusive;

/// Maximum of any time (seconds): a value above 30 days is probably in another unit.
pub(super) const MAX_TIME_S: f64 = 30.0 * 86_400.0;
/// Maximum of any count.
pub(super) const MAX_COUNT: f64 = 1e9;

/// Returns an error if the value is set and outside its range.
pub(super) fn check_range(
    key: impl Into<String>,
    value: Option<f64>,
    bounds: RangeInclusive<f64>,
) -> Result<(), SettingsError> {
    match value {
        Some(value) if !bounds.contains(&value) => Err(SettingsError::OutOfBounds {
            key: key.into(),
            value,
            min: *bounds.start(),
            max: *bounds.end(),
        }),
        _ => Ok(()),
    }
}

/// Returns the value as an integer, or the default if it is not set. A fractional or out-of-range value is an error.
pub(super) fn integer_or_default(
    key: &'static str,
    value: Option<f64>,
    bounds: RangeInclusive<f64>,
    default: u32,
) -> Result<u32, SettingsError> {
    match value {
        None => Ok(default),
        Some(value) if bounds.contains(&value) && value.fract() == 0.0 => Ok(value as u32),
        Some(value) => Err(SettingsError::NotInteger {
            key,
            value,
            min: *bounds.start(),
            max: *bounds.end(),
        }),
    }
}

/// Returns an error if the value is set and is not one of the choices.
pub(super) fn check_choice(
    key: impl Into<String>,
    value: Option<&str>,
    choices: &'static [&'static str],
) -> Result<(), SettingsError> {
    match value {
        Some(value) if !choices.contains(&value) => Err(SettingsError::UnknownChoice {
            key: key.into(),
            value: value.into(),
            choices,
        }),
        _ => Ok(()),
    }
}
