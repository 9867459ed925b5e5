//! Decoding of batches, in which the simulator sends events. Records may refer to numbered lists defined by earlier records.

use super::cursor::Cursor;
use super::error::{FieldError, WireError};
use super::frame::LENGTH_BYTES;
use crate::config;
use crate::decisions::api::*;
use std::sync::Arc;

/// Length of an entry of a list (bytes).
const LIST_ENTRY_BYTES: usize = 21;
/// Number of lists that may be defined; their numbers start at 0.
const MAX_LISTS: usize = 16;
/// Length of a FIRST record after its instance (bytes).
const STREAM_START_BYTES: usize = 17;
/// Flag: the record has a cost estimate of the client.
const FLAG_COST_HINT: u16 = 1;
/// Flag: the client marked the query as a retry.
const FLAG_CLIENT_RETRY: u16 = 2;

/// Codes of the kinds of records.
mod code {
    pub(super) const INIT: u8 = 1;
    pub(super) const ENDPOINTS: u8 = 2;
    pub(super) const INGRESS: u8 = 3;
    pub(super) const FIRST: u8 = 4;
    pub(super) const DONE: u8 = 5;
    pub(super) const TIMED_OUT_CLIENT: u8 = 6;
    pub(super) const DEADLINE_HIT: u8 = 7;
    pub(super) const PING_RESULT: u8 = 8;
    pub(super) const DATAGRAM: u8 = 9;
    pub(super) const CRASH_NOW: u8 = 10;
    pub(super) const CATALOG: u8 = 11;
}

/// Returns the name of a kind of record, or `None` for an unknown code.
fn record_name(code: u8) -> Option<&'static str> {
    Some(match code {
        code::INIT => "INIT",
        code::ENDPOINTS => "ENDPOINTS",
        code::INGRESS => "INGRESS",
        code::FIRST => "FIRST",
        code::DONE => "DONE",
        code::TIMED_OUT_CLIENT => "TIMED_OUT_CLIENT",
        code::DEADLINE_HIT => "DEADLINE_HIT",
        code::PING_RESULT => "PING_RESULT",
        code::DATAGRAM => "DATAGRAM",
        code::CRASH_NOW => "CRASH_NOW",
        code::CATALOG => "CATALOG",
        _ => return None,
    })
}

/// A record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// An instance starts.
    Init {
        /// Number of the instance.
        instance: u32,
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance.
        settings: Box<Settings>,
    },
    /// An instance has crashed.
    Crash {
        /// Number of the instance.
        instance: u32,
    },
    /// An event for an instance.
    Event {
        /// Number of the instance.
        instance: u32,
        /// Event for the instance's [`Aggregator`](crate::Aggregator).
        event: Event,
    },
    /// A record without an event for the decision module: the definition of a list, the start of a stream, or a message between
    /// instances.
    NoEvent,
}

/// A decoded batch of records.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// Time of all events of the batch (seconds).
    pub now: f64,
    /// Records in the order in which they were sent.
    pub records: Vec<Record>,
}

/// A decoder of batches, which stores the lists that the simulator has defined.
#[derive(Debug, Default)]
pub struct Decoder {
    lists: [Option<Arc<[ReplicaEntry]>>; MAX_LISTS],
}

impl Decoder {
    /// Decodes a complete frame as returned by [`read_frame`](super::read_frame).
    pub fn decode_batch(&mut self, frame: &[u8]) -> Result<Batch, WireError> {
        let mut cursor = Cursor::new(frame, LENGTH_BYTES, 0, "header");
        let count = cursor.u32()?;
        let now = cursor.f64()?;
        if !now.is_finite() {
            return Err(cursor.invalid(FieldError::ClockNotFinite));
        }
        let mut records = Vec::new();
        for record in 0..count {
            cursor.record = record;
            records.push(self.decode_record(&mut cursor)?);
        }
        match cursor.remaining() {
            0 => Ok(Batch { now, records }),
            remaining => Err(WireError::TrailingBytes(remaining)),
        }
    }

    fn decode_record(&mut self, cursor: &mut Cursor) -> Result<Record, WireError> {
        let at = cursor.offset();
        cursor.name = "code";
        let code = cursor.u8()?;
        let record = cursor.record;
        let unknown_code = WireError::UnknownCode { record, code, at };
        let Some(name) = record_name(code) else {
            return Err(unknown_code);
        };
        cursor.name = name;
        if code == code::CATALOG {
            self.decode_list_definition(cursor)?;
            return Ok(Record::NoEvent);
        }
        let instance = cursor.u32()?;
        let event = match code {
            code::INIT => return decode_init(instance, cursor),
            code::CRASH_NOW => return Ok(Record::Crash { instance }),
            code::FIRST => {
                cursor.take(STREAM_START_BYTES)?;
                return Ok(Record::NoEvent);
            }
            code::DATAGRAM => {
                skip_datagram(cursor)?;
                return Ok(Record::NoEvent);
            }
            code::ENDPOINTS => self.decode_list_event(cursor)?,
            code::INGRESS => decode_query_or_part(cursor)?,
            code::DONE => decode_attempt_end(cursor)?,
            code::TIMED_OUT_CLIENT => Event::ClientDisconnected(QueryId(cursor.u32()?)),
            code::DEADLINE_HIT => Event::Timer(cursor.u64()?),
            code::PING_RESULT => decode_probe_end(cursor)?,
            _ => return Err(unknown_code),
        };
        Ok(Record::Event { instance, event })
    }

    /// Decodes and stores a numbered list.
    fn decode_list_definition(&mut self, cursor: &mut Cursor) -> Result<(), WireError> {
        let number = usize::from(cursor.u8()?);
        let count = cursor.u32()? as usize;
        if number >= MAX_LISTS {
            let max = MAX_LISTS - 1;
            return Err(cursor.invalid(FieldError::ListNumberTooLarge { number, max }));
        }
        let bytes = count
            .checked_mul(LIST_ENTRY_BYTES)
            .ok_or_else(|| cursor.invalid(FieldError::TooManyEntries))?;
        let bytes = cursor.take(bytes)?;
        let mut entries = Vec::new();
        let mut inner = Cursor::new(bytes, 0, cursor.record, cursor.name);
        for _ in 0..count {
            entries.push(decode_list_entry(&mut inner)?);
        }
        self.lists[number] = Some(entries.into());
        Ok(())
    }

    /// Decodes the notification of an instance about a list, or about a failed call for one.
    fn decode_list_event(&self, cursor: &mut Cursor) -> Result<Event, WireError> {
        let kind = cursor.u8()?;
        cursor.u64()?; // not used
        let number = usize::from(cursor.u8()?);
        let is_full = match kind {
            2 => return Ok(Event::ListFailed),
            0 | 4 => true,
            3 => false,
            other => return Err(cursor.invalid(FieldError::UnknownListKind(other))),
        };
        match self.lists.get(number) {
            Some(Some(entries)) => Ok(Event::List {
                is_full,
                entries: entries.clone(),
            }),
            _ => Err(cursor.invalid(FieldError::UndefinedList(number))),
        }
    }
}

fn decode_init(instance: u32, cursor: &mut Cursor) -> Result<Record, WireError> {
    let seed = cursor.u64()?;
    let length = cursor.u32()? as usize;
    let text = cursor.take(length)?;
    let deployment = config::decode(text).map_err(|error| cursor.invalid(error.into()))?;
    Ok(Record::Init {
        instance,
        seed,
        settings: Box::new(deployment.policy),
    })
}

fn decode_probe_end(cursor: &mut Cursor) -> Result<Event, WireError> {
    let replica = ReplicaId(cursor.u32()?);
    let outcome = decode_outcome(cursor)?;
    let took_s = cursor.f64()?;
    cursor.skip_load_report()?;
    Ok(Event::Probed {
        replica,
        outcome,
        took_s,
    })
}

/// Skips a message between instances, which this mixer does not use.
fn skip_datagram(cursor: &mut Cursor) -> Result<(), WireError> {
    cursor.u16()?;
    let length = usize::from(cursor.u16()?);
    cursor.take(length)?;
    Ok(())
}

fn decode_list_entry(cursor: &mut Cursor) -> Result<ReplicaEntry, WireError> {
    let id = ReplicaId(cursor.u32()?);
    let zone = cursor.u8()?;
    cursor.u8()?; // not used
    let cell = u32::from(cursor.u16()?);
    let lifecycle = match cursor.u8()? {
        0 => Lifecycle::Removed,
        1 => Lifecycle::Ready,
        2 => Lifecycle::Draining,
        other => return Err(cursor.invalid(FieldError::UnknownReplicaState(other))),
    };
    cursor.f32()?; // not used
    let started_at = cursor.f64()?;
    Ok(ReplicaEntry {
        id,
        zone,
        cell,
        lifecycle,
        started_at,
        supports_pre_check: false,
    })
}

fn decode_query_or_part(cursor: &mut Cursor) -> Result<Event, WireError> {
    let id = cursor.u32()?;
    let class = cursor.u16()?;
    let tenant = cursor.u32()?;
    let key = cursor.u64()?;
    let deadline = cursor.f64()?;
    let hint = cursor.f64()?;
    let number = cursor.f32()? as u32;
    let shard = cursor.f32()?;
    let amount = cursor.f32()?;
    let flags = cursor.u16()?;
    // A negative shard marks a query, whose parts follow as separate records.
    if shard < 0.0 {
        return Ok(Event::Query(NewQuery {
            id: QueryId(id),
            number,
            class,
            tenant,
            deadline,
            parts: amount as u32,
            is_repeat: flags & FLAG_CLIENT_RETRY != 0,
            key,
            pre_check: None,
        }));
    }
    Ok(Event::Part(NewPart {
        id: PartId(id),
        query_number: number,
        shard: shard as u32,
        weight: f64::from(amount),
        cost_hint_s: (flags & FLAG_COST_HINT != 0).then_some(hint),
    }))
}

fn decode_attempt_end(cursor: &mut Cursor) -> Result<Event, WireError> {
    let part = PartId(cursor.u32()?);
    let took_s = cursor.f64()?;
    let replica = ReplicaId(cursor.u32()?);
    let attempt = cursor.u8()?;
    let outcome = decode_outcome(cursor)?;
    cursor.u8()?; // not used
    cursor.skip_load_report()?;
    Ok(Event::AttemptEnded(AttemptEnd {
        part,
        attempt,
        replica,
        took_s,
        outcome,
    }))
}

fn decode_outcome(cursor: &mut Cursor) -> Result<Outcome, WireError> {
    Ok(match cursor.u8()? {
        0 => Outcome::Ok,
        5 => Outcome::Error,
        11 => Outcome::Rejected,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::Superseded,
        other => return Err(cursor.invalid(FieldError::UnknownOutcome(other))),
    })
}
