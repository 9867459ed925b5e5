//! The interface of the decision module: settings, events, actions and ids.
//!
//! Times are seconds on the caller's clock, unless a field says otherwise.

use std::sync::Arc;

/// The id that the caller gave a query. Ids are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u32);

/// The id that the caller gave a part of a query. Ids are never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u32);

/// The id that the caller gave a replica, which is a leaf server that holds some shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);

/// The effect of executing a part more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// A part may be repeated any number of times.
    #[default]
    Idempotent,
    /// Replicas discard repeats within a window that starts with the first attempt that may have been executed.
    IdempotentWithKey,
    /// A part may be repeated only if no earlier attempt can have been executed.
    NonIdempotent,
}

/// The settings of one class of queries.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Latency up to which an answer has its full weight (seconds).
    pub latency_objective_s: f64,
    /// Time that a client waits for an answer, including its retries (seconds).
    pub deadline_s: f64,
    /// Weight of a complete answer within the latency objective.
    pub priority_weight: f64,
    /// Weight of an answer after the latency objective, as a share of its full weight.
    pub late_weight: f64,
    /// Effect of executing a part more than once.
    pub effect: Effect,
    /// Time for which replicas discard repeats of an idempotency key (seconds).
    pub idempotency_window_s: f64,
    /// Least answered share of the first step's weight at which the answer counts as complete.
    pub complete_share: f64,
    /// Least answered share of the weight at which a partial answer may be given.
    pub min_partial_share: f64,
    /// Weight of a partial answer, as a multiple of its share divided by `complete_share`.
    pub partial_weight: f64,
    /// Number of parts of the second step; 0 if the class has no second step.
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
    /// The tenant's share of the service.
    pub share: f64,
    /// The tenant's quota, in queries per second over all aggregators together.
    pub quota_per_s: f64,
}

/// The limit on attempts beyond the first attempt of each part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in any window, even without traffic.
    pub min_retries: f64,
    /// Retries allowed in addition, for each query and part accepted in the window.
    pub retries_per_accepted: f64,
    /// Length of the window (seconds).
    pub window_s: f64,
}

/// The settings of an aggregator.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes, in the order of the indices by which queries refer to them.
    pub classes: Vec<ClassSettings>,
    /// Tenants, in the order of the indices by which queries refer to them; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Weight of traffic beyond a tenant's quota, as a share of its usual weight.
    pub over_quota_weight: f64,
    /// True if weight is counted in proportion to work, false if it is counted by query.
    pub weight_by_work: bool,
    /// Zone of this aggregator.
    pub zone: u8,
    /// Number of aggregators that send to the same replicas.
    pub aggregators: u32,
    /// Number of cells. Shard `s` is held by the replicas of `replication_factor` consecutive cells, starting with cell `s`
    /// modulo this number.
    pub cells: u32,
    /// Number of consecutive cells that hold a shard.
    pub replication_factor: u32,
    /// Largest number of parts in one call. Parts that are sent to the same replica in the same round share a call.
    pub max_call_parts: u32,
    /// Work that a call costs its replica in addition to that of its parts (seconds).
    pub call_work_s: f64,
    /// Shortest time between two rounds of events (seconds).
    pub tick_s: f64,
    /// True if endpoint lists arrive only in response to polls.
    pub must_poll: bool,
    /// Longest time without a poll, where lists must be polled (seconds).
    pub max_poll_interval_s: f64,
    /// True if attempts may be cancelled.
    pub can_cancel: bool,
    /// True if replicas may receive health checks.
    pub can_probe: bool,
    /// True if a part may have two attempts in flight at once.
    pub can_hedge: bool,
    /// Longest Retry-After that clients follow (seconds); 0 if responses carry no Retry-After.
    pub max_retry_after_s: f64,
    /// Largest number of attempts of one part.
    pub max_attempts: u32,
    /// Retry budget; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Time after the notification of draining within which a replica may still receive parts (seconds).
    pub drain_grace_s: f64,
    /// Least share of its capacity that a replica has when its slow start begins.
    pub slow_start_min_capacity: f64,
    /// Length of a replica's slow start (seconds).
    pub slow_start_s: f64,
    /// Load at which a replica in slow start becomes overloaded, as a multiple of its present capacity.
    pub overload_multiple: f64,
    /// Time for which that load must last to overload the replica (seconds).
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

/// The state of a replica according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// The replica accepts new work.
    #[default]
    Ready,
    /// The replica finishes its work and must receive no new work.
    Draining,
    /// The replica is no longer part of the deployment.
    Removed,
}

/// Entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaEntry {
    /// Replica that the entry describes.
    pub id: ReplicaId,
    /// Zone of the replica.
    pub zone: u8,
    /// Cell of the replica, which determines its shards.
    pub cell: u32,
    /// State of the replica.
    pub lifecycle: Lifecycle,
    /// Start time of the replica's process; 0 if it started long ago.
    pub started_at: f64,
    /// True if the replica answers pre-checks.
    pub supports_pre_check: bool,
}

/// A query's first phase. The first attempt of each part is a pre-check, which asks whether anything in the shard may
/// match.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PreCheck {
    /// Class that pre-checks are counted for in the statistics; differs from the class of the query.
    pub class: u16,
    /// End of the phase. Pre-checks are neither sent nor waited for after this time.
    pub until: f64,
}

/// An accepted query. Its parts follow as separate events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NewQuery {
    /// Id of the query.
    pub id: QueryId,
    /// Number of the query at this aggregator, by which its parts refer to it.
    pub number: u32,
    /// Index of the query's class.
    pub class: u16,
    /// Index of the query's tenant; ignored in a deployment without tenants.
    pub tenant: u32,
    /// Time at which the client stops waiting for this request.
    pub deadline: f64,
    /// Number of parts of the first step.
    pub parts: u32,
    /// True if the client marked the query as a retry of an earlier request.
    pub is_repeat: bool,
    /// Key of the object that the query is about; 0 in a deployment without keys.
    pub key: u64,
    /// First phase of the query, if it has one. Only idempotent classes may have one.
    pub pre_check: Option<PreCheck>,
}

/// A part of an accepted query.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NewPart {
    /// Id of the part.
    pub id: PartId,
    /// Number of the query that the part belongs to.
    pub query_number: u32,
    /// Shard that the part reads.
    pub shard: u32,
    /// Weight of the part. The weights of a step add up to 1.
    pub weight: f64,
    /// Rough estimate of the work (seconds), if the client gave one.
    pub cost_hint_s: Option<f64>,
}

/// The result of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The replica served the part. For a pre-check: nothing in the shard matches, which is the part's answer.
    Ok,
    /// The replica answered a pre-check that something may match. The part has no answer yet and is sent again in full.
    Matches,
    /// The replica returned an error; the attempt may have been executed.
    Error,
    /// The replica rejected the attempt before executing it.
    Rejected,
    /// No answer arrived in time; the attempt may have been executed or may still be running.
    TimedOut,
    /// No connection was established in time; the attempt was not executed.
    ConnectFailed,
    /// The connection was reset; the attempt may have been executed.
    Reset,
    /// The attempt was cancelled; it may have been executed.
    Cancelled,
    /// The attempt was dropped before it was sent, because its result was no longer needed; it was not executed.
    Superseded,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Part that the attempt belongs to.
    pub part: PartId,
    /// Number of the attempt: 0, 1, 2 ... in the order in which the part's attempts were sent.
    pub attempt: u8,
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// Time from sending to the end of the attempt (seconds).
    pub took_s: f64,
    /// Result of the attempt.
    pub outcome: Outcome,
}

/// The input of an aggregator.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A watch event from discovery: the complete endpoint list, or the entries that changed.
    List {
        /// True if the entries are all the replicas that exist.
        is_full: bool,
        /// New or changed entries.
        entries: Arc<[ReplicaEntry]>,
    },
    /// A poll of the endpoint list failed, or the watch was interrupted.
    ListFailed,
    /// The endpoint list may be used until the given time. Before the first such event it may be used without limit.
    ListLease {
        /// Time from which no part may be sent based on the list.
        until: f64,
    },
    /// A query was accepted.
    Query(NewQuery),
    /// A part of an accepted query arrived.
    Part(NewPart),
    /// An attempt ended. Every attempt ends exactly once.
    AttemptEnded(AttemptEnd),
    /// New settings apply from now on. Open queries keep the former settings of their class, except that a lower limit on
    /// attempts applies to them too.
    Settings {
        /// The new settings.
        settings: Box<Settings>,
        /// Former index of each class of the new settings; `None` for a new class.
        classes: Arc<[Option<usize>]>,
        /// Former index of each tenant of the new settings; `None` for a new tenant.
        tenants: Arc<[Option<usize>]>,
    },
    /// The predecessor of this process reported the work that it still has in flight.
    PredecessorLoad(PredecessorLoad),
    /// The client of a query disconnected.
    ClientDisconnected(QueryId),
    /// The caller has started and sends timers from now on. The first event that an aggregator receives starts the periodic
    /// check.
    Start,
    /// A timer that was set by [`Action::SetTimer`] expired.
    Timer(u64),
    /// A health check ended.
    Probed {
        /// Replica that was checked.
        replica: ReplicaId,
        /// Result of the health check.
        outcome: Outcome,
        /// Duration of the health check (seconds).
        took_s: f64,
    },
}

/// The output of an aggregator: an action that the caller performs, in the order of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt of a part.
    Send {
        /// Part to send.
        part: PartId,
        /// Replica to send the part to.
        replica: ReplicaId,
        /// Longest timeout of the attempt (seconds).
        max_timeout_s: f64,
        /// True if the attempt is a pre-check.
        is_pre_check: bool,
    },
    /// Cancel an attempt.
    Cancel {
        /// Part that the attempt belongs to.
        part: PartId,
        /// Number of the attempt within its part.
        attempt: u8,
    },
    /// Answer a query from the parts that are answered.
    Answer {
        /// Query to answer.
        query: QueryId,
        /// True if the answer is complete.
        is_complete: bool,
    },
    /// Reject a query. The client may safely retry.
    Reject {
        /// Query to reject.
        query: QueryId,
        /// Retry-After (seconds); 0 for none.
        retry_after_s: f64,
    },
    /// Fail a query. Parts of it may have been executed.
    Fail {
        /// Query to fail.
        query: QueryId,
    },
    /// Send `Event::Timer` with this token after the given time.
    SetTimer {
        /// Token that the event returns.
        token: u64,
        /// Time until the event (seconds).
        after_s: f64,
    },
    /// Send a health check to a replica.
    Probe {
        /// Replica to check.
        replica: ReplicaId,
    },
    /// Close the idle connections to a replica.
    CloseIdle {
        /// Replica whose idle connections are closed.
        replica: ReplicaId,
    },
    /// Open a watch on the endpoint list, which first delivers the changes that were missed.
    Watch,
    /// Write a line to the log.
    Log(String),
}

/// The attempts that the predecessor has in flight at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Replica that the attempts were sent to.
    pub replica: ReplicaId,
    /// Number of attempts in flight.
    pub attempts: u32,
}

/// An attempt that the predecessor sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentAttempt {
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// Time at which the attempt was sent.
    pub at: f64,
    /// True if the attempt was not the first of its part.
    pub is_retry: bool,
}

/// The load that this process's predecessor still causes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PredecessorLoad {
    /// Attempts in flight by replica; replicas that are not listed have none.
    pub in_flight: Vec<ReplicaLoad>,
    /// Attempts sent since the last report.
    pub sent: Vec<SentAttempt>,
}
