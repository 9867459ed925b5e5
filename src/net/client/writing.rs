//! Writing responses to clients, and closing connections after their last response.

use crate::net::client::connection::{ClientState, WriteProgress};
use crate::net::client::connection_error::ConnectionError;
use crate::net::client::connections::{client_mut, ClientConnections, CloseReason, InvalidRequest};
use crate::net::client::output::Output;
use crate::net::client::{opensearch, platform};
use crate::net::runtime::Runtime;
use crate::net::ConnectionKey;
use crate::requests::coordinator::{FinalAnswer, QueryRequest};
use std::rc::Rc;

impl ClientConnections {
    /// Starts writing a response. If `closes` is set, the connection ends after the response. Does nothing if the client has
    /// disconnected.
    pub(in crate::net) fn respond(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        bytes: Vec<u8>,
        closes: bool,
    ) {
        self.respond_shared(runtime, key, bytes, Rc::from(""), closes);
    }

    /// Starts writing a response like [`ClientConnections::respond`], whose body ends with a text that clients share.
    pub(in crate::net) fn respond_shared(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        bytes: Vec<u8>,
        shared: Rc<str>,
        closes: bool,
    ) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        client.output.set(bytes, shared);
        if std::mem::take(&mut client.omits_body) {
            client.output.remove_body();
        }
        client.enter(ClientState::Writing, runtime.now);
        client.request_bytes = 0;
        client.closes_after_response |= closes;
        self.count_memory(runtime, key);
        self.write(runtime, key);
        self.schedule_deadline(runtime, key);
        self.close_unread_responses(runtime);
    }

    /// Responds with an error in the client's protocol and ends the connection.
    pub(super) fn respond_with_error(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        error: ConnectionError,
    ) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        let bytes = error.response(client.protocol);
        let invalid = InvalidRequest {
            status: error.status(),
            reason: &error,
            id: None,
        };
        self.record_invalid(runtime, key, &invalid);
        self.respond(runtime, key, bytes, true);
    }

    /// Sends the final answer to a request in the client's protocol. `took_s` is the time that the request was in flight.
    pub(super) fn reply(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        query_request: &QueryRequest,
        answer: FinalAnswer,
        took_s: f64,
        closes_after_response: bool,
    ) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        let closes = closes_after_response || client.closes_after_response;
        let bytes = match client.search_context.take() {
            Some(context) => {
                opensearch::render_answer(&context, query_request, answer, took_s, closes)
            }
            None => platform::render_answer(query_request, answer, closes),
        };
        self.respond(runtime, key, bytes, closes);
    }

    /// Writes as much of the response as the socket accepts. After the whole response, the connection is scheduled for
    /// reading or ends.
    pub(super) fn write(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        match client.write_output() {
            Ok(WriteProgress::Complete) => {}
            Ok(WriteProgress::Blocked) => return,
            Err(_) => return self.close(runtime, key, CloseReason::WriteFailed),
        }
        client.output = Output::default();
        client.enter(ClientState::Reading, runtime.now);
        self.count_memory(runtime, key);
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        if client.closes_after_response || (client.has_disconnected && client.input.is_empty()) {
            return self.linger(runtime, key);
        }
        self.schedule_deadline(runtime, key);
        // Input may have arrived during the response, and the edge-triggered poll does not report it again.
        self.queue_turn(runtime, key);
    }

    /// Shuts down the write side and waits for the client to close its side. An immediate close could reset the connection
    /// while the response is in transit.
    pub(super) fn linger(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        // The shutdown fails only if the connection has already ended, which the read below detects.
        let _ = client.stream.shutdown(std::net::Shutdown::Write);
        client.enter(ClientState::Lingering, runtime.now);
        client.discard_input();
        self.count_memory(runtime, key);
        self.schedule_deadline(runtime, key);
        self.discard_input(runtime, key);
    }
}

/// Logs a rejected or failed request with its reason, duration, class and the revision of the endpoint list.
pub(super) fn log_unsuccessful_request(
    runtime: &mut Runtime,
    query_request: &QueryRequest,
    answer: &FinalAnswer,
    took_s: f64,
    list_revision: Option<u64>,
) {
    let (outcome, reason) = match answer {
        FinalAnswer::Answered { .. } => return,
        FinalAnswer::Rejected { reason, .. } => ("rejected", reason.label()),
        FinalAnswer::Failed { reason, .. } => ("failed", reason.label()),
    };
    runtime.log_request(|| {
        let id = &query_request.id;
        let class_name = &query_request.class_name;
        let count = query_request.parts.len();
        format!(
            "request {id}: {outcome} ({reason}) after {took_s:.3} s, {class_name}, {count} parts, \
             list revision {list_revision:?}"
        )
    });
}
