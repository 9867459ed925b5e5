//! Tests of the serialization of structs with two fields.

use miniserde::json;

#[derive(Debug, PartialEq)]
struct Reading {
    at: f64,
    delay_s: f64,
}

super::wire_as_pair!(Reading {
    at: f64,
    delay_s: f64
});

#[derive(Debug, PartialEq)]
struct Named {
    id: u32,
    names: Vec<String>,
}

super::wire_as_pair!(Named {
    id: u32,
    names: Vec<String>
});

/// The serialized form is that of a tuple, alone and in a list.
#[rstest::rstest]
#[case("[1.25,2.5]")]
#[case("[0.0,1.7976931348623157e308]")]
fn a_pair_is_written_and_read_like_a_tuple(#[case] text: &str) {
    let tuple: (f64, f64) = json::from_str(text).unwrap();
    let reading: Reading = json::from_str(text).unwrap();
    assert_eq!((reading.at, reading.delay_s), tuple);
    assert_eq!(json::to_string(&reading), json::to_string(&tuple));
    let list: [Reading; 2] = json::from_str(&format!("[{text},{text}]")).unwrap();
    assert_eq!(json::to_string(&list), json::to_string(&[tuple, tuple]));
}

#[test]
fn a_pair_of_two_types_is_written_and_read_like_a_tuple() {
    let text = "[7,[\"a\",\"b\"]]";
    let named: Named = json::from_str(text).unwrap();
    let tuple: (u32, Vec<String>) = json::from_str(text).unwrap();
    assert_eq!(json::to_string(&named), json::to_string(&tuple));
    assert_eq!((named.id, named.names), tuple);
}

#[rstest::rstest]
#[case("[1.25]")]
#[case("[1.25,2.5,3.5]")]
#[case("[]")]
#[case("1.25")]
#[case("[1.25,\"2.5\"]")]
#[case("{\"at\":1.25,\"delay_s\":2.5}")]
fn anything_but_two_numbers_is_an_error(#[case] text: &str) {
    assert!(json::from_str::<(f64, f64)>(text).is_err());
    assert!(json::from_str::<Reading>(text).is_err());
}
