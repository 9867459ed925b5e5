//! A response that is being written to a client: bytes of its own, followed by a text that several clients may share.

use crate::net::http;
use std::rc::Rc;

/// Response with the number of bytes that the socket has accepted.
#[derive(Debug, Default)]
pub(super) struct Output {
    own: Vec<u8>,
    shared: Option<Rc<str>>,
    written_bytes: usize,
}

impl Output {
    /// Replaces the response.
    pub(super) fn set(&mut self, own: Vec<u8>, shared: Rc<str>) {
        *self = Output {
            own,
            shared: Some(shared),
            written_bytes: 0,
        };
    }

    /// Removes the body of the response, which must not have been written in part.
    pub(super) fn remove_body(&mut self) {
        http::remove_body(&mut self.own);
        self.shared = None;
    }

    /// Returns the next bytes to be written: the rest of the own bytes or, after these, that of the shared text.
    pub(super) fn unwritten(&self) -> &[u8] {
        match self.own.get(self.written_bytes..) {
            Some(rest) if !rest.is_empty() => rest,
            _ => &self.shared_bytes()[self.written_bytes - self.own.len()..],
        }
    }

    /// Records that the socket has accepted the first `count` of the unwritten bytes.
    pub(super) fn advance(&mut self, count: usize) {
        self.written_bytes += count;
    }

    /// Returns whether all bytes are written.
    pub(super) fn is_written(&self) -> bool {
        self.written_bytes >= self.own.len() + self.shared_bytes().len()
    }

    /// Returns the memory that the response takes, without the shared text.
    pub(super) fn memory_bytes(&self) -> usize {
        self.own.capacity()
    }

    fn shared_bytes(&self) -> &[u8] {
        self.shared.as_deref().unwrap_or_default().as_bytes()
    }
}
