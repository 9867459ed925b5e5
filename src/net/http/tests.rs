//! Tests of the reader of messages: bounds, framing, and messages that come in pieces.

use super::*;
use rstest::rstest;

/// Reads a message that comes byte by byte.
fn read_in_pieces(mut reader: MessageReader, text: &str) -> Result<Option<Message>, HttpError> {
    let mut buffer = Vec::new();
    for byte in text.bytes() {
        buffer.push(byte);
        if let Some(message) = reader.read(&mut buffer, false)? {
            assert_eq!(buffer, b"", "nothing is left after the last byte");
            return Ok(Some(message));
        }
    }
    Ok(None)
}

#[rstest]
#[case::by_length("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "abc")]
#[case::in_chunks(
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: v\r\n\r\n",
    "abc"
)]
#[case::without_body("GET / HTTP/1.1\r\n\r\n", "")]
fn a_request_that_comes_in_pieces_is_read_once_it_is_complete(
    #[case] text: &str,
    #[case] body: &str,
) {
    let message = read_in_pieces(MessageReader::requests(10), text)
        .unwrap()
        .unwrap();
    assert_eq!(message.body, body.as_bytes());
    assert!(message.keep_alive && message.is_delimited);
    let cut = &text[..text.len() - 1];
    assert_eq!(read_in_pieces(MessageReader::requests(10), cut), Ok(None));
}

#[rstest]
#[case::two_lengths(
    "Content-Length: 1\r\nContent-Length: 1\r\n",
    HttpError::AmbiguousLength
)]
#[case::length_beside_chunks(
    "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
    HttpError::AmbiguousLength
)]
#[case::signed_length("Content-Length: +1\r\n", HttpError::AmbiguousLength)]
#[case::unknown_coding("Transfer-Encoding: gzip\r\n", HttpError::AmbiguousLength)]
#[case::long_body("Content-Length: 11\r\n", HttpError::BodyTooLarge { bytes: 11, limit: 10 })]
#[case::malformed("no header\r\n", HttpError::Malformed)]
fn a_head_that_two_programs_could_read_differently_is_an_error(
    #[case] headers: &str,
    #[case] error: HttpError,
) {
    let text = format!("POST / HTTP/1.1\r\n{headers}\r\n");
    assert_eq!(
        read_in_pieces(MessageReader::requests(10), &text),
        Err(error)
    );
}

#[test]
fn chunks_beyond_the_bound_on_bodies_are_an_error_before_they_are_read() {
    let text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n5\r\n";
    let (bytes, limit) = (11, 10);
    let error = HttpError::BodyTooLarge { bytes, limit };
    assert_eq!(
        read_in_pieces(MessageReader::requests(limit), text),
        Err(error)
    );
}

#[test]
fn larger_bodies_are_read_for_their_targets_alone() {
    let reader = || MessageReader::requests(2).with_larger_bodies("/large/", 3);
    let text = |target: &str| format!("PUT {target} HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
    let message = read_in_pieces(reader(), &text("/large/key")).unwrap();
    assert_eq!(message.unwrap().body, b"abc");
    let (bytes, limit) = (3, 2);
    let error = HttpError::BodyTooLarge { bytes, limit };
    assert_eq!(read_in_pieces(reader(), &text("/other")), Err(error));
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
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
fn a_message_that_its_connection_cuts_off_is_an_error() {
    for text in ["GET / HT", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"] {
        let mut buffer = text.as_bytes().to_vec();
        let result = MessageReader::requests(10).read(&mut buffer, true);
        assert_eq!(result, Err(HttpError::Truncated));
    }
}

#[test]
fn headers_beyond_the_bounds_are_an_error() {
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
