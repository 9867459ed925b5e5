//! Unit tests of table.rs.

use super::*;

/// Number of expired connections that were closed, and of iterations that this took.
struct Closing {
    iterations: usize,
    connections: usize,
}

/// Closes all expired connections, at most 1,000 in an iteration, and checks that their slots are at least `min_slot`.
fn close_expired(table: &mut IdleTable, now: f64, min_slot: u32) -> Closing {
    let mut closing = Closing {
        iterations: 0,
        connections: 0,
    };
    loop {
        let expired = table.expired(now, 1000);
        assert!(expired.len() <= 1000 && expired.iter().all(|slot| *slot >= min_slot));
        if expired.is_empty() {
            return closing;
        }
        expired.iter().for_each(|slot| table.closed(*slot, now));
        closing.connections += expired.len();
        closing.iterations += 1;
    }
}

/// 200,000 connections in virtual time: all become idle, all become readable within 100 ms, each is read once in order, and the
/// connections that stay idle are closed in the step in which they expire. Each iteration reads or closes a bounded number.
#[test]
fn two_hundred_thousand_connections_are_read_and_closed_in_bounded_iterations() {
    const COUNT: u32 = 200_000;
    let settings = IdleSettings {
        max_connections: 210_000,
        idle_s: 100.0,
        shares: vec![0.5],
        max_reads_per_iteration: 500,
        ..IdleSettings::default()
    };
    let mut table = IdleTable::new(settings);
    assert!(
        IdleTable::bytes_per_slot() <= 16,
        "{}",
        IdleTable::bytes_per_slot()
    );
    for number in 0..COUNT {
        let now = f64::from(number) * 1e-4;
        let slot = table.opened((number % 2) as usize, now);
        table.became_idle(slot, now);
    }
    assert_eq!(
        (table.capacity().open_count(), table.next_expiry()),
        (200_000, Some(101.0))
    );
    for slot in 0..COUNT {
        table.became_readable(slot, 30.0 + f64::from(slot) * 5e-7);
        table.became_readable(slot, 30.1);
    }
    let mut read = Vec::new();
    let mut iterations = 0;
    let mut now = 30.1;
    while table.readable_count() > 0 {
        let slots = table.take_reads(now, 0, 1000);
        assert!(slots.len() <= 500);
        slots.iter().for_each(|slot| table.became_idle(*slot, now));
        read.extend(slots);
        iterations += 1;
        now += 0.001;
    }
    assert_eq!((iterations, read), (400, (0..COUNT).collect::<Vec<_>>()));
    // Half of the connections become readable again later, so the other half expires first.
    (0..COUNT / 2).for_each(|slot| {
        table.became_readable(slot, 60.0);
    });
    while table.readable_count() > 0 {
        let slots = table.take_reads(60.0, 0, 1000);
        slots.iter().for_each(|slot| table.became_idle(*slot, 60.0));
    }
    let closing = close_expired(&mut table, 135.0, COUNT / 2);
    assert_eq!(closing.iterations, 100);
    assert_eq!(
        (
            closing.connections,
            table.capacity().open_count(),
            table.next_expiry()
        ),
        (100_000, 100_000, Some(161.0))
    );
    let again = table.opened(0, 140.0);
    assert!(again >= COUNT / 2, "a free slot must be reused");
}

/// Batches cover every connection that stays open.
#[test]
fn batches_cover_all_open_connections() {
    let mut table = IdleTable::new(IdleSettings::default());
    let slots: Vec<u32> = (0..1000).map(|_| table.opened(0, 1.0)).collect();
    slots
        .iter()
        .filter(|slot| *slot % 3 == 0)
        .for_each(|slot| table.closed(*slot, 1.0));
    let mut seen = Vec::new();
    let mut from = Some(0);
    while let Some(at) = from {
        let batch = table.batch(at, 64);
        assert!(batch.slots.len() <= 64);
        seen.extend(batch.slots);
        from = batch.next;
    }
    assert_eq!(
        seen,
        slots
            .into_iter()
            .filter(|slot| slot % 3 != 0)
            .collect::<Vec<_>>()
    );
}

/// The longest idle connection of a group is closed first. Busy and readable connections are not closed.
#[test]
fn the_longest_idle_connection_is_closed_first() {
    let mut table = IdleTable::new(IdleSettings {
        shares: vec![0.5],
        ..IdleSettings::default()
    });
    let [a, b, c] = [0, 0, 1].map(|group| table.opened(group, 1.0));
    assert_eq!(table.longest_idle(0), None, "all connections are busy");
    table.became_idle(b, 2.0);
    table.became_idle(a, 3.0);
    table.became_idle(c, 1.5);
    assert_eq!(
        (table.longest_idle(0), table.longest_idle(1)),
        (Some(b), Some(c))
    );
    table.became_readable(b, 4.0);
    assert_eq!(table.longest_idle(0), Some(a));
    table.closed(a, 5.0);
    table.closed(a, 5.0);
    assert_eq!(
        (
            table.longest_idle(0),
            table.capacity().open_count(),
            table.stage(a)
        ),
        (None, 2, Stage::Free)
    );
    assert_eq!(table.take_reads(5.0, 0, 10), [b]);
}
