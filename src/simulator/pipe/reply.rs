//! Encoding of replies, in which the decision module returns actions to the simulator.

use crate::decisions::api::Action;

/// Codes of the kinds of actions.
mod code {
    pub(super) const SEND: u8 = 1;
    pub(super) const REJECT: u8 = 2;
    pub(super) const FAIL: u8 = 3;
    pub(super) const CANCEL: u8 = 4;
    pub(super) const SET_TIMER: u8 = 5;
    pub(super) const PROBE: u8 = 6;
    pub(super) const CLOSE_IDLE: u8 = 7;
    pub(super) const LOG: u8 = 9;
    pub(super) const WATCH: u8 = 11;
    pub(super) const ANSWER: u8 = 13;
}

/// Appends the encoded action of an instance to a reply.
pub fn encode_action(instance: u32, action: &Action, out: &mut Vec<u8>) {
    let mut fields = Fields { out };
    match action {
        Action::Send {
            part,
            replica,
            max_timeout_s,
            is_pre_check: _,
        } => {
            fields.begin(code::SEND, instance);
            fields.u32(part.0);
            fields.u32(replica.0);
            fields.f64(*max_timeout_s);
        }
        Action::Reject {
            query,
            retry_after_s,
        } => {
            fields.begin(code::REJECT, instance);
            fields.u32(query.0);
            fields.f64(*retry_after_s);
        }
        Action::Fail { query } => fields.id(code::FAIL, instance, query.0),
        Action::Cancel { part, attempt } => {
            fields.id(code::CANCEL, instance, part.0);
            fields.u8(*attempt);
        }
        Action::SetTimer { token, after_s } => {
            fields.begin(code::SET_TIMER, instance);
            fields.u64(*token);
            fields.f64(*after_s);
        }
        Action::Probe { replica } => fields.id(code::PROBE, instance, replica.0),
        Action::CloseIdle { replica } => fields.id(code::CLOSE_IDLE, instance, replica.0),
        Action::Log(text) => {
            fields.begin(code::LOG, instance);
            fields.text(text);
        }
        Action::Watch => {
            fields.begin(code::WATCH, instance);
            fields.u8(1);
        }
        Action::Answer {
            query,
            is_complete: complete,
        } => {
            fields.id(code::ANSWER, instance, query.0);
            fields.u8(u8::from(*complete));
        }
    }
}

/// A writer of the fields of a reply.
struct Fields<'a> {
    out: &'a mut Vec<u8>,
}

impl Fields<'_> {
    fn begin(&mut self, code: u8, instance: u32) {
        self.u8(code);
        self.u32(instance);
    }

    /// Appends the start of an action and its first field, an id.
    fn id(&mut self, code: u8, instance: u32, id: u32) {
        self.begin(code, instance);
        self.u32(id);
    }

    fn u8(&mut self, value: u8) {
        self.out.push(value);
    }

    fn u32(&mut self, value: u32) {
        self.out.extend(value.to_le_bytes());
    }

    fn u64(&mut self, value: u64) {
        self.out.extend(value.to_le_bytes());
    }

    fn f64(&mut self, value: f64) {
        self.out.extend(value.to_le_bytes());
    }

    /// Appends a text, truncated to the maximum that its length field can express.
    fn text(&mut self, text: &str) {
        let length = text.len().min(usize::from(u16::MAX)) as u16;
        self.out.extend(length.to_le_bytes());
        self.out.extend(&text.as_bytes()[..usize::from(length)]);
    }
}
