//! Tests of the handover's messages, which processes of two releases exchange.

use super::link::MAX_LINE_BYTES;
use super::messages::LoadMessage;
use super::*;
use crate::decisions::api::ReplicaId;
use crate::decisions::learned_state::{LearnedReplica, LearnedState, TenantQueries};
use miniserde::json;

/// The state is decoded to the encoded value, including the largest numbers.
#[test]
fn a_learned_state_survives_encoding_and_decoding() {
    let settings = br#"{"categories":[{"name":"a","aimS":1.0,"giveUpS":2.0}]}"#;
    let deployment = std::rc::Rc::new(crate::config::decode(settings).unwrap());
    let mut coordinator = crate::requests::coordinator::Coordinator::new(deployment, 1, 5.0);
    let entry = crate::decisions::api::ReplicaEntry {
        id: ReplicaId(3),
        started_at: 4.0,
        ..Default::default()
    };
    coordinator.update_endpoints(5.0, true, vec![entry], &mut Vec::new());
    let learned_state = coordinator.learned_state();
    assert_eq!(
        json::from_str::<LearnedState>(&json::to_string(&learned_state)).unwrap(),
        learned_state
    );
    assert_eq!(learned_state.replicas.len(), 1);
}

/// The state of a mixer with a whole fleet's servers fits into one line.
#[rstest::rstest]
#[case(1025)]
#[case(5300)]
#[case(10_000)]
fn the_state_of_a_fleet_fits_into_one_line(#[case] servers: u32) {
    let class = |number: u32| format!(r#"{{"name":"class-{number}","aimS":1.0,"giveUpS":2.0}}"#);
    let classes: Vec<String> = (0..10).map(class).collect();
    let settings = format!(r#"{{"categories":[{}]}}"#, classes.join(","));
    let deployment = std::rc::Rc::new(crate::config::decode(settings.as_bytes()).unwrap());
    let mut coordinator = crate::requests::coordinator::Coordinator::new(deployment, 1, 5.0);
    let lines = (0..servers).map(|number| {
        format!(r#"{{"id":"server-{number:08}","host_port":"10.200.200.200:18080","locality":"a","cell":{},"phase":"Ready"}}"#, number / 3)
    });
    let list = format!(r#"{{"members":[{}]}}"#, lines.collect::<Vec<_>>().join(","));
    let mut directory = crate::endpoints::directory::Directory::new(vec!["a".into()]);
    let list = directory.read(&json::from_str(&list).unwrap()).unwrap();
    coordinator.update_endpoints(1764633600.123456, true, list.entries, &mut Vec::new());
    let state = StateMessage {
        lease: None,
        discovery: None,
        list: directory.to_json(Some(1)),
        names: directory
            .ids()
            .map(|(name, id)| (id.0, name.clone()))
            .collect(),
        classes: coordinator.learned_class_names(),
        tenants: Vec::new(),
        learned_state: coordinator.learned_state(),
        load: LoadMessage {
            ids: Vec::new(),
            held: 0,
            clients: 0,
            replicas: 0,
            in_flight: Vec::new(),
            sent: Vec::new(),
        },
        phases: None,
        settings: None,
    };
    let text = json::to_string(&state);
    assert!(text.len() < MAX_LINE_BYTES / 2, "{} bytes", text.len());
    println!("{servers} servers: {} bytes", text.len());
}

/// A state message and a load message as written by release dade8db.
const STATE_OF_DADE8DB: &str =
    include_str!("../../../tests/compatibility/data/handover-state.json");
const LOAD_OF_DADE8DB: &str = include_str!("../../../tests/compatibility/data/handover-load.json");

/// An upgrade, or a rollback during one, passes the state between two releases.
#[test]
fn messages_of_the_former_release_are_decoded_and_encoded_unchanged() {
    let state: StateMessage = json::from_str(STATE_OF_DADE8DB).expect("state cannot be decoded");
    assert_eq!(json::to_string(&state), STATE_OF_DADE8DB.trim_end());
    let load: LoadMessage = json::from_str(LOAD_OF_DADE8DB).expect("load cannot be decoded");
    assert_eq!(json::to_string(&load), LOAD_OF_DADE8DB.trim_end());
}

/// Each value of the former release's state is decoded into its field.
#[test]
fn a_state_of_the_former_release_is_decoded_into_its_fields() {
    let state: StateMessage = json::from_str(STATE_OF_DADE8DB).expect("state cannot be decoded");
    check_replica(&state.learned_state.replicas[0]);
    check_statistics(&state.learned_state);
    let lease = state.lease.expect("state has no lease");
    assert_eq!(
        (lease.confirmed_age_s, lease.failed_call_age_s),
        (Some(101.25), Some(102.25))
    );
    assert_eq!((lease.began_age_s, lease.failed_calls), (103.25, 104));
    let missing = lease.missing_answer.expect("lease has no missing answer");
    assert_eq!((missing.age_s, missing.is_certain), (105.25, true));
    assert_eq!(
        (state.load.held, state.load.clients, state.load.replicas),
        (106, 107, 108)
    );
    assert_eq!(state.load.sent[1], ("s2".to_owned(), (111.25, false)));
}

/// Checks the values of a replica in the former release's state.
fn check_replica(learned: &LearnedReplica) {
    let known = &learned.statistics;
    let class = &known.classes[1];
    assert_eq!(learned.id, 1);
    assert_eq!(
        (
            known.started_at,
            known.relative_latency,
            known.failure_rate,
            known.last_answer_at
        ),
        (14.25, Some(15.25), 16.25, 17.25)
    );
    let delay = class.recent_delays[2];
    assert_eq!(
        (class.min_latency_s, (delay.at, delay.delay_s), class.price),
        (31.25, (36.25, 37.25), 38.25)
    );
    assert_eq!(
        (class.interval_started_at, class.last_answer_at),
        (39.25, 40.25)
    );
    assert_eq!(
        (
            class.ejection.failures,
            class.ejection.next_probe_at,
            class.ejection.probe_interval_s
        ),
        (41, Some(42.25), 43.25)
    );
    assert_eq!(
        (
            known.ejection.failures,
            known.ejection.next_probe_at,
            known.ejection.probe_interval_s
        ),
        (44, Some(45.25), 46.25)
    );
    assert_eq!(
        (known.lifecycle_changed_at, &known.sent_times),
        (47.25, &vec![48.25, 49.25])
    );
}

/// Checks the traffic statistics in the former release's state.
fn check_statistics(learned_state: &LearnedState) {
    let statistics = &learned_state.statistics;
    assert_eq!(
        (
            statistics.latencies[0].median_s,
            statistics.latencies[0].p95_s
        ),
        (1.25, 2.25)
    );
    assert_eq!(
        (
            &statistics.first_request_timeouts_s,
            &statistics.tenant_queries
        ),
        (
            &vec![5.25, 6.25],
            &vec![TenantQueries {
                count: 7.25,
                updated_at: 8.25
            }]
        )
    );
    assert_eq!(
        (&statistics.accepted_times, &statistics.retry_times),
        (&vec![9.25], &vec![10.25, 11.25])
    );
    assert_eq!(
        (&statistics.first_attempt_times, statistics.hedging_credit),
        (&vec![12.25], 13.25)
    );
}

/// The state of [`STATE_OF_DADE8DB`] with settings, as written since they are handed over.
const STATE_WITH_SETTINGS: &str =
    include_str!("../../../tests/compatibility/data/handover-state-settings.json");

/// Settings in the state are decoded and encoded unchanged; a release that knows none reads the other fields as before.
#[test]
fn settings_in_a_state_are_decoded_and_encoded_unchanged() {
    let state: StateMessage = json::from_str(STATE_WITH_SETTINGS).expect("state cannot be decoded");
    assert_eq!(json::to_string(&state), STATE_WITH_SETTINGS.trim_end());
    let settings = state.settings.as_ref().expect("state has no settings");
    assert!(settings.are_stored);
    assert_eq!(settings.file_age_s, 3.25);
    assert_eq!(settings.schedule.waiting[0].applied_in_s, 0.75);
    assert_eq!(settings.schedule.former[0].followed_for_s, 0.125);
    let without = StateMessage {
        settings: None,
        ..state
    };
    assert_eq!(json::to_string(&without), STATE_OF_DADE8DB.trim_end());
}
