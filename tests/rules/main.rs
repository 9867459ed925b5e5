//! Property tests of the six rules of the decision module: random sequences of events from a fixed seed, with varied settings.
//! The checker is independent of the module's code, and a test of its own passes it a violation of each rule.

mod checker;
#[path = "../common/mod.rs"]
mod common;

use checker::{Attempt, End, Part, Query, RuleChecker};
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use wharfhub::decisions::api::*;

/// Element of a generated sequence.
#[derive(Clone, Debug)]
enum Input {
    Query {
        class: u16,
        parts: u32,
        wait_ms: u32,
        is_repeat: bool,
    },
    End {
        pick: usize,
        outcome: usize,
    },
    Wait {
        ms: u32,
    },
    List {
        replica: u32,
        state: usize,
        is_restart: bool,
    },
    Pause {
        ms: u32,
    },
    EndAgain {
        pick: usize,
    },
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        4 => (0..4u16, 1..7u32, 0..3000u32, any::<bool>())
            .prop_map(|(class, parts, wait_ms, is_repeat)| Input::Query { class, parts, wait_ms, is_repeat }),
        8 => (any::<usize>(), 0..16usize).prop_map(|(pick, outcome)| Input::End { pick, outcome }),
        4 => (1..200u32).prop_map(|ms| Input::Wait { ms }),
        1 => (1..7u32, 0..3usize, any::<bool>()).prop_map(|(replica, state, is_restart)| Input::List { replica, state, is_restart }),
        1 => (100..1000u32).prop_map(|ms| Input::Pause { ms }),
        1 => any::<usize>().prop_map(|pick| Input::EndAgain { pick }),
    ]
}

fn varied_settings() -> impl Strategy<Value = Settings> {
    (any::<bool>(), any::<bool>(), any::<bool>(), 1..3u32).prop_map(
        |(hedging, retry_budget, cancel, cells)| {
            let base = ClassSettings {
                latency_objective_s: 0.5,
                deadline_s: 3.0,
                late_weight: 0.3,
                ..ClassSettings::default()
            };
            let steps = ClassSettings {
                min_partial_share: 0.4,
                second_step_parts: 2,
                late_weight: 0.0,
                ..base.clone()
            };
            let keyed = ClassSettings {
                effect: Effect::IdempotentWithKey,
                idempotency_window_s: 0.2,
                complete_share: 0.67,
                min_partial_share: 0.67,
                ..base.clone()
            };
            let non_idempotent = ClassSettings {
                effect: Effect::NonIdempotent,
                ..base.clone()
            };
            Settings {
                classes: vec![base, steps, keyed, non_idempotent],
                tick_s: 0.005,
                can_hedge: hedging,
                retry_budget: retry_budget.then_some(RetryBudget {
                    min_retries: 3.0,
                    retries_per_accepted: 0.1,
                    window_s: 2.0,
                }),
                can_cancel: cancel,
                cells,
                replication_factor: 1,
                tenants: vec![
                    TenantSettings {
                        share: 0.5,
                        quota_per_s: 1.0
                    };
                    2
                ],
                over_quota_weight: 0.1,
                max_call_parts: 1 + cells,
                call_work_s: 0.05,
                max_retry_after_s: 1.0,
                ..Settings::default()
            }
        },
    )
}

/// A run of the decision module under the checker.
struct Run {
    driver: Driver,
    checker: RuleChecker,
    checked_actions: usize,
    last_query: u32,
}

impl Run {
    fn check_actions(&mut self) {
        for index in self.checked_actions..self.driver.actions.len() {
            self.checker
                .check_action(self.driver.action_times[index], &self.driver.actions[index]);
        }
        self.checked_actions = self.driver.actions.len();
    }

    fn advance(&mut self, seconds: f64) {
        for _ in 0..(seconds / 0.005) as u32 {
            self.driver.advance(0.005);
            self.check_actions();
            self.send_second_steps();
        }
    }

    fn send_second_steps(&mut self) {
        let due: Vec<u32> = self
            .checker
            .queries
            .iter()
            .filter(|(_, q)| {
                q.step == 1 && q.final_answers == 0 && q.parts_of_step.len() < q.expected_parts
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let expected_parts = self.checker.queries[&id].expected_parts;
            for index in 0..expected_parts {
                self.add_part(
                    id,
                    id * 100 + 50 + index as u32,
                    index as u32,
                    1.0 / expected_parts as f64,
                );
            }
        }
    }

    fn add_part(&mut self, query: u32, part: u32, shard: u32, weight: f64) {
        self.checker.accepted_times.push(self.driver.now);
        self.checker.parts.insert(
            part,
            Part {
                query,
                weight,
                ..Part::default()
            },
        );
        self.checker
            .queries
            .get_mut(&query)
            .expect("the query is recorded")
            .parts_of_step
            .push(part);
        self.driver.part(part, query, shard, weight);
        self.check_actions();
    }

    fn end_attempt(&mut self, part: u32, attempt: usize, outcome: Outcome) {
        let state = self
            .checker
            .parts
            .get_mut(&part)
            .expect("the part is recorded");
        let ended = &mut state.attempts[attempt];
        let was_not_executed = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Superseded
        );
        ended.end = Some(if was_not_executed {
            End::NotExecuted
        } else {
            End::MayBeExecuted
        });
        let Attempt {
            sent_at, replica, ..
        } = *ended;
        state.is_answered |= outcome == Outcome::Ok;
        self.driver.end_attempt(
            part,
            attempt as u8,
            replica,
            self.driver.now - sent_at,
            outcome,
        );
        self.check_actions();
        self.send_second_steps();
    }

    fn apply(&mut self, input: &Input) {
        match input {
            Input::Query {
                class,
                parts,
                wait_ms,
                is_repeat,
            } => self.add_query(*class, *parts, *wait_ms, *is_repeat),
            Input::End { pick, outcome } => self.end_picked_attempt(*pick, *outcome),
            Input::Wait { ms } => self.advance(f64::from(*ms) / 1000.0),
            Input::Pause { ms } => self.pause(*ms),
            Input::List {
                replica: id,
                state,
                is_restart,
            } => self.update_list(*id, *state, *is_restart),
            Input::EndAgain { pick } => self.end_first_attempt_again(*pick),
        }
    }

    fn add_query(&mut self, class: u16, parts: u32, wait_ms: u32, is_repeat: bool) {
        self.last_query += 1;
        let id = self.last_query;
        let deadline = self.driver.now + f64::from(wait_ms) / 1000.0;
        self.checker.accepted_times.push(self.driver.now);
        let state = Query {
            deadline,
            class: usize::from(class),
            expected_parts: parts as usize,
            ..Query::default()
        };
        self.checker.queries.insert(id, state);
        self.driver.event(Event::Query(NewQuery {
            id: QueryId(id),
            number: id,
            class,
            tenant: id % 3,
            deadline,
            parts,
            is_repeat,
            key: u64::from(id % 5),
            pre_check: None,
        }));
        self.check_actions();
        for index in 0..parts {
            self.add_part(id, id * 100 + index, index, 1.0 / f64::from(parts));
        }
    }

    /// Ends one of the attempts in flight, if there are any.
    fn end_picked_attempt(&mut self, pick: usize, outcome: usize) {
        let mut in_flight: Vec<(u32, usize)> = Vec::new();
        for (id, part) in &self.checker.parts {
            let attempts = part.attempts.iter().enumerate();
            let of_part = attempts.filter(|(_, attempt)| attempt.is_in_flight());
            in_flight.extend(of_part.map(|(number, _)| (*id, number)));
        }
        if in_flight.is_empty() {
            return;
        }
        let (part, attempt) = in_flight[pick % in_flight.len()];
        let outcomes = [
            Outcome::Error,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::Superseded,
        ];
        let outcome = outcomes.get(outcome).copied().unwrap_or(Outcome::Ok);
        self.end_attempt(part, attempt, outcome);
    }

    /// Lets time pass without any event, like a pause of the process. Deadlines within the pause can't be met by the module and
    /// are moved to its end.
    fn pause(&mut self, ms: u32) {
        self.driver.now += f64::from(ms) / 1000.0;
        let now = self.driver.now;
        let queries = self.checker.queries.values_mut();
        for query in queries.filter(|query| query.final_answers == 0) {
            query.deadline = query.deadline.max(now);
        }
        self.advance(0.005);
    }

    fn update_list(&mut self, id: u32, state: usize, is_restart: bool) {
        let lifecycle = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed][state];
        let started_at = if is_restart { self.driver.now } else { 0.0 };
        let entry = ReplicaEntry {
            lifecycle,
            started_at,
            cell: id % self.checker.settings.cells,
            ..replica(id)
        };
        let now = self.driver.now;
        if lifecycle == Lifecycle::Ready {
            self.checker.not_ready_since.remove(&entry.id);
        } else {
            self.checker.not_ready_since.insert(entry.id, now);
        }
        if lifecycle == Lifecycle::Removed {
            self.checker.removed.insert(entry.id);
        } else {
            self.checker.removed.remove(&entry.id);
        }
        if is_restart {
            self.checker.started_at.insert(entry.id, now);
        }
        self.driver.list(false, &[entry]);
        self.check_actions();
    }

    /// Reports an end of the first attempt of an answered part, usually for the second time.
    fn end_first_attempt_again(&mut self, pick: usize) {
        let parts = self.checker.parts.iter();
        let answered: Vec<u32> = parts
            .filter(|(_, part)| part.is_answered)
            .map(|(id, _)| *id)
            .collect();
        if answered.is_empty() {
            return;
        }
        let part = answered[pick % answered.len()];
        self.driver
            .end_attempt(part, 0, ReplicaId(1), 0.1, Outcome::Ok);
        self.check_actions();
    }
}

#[test]
fn the_rules_hold_under_adversarial_sequences_of_events() {
    let config = Config {
        cases: 120,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let sequences = (
        varied_settings(),
        proptest::collection::vec(input(), 1..150),
    );
    let result = runner.run(&sequences, |(settings, inputs)| {
        let replicas: Vec<_> = (1..7)
            .map(|id| ReplicaEntry {
                cell: id % settings.cells,
                ..replica(id)
            })
            .collect();
        let driver = Driver::new(settings.clone(), &replicas);
        let mut run = Run {
            driver,
            checker: RuleChecker::new(&settings),
            checked_actions: 0,
            last_query: 0,
        };
        run.check_actions();
        inputs.iter().for_each(|input| run.apply(input));
        run.advance(3.5);
        let open = run
            .checker
            .queries
            .values()
            .filter(|query| query.final_answers != 1)
            .count();
        prop_assert_eq!(open, 0, "queries without exactly one final answer");
        prop_assert!(
            run.checker.violations.is_empty(),
            "{:?}",
            run.checker.violations
        );
        Ok(())
    });
    result.unwrap();
}

/// Returns settings with a class that is not idempotent and one that is, and without any retries.
fn strict_settings() -> Settings {
    let non_idempotent = ClassSettings {
        effect: Effect::NonIdempotent,
        ..class()
    };
    Settings {
        classes: vec![non_idempotent, class()],
        can_hedge: false,
        max_attempts: 1,
        retry_budget: Some(RetryBudget {
            min_retries: 0.0,
            retries_per_accepted: 0.0,
            window_s: 2.0,
        }),
        ..Settings::default()
    }
}

/// Returns the violations that the checker finds in these actions. There is an open query of each class, and one replica, which
/// started at `started_at`.
fn violations_in(started_at: f64, is_draining: bool, actions: &[Action]) -> String {
    let mut checker = RuleChecker::new(&strict_settings());
    for class in 0..2u32 {
        let query = Query {
            deadline: 1.0,
            class: class as usize,
            parts_of_step: vec![class],
            expected_parts: 1,
            ..Query::default()
        };
        let part = Part {
            query: class,
            weight: 1.0,
            ..Part::default()
        };
        checker.queries.insert(class, query);
        checker.parts.insert(class, part);
    }
    checker.accepted_times.push(0.0);
    checker.started_at.insert(ReplicaId(1), started_at);
    if is_draining {
        checker.not_ready_since.insert(ReplicaId(1), -1.0);
    }
    actions
        .iter()
        .for_each(|action| checker.check_action(0.5, action));
    checker.violations.join("; ")
}

/// Without this test, a checker that reports nothing would let the property test pass.
#[test]
fn the_checker_reports_a_violation_of_each_rule() {
    let send = |part: u32| Action::Send {
        part: PartId(part),
        replica: ReplicaId(1),
        max_timeout_s: 1.0,
        is_pre_check: false,
    };
    let long_ago = -100.0;
    let violations = |actions: &[Action]| violations_in(long_ago, false, actions);
    let fail = Action::Fail { query: QueryId(1) };
    let reject = Action::Reject {
        query: QueryId(0),
        retry_after_s: 0.0,
    };
    let answer = Action::Answer {
        query: QueryId(1),
        is_complete: true,
    };
    assert_eq!(violations(&[send(1), fail.clone()]), "");
    assert!(
        violations(&[fail.clone(), fail.clone()]).contains("final answer: query 1 ended 2 times")
    );
    assert!(violations(&[fail, send(1)]).contains("sent after the end"));
    assert!(violations(&[send(0), send(0)]).contains("effect: part"));
    assert!(violations(&[send(0), reject]).contains("effect: query rejected"));
    assert!(violations_in(long_ago, true, &[send(1)]).contains("drain"));
    assert!(violations_in(0.4, false, &[send(1)]).contains("slow start"));
    assert!(violations(&[answer]).contains("completeness"));
    let twice = violations(&[send(1), send(1)]);
    assert!(
        twice.contains("retry budget") && twice.contains("attempts"),
        "{twice}"
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut driver = Driver::new(settings(class()), &[replica(1), replica(2), replica(3)]);
        for id in 1..80 {
            driver.round_trip(id, id % 5, 0.02 * f64::from(id % 17));
        }
        driver.actions
    };
    assert_eq!(run(), run());
}
