//! Unit tests of idle.rs.

use super::*;

#[rstest::rstest]
#[case(IdleSettings { max_connections: 0, ..IdleSettings::default() }, "most")]
#[case(IdleSettings { idle_s: f64::NAN, ..IdleSettings::default() }, "idleS")]
#[case(IdleSettings { shares: vec![0.7, 0.7], ..IdleSettings::default() }, "shares")]
#[case(IdleSettings { min_retry_after_s: 2.0, max_retry_after_s: 1.0, ..IdleSettings::default() }, "comeBackS")]
fn errors_of_invalid_settings_name_the_key(#[case] settings: IdleSettings, #[case] key: &str) {
    assert_eq!(settings.check().unwrap_err().key(), key);
    assert!(IdleSettings::default().check().is_ok());
}
