//! HTTP/1.1 messages, read and written.
//!
//! This file owns the bounds on messages and the reading of bodies by length, in chunks or up to the end of
//! a connection. It must never hold a socket, never keep more of a message than its bounds allow, and never
//! panic on what it reads: whatever is wrong is an [`HttpError`] with the status that fits.

use std::fmt::Write;
use thiserror::Error;

/// Longest start line and headers together.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most headers of a message.
const MAX_HEADERS: usize = 64;
/// Longest line with the size of a chunk, and longest trailer.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Line end behind the data of a chunk.
const CRLF: &[u8] = b"\r\n";

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum HttpError {
    /// It is not HTTP/1.
    #[error("malformed message")]
    Malformed,
    /// The length of its body is given twice, or in a form that is not known.
    #[error("unclear length of body")]
    AmbiguousLength,
    /// Its body is longer than allowed.
    #[error("body too large ({bytes} bytes or more, {limit} are read)")]
    BodyTooLarge {
        /// The least that the length of the body can be (bytes).
        bytes: usize,
        /// The longest body that is read (bytes).
        limit: usize,
    },
    /// Its start line and headers, or the lines of its chunks, are longer than allowed.
    #[error("headers too large")]
    HeadTooLarge,
    /// The connection ended before the message did.
    #[error("message cut off")]
    Truncated,
}

impl HttpError {
    /// The status of the response to such a request.
    pub fn status(self) -> u16 {
        match self {
            HttpError::BodyTooLarge { .. } => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::Malformed | HttpError::AmbiguousLength | HttpError::Truncated => 400,
        }
    }
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A request.
    Request {
        /// Its method.
        method: String,
        /// Its target, not decoded.
        target: String,
    },
    /// A response.
    Response {
        /// Its status.
        status: u16,
    },
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its start line.
    pub start: StartLine,
    /// Its headers, in order.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection may be used again after it.
    pub keep_alive: bool,
    /// Whether it says itself where it ends: one that ends with its connection may be cut off unseen.
    pub is_delimited: bool,
}

impl Message {
    /// The value of the first header of that name, in any case, without the space around it.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// How a message says where its body ends.
enum BodyFraming {
    /// By its length in bytes.
    Length(usize),
    /// In chunks.
    Chunked(ChunkedBody),
    /// With the connection.
    UntilClose,
}

/// How far a chunked body has been read.
#[derive(Default)]
struct ChunkedBody {
    /// What the present chunk still lacks, its line end included.
    remaining_bytes: usize,
    /// The chunk of size 0 has come: only trailers follow.
    is_in_trailers: bool,
}

/// A message whose head is read and whose body is not complete.
struct PartialMessage {
    message: Message,
    framing: BodyFraming,
}

/// Requests that may have longer bodies than all others.
#[derive(Clone, Copy)]
struct LargerBodies {
    target_prefix: &'static str,
    max_bytes: usize,
}

/// Which messages a reader expects.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    Request,
    Response,
}

/// Reads messages one after the other from a buffer that grows.
pub struct MessageReader {
    kind: MessageKind,
    default_max_body_bytes: usize,
    larger_bodies: Option<LargerBodies>,
    partial: Option<PartialMessage>,
}

impl MessageReader {
    /// A reader of requests with bodies of at most so many bytes.
    pub fn requests(max_body_bytes: usize) -> MessageReader {
        MessageReader::new(MessageKind::Request, max_body_bytes)
    }

    /// A reader of responses with bodies of at most so many bytes.
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

    /// Allows longer bodies, of at most so many bytes, to requests whose target begins with a prefix.
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

    /// The longest body that a message with this start line may have.
    fn max_body_bytes(&self, start: &StartLine) -> usize {
        let StartLine::Request { target, .. } = start else {
            return self.default_max_body_bytes;
        };
        self.larger_bodies
            .filter(|larger| target.starts_with(larger.target_prefix))
            .map_or(self.default_max_body_bytes, |larger| larger.max_bytes)
    }

    /// Whether the head of a message is read and its body is not complete.
    pub fn is_inside_message(&self) -> bool {
        self.partial.is_some()
    }

    /// The status of the response that is being read, once its start line is there; `buffer` holds what has not been
    /// read.
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

    /// Bytes of the body being read that are held here.
    pub fn buffered_bytes(&self) -> usize {
        self.partial
            .as_ref()
            .map_or(0, |partial| partial.message.body.len())
    }

    /// Whether the client waits for `100 Continue` before it sends the body of the request being read.
    pub fn expects_continue(&self) -> bool {
        let expectation = self
            .partial
            .as_ref()
            .and_then(|partial| partial.message.header("expect"));
        expectation.is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
    }

    /// Takes from the front of the buffer what belongs to the next message, and gives that once it is complete.
    /// `is_end_of_stream` says that nothing more comes on the connection. After an error the connection can't be read on.
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
            return Ok(self.partial.take().map(|partial| partial.message));
        }
        if is_end_of_stream {
            return Err(HttpError::Truncated);
        }
        Ok(None)
    }

    /// Takes the head of the next message from the front of the buffer, once it is complete.
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

    /// How the body of a message ends. A length that is given twice, or beside chunks, is an error: two programs could
    /// read two different messages.
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
        // Digits alone that are no number are too many of them.
        let length = length.parse::<usize>().unwrap_or(usize::MAX);
        let limit = self.max_body_bytes(&message.start);
        if length > limit {
            return Err(body_too_large(length, limit));
        }
        Ok(BodyFraming::Length(if has_no_body { 0 } else { length }))
    }
}

/// StartLine line and headers of a message, and how many bytes of the buffer they take.
struct Head {
    start: StartLine,
    headers: Vec<(String, String)>,
    is_http_1_1: bool,
    length_bytes: usize,
}

impl Head {
    /// Parses the head at the front of the buffer; none where it is not complete.
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

/// The values of all headers of that name, in order.
fn header_values<'a>(message: &'a Message, name: &'static str) -> impl Iterator<Item = &'a str> {
    message
        .headers
        .iter()
        .filter(move |(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

fn body_too_large(bytes: usize, limit: usize) -> HttpError {
    HttpError::BodyTooLarge { bytes, limit }
}

/// What one step through a chunked body came to.
enum ChunkStep {
    /// So many bytes of the buffer are used; there may be more.
    Used(usize),
    /// So many bytes are used, and the body is complete.
    Complete(usize),
    /// More bytes have to come.
    Incomplete,
}

impl ChunkedBody {
    /// Moves what is there of the body from the front of the buffer; whether it is complete.
    fn read(
        &mut self,
        buffer: &mut Vec<u8>,
        body: &mut Vec<u8>,
        max_body_bytes: usize,
    ) -> Result<bool, HttpError> {
        let mut used_bytes = 0;
        let is_complete = loop {
            let rest = &buffer[used_bytes..];
            let step = if self.remaining_bytes > 0 {
                self.read_data(rest, body)?
            } else if self.is_in_trailers {
                read_trailer(rest)?
            } else {
                self.read_size(rest, body.len(), max_body_bytes)?
            };
            match step {
                ChunkStep::Used(count) => used_bytes += count,
                ChunkStep::Complete(count) => {
                    used_bytes += count;
                    break true;
                }
                ChunkStep::Incomplete => break false,
            }
        };
        buffer.drain(..used_bytes);
        Ok(is_complete)
    }

    /// Reads data of the present chunk, and the line end behind it.
    fn read_data(&mut self, rest: &[u8], body: &mut Vec<u8>) -> Result<ChunkStep, HttpError> {
        if self.remaining_bytes > CRLF.len() {
            let count = rest.len().min(self.remaining_bytes - CRLF.len());
            if count == 0 {
                return Ok(ChunkStep::Incomplete);
            }
            body.extend_from_slice(&rest[..count]);
            self.remaining_bytes -= count;
            return Ok(ChunkStep::Used(count));
        }
        if rest.len() < CRLF.len() {
            return Ok(ChunkStep::Incomplete);
        }
        if !rest.starts_with(CRLF) {
            return Err(HttpError::Malformed);
        }
        self.remaining_bytes = 0;
        Ok(ChunkStep::Used(CRLF.len()))
    }

    /// Reads the line with the size of the next chunk.
    fn read_size(
        &mut self,
        rest: &[u8],
        body_bytes: usize,
        max_body_bytes: usize,
    ) -> Result<ChunkStep, HttpError> {
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((line_bytes, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                if size > max_body_bytes.saturating_sub(body_bytes) {
                    let total_bytes = body_bytes.saturating_add(size);
                    return Err(body_too_large(total_bytes, max_body_bytes));
                }
                self.is_in_trailers = size == 0;
                self.remaining_bytes = if size == 0 { 0 } else { size + CRLF.len() };
                Ok(ChunkStep::Used(line_bytes))
            }
            Ok(httparse::Status::Partial) if rest.len() <= MAX_CHUNK_LINE_BYTES => {
                Ok(ChunkStep::Incomplete)
            }
            Ok(httparse::Status::Partial) | Err(_) => Err(HttpError::Malformed),
        }
    }
}

/// Skips a trailer; the body ends with an empty line.
fn read_trailer(rest: &[u8]) -> Result<ChunkStep, HttpError> {
    match rest.iter().position(|byte| *byte == b'\n') {
        Some(end) if end == 0 || &rest[..end] == b"\r" => Ok(ChunkStep::Complete(end + 1)),
        Some(end) => Ok(ChunkStep::Used(end + 1)),
        None if rest.len() > MAX_CHUNK_LINE_BYTES => Err(HttpError::HeadTooLarge),
        None => Ok(ChunkStep::Incomplete),
    }
}

/// The reason phrase of a status.
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

/// The bytes of a response with a JSON body; `close` announces that the connection ends after it.
pub fn json_response(status: u16, headers: &[(&str, String)], body: &str, close: bool) -> Vec<u8> {
    response_with_content_type(status, "application/json", headers, body, close)
}

/// The bytes of a response with a body of a content type; `close` announces that the connection ends after it.
pub fn response_with_content_type(
    status: u16,
    content_type: &str,
    headers: &[(&str, String)],
    body: &str,
    close: bool,
) -> Vec<u8> {
    let mut out = String::with_capacity(160 + body.len());
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
    let _ = write!(out, "Content-Length: {}\r\n\r\n{body}", body.len());
    out.into_bytes()
}

/// Seconds as text for `Retry-After`: rounded down to milliseconds, so that no bound is passed.
pub fn format_seconds(time_s: f64) -> String {
    let text = format!("{:.3}", (time_s.max(0.0) * 1000.0).floor() / 1000.0);
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

#[cfg(test)]
mod tests;
