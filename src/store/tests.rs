//! Tests of the store: registers, messages and operations, without sockets.

use super::registers::FILE_NAME;
use super::*;
use std::fs;

/// Runs an operation of a node against the reachable nodes. Returns `None` if the operation cannot complete.
fn run_operation(
    nodes: &mut [Registers],
    node: u32,
    write: Option<&str>,
    reachable: &[usize],
) -> Option<Completed> {
    let (mut operation, mut message) =
        Operation::begin(setup(9, node, nodes.len()), "k", write.map(String::from));
    loop {
        let mut next = None;
        for at in reachable {
            let Some(answer) = nodes[*at].serve(&message) else {
                continue;
            };
            match operation.handle_answer(*at as u32, answer) {
                Progress::Completed(completed) => return Some(completed),
                Progress::Send(message) => next = Some(message),
                Progress::Waiting => {}
            }
        }
        message = next?;
    }
}

fn setup(id: u64, node: u32, node_count: usize) -> OperationSetup {
    OperationSetup {
        id,
        node,
        node_count,
        min_counter: 0,
    }
}

fn three_nodes() -> Vec<Registers> {
    (0..3).map(|_| Registers::in_memory()).collect()
}

#[test]
fn a_read_after_a_write_returns_its_value_with_any_majority() {
    let mut nodes = three_nodes();
    assert_eq!(
        run_operation(&mut nodes, 0, None, &[0, 2]).map(|completed| completed.value),
        Some(None)
    );
    assert!(run_operation(&mut nodes, 0, Some("one"), &[0, 1]).is_some());
    assert!(run_operation(&mut nodes, 2, Some("two"), &[2, 1])
        .is_some_and(|completed| completed.version.counter == 2));
    for reachable in [[0, 1], [0, 2], [1, 2]] {
        let read =
            run_operation(&mut nodes, 0, None, &reachable).and_then(|completed| completed.value);
        assert_eq!(read.as_deref(), Some("two"), "{reachable:?}");
    }
}

/// A value that was written to one node only: once a read has returned the value, later reads must return it too.
#[test]
fn a_read_writes_back_what_it_returns() {
    let mut nodes = three_nodes();
    assert!(nodes[2]
        .put(
            "k",
            Version {
                counter: 1,
                node: 2
            },
            "half"
        )
        .is_ok());
    assert_eq!(
        run_operation(&mut nodes, 0, None, &[1, 2])
            .and_then(|completed| completed.value)
            .as_deref(),
        Some("half")
    );
    assert_eq!(
        run_operation(&mut nodes, 0, None, &[0, 1])
            .and_then(|completed| completed.value)
            .as_deref(),
        Some("half")
    );
}

#[test]
fn without_a_majority_nothing_completes_and_equal_counters_are_ordered_by_node() {
    let mut nodes = three_nodes();
    assert_eq!(run_operation(&mut nodes, 0, Some("one"), &[0]), None);
    assert_eq!(run_operation(&mut nodes, 0, None, &[1]), None);
    let mut register = Registers::in_memory();
    for (node, value) in [(1, "b"), (0, "a"), (1, "c")] {
        assert!(register
            .put("k", Version { counter: 1, node }, value)
            .is_ok());
    }
    assert_eq!(
        register.get("k").1,
        Some("b"),
        "a lower node and an equal version must not replace the value"
    );
}

#[test]
fn an_answer_counts_once_and_only_in_its_step() {
    let (mut operation, request) = Operation::begin(setup(1, 0, 3), "k", Some("v".into()));
    let answer = Message {
        answer: true,
        ..request
    };
    assert_eq!(
        operation.handle_answer(0, answer.clone()),
        Progress::Waiting
    );
    assert_eq!(
        operation.handle_answer(0, answer.clone()),
        Progress::Waiting,
        "two answers of one node are not a majority"
    );
    assert!(matches!(
        operation.handle_answer(1, answer.clone()),
        Progress::Send(_)
    ));
    assert_eq!(
        operation.handle_answer(2, answer.clone()),
        Progress::Waiting,
        "the answer is of the first step, and the operation is in the second"
    );
    let other = Message {
        operation: 2,
        step: 2,
        ..answer
    };
    assert_eq!(
        operation.handle_answer(2, other),
        Progress::Waiting,
        "the answer is of another operation"
    );
}

#[test]
fn a_data_folder_keeps_registers_and_a_damaged_file_is_an_error() {
    let folder = std::env::temp_dir().join(format!("wharfhub-store-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let version = Version {
        counter: 3,
        node: 1,
    };
    Registers::open(&folder)
        .unwrap()
        .put("k", version, "kept \"so\"")
        .unwrap();
    assert_eq!(
        Registers::open(&folder).unwrap().get("k"),
        (version, Some("kept \"so\""))
    );
    let path = folder.join(FILE_NAME);
    let text = fs::read_to_string(&path).unwrap();
    for damaged in [
        text.replace("kept", "bent"),
        text[..text.len() / 2].to_string(),
        String::new(),
    ] {
        fs::write(&path, damaged).unwrap();
        assert!(matches!(Registers::open(&folder), Err(StoreError::Damaged)));
    }
    fs::remove_dir_all(&folder).unwrap();
    let mut registers = Registers::in_memory();
    registers.folder = Some(folder);
    assert!(matches!(
        registers.put("k", version, "v"),
        Err(StoreError::Disk(_))
    ));
    assert_eq!(
        registers.get("k").1,
        None,
        "a value that is not on disk must not be readable"
    );
}

#[test]
fn incomplete_messages_are_not_decoded() {
    let sent = Message {
        operation: 7,
        key: "k".into(),
        value: Some("a\nb".into()),
        ..Message::default()
    };
    let bytes = sent.encode();
    let mut buffer = Vec::new();
    for byte in &bytes[..bytes.len() - 1] {
        buffer.push(*byte);
        assert!(matches!(Message::decode(&mut buffer), Ok(None)));
    }
    buffer.push(bytes[bytes.len() - 1]);
    assert_eq!(Message::decode(&mut buffer).unwrap(), Some(sent));
    assert!(Message::decode(&mut vec![255; 8]).is_err());
    assert!(Message::decode(&mut vec![0, 0, 0, 1, b'x']).is_err());
}

/// A list is stored as one value and sent to other nodes in one message.
#[rstest::rstest]
#[case(1025)]
#[case(5300)]
#[case(10_000)]
fn an_endpoint_list_of_a_large_fleet_can_be_stored(#[case] servers: usize) {
    let line = |number: usize| {
        format!(
            "    {{\n      \"id\": \"server-{number:08}\",\n      \"host_port\": \"10.200.{}.{}:18080\",\n      \"locality\": \"cardiff-bay\",\n      \
             \"cell\": {},\n      \"phase\": \"Ready\",\n      \"up_since_ms\": 1764633600000\n    }}",
            number / 250, number % 250, number / 3
        )
    };
    let lines: Vec<String> = (0..servers).map(line).collect();
    let value = format!(
        "{{\n  \"revision\": 1,\n  \"members\": [\n{}\n  ]\n}}",
        lines.join(",\n")
    );
    assert!(is_storable("members", &value), "{} bytes", value.len());
    let mut nodes = three_nodes();
    assert!(run_operation(&mut nodes, 0, Some(&value), &[0, 1]).is_some());
    assert_eq!(nodes[1].get("k").1, Some(value.as_str()));
    let message = Message {
        key: "members".into(),
        value: Some(value),
        ..Message::default()
    };
    assert_eq!(
        Message::decode(&mut message.encode()).expect("the message is within the maximum length"),
        Some(message)
    );
}

/// The limits on a single value, on its message, and on all values of a node together are enforced.
#[test]
fn a_value_that_exceeds_a_limit_is_rejected_without_effect() {
    let version = |counter| Version { counter, node: 1 };
    let mut registers = Registers::in_memory();
    let longest = "v".repeat(MAX_VALUE_BYTES);
    for too_long in [longest.clone() + "v", "\u{1}".repeat(MAX_VALUE_BYTES)] {
        assert!(matches!(
            registers.put("a", version(1), &too_long),
            Err(StoreError::Limits)
        ));
    }
    assert!(matches!(
        registers.put("", version(1), "v"),
        Err(StoreError::Limits)
    ));
    for key in ["a", "b", "c"] {
        registers
            .put(key, version(1), &longest)
            .expect("the value fits");
    }
    assert!(
        matches!(
            registers.put("d", version(1), &longest),
            Err(StoreError::Limits)
        ),
        "the total length of all values is exceeded"
    );
    assert_eq!(registers.get("d").1, None);
    registers
        .put("a", version(2), &longest)
        .expect("a value that replaces another one fits");
    registers
        .put("d", version(1), "short")
        .expect("a short value still fits");
    let length = (MAX_MESSAGE_BYTES as u32 + 1).to_be_bytes().to_vec();
    assert!(
        matches!(
            Message::decode(&mut length.clone()),
            Err(MessageError::TooLong)
        ),
        "the message must be rejected because of its length field"
    );
}
