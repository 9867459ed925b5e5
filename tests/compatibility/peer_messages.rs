//! The encoding of the messages between the store's nodes.

use wharfhub::store::{Message, Version};

const WRITTEN_BY_DADE8DB: &[u8] = include_bytes!("data/store-messages.bin");

fn messages() -> [Message; 2] {
    [
        Message {
            operation: 9,
            step: 1,
            answer: false,
            key: "drains".into(),
            version: Version {
                counter: 5,
                node: 6,
            },
            value: None,
        },
        Message {
            operation: 10,
            step: 2,
            answer: true,
            key: "drains".into(),
            version: Version {
                counter: 7,
                node: 8,
            },
            value: Some("[\"s1\"]".into()),
        },
    ]
}

#[test]
fn messages_are_encoded_as_by_release_dade8db() {
    let encoded: Vec<u8> = messages().iter().flat_map(Message::encode).collect();
    assert_eq!(encoded, WRITTEN_BY_DADE8DB);
}

#[test]
fn messages_encoded_by_release_dade8db_are_decoded() {
    let mut buffer = WRITTEN_BY_DADE8DB.to_vec();
    for expected in messages() {
        let decoded = Message::decode(&mut buffer).expect("decode a message");
        assert_eq!(decoded, Some(expected));
    }
    assert!(buffer.is_empty());
}
