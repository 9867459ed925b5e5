//! Tests of the mapping of routing values to shards, and of its inverse.

use super::*;

/// Compares with hash values of OpenSearch, because OpenSearch clients and the mixer must agree on a shard.
#[test]
fn routing_values_have_the_hash_of_opensearch() {
    let hash = |text: &str| {
        let bytes: Vec<u8> = text.encode_utf16().flat_map(u16::to_le_bytes).collect();
        murmur3::murmur3_32(&mut bytes.as_slice(), 0).unwrap()
    };
    assert_eq!((hash("hell"), hash("hello")), (0x5a0c_b7c3, 0xd7c3_1989));
    let found = |shard| routing_value_for(shard, 24).map(|value| shard_of(&value, 24));
    assert!((0..24).all(|shard| found(shard) == Some(shard)));
}

/// Guards against a search that takes minutes, during which the event loop serves nobody.
#[test]
fn no_routing_value_is_searched_where_the_number_of_shards_is_not_known() {
    assert_eq!(routing_value_for(3, u32::MAX), None);
    assert!(routing_value_for(3, MAX_SEARCHED_SHARDS).is_some());
}
