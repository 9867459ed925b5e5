//! The six rules under adversarial streams of events with fixed seeds, over varied settings. The referee knows nothing of
//! the decision module; a test of its own shows it a breach of each rule, which it must see.

#[path = "../common/mod.rs"]
mod common;
mod referee;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use referee::{Attempt, End, Part, Query, Referee};
use wharfhub::decisions::api::*;

/// One step of a stream.
#[derive(Clone, Debug)]
enum Step {
    Query {
        class: u16,
        parts: u32,
        wait_ms: u32,
        repeat: bool,
    },
    End {
        pick: usize,
        outcome: usize,
    },
    Pass {
        ms: u32,
    },
    List {
        replica: u32,
        state: usize,
        fresh: bool,
    },
    Stall {
        ms: u32,
    },
    EndAgain {
        pick: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4u16, 1..7u32, 0..3000u32, any::<bool>())
            .prop_map(|(class, parts, wait_ms, repeat)| Step::Query { class, parts, wait_ms, repeat }),
        8 => (any::<usize>(), 0..16usize).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        4 => (1..200u32).prop_map(|ms| Step::Pass { ms }),
        1 => (1..7u32, 0..3usize, any::<bool>()).prop_map(|(replica, state, fresh)| Step::List { replica, state, fresh }),
        1 => (100..1000u32).prop_map(|ms| Step::Stall { ms }),
        1 => any::<usize>().prop_map(|pick| Step::EndAgain { pick }),
    ]
}

fn varied() -> impl Strategy<Value = Settings> {
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

struct Play {
    driver: Driver,
    referee: Referee,
    seen: usize,
    next: u32,
}

impl Play {
    fn watch(&mut self) {
        for at in self.seen..self.driver.actions.len() {
            self.referee
                .act(self.driver.action_times[at], &self.driver.actions[at]);
        }
        self.seen = self.driver.actions.len();
    }

    fn pass(&mut self, seconds: f64) {
        for _ in 0..(seconds / 0.005) as u32 {
            self.driver.advance(0.005);
            self.watch();
            self.second_steps();
        }
    }

    fn second_steps(&mut self) {
        let due: Vec<u32> = self
            .referee
            .queries
            .iter()
            .filter(|(_, q)| q.step == 1 && q.finals == 0 && q.step_parts.len() < q.expected)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let expected = self.referee.queries[&id].expected;
            for index in 0..expected {
                self.part(
                    id,
                    id * 100 + 50 + index as u32,
                    index as u32,
                    1.0 / expected as f64,
                );
            }
        }
    }

    fn part(&mut self, query: u32, part: u32, shard: u32, weight: f64) {
        self.referee.accepted.push(self.driver.now);
        self.referee.parts.insert(
            part,
            Part {
                query,
                weight,
                ..Part::default()
            },
        );
        self.referee
            .queries
            .get_mut(&query)
            .expect("held")
            .step_parts
            .push(part);
        self.driver.part(part, query, shard, weight);
        self.watch();
    }

    fn end(&mut self, part: u32, attempt: usize, outcome: Outcome) {
        let state = self.referee.parts.get_mut(&part).expect("held");
        let ended = &mut state.attempts[attempt];
        let never_ran = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Superseded
        );
        ended.end = Some(if never_ran {
            End::NeverRan
        } else {
            End::MayHaveRun
        });
        let Attempt {
            sent_at, replica, ..
        } = *ended;
        state.answered |= outcome == Outcome::Ok;
        self.driver.end_attempt(
            part,
            attempt as u8,
            replica,
            self.driver.now - sent_at,
            outcome,
        );
        self.watch();
        self.second_steps();
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Query {
                class,
                parts,
                wait_ms,
                repeat,
            } => self.query(*class, *parts, *wait_ms, *repeat),
            Step::End { pick, outcome } => self.end_one(*pick, *outcome),
            Step::Pass { ms } => self.pass(f64::from(*ms) / 1000.0),
            Step::Stall { ms } => self.stall(*ms),
            Step::List {
                replica: id,
                state,
                fresh,
            } => self.list(*id, *state, *fresh),
            Step::EndAgain { pick } => self.end_again(*pick),
        }
    }

    fn query(&mut self, class: u16, parts: u32, wait_ms: u32, repeat: bool) {
        self.next += 1;
        let id = self.next;
        let deadline = self.driver.now + f64::from(wait_ms) / 1000.0;
        self.referee.accepted.push(self.driver.now);
        let known = Query {
            deadline,
            class: usize::from(class),
            expected: parts as usize,
            ..Query::default()
        };
        self.referee.queries.insert(id, known);
        self.driver.event(Event::Query(NewQuery {
            id: QueryId(id),
            number: id,
            class,
            tenant: id % 3,
            deadline,
            parts,
            is_repeat: repeat,
            key: u64::from(id % 5),
            pre_check: None,
        }));
        self.watch();
        for index in 0..parts {
            self.part(id, id * 100 + index, index, 1.0 / f64::from(parts));
        }
    }

    /// Ends one of the attempts in flight.
    fn end_one(&mut self, pick: usize, outcome: usize) {
        let mut in_flight: Vec<(u32, usize)> = Vec::new();
        for (id, part) in &self.referee.parts {
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
        self.end(part, attempt, outcome);
    }

    /// Nothing is handled meanwhile; deadlines within the stall are not the module's to keep.
    fn stall(&mut self, ms: u32) {
        self.driver.now += f64::from(ms) / 1000.0;
        let now = self.driver.now;
        let queries = self.referee.queries.values_mut();
        for query in queries.filter(|query| query.finals == 0) {
            query.deadline = query.deadline.max(now);
        }
        self.pass(0.005);
    }

    fn list(&mut self, id: u32, state: usize, is_restart: bool) {
        let lifecycle = [Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed][state];
        let started_at = if is_restart { self.driver.now } else { 0.0 };
        let entry = ReplicaEntry {
            lifecycle,
            started_at,
            cell: id % self.referee.settings.cells,
            ..replica(id)
        };
        let now = self.driver.now;
        if lifecycle == Lifecycle::Ready {
            self.referee.not_ready_since.remove(&entry.id);
        } else {
            self.referee.not_ready_since.insert(entry.id, now);
        }
        if lifecycle == Lifecycle::Removed {
            self.referee.gone.insert(entry.id);
        } else {
            self.referee.gone.remove(&entry.id);
        }
        if is_restart {
            self.referee.starts.insert(entry.id, now);
        }
        self.driver.list(false, &[entry]);
        self.watch();
    }

    /// Reports the end of an answered attempt once more.
    fn end_again(&mut self, pick: usize) {
        let parts = self.referee.parts.iter();
        let answered: Vec<u32> = parts
            .filter(|(_, part)| part.answered)
            .map(|(id, _)| *id)
            .collect();
        if answered.is_empty() {
            return;
        }
        let part = answered[pick % answered.len()];
        self.driver
            .end_attempt(part, 0, ReplicaId(1), 0.1, Outcome::Ok);
        self.watch();
    }
}

#[test]
fn the_rules_hold_under_adversarial_streams() {
    let config = Config {
        cases: 120,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let streams = (varied(), proptest::collection::vec(step(), 1..150));
    let verdict = runner.run(&streams, |(settings, steps)| {
        let replicas: Vec<_> = (1..7)
            .map(|id| ReplicaEntry {
                cell: id % settings.cells,
                ..replica(id)
            })
            .collect();
        let driver = Driver::new(settings.clone(), &replicas);
        let mut play = Play {
            driver,
            referee: Referee::new(&settings),
            seen: 0,
            next: 0,
        };
        play.watch();
        steps.iter().for_each(|step| play.play(step));
        play.pass(3.5);
        let open = play
            .referee
            .queries
            .values()
            .filter(|query| query.finals != 1)
            .count();
        prop_assert_eq!(open, 0, "queries without exactly one final answer");
        prop_assert!(
            play.referee.breaches.is_empty(),
            "{:?}",
            play.referee.breaches
        );
        Ok(())
    });
    verdict.unwrap();
}

/// A class that is not idempotent and one that is, with no retries at all.
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

/// What the referee sees in these actions, with an open query of each class and one replica that started at `start`.
fn breaches_in(start: f64, is_draining: bool, actions: &[Action]) -> String {
    let mut referee = Referee::new(&strict_settings());
    for class in 0..2u32 {
        let query = Query {
            deadline: 1.0,
            class: class as usize,
            step_parts: vec![class],
            expected: 1,
            ..Query::default()
        };
        let part = Part {
            query: class,
            weight: 1.0,
            ..Part::default()
        };
        referee.queries.insert(class, query);
        referee.parts.insert(class, part);
    }
    referee.accepted.push(0.0);
    referee.starts.insert(ReplicaId(1), start);
    if is_draining {
        referee.not_ready_since.insert(ReplicaId(1), -1.0);
    }
    actions.iter().for_each(|action| referee.act(0.5, action));
    referee.breaches.join("; ")
}

/// Each check of the referee sees a breach that is made on purpose.
#[test]
fn the_referee_sees_each_breach() {
    let send = |part: u32| Action::Send {
        part: PartId(part),
        replica: ReplicaId(1),
        max_timeout_s: 1.0,
        is_pre_check: false,
    };
    let warm = -100.0;
    let seen = |actions: &[Action]| breaches_in(warm, false, actions);
    let fail = Action::Fail { query: QueryId(1) };
    let reject = Action::Reject {
        query: QueryId(0),
        retry_after_s: 0.0,
    };
    let answer = Action::Answer {
        query: QueryId(1),
        is_complete: true,
    };
    assert_eq!(seen(&[send(1), fail.clone()]), "");
    assert!(seen(&[fail.clone(), fail.clone()]).contains("lost"));
    assert!(seen(&[fail, send(1)]).contains("sent after its end"));
    assert!(seen(&[send(0), send(0)]).contains("effect: part"));
    assert!(seen(&[send(0), reject]).contains("rejected"));
    assert!(breaches_in(warm, true, &[send(1)]).contains("drain"));
    assert!(breaches_in(0.4, false, &[send(1)]).contains("slow start"));
    assert!(seen(&[answer]).contains("honest"));
    let twice = seen(&[send(1), send(1)]);
    assert!(
        twice.contains("budget") && twice.contains("attempts"),
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
