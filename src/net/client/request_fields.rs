//! Validation and parsing of request fields that both client protocols share.

use crate::config::Deployment;

/// Limit on an id, key or other client field that is forwarded to leaf servers.
const MAX_FIELD_BYTES: usize = 200;

/// Returns whether a field is not empty, not too long and contains only printable ASCII characters without spaces, as
/// lines of the frame protocol require.
pub(super) fn is_valid_field(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_FIELD_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns whether a field is valid as an idempotency key.
pub(super) fn is_valid_idempotency_key(text: &str) -> bool {
    is_valid_field(text) && !text.contains(',')
}

/// Returns the index of a tenant in the settings: 0 if no tenants are configured, `None` if the name is missing or unknown.
pub(super) fn tenant_index(deployment: &Deployment, name: Option<&str>) -> Option<u32> {
    let index = deployment
        .tenants
        .iter()
        .position(|tenant| Some(tenant.as_str()) == name);
    match index {
        Some(index) => Some(index as u32),
        None if deployment.tenants.is_empty() => Some(0),
        None => None,
    }
}

/// Converts a routing key to the 64-bit form of the decision module: a hexadecimal number that fits into 64 bits by its
/// value, any other text by its FNV-1a hash.
pub(super) fn route_key(text: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x100_0000_01b3;
    let add = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    u64::from_str_radix(text, 16).unwrap_or_else(|_| text.bytes().fold(FNV_OFFSET_BASIS, add))
}
