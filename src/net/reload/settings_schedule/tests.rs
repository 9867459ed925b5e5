//! Tests of the times at which accepted settings are applied.

use super::*;
use crate::config;

/// Returns settings with a single class of this name.
fn settings(class: &str) -> Deployment {
    let text = format!(
        "{{\"categories\": [{{\"name\": \"{class}\", \"aimS\": 0.1, \"giveUpS\": 0.5, \"worth\": 1}}]}}"
    );
    config::decode(text.as_bytes()).expect("the settings are valid")
}

/// Returns the class of the settings that are due.
fn due_class(schedule: &mut SettingsSchedule, now: f64) -> Option<String> {
    let deployment = schedule.take_due(now)?;
    Some(deployment.classes[0].clone())
}

/// Guards against settings that are applied by the timer of earlier ones, while clients still use the rules before them.
#[test]
fn each_settings_are_applied_one_second_after_their_own_acceptance() {
    let mut schedule = SettingsSchedule::default();
    let current = settings("first");
    assert_eq!(
        schedule.accept(5.0, settings("second"), &current),
        Some(6.0)
    );
    assert_eq!(
        schedule.accept(5.75, settings("third"), &current),
        Some(6.75)
    );
    assert_eq!(due_class(&mut schedule, 5.99), None);
    assert_eq!(due_class(&mut schedule, 6.0).as_deref(), Some("second"));
    assert_eq!(due_class(&mut schedule, 6.74), None);
    assert_eq!(due_class(&mut schedule, 6.75).as_deref(), Some("third"));
    assert_eq!(due_class(&mut schedule, 9.0), None);
}

/// Guards against a return to the current settings that cancels the settings accepted before it, which clients use in between.
#[test]
fn a_return_to_the_current_settings_is_applied_after_the_settings_before_it() {
    let mut schedule = SettingsSchedule::default();
    let current = settings("first");
    schedule.accept(0.0, settings("second"), &current);
    assert_eq!(schedule.accept(0.5, settings("first"), &current), Some(1.5));
    assert_eq!(due_class(&mut schedule, 1.0).as_deref(), Some("second"));
    assert_eq!(due_class(&mut schedule, 1.5).as_deref(), Some("first"));
}

#[test]
fn settings_that_change_nothing_are_not_scheduled() {
    let mut schedule = SettingsSchedule::default();
    let current = settings("first");
    assert_eq!(schedule.accept(0.0, settings("first"), &current), None);
    assert_eq!(
        schedule.accept(0.0, settings("second"), &current),
        Some(1.0)
    );
    assert_eq!(schedule.accept(0.5, settings("second"), &current), None);
    assert_eq!(due_class(&mut schedule, 1.0).as_deref(), Some("second"));
    assert_eq!(due_class(&mut schedule, 2.0), None);
}

#[test]
fn settings_in_quick_succession_take_bounded_memory_and_the_last_ones_are_applied_last() {
    let mut schedule = SettingsSchedule::default();
    let current = settings("first");
    for number in 0..100 * MAX_WAITING {
        schedule.accept(0.0, settings(&format!("class-{number}")), &current);
    }
    assert_eq!(schedule.waiting.len(), MAX_WAITING);
    let mut last = None;
    while let Some(class) = due_class(&mut schedule, 1.0) {
        last = Some(class);
    }
    assert_eq!(last, Some(format!("class-{}", 100 * MAX_WAITING - 1)));
}
