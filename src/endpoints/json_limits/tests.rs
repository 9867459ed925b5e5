use super::{is_within_limits, MAX_DEPTH, MAX_VALUES};

/// A value of 4 MB that was written to the store took 476 MB once it was decoded (found with issue 64).
#[test]
fn nested_and_numerous_values_are_rejected_before_they_are_decoded() {
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    assert!(is_within_limits(&nested(MAX_DEPTH)));
    assert!(!is_within_limits(&nested(MAX_DEPTH + 1)));
    assert!(!is_within_limits(&format!(
        "[{}0]",
        "0,".repeat(MAX_VALUES)
    )));
    let in_string = format!("{{\"a\":\"\\\"{}\"}}", "[,".repeat(MAX_VALUES));
    assert!(is_within_limits(&in_string), "a string is one value");
}

#[test]
fn a_list_of_ten_thousand_servers_is_within_the_limits() {
    let server = r#"{"id":"s-5be2a07c","host_port":"10.1.0.18:8080","locality":"a","flavor":"m2","cell":3,"phase":"Ready","size":1.0,"up_since_ms":0}"#;
    let list = format!("{{\"members\":[{}]}}", vec![server; 10_000].join(","));
    assert!(is_within_limits(&list));
}
