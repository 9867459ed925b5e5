//! The escapes in texts of scripts, and the patterns in awaited text.

/// Returns the bytes that a text of a script stands for, with the escapes `\r`, `\n`, `\\`, `\xHH`, and `{x*900}` for 900 times `x`.
pub fn bytes(text: &str) -> Vec<u8> {
    let (mut out, mut rest) = (Vec::new(), text);
    while let Some(c) = rest.chars().next() {
        if let Some((repetition, after)) = rest
            .strip_prefix('{')
            .and_then(|group| group.split_once('}'))
        {
            if let Some((repeated, count)) = repetition
                .split_once('*')
                .filter(|(repeated, _)| repeated.chars().count() == 1)
            {
                if let Ok(count) = count.parse() {
                    out.extend(repeated.repeat(count).into_bytes());
                    rest = after;
                    continue;
                }
            }
        }
        let escape = if c == '\\' {
            rest.as_bytes().get(1).copied()
        } else {
            None
        };
        let (byte, used) = match escape {
            Some(b'r') => (b'\r', 2),
            Some(b'n') => (b'\n', 2),
            Some(b'\\') => (b'\\', 2),
            Some(b'x') => (
                u8::from_str_radix(&rest[2..4], 16).expect("two hex digits"),
                4,
            ),
            _ => {
                out.extend(c.to_string().into_bytes());
                rest = &rest[c.len_utf8()..];
                continue;
            }
        };
        out.push(byte);
        rest = &rest[used..];
    }
    out
}

/// Returns whether `text` matches the pattern; `*` matches any bytes.
pub fn matches(pattern: &[u8], text: &[u8]) -> bool {
    let pieces: Vec<&[u8]> = pattern.split(|byte| *byte == b'*').collect();
    let (Some(first), Some(last)) = (pieces.first(), pieces.last()) else {
        return false;
    };
    if pieces.len() == 1 {
        return pattern == text;
    }
    if text.len() < first.len() + last.len() || !text.starts_with(first) || !text.ends_with(last) {
        return false;
    }
    let (mut at, end) = (first.len(), text.len() - last.len());
    for piece in &pieces[1..pieces.len() - 1] {
        match text[at..end]
            .windows(piece.len().max(1))
            .position(|window| window == *piece || piece.is_empty())
        {
            Some(index) => at += index + piece.len(),
            None => return false,
        }
    }
    true
}
