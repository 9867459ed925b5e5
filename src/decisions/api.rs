//! The interface of the decision module: settings, events, actions and ids.
//!
//! This file owns the types that the module and its callers exchange. No decision is made here. Times are seconds on the
//! caller's clock, unless a field says otherwise.

use std::sync::Arc;

/// The caller's id of a query; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u32);

/// The caller's id of a part of a query; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u32);

/// The caller's id of a replica: a leaf server that holds some shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);

/// Whether a part may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated at will.
    #[default]
    Idempotent,
    /// Replicas discard repeats within a window from the first attempt that may have run.
    IdempotentWithKey,
    /// It may be repeated only when no earlier attempt can have run.
    NonIdempotent,
}

/// The settings of one class of queries.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// An answer within this time has its full weight (seconds).
    pub latency_objective_s: f64,
    /// How long a client waits over all its tries (seconds).
    pub deadline_s: f64,
    /// Weight of a complete answer in time.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the latency objective has.
    pub late_weight: f64,
    /// Whether parts may be repeated.
    pub effect: Effect,
    /// With an idempotency key: how long replicas discard repeats (seconds).
    pub idempotency_window_s: f64,
    /// Share of the first step's weight that makes a complete answer.
    pub complete_share: f64,
    /// Least share for a partial answer.
    pub min_partial_share: f64,
    /// Weight of a partial answer, as a multiple of share / need.
    pub partial_weight: f64,
    /// Parts of the second step; 0 for none.
    pub second_step_parts: u32,
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            latency_objective_s: 1.0,
            deadline_s: 2.0,
            priority_weight: 1.0,
            late_weight: 0.0,
            effect: Effect::Idempotent,
            idempotency_window_s: 0.0,
            complete_share: 1.0,
            min_partial_share: 1.0,
            partial_weight: 1.0,
            second_step_parts: 0,
        }
    }
}

/// The settings of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Its share of the service.
    pub share: f64,
    /// Its quota: queries a second over all aggregators together.
    pub quota_per_s: f64,
}

/// Limits the attempts beyond each part's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Allowed in any window even without traffic.
    pub min_retries: f64,
    /// Allowed in addition for each query and part accepted in the window.
    pub retries_per_accepted: f64,
    /// Length of the window (seconds).
    pub window_s: f64,
}

/// The deployment of an aggregator.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes, in the order that queries name them.
    pub classes: Vec<ClassSettings>,
    /// Tenants, in the order that queries name them; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Weight of traffic beyond a tenant's quota, as a share of the usual weight.
    pub over_quota_weight: f64,
    /// Whether weight is counted in proportion to work rather than by query.
    pub weight_by_work: bool,
    /// Zone of this aggregator.
    pub zone: u8,
    /// How many aggregators there are.
    pub aggregators: u32,
    /// Number of cells; shard s is held by the replicas of `replication_factor` consecutive cells from s modulo this on.
    pub cells: u32,
    /// Consecutive cells that hold a shard.
    pub replication_factor: u32,
    /// Most parts that one call carries: those sent to one replica in one round share a call.
    pub max_call_parts: u32,
    /// Work that a call costs its replica in addition to that of its parts (seconds).
    pub call_work_s: f64,
    /// Shortest time between two rounds of events (seconds).
    pub tick_s: f64,
    /// Whether endpoint lists come only when polled.
    pub must_poll: bool,
    /// Where lists must be polled: the longest time without a poll (seconds).
    pub max_poll_interval_s: f64,
    /// Whether an attempt may be cancelled.
    pub can_cancel: bool,
    /// Whether replicas may get health checks.
    pub can_probe: bool,
    /// Whether a part may have two attempts in flight at once.
    pub can_hedge: bool,
    /// Longest Retry-After that clients follow (seconds); 0 where they get none.
    pub max_retry_after_s: f64,
    /// Most attempts for one part.
    pub max_attempts: u32,
    /// Budget of retries, where one is set.
    pub retry_budget: Option<RetryBudget>,
    /// Nothing may be sent to a draining replica later than this after the notification (seconds).
    pub drain_grace_s: f64,
    /// A replica starts at this share of its capacity or more.
    pub slow_start_min_capacity: f64,
    /// Length of a replica's slow start (seconds).
    pub slow_start_s: f64,
    /// A replica in slow start falls over at this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... sustained for this long (seconds).
    pub overload_window_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: vec![ClassSettings::default()],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            zone: 0,
            aggregators: 1,
            cells: 1,
            replication_factor: 1,
            max_call_parts: 1,
            call_work_s: 0.0,
            tick_s: 0.001,
            must_poll: false,
            max_poll_interval_s: 10.0,
            can_cancel: true,
            can_probe: false,
            can_hedge: true,
            max_retry_after_s: 0.0,
            max_attempts: 4,
            retry_budget: None,
            drain_grace_s: 0.25,
            slow_start_min_capacity: 0.2,
            slow_start_s: 15.0,
            overload_multiple: 2.0,
            overload_window_s: 2.0,
        }
    }
}

/// The state of a replica as the endpoint list has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Its process runs.
    #[default]
    Ready,
    /// It finishes its work; send nothing new.
    Draining,
    /// It has been removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaEntry {
    /// Which replica.
    pub id: ReplicaId,
    /// Its zone.
    pub zone: u8,
    /// Its cell, which determines its shards.
    pub cell: u32,
    /// Whether it runs, drains or is gone.
    pub lifecycle: Lifecycle,
    /// When it last started (0: long ago).
    pub started_at: f64,
    /// Whether it answers pre-checks.
    pub supports_pre_check: bool,
}

/// A query's first phase: the first attempt of each part is a pre-check, which asks whether anything there may match.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PreCheck {
    /// The class whose statistics these attempts count for; not that of the query.
    pub class: u16,
    /// When the phase ends: no pre-check is sent or waited for after that.
    pub until: f64,
}

/// A query that was accepted. Its parts follow as events of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NewQuery {
    /// Its id.
    pub id: QueryId,
    /// Its number at this aggregator, which its parts name.
    pub number: u32,
    /// Its class.
    pub class: u16,
    /// Its tenant; ignored where there are none.
    pub tenant: u32,
    /// When its client stops waiting for this try.
    pub deadline: f64,
    /// How many parts its first step has.
    pub parts: u32,
    /// Whether the client marked it as a repeat.
    pub is_repeat: bool,
    /// A key of what it is about; 0 where the deployment has no keys.
    pub key: u64,
    /// Its first phase, where it has one. Only idempotent classes may have one.
    pub pre_check: Option<PreCheck>,
}

/// A part of an accepted query.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NewPart {
    /// Its id.
    pub id: PartId,
    /// The number of its query.
    pub query_number: u32,
    /// The shard it reads.
    pub shard: u32,
    /// Its weight; those of a step add up to 1.
    pub weight: f64,
    /// Expected work (seconds), where known; rough.
    pub cost_hint_s: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Served. For a pre-check: nothing there matches, and that is the part's answer.
    Ok,
    /// The answer to a pre-check that something there may match: the part has no answer yet, and is sent in full.
    Matches,
    /// The replica gave an error; it may have run.
    Error,
    /// Rejected unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection in time; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent, since its end no longer mattered; it never ran.
    Superseded,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Its part.
    pub part: PartId,
    /// Its number: 0, 1, 2 ... in the order the part's attempts were sent.
    pub attempt: u8,
    /// The replica it went to.
    pub replica: ReplicaId,
    /// Time since it was sent (seconds).
    pub took_s: f64,
    /// How it ended.
    pub outcome: Outcome,
}

/// What happens to an aggregator.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A watch event from discovery: the complete endpoint list, or the entries that changed.
    List {
        /// Whether these are all the replicas there are.
        is_full: bool,
        /// The entries.
        entries: Arc<[ReplicaEntry]>,
    },
    /// A poll of the endpoint list failed, or the watch broke.
    ListFailed,
    /// The endpoint list may be acted on until then; before the first such event without end.
    ListLease {
        /// When nothing may be sent by it any more.
        until: f64,
    },
    /// A query was accepted.
    Query(NewQuery),
    /// One of its parts.
    Part(NewPart),
    /// An attempt ended. Every attempt ends exactly once.
    AttemptEnded(AttemptEnd),
    /// Other settings hold from now on. Open queries keep their class as it was, and at most their limit on attempts.
    Settings {
        /// The new settings.
        settings: Box<Settings>,
        /// For each class of the new settings, its former place; none for a new class.
        classes: Arc<[Option<usize>]>,
        /// For each tenant of the new settings, likewise.
        tenants: Arc<[Option<usize>]>,
    },
    /// What the process that this one takes over from still does.
    PredecessorLoad(PredecessorLoad),
    /// The client of a query has left.
    ClientDisconnected(QueryId),
    /// The caller has started, and nothing else may come before its timers: the periodic check begins.
    Start,
    /// A timer has expired.
    Timer(u64),
    /// A health check ended.
    Probed {
        /// Which replica.
        replica: ReplicaId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took (seconds).
        took_s: f64,
    },
}

/// What the caller has to do, in the order of the actions.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a part.
    Send {
        /// Which part.
        part: PartId,
        /// To which replica.
        replica: ReplicaId,
        /// Longest timeout (seconds).
        max_timeout_s: f64,
        /// Whether it is a pre-check.
        is_pre_check: bool,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Its part.
        part: PartId,
        /// Its number.
        attempt: u8,
    },
    /// Answer a query from the parts that are answered.
    Answer {
        /// Which query.
        query: QueryId,
        /// Whether the answer is complete.
        is_complete: bool,
    },
    /// Reject a query: asking again does no harm.
    Reject {
        /// Which query.
        query: QueryId,
        /// Retry-After (seconds); 0 for none.
        retry_after_s: f64,
    },
    /// Fail a query: parts of it may have run.
    Fail {
        /// Which query.
        query: QueryId,
    },
    /// Send `Event::Timer` with this token after some time.
    SetTimer {
        /// Comes back with the event.
        token: u64,
        /// From now (seconds).
        after_s: f64,
    },
    /// Send a health check to a replica.
    Probe {
        /// Which replica.
        replica: ReplicaId,
    },
    /// Close the idle connections to a replica.
    CloseIdle {
        /// Which replica.
        replica: ReplicaId,
    },
    /// Watch the endpoint list (missed changes come first).
    Watch,
    /// Write a line to the log.
    Log(String),
}

/// Attempts that the predecessor has in flight at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Which replica.
    pub replica: ReplicaId,
    /// How many attempts.
    pub attempts: u32,
}

/// An attempt that the predecessor sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentAttempt {
    /// Where it went.
    pub replica: ReplicaId,
    /// When it was sent.
    pub at: f64,
    /// Whether it was not the first attempt of its part.
    pub is_retry: bool,
}

/// What the process that this one takes over from still does.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PredecessorLoad {
    /// What it has in flight; nothing at replicas that are not named.
    pub in_flight: Vec<ReplicaLoad>,
    /// The attempts that it sent since its last report.
    pub sent: Vec<SentAttempt>,
}
