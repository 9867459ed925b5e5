//! Limits on the structure of JSON texts, checked before a text is decoded: a decoded value takes a multiple of the memory of its text,
//! and a nested one up to a hundred times as much.

/// Maximum number of values in a text: a list of 10,000 servers has 100,000.
const MAX_VALUES: usize = 400_000;
/// Maximum depth of arrays and objects.
const MAX_DEPTH: usize = 32;

/// Returns whether a JSON text is within the limits. A text that is not JSON may be within them, too.
pub fn is_within_limits(text: &str) -> bool {
    let (mut values, mut depth) = (1_usize, 0_usize);
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => skip_string(&mut bytes),
            b',' => values += 1,
            b'[' | b'{' => {
                values += 1;
                depth += 1;
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if values > MAX_VALUES || depth > MAX_DEPTH {
            return false;
        }
    }
    true
}

/// Skips a string after its opening quote.
fn skip_string(bytes: &mut impl Iterator<Item = u8>) {
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => return,
            b'\\' => drop(bytes.next()),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
