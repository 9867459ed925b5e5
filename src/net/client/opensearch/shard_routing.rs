//! Mapping of routing values to shards.
//!
//! The hash is the one of OpenSearch, because clients and leaf servers compute it as well.

/// Returns the shard of a routing value: the Murmur3 hash of its UTF-16 code units, modulo the number of shards.
pub(super) fn shard_of(routing: &str, shard_count: u32) -> u32 {
    let bytes: Vec<u8> = routing.encode_utf16().flat_map(u16::to_le_bytes).collect();
    // Reading from memory cannot fail.
    let hash = murmur3::murmur3_32(&mut bytes.as_slice(), 0).unwrap_or(0) as i32;
    i64::from(hash).rem_euclid(i64::from(shard_count.max(1))) as u32
}

/// Returns a routing value that maps to a shard: the smallest non-negative integer, in decimal text, that does.
pub(super) fn routing_value_for(shard: u32, shard_count: u32) -> String {
    // Each number maps to the shard with a probability of 1 in `shard_count`, so the search practically never reaches this
    // limit.
    let max_attempts = shard_count.saturating_mul(64);
    (0..max_attempts)
        .map(|number| number.to_string())
        .find(|text| shard_of(text, shard_count) == shard)
        .unwrap_or_else(|| shard.to_string())
}

#[cfg(test)]
mod tests;
