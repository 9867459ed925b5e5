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
    assert!((0..24).all(|shard| shard_of(&routing_value_for(shard, 24), 24) == shard));
}
