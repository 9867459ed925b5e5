//! The decision module of one mixer, which takes events and returns actions.
//!
//! [`Aggregator`] holds the state, dispatches events, runs the periodic check and exports the learned state for a successor
//! process. Queries are handled in `query_lifecycle.rs`, attempts in `attempts.rs`.

use crate::decisions::admission;
use crate::decisions::api::*;
use crate::decisions::congestion::Congestion;
use crate::decisions::crash_detection::CrashInducingQueries;
use crate::decisions::latency::{self, ServiceTimeEstimate};
use crate::decisions::learned_state::*;
use crate::decisions::outlier_detection::OutlierDetector;
use crate::decisions::price::{PriceIntervals, MAX_REJECTED_SHARE, MAX_TOKENS};
use crate::decisions::query::{Query, QueryTable, RequestFingerprint};
use crate::decisions::replica::Replica;
use crate::decisions::replica_table::ReplicaTable;
use crate::decisions::slow_start::SlowStartDraws;
use crate::decisions::time_window;
use crate::decisions::view::View;
use crate::endpoints::watch_schedule::WatchSchedule;

/// A periodic check that is late by more than this number of intervals was delayed by a pause of this process.
const MAX_CHECK_DELAY_INTERVALS: f64 = 8.0;
/// Number of periodic checks in the shortest latency objective.
const CHECKS_PER_OBJECTIVE: f64 = 100.0;
/// Upper limit of the latency objective from which the check interval is derived (seconds).
const MAX_CHECK_OBJECTIVE_S: f64 = 1.0;
/// Number of retry budget windows for which the times of acceptance and of retries are kept.
const RETAINED_BUDGET_WINDOWS: f64 = 2.0;
/// Token of the only timer.
const CHECK_TIMER: u64 = 1;

/// The decisions of one mixer. The documentation of the crate shows how to drive it.
pub struct Aggregator {
    pub(super) settings: Settings,
    pub(super) rng: oorandom::Rand64,
    pub(super) now: f64,
    next_check_at: f64,
    pub(super) check_interval_s: f64,
    pub(super) replicas: ReplicaTable,
    pub(super) queries: QueryTable,
    pub(crate) statistics: Statistics,
    pub(super) service_time: ServiceTimeEstimate,
    pub(super) outliers: OutlierDetector,
    pub(super) crash_inducing: CrashInducingQueries<RequestFingerprint>,
    pub(super) congestion: Congestion,
    pub(super) prices: PriceIntervals,
    slow_start_draws: SlowStartDraws,
    /// Time constant with which the statistics of one replica lose weight (seconds).
    decay_window_s: f64,
    /// Time for which the times of acceptance and of retries are kept (seconds).
    pub(super) retention_s: f64,
    /// Schedule of the polls of the endpoint list; `None` where lists arrive without polls.
    watch: Option<WatchSchedule>,
}

impl Aggregator {
    /// Creates an aggregator that has received no event; `seed` determines its random draws.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Self {
        let statistics = Statistics {
            latencies: settings.classes.iter().map(Latencies::initial).collect(),
            first_request_timeouts_s: vec![0.0; settings.classes.len()],
            tenant_queries: vec![TenantQueries::new(now); settings.tenants.len()],
            hedging_credit: f64::MAX,
            ..Statistics::default()
        };
        let watch = settings
            .must_poll
            .then(|| WatchSchedule::new(settings.aggregators, settings.max_poll_interval_s, now));
        Aggregator {
            rng: oorandom::Rand64::new(u128::from(seed)),
            now,
            next_check_at: f64::INFINITY,
            check_interval_s: check_interval_s(&settings),
            replicas: ReplicaTable::new(),
            queries: QueryTable::default(),
            statistics,
            service_time: ServiceTimeEstimate::default(),
            outliers: OutlierDetector::new(now),
            crash_inducing: CrashInducingQueries::new(now),
            congestion: Congestion::new(MAX_REJECTED_SHARE * MAX_TOKENS),
            prices: PriceIntervals::default(),
            slow_start_draws: SlowStartDraws::default(),
            decay_window_s: latency::MIN_DECAY_WINDOW_S,
            retention_s: retention_s(&settings),
            watch,
            settings,
        }
    }

    /// Returns the number of listed replicas that receive no new parts except probe requests: replicas that drain or are
    /// ejected for every class.
    pub fn unavailable_replicas(&self) -> usize {
        let is_ejected = |replica: &Replica| {
            (0..replica.statistics.classes.len()).all(|class| replica.is_ejected(class))
        };
        let is_unavailable = |replica: &Replica| match replica.entry.lifecycle {
            Lifecycle::Ready => is_ejected(replica),
            Lifecycle::Draining => true,
            Lifecycle::Removed => false,
        };
        let replicas = self.replicas.iter();
        replicas
            .filter(|(_, replica)| is_unavailable(replica))
            .count()
    }

    /// Returns the state that a successor needs so that both processes together respect the limits of one.
    pub fn learned_state(&self) -> LearnedState {
        let replicas = self.replicas.iter();
        LearnedState {
            replicas: replicas
                .map(|(id, replica)| LearnedReplica {
                    id: id.0,
                    statistics: replica.statistics.clone(),
                })
                .collect(),
            statistics: self.statistics.clone(),
        }
    }

    /// Takes over the state that a predecessor learned, except for replicas that have restarted since. `classes` and
    /// `tenants` give the index of each class and tenant of this process in the predecessor's settings.
    pub fn inherit(
        &mut self,
        learned_state: LearnedState,
        classes: &[Option<usize>],
        tenants: &[Option<usize>],
    ) {
        for learned in learned_state.replicas {
            if let Some(replica) = self.replicas.get_mut(ReplicaId(learned.id)) {
                inherit_replica(replica, learned.statistics, classes, self.now);
            }
        }
        let inherited = learned_state.statistics;
        let own_latencies = &self.statistics.latencies;
        let latencies = remap(classes, &inherited.latencies, |class| {
            own_latencies[class].clone()
        });
        let first_request_timeouts_s = remap(classes, &inherited.first_request_timeouts_s, |_| 0.0);
        let tenant_queries = remap(tenants, &inherited.tenant_queries, |_| {
            TenantQueries::new(self.now)
        });
        self.statistics = Statistics {
            latencies,
            first_request_timeouts_s,
            tenant_queries,
            ..inherited
        };
        self.reset_schedules();
    }

    /// Processes an event and appends the resulting actions to `out`, in the order in which they are to be performed.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        if now.is_finite() {
            self.now = self.now.max(now);
        }
        self.discount_process_pause();
        if matches!(event, Event::Query(_) | Event::Part(_)) {
            self.statistics.count_accepted(self.now, self.retention_s);
        }
        match event {
            Event::List { is_full, entries } => self.handle_list(is_full, &entries),
            Event::ListFailed => self.handle_list_failure(),
            Event::ListLease { until } => self.replicas.valid_until = until,
            Event::Query(query) => self.handle_query(query, out),
            Event::Part(part) => self.handle_part(part, out),
            Event::AttemptEnded(end) => self.handle_attempt_end(end, out),
            Event::Settings {
                settings,
                classes,
                tenants,
            } => self.handle_settings(*settings, &classes, &tenants),
            Event::PredecessorLoad(load) => self.handle_predecessor_load(&load),
            Event::ClientDisconnected(query) => self.end_query(query, out),
            Event::Timer(CHECK_TIMER) => self.check_all(out),
            Event::Start | Event::Timer(_) | Event::Probed { .. } => {}
        }
        if self.next_check_at.is_infinite() {
            self.check_all(out);
        }
    }

    /// Returns a read-only view of the state for the decision functions.
    pub(super) fn view(&self) -> View<'_> {
        View {
            settings: &self.settings,
            replicas: &self.replicas,
            queries: &self.queries,
            statistics: &self.statistics,
            service_time: &self.service_time,
            decay_window_s: self.decay_window_s,
            check_interval_s: self.check_interval_s,
            now: self.now,
        }
    }

    /// Subtracts a pause of this process from the age of everything in flight. Otherwise the pause would count as delay of
    /// the replicas, and prices would jump.
    fn discount_process_pause(&mut self) {
        let pause_s = (self.now - self.next_check_at).max(0.0);
        self.next_check_at += pause_s;
        if pause_s <= MAX_CHECK_DELAY_INTERVALS * self.check_interval_s {
            return;
        }
        self.queries.add_process_pause(pause_s);
        for (_, replica) in self.replicas.iter_mut() {
            for call in &mut replica.calls {
                call.waiting_since += pause_s;
            }
        }
    }

    /// Runs the periodic check of everything that depends on time: polls, prices, unresponsive replicas, overdue parts and
    /// due answers.
    fn check_all(&mut self, out: &mut Vec<Action>) {
        let watch = self.watch.as_mut();
        if watch.is_some_and(|watch| watch.take_due(self.now)) {
            out.push(Action::Watch);
        }
        self.update_prices();
        self.outliers.eject_unresponsive(
            &mut self.queries,
            &mut self.replicas,
            &self.settings,
            &self.statistics,
            &self.service_time,
            self.now,
        );
        let has_new_failure = self.outliers.take_new_failure();
        let queries = self.queries.open.iter();
        let due: Vec<QueryId> = queries
            .filter(|(_, query)| has_new_failure || !self.is_quiet(query))
            .map(|(id, _)| *id)
            .collect();
        for query in due {
            self.check_query(query, out);
        }
        self.next_check_at = self.now + self.check_interval_s;
        out.push(Action::SetTimer {
            token: CHECK_TIMER,
            after_s: self.check_interval_s,
        });
    }

    /// Returns whether the periodic check may skip a query.
    fn is_quiet(&self, query: &Query) -> bool {
        let Some(quiet) = query.quiet else {
            return false;
        };
        let view = self.view();
        let pre_check_overdue_s = query
            .pre_check
            .map_or(f64::MAX, |pre_check| view.overdue_s(pre_check.class.into()));
        let overdue_s = view.overdue_s(query.class).min(pre_check_overdue_s);
        self.now < quiet.until && self.now - quiet.oldest_sent_at < overdue_s
    }

    /// Updates the values that depend on time alone: the decay window, the random draws of the slow start and the prices.
    fn update_prices(&mut self) {
        self.decay_window_s =
            latency::decay_window_s(&self.statistics, self.replicas.listed_count(), self.now);
        self.slow_start_draws.redraw_due(
            &mut self.replicas,
            self.settings.overload_window_s,
            &mut self.rng,
            self.now,
        );
        self.prices
            .close_due(&mut self.replicas, &self.settings, self.now);
    }

    fn handle_list(&mut self, is_full: bool, entries: &[ReplicaEntry]) {
        self.replicas
            .update(is_full, entries, &self.settings, self.now);
        if let Some(watch) = &mut self.watch {
            watch.list_received(self.now, self.rng.rand_float());
        }
        self.reset_schedules();
    }

    fn handle_list_failure(&mut self) {
        if let Some(watch) = &mut self.watch {
            watch.call_failed(self.now, self.rng.rand_float());
        }
    }

    /// Rebuilds the schedules after the replicas or their statistics have changed.
    fn reset_schedules(&mut self) {
        self.outliers.count_change(true);
        self.slow_start_draws.reset(&self.replicas);
        self.prices.reset(&self.replicas, &self.settings);
    }

    /// Counts the predecessor's load as this process's own, for replica loads, the slow start and the retry budget.
    fn handle_predecessor_load(&mut self, load: &PredecessorLoad) {
        let window_start = self.now - self.settings.overload_window_s;
        for (id, replica) in self.replicas.iter_mut() {
            let in_flight = load.in_flight.iter().find(|at| at.replica == *id);
            replica.predecessor_in_flight = in_flight.map_or(0, |at| at.attempts);
            for sent in load.sent.iter().filter(|sent| sent.replica == *id) {
                time_window::add(&mut replica.statistics.sent_times, sent.at, window_start);
            }
        }
        for sent in &load.sent {
            self.statistics
                .count_attempt(sent.at, sent.is_retry, self.now, self.retention_s);
        }
    }

    /// Applies new settings and keeps the statistics. Classes that open queries or attempts refer to keep their settings;
    /// they are appended after the new classes.
    fn handle_settings(
        &mut self,
        settings: Settings,
        former_classes: &[Option<usize>],
        former_tenants: &[Option<usize>],
    ) {
        let referenced = self.queries.referenced_classes();
        let new_index = |class: usize| settings.classes.len() + referenced.range(..class).count();
        self.queries
            .remap_classes(new_index, settings.max_attempts as usize);
        let former_indices: Vec<Option<usize>> = former_classes
            .iter()
            .copied()
            .chain(referenced.iter().map(|class| Some(*class)))
            .collect();
        let kept = referenced
            .iter()
            .map(|class| self.settings.classes[*class].clone());
        let classes: Vec<ClassSettings> = settings.classes.iter().cloned().chain(kept).collect();
        self.remap_statistics(&classes, &former_indices, former_tenants);
        self.crash_inducing.clear_fingerprints();
        self.check_interval_s = check_interval_s(&settings);
        self.retention_s = retention_s(&settings);
        self.settings = Settings {
            classes,
            ..settings
        };
        // The assignment of shards to replicas may have changed.
        self.handle_list(false, &[]);
        for query in self.queries.open.values_mut() {
            query.progress.set_cells(self.settings.cells);
        }
    }

    fn remap_statistics(
        &mut self,
        classes: &[ClassSettings],
        former_classes: &[Option<usize>],
        former_tenants: &[Option<usize>],
    ) {
        let now = self.now;
        let statistics = &mut self.statistics;
        statistics.latencies = remap(former_classes, &statistics.latencies, |class| {
            Latencies::initial(&classes[class])
        });
        statistics.first_request_timeouts_s =
            remap(former_classes, &statistics.first_request_timeouts_s, |_| {
                0.0
            });
        for (_, replica) in self.replicas.iter_mut() {
            let by_class = &mut replica.statistics.classes;
            *by_class = remap(former_classes, by_class, |_| ClassStatistics::new(now));
        }
        statistics.tenant_queries = remap(former_tenants, &statistics.tenant_queries, |_| {
            TenantQueries::new(now)
        });
    }

    /// Returns the Retry-After of a query that is rejected at this price (seconds).
    pub(super) fn retry_after_s(&self, query: QueryId, price: f64) -> f64 {
        let class = self.queries.open.get(&query).map(|query| query.class);
        admission::retry_after_s(&self.settings, price, class)
    }
}

/// Takes over the statistics that a predecessor learned of a replica. The send times are kept even if the replica has
/// restarted, because they count for the slow start of the new process.
fn inherit_replica(
    replica: &mut Replica,
    inherited: ReplicaStatistics,
    classes: &[Option<usize>],
    now: f64,
) {
    if replica.entry.started_at > inherited.started_at {
        replica.statistics.sent_times = inherited.sent_times;
        return;
    }
    let own_change_at = replica.statistics.lifecycle_changed_at;
    replica.statistics = ReplicaStatistics {
        classes: remap(classes, &inherited.classes, |_| ClassStatistics::new(now)),
        lifecycle_changed_at: inherited.lifecycle_changed_at.min(own_change_at),
        ..inherited
    };
}

/// Returns the time between two periodic checks, at least the length of a round (seconds).
fn check_interval_s(settings: &Settings) -> f64 {
    let objectives = settings
        .classes
        .iter()
        .map(|class| class.latency_objective_s);
    let shortest_s = objectives.fold(MAX_CHECK_OBJECTIVE_S, f64::min);
    settings.tick_s.max(shortest_s / CHECKS_PER_OBJECTIVE)
}

/// Returns the time for which the times of acceptance and of retries are kept (seconds).
fn retention_s(settings: &Settings) -> f64 {
    let budget = settings.retry_budget;
    budget.map_or(SEND_RATE_WINDOW_S, |budget| {
        SEND_RATE_WINDOW_S.max(RETAINED_BUDGET_WINDOWS * budget.window_s)
    })
}
