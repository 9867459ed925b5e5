//! Tests of the times at which accepted settings are applied.

use super::*;
use crate::decisions::api::Effect;

/// Start of a process whose settings have been in force for long by the time 0 (seconds).
const LONG_AGO: f64 = -100.0;

/// A schedule and the settings in use.
struct Fixture {
    schedule: SettingsSchedule,
    current: Rc<Deployment>,
}

impl Fixture {
    fn new(current: DecodedSettings) -> Fixture {
        Fixture::started_at(LONG_AGO, current, false)
    }

    fn started_at(now: f64, current: DecodedSettings, has_store: bool) -> Fixture {
        Fixture {
            current: current.deployment.clone(),
            schedule: SettingsSchedule::new(now, current, has_store),
        }
    }

    /// Accepts settings, and returns the time at which they are applied.
    fn accept(&mut self, now: f64, settings: DecodedSettings) -> Option<f64> {
        let is_new = self.schedule.accept(now, settings, Origin::Signal);
        is_new.then(|| self.schedule.waiting.back().expect("waiting").apply_at)
    }

    /// Applies the first settings that are due, and returns the name of their first class.
    fn apply(&mut self, now: f64) -> Option<String> {
        self.current = self.schedule.take_due(now, &self.current)?.deployment;
        Some(self.current.classes[0].clone())
    }

    /// Applies all settings that are due, and returns the effect of the first class.
    fn effect(&mut self, now: f64) -> Effect {
        while self.apply(now).is_some() {}
        self.current.policy.classes[0].effect
    }
}

/// Returns settings with a single class of this name.
fn settings(class: &str) -> DecodedSettings {
    settings_with_effect(class, "retryable")
}

fn settings_with_effect(class: &str, effect: &str) -> DecodedSettings {
    let text = format!(
        "{{\"categories\": [{{\"name\": \"{class}\", \"aimS\": 0.1, \"giveUpS\": 0.5, \"effect\": \"{effect}\", \"worth\": 1}}]}}"
    );
    DecodedSettings::decode(&text).expect("the settings are valid")
}

/// Guards against settings that are applied by the timer of earlier ones, while clients still use the rules before them.
#[test]
fn each_settings_are_applied_one_second_after_their_own_acceptance() {
    let mut fixture = Fixture::new(settings("first"));
    assert_eq!(fixture.accept(5.0, settings("second")), Some(6.0));
    assert_eq!(fixture.accept(5.75, settings("third")), Some(6.75));
    assert_eq!(fixture.apply(5.99), None);
    assert_eq!(fixture.apply(6.0).as_deref(), Some("second"));
    assert_eq!(fixture.apply(6.74), None);
    assert_eq!(fixture.apply(6.75).as_deref(), Some("third"));
    assert_eq!(fixture.apply(9.0), None);
}

/// Guards against a return to the current settings that cancels the settings accepted before it, which clients use in between.
#[test]
fn a_return_to_the_current_settings_is_applied_after_the_settings_before_it() {
    let mut fixture = Fixture::new(settings("first"));
    fixture.accept(0.0, settings("second"));
    assert_eq!(fixture.accept(0.5, settings("first")), Some(1.5));
    assert_eq!(fixture.apply(1.0).as_deref(), Some("second"));
    assert_eq!(fixture.apply(1.5).as_deref(), Some("first"));
}

#[test]
fn settings_that_change_nothing_are_not_scheduled() {
    let mut fixture = Fixture::new(settings("first"));
    assert_eq!(fixture.accept(0.0, settings("first")), None);
    assert_eq!(fixture.accept(0.0, settings("second")), Some(1.0));
    assert_eq!(fixture.accept(0.5, settings("second")), None);
    assert_eq!(fixture.apply(1.0).as_deref(), Some("second"));
    assert_eq!(fixture.accept(1.1, settings("second")), None);
    assert_eq!(fixture.apply(9.0), None);
}

#[test]
fn settings_in_quick_succession_take_bounded_memory_and_the_last_ones_are_applied_last() {
    let mut fixture = Fixture::new(settings("first"));
    for number in 0..100 * MAX_WAITING {
        fixture.accept(0.0, settings(&format!("class-{number}")));
    }
    assert_eq!(fixture.schedule.waiting.len(), MAX_WAITING);
    let mut last = None;
    while let Some(class) = fixture.apply(1.0) {
        last = Some(class);
    }
    assert_eq!(last, Some(format!("class-{}", 100 * MAX_WAITING - 1)));
}

/// Guards against a part that is retried by new rules although its client still follows the old ones, which bind up to 1.2 s after
/// SIGHUP.
#[test]
fn a_class_that_becomes_idempotent_is_not_retried_until_all_clients_use_the_new_settings() {
    let mut fixture = Fixture::new(settings_with_effect("hold", "fragile"));
    fixture.accept(0.0, settings_with_effect("hold", "retryable"));
    assert_eq!(fixture.effect(1.0), Effect::NonIdempotent);
    assert!(fixture.current.is_effect_changing(0));
    assert_eq!(fixture.effect(1.2), Effect::NonIdempotent);
    assert_eq!(fixture.effect(1.25), Effect::Idempotent);
    assert!(!fixture.current.is_effect_changing(0));
}

/// The second settings return to the first effect, while some clients still use each of the others.
#[test]
fn restrictions_of_settings_in_quick_succession_end_each_by_its_own_time() {
    let mut fixture = Fixture::new(settings_with_effect("hold", "retryable"));
    fixture.accept(0.0, settings_with_effect("hold", "fragile"));
    fixture.accept(0.125, settings_with_effect("hold", "retryable"));
    assert_eq!(fixture.effect(1.0), Effect::NonIdempotent);
    assert_eq!(fixture.effect(1.125), Effect::NonIdempotent);
    assert_eq!(fixture.effect(1.25), Effect::NonIdempotent);
    assert_eq!(fixture.effect(1.375), Effect::Idempotent);
}

/// While an effect changes, a request without a key is formed by the former effect, unless that requires a key.
#[rstest::rstest]
#[case::key_no_longer_required("dedup", "retryable", Effect::Idempotent)]
#[case::no_longer_idempotent_with_key("dedup", "fragile", Effect::NonIdempotent)]
#[case::key_required("fragile", "dedup", Effect::NonIdempotent)]
#[case::no_longer_idempotent("retryable", "fragile", Effect::Idempotent)]
fn a_request_without_a_key_has_the_effect_that_its_client_can_have_meant(
    #[case] before: &str,
    #[case] after: &str,
    #[case] effect_without_key: Effect,
) {
    let mut fixture = Fixture::new(settings_with_effect("hold", before));
    let new = settings_with_effect("hold", after);
    let new_effect = new.deployment.policy.classes[0].effect;
    fixture.accept(0.0, new);
    assert_eq!(fixture.effect(1.0), Effect::NonIdempotent);
    let effect = fixture.current.effect_of_request_without_key(0);
    assert_eq!(effect, effect_without_key);
    assert_eq!(fixture.effect(1.25), new_effect);
    assert_eq!(fixture.current.effect_of_request_without_key(0), new_effect);
}

/// Guards against settings that were written while a process was down, and are treated as if they had just been written once it
/// reads them: their rules bind at once, and no part that may have run is retried while clients may follow either settings.
#[test]
fn settings_read_first_are_applied_at_once_and_without_repeats_for_a_time() {
    let mut fixture = Fixture::started_at(0.0, settings_with_effect("hold", "retryable"), true);
    assert_eq!(fixture.effect(0.0), Effect::NonIdempotent);
    assert!(fixture.current.is_store_unread());
    assert_eq!(fixture.effect(500.0), Effect::NonIdempotent);
    let stored = settings_with_effect("late", "retryable");
    assert!(fixture.schedule.accept(500.0, stored, Origin::Store));
    fixture.schedule.store_read(500.0);
    assert_eq!(fixture.effect(500.0), Effect::NonIdempotent);
    assert_eq!(fixture.current.classes, ["late"]);
    assert_eq!(fixture.effect(501.24), Effect::NonIdempotent);
    assert_eq!(fixture.schedule.next_change_at(500.0), Some(501.25));
    assert_eq!(fixture.effect(501.25), Effect::Idempotent);
}

/// Guards against a file that is applied at SIGHUP before the store was read, over the settings that the store has.
#[test]
fn settings_of_the_file_that_wait_are_not_applied_over_settings_read_first() {
    let mut fixture = Fixture::started_at(0.0, settings("first"), true);
    fixture.accept(0.0, settings("file"));
    fixture
        .schedule
        .accept(0.5, settings("stored"), Origin::Store);
    fixture.schedule.store_read(0.5);
    assert_eq!(fixture.apply(0.5).as_deref(), Some("stored"));
    fixture.apply(9.0);
    assert_eq!(fixture.current.classes, ["stored"]);
    assert_eq!(fixture.schedule.next_change_at(9.0), None);
}

/// The settings of a store that is lost may change unseen.
#[test]
fn nothing_is_repeated_from_the_loss_of_the_store_until_it_has_been_read_again() {
    let mut fixture = Fixture::started_at(0.0, settings_with_effect("hold", "retryable"), true);
    fixture.schedule.store_read(0.0);
    assert_eq!(fixture.effect(2.0), Effect::Idempotent);
    fixture.schedule.store_lost();
    assert_eq!(fixture.effect(4.0), Effect::NonIdempotent);
    fixture.schedule.store_read(9.0);
    assert_eq!(fixture.effect(9.0), Effect::NonIdempotent);
    assert_eq!(fixture.effect(10.25), Effect::Idempotent);
}

/// Guards against retries by the former settings after others follow a write to the store. A running process applies the write as
/// at SIGHUP, but others may follow it from the first moment.
#[test]
fn a_written_effect_restricts_retries_from_its_acceptance_until_all_clients_use_it() {
    let mut fixture = Fixture::new(settings_with_effect("hold", "retryable"));
    let written = settings_with_effect("hold", "dedup");
    assert!(fixture.schedule.accept(0.0, written, Origin::Store));
    assert_eq!(fixture.effect(0.0), Effect::NonIdempotent);
    assert_eq!(
        fixture.current.effect_of_request_without_key(0),
        Effect::Idempotent
    );
    assert_eq!(fixture.effect(1.0), Effect::NonIdempotent);
    assert_eq!(fixture.effect(1.25), Effect::IdempotentWithKey);
}

/// Returns settings with a class of effect dedup and these limits.
fn settings_with_limits(
    window_s: f64,
    attempts: u32,
    hedging: bool,
    floor: f64,
) -> DecodedSettings {
    let text = format!(
        r#"{{"categories": [{{"name": "hold", "aimS": 0.1, "giveUpS": 0.5, "effect": "dedup", "windowS": {window_s}, "worth": 1}}],
            "familyInfo": {{"floorByClass": [{floor}], "completeFrom": [{floor}]}},
            "permissions": {{"sendCap": {attempts}, "secondCopies": {hedging}}}}}"#
    );
    DecodedSettings::decode(&text).expect("the settings are valid")
}

/// Guards against limits that are exceeded while some clients follow the former settings and others the new ones.
#[rstest::rstest]
#[case::new_ones_stricter(
    settings_with_limits(2.0, 4, true, 0.5),
    settings_with_limits(1.0, 2, false, 0.75)
)]
#[case::former_ones_stricter(
    settings_with_limits(1.0, 2, false, 0.75),
    settings_with_limits(2.0, 4, true, 0.5)
)]
fn the_stricter_limits_hold_during_a_transition(
    #[case] former: DecodedSettings,
    #[case] new: DecodedSettings,
) {
    let mut fixture = Fixture::new(former);
    fixture.accept(0.0, new.clone());
    fixture.apply(1.0);
    let policy = &fixture.current.policy;
    let class = &policy.classes[0];
    assert_eq!((class.idempotency_window_s, policy.max_attempts), (1.0, 2));
    assert!(!policy.can_hedge);
    assert_eq!(
        (class.min_partial_share, class.complete_share),
        (0.75, 0.75)
    );
    fixture.apply(1.25);
    assert_eq!(fixture.current, new.deployment);
}

/// Settings that only make the process do less are used while the store is unread: classes, deadlines, the number of attempts.
#[test]
fn settings_without_repeats_keep_their_classes_and_their_number_of_attempts() {
    let settings = settings_with_limits(2.0, 4, true, 0.5);
    let mut fixture = Fixture::started_at(0.0, settings.clone(), true);
    assert_eq!(fixture.effect(0.0), Effect::NonIdempotent);
    let current = &fixture.current;
    assert!(!current.policy.can_hedge);
    assert_eq!(current.policy.max_attempts, 4);
    assert_eq!(current.classes, settings.deployment.classes);
    assert_eq!(current.declared_effects, [Effect::IdempotentWithKey]);
    assert!(current.forwards_any_key(0));
}

/// Guards against a successor that uses new settings while clients still follow the former ones: it applies each at the
/// predecessor's time, and ends each restriction at its time. The two processes share no clock.
#[test]
fn a_successor_applies_each_settings_and_ends_each_restriction_at_the_predecessors_time() {
    let mut former = Fixture::new(settings_with_effect("hold", "retryable"));
    former.accept(0.0, settings_with_effect("hold", "fragile"));
    former.accept(0.75, settings_with_effect("hold", "retryable"));
    assert_eq!(former.effect(1.0), Effect::NonIdempotent);
    let state = former.schedule.hand_over(1.0);
    let mut successor = Fixture::started_at(50.0, settings_with_effect("new", "retryable"), false);
    successor
        .schedule
        .inherit(51.0, &state)
        .expect("the settings are valid");
    assert_eq!(successor.effect(51.0), Effect::NonIdempotent);
    assert_eq!(successor.current.classes, ["hold"]);
    assert_eq!(successor.schedule.next_change_at(51.0), Some(51.25));
    assert_eq!(successor.effect(51.75), Effect::NonIdempotent);
    assert_eq!(successor.effect(51.99), Effect::NonIdempotent);
    assert_eq!(successor.effect(52.0), Effect::Idempotent);
    assert_eq!(successor.schedule.next_change_at(52.0), None);
}

#[test]
fn settings_of_a_predecessor_that_cannot_be_decoded_change_nothing() {
    let mut successor = Fixture::new(settings("own"));
    let mut state = Fixture::new(settings("former")).schedule.hand_over(0.0);
    state.latest = "{}".into();
    assert!(successor.schedule.inherit(0.0, &state).is_err());
    assert_eq!(successor.apply(9.0), None);
    assert_eq!(successor.current.classes, ["own"]);
}
