//! Tests of the search for the invalid value.

use super::*;
use std::cell::Cell;

thread_local! {
    /// Number of texts decoded as [`Counted`] by this thread.
    static DECODED: Cell<usize> = const { Cell::new(0) };
}

#[derive(Deserialize)]
struct Server {
    #[allow(dead_code)]
    address: String,
    #[allow(dead_code)]
    weight: Option<u32>,
}

#[derive(Deserialize)]
struct Limits {
    #[allow(dead_code)]
    sockets: Option<u32>,
}

#[derive(Deserialize)]
struct File {
    #[allow(dead_code)]
    known: Option<Value>,
    #[allow(dead_code)]
    servers: Option<Vec<Server>>,
    #[allow(dead_code)]
    limits: Limits,
    #[allow(dead_code)]
    counted: Option<Counted>,
}

/// A type that counts the decoding attempts.
struct Counted;

impl Deserialize for Counted {
    fn begin(out: &mut Option<Self>) -> &mut dyn miniserde::de::Visitor {
        DECODED.set(DECODED.get() + 1);
        *out = Some(Counted);
        <dyn miniserde::de::Visitor>::ignore()
    }
}

fn servers(count: usize, faulty: &str) -> String {
    let valid = (0..count).map(|index| format!(r#"{{"address":"server-{index}","weight":1}}"#));
    let mut servers: Vec<String> = valid.collect();
    servers[count * 2 / 3] = faulty.into();
    servers.join(",")
}

/// The invalid entry of a long server list is named, and the number of decoding attempts hardly grows with the length of the
/// list.
#[rstest::rstest]
fn the_faulty_entry_of_a_long_list_is_named_after_few_decodings(
    #[values(1025, 5300, 10_000)] count: usize,
) {
    let index = count * 2 / 3;
    let unexpected_form = Mismatch::UnexpectedForm.label();
    let faults = [
        (
            r#"{"address":7,"weight":1}"#,
            format!("servers[{index}].address: 7 is not a string"),
        ),
        (
            r#"{"address":"s","weight":-1}"#,
            format!("servers[{index}].weight: -1 is not an integer within range"),
        ),
        (
            r#"{"weight":1}"#,
            format!("servers: entry {index}, {{\"weight\":1}}, is {unexpected_form}"),
        ),
        (
            "null",
            format!("servers: entry {index}, null, is {unexpected_form}"),
        ),
    ];
    for (faulty, named) in faults {
        let text = format!(
            r#"{{"limits":{{}},"counted":1,"servers":[{}]}}"#,
            servers(count, faulty)
        );
        DECODED.set(0);
        assert_eq!(find::<File>(&text).to_string(), named);
        assert!(DECODED.get() <= 100, "{} decoding attempts", DECODED.get());
    }
}

/// A long valid list does not slow down the search for an invalid value elsewhere, because a short value replaces the list.
#[test]
fn a_long_valid_list_is_replaced_by_a_short_value_during_the_search() {
    let known =
        vec![r#"{"id":"s","host_port":"10.0.0.1:80","phase":"Ready","cell":1}"#; 5300].join(",");
    let text = format!(r#"{{"known":[{known}],"limits":{{"sockets":"many"}},"counted":1}}"#);
    DECODED.set(0);
    assert_eq!(
        find::<File>(&text).to_string(),
        "limits.sockets: \"many\" is not a number"
    );
    assert!(DECODED.get() <= 60, "{} decoding attempts", DECODED.get());
    let mut complete: Value = json::from_str(&text).expect("the text is valid JSON");
    let fault = faulty_child::<File>(&mut complete, &[]).expect("the text has an invalid value");
    shrink_siblings::<File>(&mut complete, &fault);
    assert!(
        json::to_string(&complete).len() < 100,
        "the long list was not replaced"
    );
}

#[test]
fn several_faults_are_reported_as_several() {
    let text = r#"{"servers":7,"limits":{"sockets":"many"}}"#;
    assert!(find::<File>(text)
        .to_string()
        .starts_with("not of the expected form: several values are invalid"));
    assert_eq!(
        find::<File>("{").to_string(),
        "not valid JSON, or truncated"
    );
}
