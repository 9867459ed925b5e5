//! Tests of the conversion of YAML to JSON.

use super::*;
use crate::config::SettingsError;

#[test]
fn yaml_is_converted_to_equivalent_json() {
    let text = "a: 1\nb: [true, -2, 0.5, '7']\nc: {d: null, e: text}\nf: 127.0.0.1:80\n";
    let json = r#"{"a":1,"b":[true,-2,0.5,"7"],"c":{"d":null,"e":"text"},"f":"127.0.0.1:80"}"#;
    assert_eq!(to_json(text).unwrap(), json);
}

#[rstest::rstest]
#[case("a: 1\n---\nb: 2\n", "documents")]
#[case("a: [1", "YAML")]
#[case("x: {1: 2}", "a key of x is not a string")]
#[case("x: {y: .inf}", "x.y is not a finite number")]
#[case("x: !secret 1", "x has a tag")]
#[case("a: 1\na: 2\n", "duplicate")]
fn yaml_that_json_cannot_represent_is_an_error_that_names_the_value(
    #[case] text: &str,
    #[case] named: &str,
) {
    let error = SettingsError::from(to_json(text).unwrap_err()).to_string();
    assert!(error.contains(named), "{error}");
}

#[test]
fn nesting_over_the_bound_is_rejected() {
    assert!(to_json(&format!("{}1{}", "[".repeat(100), "]".repeat(100))).is_err());
}
