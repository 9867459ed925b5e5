//! Tests of the message reader: size limits, body framing, and messages that arrive in several reads.

use super::*;
use rstest::rstest;

/// Feeds `text` to the reader byte by byte, until a message is complete.
fn read_byte_by_byte(mut reader: MessageReader, text: &str) -> Result<Option<Message>, HttpError> {
    let mut buffer = Vec::new();
    for byte in text.bytes() {
        buffer.push(byte);
        if let Some(message) = reader.read(&mut buffer, false)? {
            assert_eq!(
                buffer, b"",
                "the buffer is empty after the last byte of the message"
            );
            return Ok(Some(message));
        }
    }
    Ok(None)
}

#[rstest]
#[case::by_length("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "abc")]
#[case::chunked(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: v\r\n\r\n",
    "abc"
)]
#[case::without_body("GET / HTTP/1.1\r\n\r\n", "")]
fn a_request_received_byte_by_byte_is_returned_once_complete(
    #[case] text: &str,
    #[case] body: &str,
) {
    let message = read_byte_by_byte(MessageReader::requests(10), text)
        .unwrap()
        .unwrap();
    assert_eq!(message.body, body.as_bytes());
    assert!(message.keep_alive && message.is_delimited);
    let cut = &text[..text.len() - 1];
    assert_eq!(
        read_byte_by_byte(MessageReader::requests(10), cut),
        Ok(None)
    );
}

#[rstest]
#[case::two_lengths(
    "Content-Length: 1\r\nContent-Length: 1\r\n",
    HttpError::AmbiguousLength
)]
#[case::length_with_chunked_coding(
    "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
    HttpError::AmbiguousLength
)]
#[case::signed_length("Content-Length: +1\r\n", HttpError::AmbiguousLength)]
#[case::unknown_coding("Transfer-Encoding: gzip\r\n", HttpError::AmbiguousLength)]
#[case::long_body("Content-Length: 11\r\n", HttpError::BodyTooLarge { bytes: 11, limit: 10 })]
#[case::malformed("no header\r\n", HttpError::Malformed)]
fn an_ambiguous_or_malformed_head_is_an_error(#[case] headers: &str, #[case] error: HttpError) {
    let text = format!("POST / HTTP/1.1\r\n{headers}\r\n");
    assert_eq!(
        read_byte_by_byte(MessageReader::requests(10), &text),
        Err(error)
    );
}

#[test]
fn a_chunk_beyond_the_body_limit_is_an_error_before_its_data_arrives() {
    let text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n5\r\n";
    let (bytes, limit) = (11, 10);
    let error = HttpError::BodyTooLarge { bytes, limit };
    assert_eq!(
        read_byte_by_byte(MessageReader::requests(limit), text),
        Err(error)
    );
}

#[test]
fn the_larger_body_limit_applies_only_to_its_target_prefix() {
    let reader = || MessageReader::requests(2).with_larger_bodies("/large/", 3);
    let text = |target: &str| format!("PUT {target} HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    let message = read_byte_by_byte(reader(), &text("/large/key")).unwrap();
    assert_eq!(message.unwrap().body, b"abc");
    let (bytes, limit) = (3, 2);
    let error = HttpError::BodyTooLarge { bytes, limit };
    assert_eq!(read_byte_by_byte(reader(), &text("/other")), Err(error));
}

#[test]
fn a_response_without_a_length_ends_when_the_connection_closes() {
    let mut reader = MessageReader::responses(10);
    let mut buffer = b"HTTP/1.1 200 OK\r\n\r\nab".to_vec();
    assert_eq!(reader.read(&mut buffer, false), Ok(None));
    assert_eq!(reader.pending_status(&buffer), Some(200));
    assert_eq!(reader.buffered_bytes(), 2);
    buffer.push(b'c');
    let message = reader.read(&mut buffer, true).unwrap().unwrap();
    assert_eq!(message.body, b"abc");
    assert!(!message.keep_alive && !message.is_delimited);
}

#[test]
fn a_message_truncated_by_the_end_of_the_connection_is_an_error() {
    for text in ["GET / HT", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"] {
        let mut buffer = text.as_bytes().to_vec();
        let result = MessageReader::requests(10).read(&mut buffer, true);
        assert_eq!(result, Err(HttpError::Truncated));
    }
}

#[test]
fn headers_beyond_the_limits_are_an_error() {
    let long = format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(MAX_HEAD_BYTES));
    let many = format!(
        "GET / HTTP/1.1\r\n{}\r\n",
        "X: y\r\n".repeat(MAX_HEADERS + 1)
    );
    for text in [long, many] {
        let mut buffer = text.into_bytes();
        let result = MessageReader::requests(10).read(&mut buffer, false);
        assert_eq!(result, Err(HttpError::HeadTooLarge));
    }
}

#[test]
fn seconds_are_rounded_down_to_milliseconds() {
    let texts = [0.0, -1.0, 2.0, 1.2349, 0.5].map(format_seconds);
    assert_eq!(texts, ["0", "0", "2", "1.234", "0.5"]);
}

/// Guards against bytes after a response that are taken for the response to the next request.
#[rstest]
#[case::complete("", true)]
#[case::second_copy("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", false)]
#[case::noise("\0", false)]
fn a_response_followed_by_bytes_is_the_last_one_on_its_connection(
    #[case] surplus: &str,
    #[case] keep_alive: bool,
) {
    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na{surplus}");
    let mut buffer = text.into_bytes();
    let message = MessageReader::responses(10).read(&mut buffer, false);
    let message = message.unwrap().unwrap();
    assert_eq!(message.body, b"a");
    assert_eq!(message.keep_alive, keep_alive);
}

/// Guards against a peer that keeps a message open for ever by framing that is no content (issue 64).
#[rstest]
#[case::trailers("0\r\n", "a: b\r\n")]
#[case::extensions("", "1;extension=0123456789\r\nx\r\n")]
fn a_chunked_body_with_far_more_framing_than_content_is_rejected(
    #[case] start: &str,
    #[case] repeated: &str,
) {
    const LIMIT: usize = 1000;
    let mut reader = MessageReader::requests(LIMIT);
    let head = format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{start}");
    let mut buffer = head.into_bytes();
    assert_eq!(reader.read(&mut buffer, false), Ok(None));
    let mut received_bytes = 0;
    let error = loop {
        received_bytes += repeated.len();
        buffer.extend_from_slice(repeated.as_bytes());
        match reader.read(&mut buffer, false) {
            Ok(message) => assert_eq!(message, None),
            Err(error) => break error,
        }
    };
    assert!(
        matches!(
            error,
            HttpError::HeadTooLarge | HttpError::BodyTooLarge { .. }
        ),
        "{error}"
    );
    assert!(
        received_bytes < 32 * LIMIT,
        "{received_bytes} bytes were read"
    );
}
