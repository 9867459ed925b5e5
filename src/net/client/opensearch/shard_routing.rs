//! Mapping of routing values to shards.
//!
//! The hash is the one of OpenSearch, because clients and leaf servers compute it as well.

/// Maximum number of shards for which a routing value is searched, which takes as many hashes on average.
const MAX_SEARCHED_SHARDS: u32 = 16 * 1024;

/// Returns the shard of a routing value: the Murmur3 hash of its UTF-16 code units, modulo the number of shards.
pub(super) fn shard_of(routing: &str, shard_count: u32) -> u32 {
    let bytes: Vec<u8> = routing.encode_utf16().flat_map(u16::to_le_bytes).collect();
    // Reading from memory cannot fail.
    let hash = murmur3::murmur3_32(&mut bytes.as_slice(), 0).unwrap_or(0) as i32;
    i64::from(hash).rem_euclid(i64::from(shard_count.max(1))) as u32
}

/// Returns a routing value that maps to a shard: the smallest non-negative integer, in decimal text, that does. Returns `None`
/// if there are so many shards that the search would take long, or their number is not known.
pub(super) fn routing_value_for(shard: u32, shard_count: u32) -> Option<String> {
    if shard_count > MAX_SEARCHED_SHARDS {
        return None;
    }
    // Each number maps to the shard with a probability of 1 in `shard_count`, so the search practically never reaches this
    // limit.
    let max_attempts = shard_count.saturating_mul(64);
    (0..max_attempts)
        .map(|number| number.to_string())
        .find(|text| shard_of(text, shard_count) == shard)
}

#[cfg(test)]
mod tests;
