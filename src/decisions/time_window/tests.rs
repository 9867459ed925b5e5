//! Tests of the count of times within a window, and of the order in which keys are due.

use super::*;

/// All times within the window are counted, regardless of the order in which times are added and of the old times that are dropped.
#[test]
fn all_times_within_the_window_are_counted() {
    let (mut times, mut all) = (Vec::new(), Vec::new());
    for step in 0..5000u32 {
        let at = f64::from(step) * 0.01 - f64::from(step % 7) * 0.003;
        add(&mut times, at, at - 1.5);
        all.push(at);
        let expected = all.iter().filter(|other| **other > at - 1.4).count();
        assert_eq!(count_since(&times, at - 1.4), expected);
        assert!(times.len() < 200, "{} times are kept", times.len());
    }
}

fn take_due(schedule: &mut Schedule<char>, now: f64) -> Vec<(f64, char)> {
    let due = schedule.take_due(now).into_iter();
    due.map(|due| (due.at, due.key)).collect()
}

#[test]
fn due_entries_are_returned_in_the_order_of_their_keys() {
    let mut schedule = Schedule::default();
    [(3.0, 'c'), (1.0, 'b'), (1.5, 'a')]
        .into_iter()
        .for_each(|(at, key)| schedule.put(at, key));
    schedule.put(0.5, 'c'); // earlier; the entry at 3.0 is out of date and is returned too
    schedule.put(1.5004, 'd'); // in the same millisecond, but not due yet
    assert_eq!(
        take_due(&mut schedule, 1.5),
        [(1.5, 'a'), (1.0, 'b'), (0.5, 'c')]
    );
    assert_eq!(take_due(&mut schedule, 2.0), [(1.5004, 'd')]);
    assert_eq!(take_due(&mut schedule, 100.0), [(3.0, 'c')]);
    assert!(take_due(&mut schedule, 1000.0).is_empty());
}
