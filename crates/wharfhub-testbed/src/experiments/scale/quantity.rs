//! Quantities of a measured point that the scale experiment fits by mixers, servers and changes per second.

use crate::fleet::bench::Point;

/// Function that calculates a figure of a point.
pub(super) type FigureOf = fn(&Point) -> f64;

/// Quantity to which a line is fitted.
pub(super) struct Quantity {
    /// Component that has the cost: mixers, discovery or the fleet.
    pub(super) role: &'static str,
    /// Name with the unit.
    pub(super) name: &'static str,
    /// Set for counts, which do not depend on the load of the machine.
    pub(super) is_count: bool,
    /// Function that calculates the quantity.
    pub(super) of: FigureOf,
}

const fn counted(role: &'static str, name: &'static str, of: FigureOf) -> Quantity {
    Quantity {
        role,
        name,
        is_count: true,
        of,
    }
}

const fn timed(role: &'static str, name: &'static str, of: FigureOf) -> Quantity {
    Quantity {
        role,
        name,
        is_count: false,
        of,
    }
}

pub(super) fn changes(point: &Point) -> f64 {
    f64::from(point.load.changes)
}

pub(super) fn mixers(point: &Point) -> f64 {
    f64::from(point.load.mixers)
}

/// Returns the planned length of the period with changes (seconds).
pub(super) fn change_period_s(point: &Point) -> f64 {
    changes(point) / point.load.changes_per_s
}

/// Returns the messages that changes cause: for each answer with changes, the answer and the next call of the mixer. Renewals of
/// timed out watches are not counted.
pub(super) fn change_messages(point: &Point) -> f64 {
    2.0 * point.change.change_answers as f64
}

pub(super) fn complete_list_bytes(point: &Point) -> f64 {
    point.start.bytes_out as f64 / point.start.complete_lists.max(1) as f64
}

pub(super) fn change_bytes(point: &Point) -> f64 {
    let call_bytes = point.change.bytes_in as f64 / point.change.calls.max(1) as f64;
    point.change.change_bytes as f64 + point.change.change_answers as f64 * call_bytes
}

pub(super) const BY_MIXERS: [Quantity; 8] = [
    timed("mixers", "memory, all (MB)", |point| {
        point.memory_bytes / 1e6
    }),
    timed("mixers", "CPU for a change, all (ms)", |point| {
        point.change_cpu_s * 1e3
    }),
    timed("mixers", "idle CPU, all (cores)", |point| point.idle_cores),
    counted("discovery", "messages for a change", |point| {
        change_messages(point) / changes(point)
    }),
    counted("discovery", "bytes for a change", |point| {
        change_bytes(point) / changes(point)
    }),
    counted("discovery", "bytes at the start (MB)", |point| {
        point.start.bytes_out as f64 / 1e6
    }),
    timed("discovery", "CPU for a change (ms)", |point| {
        point.discovery_change_cpu_s * 1e3
    }),
    timed("fleet", "change in force, median (ms)", |point| {
        point.propagation.median_s * 1e3
    }),
];

pub(super) const BY_SERVERS: [Quantity; 6] = [
    timed("mixers", "memory, each (MB)", |point| {
        point.memory_bytes / mixers(point) / 1e6
    }),
    timed("mixers", "CPU for a change, each (ms)", |point| {
        point.change_cpu_s / mixers(point) * 1e3
    }),
    timed("mixers", "CPU to take the list, each (ms)", |point| {
        point.start_cpu_s / mixers(point) * 1e3
    }),
    timed("mixers", "idle CPU, each (% of a core)", |point| {
        point.idle_cores / mixers(point) * 100.0
    }),
    counted("discovery", "bytes of the whole list (kB)", |point| {
        complete_list_bytes(point) / 1e3
    }),
    timed("fleet", "change in force, median (ms)", |point| {
        point.propagation.median_s * 1e3
    }),
];

pub(super) const BY_RATE: [Quantity; 4] = [
    timed("mixers", "CPU for changes, each (% of a core)", |point| {
        let answers_per_s =
            point.change.change_answers as f64 / mixers(point) / change_period_s(point);
        point.change_cpu_s * answers_per_s / mixers(point) * 100.0
    }),
    counted("mixers", "messages a second, each", |point| {
        change_messages(point) / change_period_s(point) / mixers(point)
    }),
    counted("mixers", "bytes a second, each", |point| {
        change_bytes(point) / change_period_s(point) / mixers(point)
    }),
    timed("discovery", "CPU for changes (% of a core)", |point| {
        point.discovery_change_cpu_s * point.load.changes_per_s * 100.0
    }),
];
