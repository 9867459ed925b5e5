//! Parser and serializer for HTTP/1.1 messages.
//!
//! [`MessageReader`] parses requests and responses incrementally from a byte buffer and enforces limits on the size of
//! the head and the body. Malformed input yields an [`HttpError`] with a matching status, never a panic.

mod chunked;

use chunked::ChunkedBody;
use std::fmt::Write;
use thiserror::Error;

/// Limit on the total size of the start line and the headers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Limit on the number of headers in a message.
const MAX_HEADERS: usize = 64;
/// Smallest block of memory that an allocator hands out, with its own data (bytes).
const HEAP_BLOCK_BYTES: usize = 32;
/// Error of parsing a message.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// Input that is not a valid HTTP/1 message.
    #[error("malformed message")]
    Malformed,
    /// Repeated or invalid `Content-Length`, unsupported `Transfer-Encoding`, or both headers in one message.
    #[error("unclear length of body")]
    AmbiguousLength,
    /// Body above the limit of the reader.
    #[error("body too large ({bytes} bytes or more, {limit} are read)")]
    BodyTooLarge {
        /// Lower bound on the length of the body (bytes).
        bytes: usize,
        /// Maximum length of a body (bytes).
        limit: usize,
    },
    /// Head with too many bytes or headers, overlong trailer line, or chunked body with far more framing than content.
    #[error("headers too large")]
    HeadTooLarge,
    /// End of the connection before the end of the message.
    #[error("message cut off")]
    Truncated,
}

impl HttpError {
    /// Returns the status code of the response to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            HttpError::BodyTooLarge { .. } => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::Malformed | HttpError::AmbiguousLength | HttpError::Truncated => 400,
        }
    }
}

/// Parsed start line of a message, without the HTTP version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// Request line.
    Request {
        /// Method as received, such as `GET`.
        method: String,
        /// Request target, not percent-decoded.
        target: String,
    },
    /// Status line.
    Response {
        /// Status code.
        status: u16,
    },
}

/// Complete HTTP message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Request or status line.
    pub start: StartLine,
    /// Names and values of the headers in the order received, with names in their original case.
    pub headers: Vec<(String, String)>,
    /// Body after removal of any chunked coding.
    pub body: Vec<u8>,
    /// Whether the connection can carry further messages after this one. A response that is followed by bytes which answer no
    /// request is the last one.
    pub keep_alive: bool,
    /// Whether the message carries its own length or chunked coding. Truncation of a message that ends with its
    /// connection cannot be detected.
    pub is_delimited: bool,
}

impl Message {
    /// Returns the trimmed value of the first header with this name, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Returns whether this is a HEAD request, whose response has no body.
    pub fn is_head_request(&self) -> bool {
        matches!(&self.start, StartLine::Request { method, .. } if method == "HEAD")
    }
}

/// Removes the body of a serialized response. The headers keep its length, as a response to a HEAD request has to.
pub fn remove_body(response: &mut Vec<u8>) {
    const END_OF_HEAD: &[u8] = b"\r\n\r\n";
    let end = response
        .windows(END_OF_HEAD.len())
        .position(|bytes| bytes == END_OF_HEAD);
    if let Some(end) = end {
        response.truncate(end + END_OF_HEAD.len());
    }
}

/// Method by which the end of a message body is determined.
enum BodyFraming {
    /// `Content-Length` in bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked(ChunkedBody),
    /// End of the connection.
    UntilClose,
}

/// Message whose head has been parsed and whose body is incomplete.
struct PartialMessage {
    message: Message,
    framing: BodyFraming,
}

/// Higher body limit for requests with a certain target prefix.
#[derive(Clone, Copy)]
struct LargerBodies {
    target_prefix: &'static str,
    max_bytes: usize,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    Request,
    Response,
}

/// Incremental parser for a sequence of messages on one connection.
pub struct MessageReader {
    kind: MessageKind,
    default_max_body_bytes: usize,
    larger_bodies: Option<LargerBodies>,
    partial: Option<PartialMessage>,
}

impl MessageReader {
    /// Returns a reader for requests with bodies of up to `max_body_bytes`.
    pub fn requests(max_body_bytes: usize) -> MessageReader {
        MessageReader::new(MessageKind::Request, max_body_bytes)
    }

    /// Returns a reader for responses with bodies of up to `max_body_bytes`.
    pub fn responses(max_body_bytes: usize) -> MessageReader {
        MessageReader::new(MessageKind::Response, max_body_bytes)
    }

    fn new(kind: MessageKind, default_max_body_bytes: usize) -> MessageReader {
        MessageReader {
            kind,
            default_max_body_bytes,
            larger_bodies: None,
            partial: None,
        }
    }

    /// Sets a separate body limit of `max_bytes` for requests whose target starts with `target_prefix`.
    pub fn with_larger_bodies(
        mut self,
        target_prefix: &'static str,
        max_bytes: usize,
    ) -> MessageReader {
        self.larger_bodies = Some(LargerBodies {
            target_prefix,
            max_bytes,
        });
        self
    }

    /// Returns the body limit for a message with this start line.
    fn max_body_bytes(&self, start: &StartLine) -> usize {
        let StartLine::Request { target, .. } = start else {
            return self.default_max_body_bytes;
        };
        self.larger_bodies
            .filter(|larger| target.starts_with(larger.target_prefix))
            .map_or(self.default_max_body_bytes, |larger| larger.max_bytes)
    }

    /// Returns whether a message has a parsed head and an incomplete body.
    pub fn is_inside_message(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns the status of the incomplete response, if enough of its status line has been received. `buffer` holds the
    /// bytes that were received and not yet parsed.
    pub fn pending_status(&self, buffer: &[u8]) -> Option<u16> {
        let start = self.partial.as_ref().map(|partial| &partial.message.start);
        if let Some(StartLine::Response { status }) = start {
            return Some(*status);
        }
        let line = buffer.split(|byte| *byte == b'\r').next()?;
        let line = std::str::from_utf8(line).ok()?;
        let status = line.strip_prefix("HTTP/1.1 ")?.get(..3)?;
        status.parse().ok()
    }

    /// Returns the memory that the incomplete message takes, without the bytes that are still in the buffer.
    pub fn memory_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| {
            let message = &partial.message;
            let header_bytes: usize = message.headers.iter().map(header_memory_bytes).sum();
            header_bytes + message.body.capacity()
        })
    }

    /// Discards the incomplete message. The reader must not be used further.
    pub fn discard(&mut self) {
        self.partial = None;
    }

    /// Returns the number of bytes of the incomplete body that the reader has taken from the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.message.body.len())
    }

    /// Returns whether the incomplete request has the header `Expect: 100-continue`.
    pub fn expects_continue(&self) -> bool {
        let expectation = self
            .partial
            .as_ref()
            .and_then(|partial| partial.message.header("expect"));
        expectation.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
    }

    /// Removes the bytes of the next message from the front of the buffer, and returns the message once it is complete.
    /// `is_end_of_stream` is set when the peer has closed its side of the connection. After an error the reader must not be
    /// used further, because the position of the next message is unknown.
    pub fn read(
        &mut self,
        buffer: &mut Vec<u8>,
        is_end_of_stream: bool,
    ) -> Result<Option<Message>, HttpError> {
        if self.partial.is_none() {
            self.partial = self.read_head(buffer)?;
        }
        let max_body_bytes = self
            .partial
            .as_ref()
            .map_or(0, |partial| self.max_body_bytes(&partial.message.start));
        let Some(PartialMessage { message, framing }) = &mut self.partial else {
            if is_end_of_stream && !buffer.is_empty() {
                return Err(HttpError::Truncated);
            }
            return Ok(None);
        };
        let body = &mut message.body;
        let is_complete = match framing {
            BodyFraming::Length(length) if buffer.len() >= *length => {
                *body = buffer.drain(..*length).collect();
                true
            }
            BodyFraming::Length(_) => false,
            BodyFraming::Chunked(chunked) => chunked.read(buffer, body, max_body_bytes)?,
            BodyFraming::UntilClose => {
                body.append(buffer);
                if body.len() > max_body_bytes {
                    return Err(body_too_large(body.len(), max_body_bytes));
                }
                is_end_of_stream
            }
        };
        if is_complete {
            let message = self.partial.take().map(|partial| partial.message);
            return Ok(message.map(|message| self.without_surplus(message, buffer)));
        }
        if is_end_of_stream {
            return Err(HttpError::Truncated);
        }
        Ok(None)
    }

    /// Marks a response as the last one on its connection if more bytes follow it in the buffer. This program sends a request
    /// only after the response to the one before, so these bytes answer no request, and would be taken for the next response.
    fn without_surplus(&self, mut message: Message, buffer: &[u8]) -> Message {
        if self.kind == MessageKind::Response && !buffer.is_empty() {
            message.keep_alive = false;
        }
        message
    }

    /// Parses the head of the next message and removes it from the buffer, once it is complete.
    fn read_head(&self, buffer: &mut Vec<u8>) -> Result<Option<PartialMessage>, HttpError> {
        let Some(head) = Head::parse(self.kind, buffer)? else {
            return Ok(None);
        };
        buffer.drain(..head.length_bytes);
        let mut message = Message {
            start: head.start,
            headers: head.headers,
            body: Vec::new(),
            keep_alive: head.is_http_1_1,
            is_delimited: true,
        };
        if let Some(connection) = message.header("connection").map(str::to_ascii_lowercase) {
            let has_option = |name: &str| connection.split(',').any(|part| part.trim() == name);
            message.keep_alive =
                !has_option("close") && (message.keep_alive || has_option("keep-alive"));
        }
        let framing = self.body_framing(&message)?;
        message.is_delimited = !matches!(framing, BodyFraming::UntilClose);
        message.keep_alive &= message.is_delimited;
        Ok(Some(PartialMessage { message, framing }))
    }

    /// Determines the framing of the body. A repeated length, or a length in addition to a transfer coding, is an error:
    /// another HTTP implementation could see a different message boundary (request smuggling).
    fn body_framing(&self, message: &Message) -> Result<BodyFraming, HttpError> {
        let mut lengths = header_values(message, "content-length");
        let mut codings = header_values(message, "transfer-encoding");
        if let Some(coding) = codings.next() {
            let is_chunked = coding.eq_ignore_ascii_case("chunked");
            if !is_chunked || codings.next().is_some() || lengths.next().is_some() {
                return Err(HttpError::AmbiguousLength);
            }
            return Ok(BodyFraming::Chunked(ChunkedBody::default()));
        }
        let has_no_body = match message.start {
            StartLine::Response { status } => status < 200 || status == 204 || status == 304,
            StartLine::Request { .. } => false,
        };
        let Some(length) = lengths.next() else {
            return Ok(match self.kind {
                MessageKind::Response if !has_no_body => BodyFraming::UntilClose,
                MessageKind::Response | MessageKind::Request => BodyFraming::Length(0),
            });
        };
        let is_number = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
        if !is_number || lengths.next().is_some() {
            return Err(HttpError::AmbiguousLength);
        }
        // Parsing a string of digits only fails on overflow.
        let length = length.parse::<usize>().unwrap_or(usize::MAX);
        let limit = self.max_body_bytes(&message.start);
        if length > limit {
            return Err(body_too_large(length, limit));
        }
        Ok(BodyFraming::Length(if has_no_body { 0 } else { length }))
    }
}

/// Parsed start line and headers of a message, and their length in the buffer.
struct Head {
    start: StartLine,
    headers: Vec<(String, String)>,
    is_http_1_1: bool,
    length_bytes: usize,
}

impl Head {
    /// Parses the head at the front of the buffer. Returns `None` if the head is incomplete.
    fn parse(kind: MessageKind, buffer: &[u8]) -> Result<Option<Head>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        match kind {
            MessageKind::Response => {
                let mut response = httparse::Response::new(&mut headers);
                let parsed = response.parse(buffer).map_err(head_error)?;
                let start = || StartLine::Response {
                    status: response.code.unwrap_or(0),
                };
                Head::new(parsed, buffer, start, response.version, response.headers)
            }
            MessageKind::Request => {
                let mut request = httparse::Request::new(&mut headers);
                let parsed = request.parse(buffer).map_err(head_error)?;
                let start = || StartLine::Request {
                    method: request.method.unwrap_or_default().to_string(),
                    target: request.path.unwrap_or_default().to_string(),
                };
                Head::new(parsed, buffer, start, request.version, request.headers)
            }
        }
    }

    fn new(
        parsed: httparse::Status<usize>,
        buffer: &[u8],
        start: impl FnOnce() -> StartLine,
        minor_version: Option<u8>,
        headers: &[httparse::Header],
    ) -> Result<Option<Head>, HttpError> {
        let length_bytes = match parsed {
            httparse::Status::Complete(length) if length <= MAX_HEAD_BYTES => length,
            httparse::Status::Partial if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
            httparse::Status::Complete(_) | httparse::Status::Partial => {
                return Err(HttpError::HeadTooLarge)
            }
        };
        let text = |header: &httparse::Header| {
            let value = std::str::from_utf8(header.value).map_err(|_| HttpError::Malformed)?;
            Ok((header.name.to_string(), value.to_string()))
        };
        Ok(Some(Head {
            start: start(),
            headers: headers.iter().map(text).collect::<Result<_, HttpError>>()?,
            is_http_1_1: minor_version == Some(1),
            length_bytes,
        }))
    }
}

fn head_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        _ => HttpError::Malformed,
    }
}

/// Returns the trimmed values of all headers with this name, in order.
fn header_values<'a>(message: &'a Message, name: &'static str) -> impl Iterator<Item = &'a str> {
    message
        .headers
        .iter()
        .filter(move |(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

/// Returns the memory that a header takes: the pair in its list, and two texts on the heap.
fn header_memory_bytes((name, value): &(String, String)) -> usize {
    let heap_bytes = |text: &String| text.capacity().next_multiple_of(HEAP_BLOCK_BYTES);
    std::mem::size_of::<(String, String)>() + heap_bytes(name) + heap_bytes(value)
}

fn body_too_large(bytes: usize, limit: usize) -> HttpError {
    HttpError::BodyTooLarge { bytes, limit }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

/// Serializes a response with a JSON body. `close` adds `Connection: close`.
pub fn json_response(status: u16, headers: &[(&str, String)], body: &str, close: bool) -> Vec<u8> {
    response_with_content_type(status, "application/json", headers, body, close)
}

/// Serializes a response with a body of the given content type. `close` adds `Connection: close`.
pub fn response_with_content_type(
    status: u16,
    content_type: &str,
    headers: &[(&str, String)],
    body: &str,
    close: bool,
) -> Vec<u8> {
    let mut out = response_head(status, content_type, headers, body.len(), close);
    out.extend_from_slice(body.as_bytes());
    out
}

/// Serializes the head of a response whose body has `body_bytes` bytes of the given content type. `close` adds `Connection: close`.
pub fn response_head(
    status: u16,
    content_type: &str,
    headers: &[(&str, String)],
    body_bytes: usize,
    close: bool,
) -> Vec<u8> {
    let mut out = String::with_capacity(160);
    let _ = write!(
        out,
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\n",
        reason_phrase(status)
    );
    for (name, value) in headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    if close {
        out.push_str("Connection: close\r\n");
    }
    let _ = write!(out, "Content-Length: {body_bytes}\r\n\r\n");
    out.into_bytes()
}

/// Formats a number of seconds for `Retry-After`, rounded down to milliseconds so that the text never exceeds the value.
pub fn format_seconds(time_s: f64) -> String {
    let text = format!("{:.3}", (time_s.max(0.0) * 1000.0).floor() / 1000.0);
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

#[cfg(test)]
mod tests;
