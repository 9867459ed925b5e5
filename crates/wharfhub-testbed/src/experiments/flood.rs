//! The `flood` experiment: one kind of peer at a time floods a real mixer, and the answers to other clients and the mixer's memory
//! show whether the work for that peer is bounded.

use super::{Options, Verdict};
use crate::flood::{self, FloodKind, FloodOptions, FloodOutcome};
use crate::report::Table;
use std::time::Duration;

/// Length of a flood in a quick and in a full run.
const QUICK_LENGTH: Duration = Duration::from_secs(2);
const FULL_LENGTH: Duration = Duration::from_secs(30);
/// Ending of a part's name that makes the mixer share its core with a busy process.
const HALF_CORE: &str = "half-core";
/// Name of the part that runs all kinds.
const ALL_KINDS: &str = "all";
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

fn row(kind: FloodKind, seconds: f64, outcome: &FloodOutcome) -> Vec<String> {
    let probes = outcome.probes;
    let megabytes = |bytes: u64| format!("{:.1}", bytes as f64 / BYTES_PER_MB);
    vec![
        kind.name(),
        format!("{:.0}", outcome.sent as f64 / seconds),
        probes.queries.to_string(),
        probes.in_time.to_string(),
        probes.served.to_string(),
        format!("{:.0}", probes.slowest_s * 1000.0),
        megabytes(outcome.early_bytes),
        megabytes(outcome.late_bytes),
        megabytes(outcome.max_bytes),
        format!("{:.2}", outcome.cpu_share),
    ]
}

/// Runs the experiment. The part is the name of a kind or `all`, and may be followed by `,half-core`.
pub fn run(options: &Options) -> Verdict {
    let part = options.part.as_deref().unwrap_or(ALL_KINDS);
    let (name, mode) = part.split_once(',').unwrap_or((part, ""));
    let length = if options.quick {
        QUICK_LENGTH
    } else {
        FULL_LENGTH
    };
    let flood_options = FloodOptions {
        length,
        half_core: mode == HALF_CORE,
    };
    let columns = [
        "flood",
        "sent a second",
        "queries of others",
        "in time",
        "served",
        "slowest ms",
        "memory MB, first third",
        "last third",
        "largest",
        "cores used",
    ];
    let mut table = Table::new(&columns);
    let mut shortfalls = Vec::new();
    for kind in FloodKind::ALL {
        if name != ALL_KINDS && name != kind.name() {
            continue;
        }
        let outcome = flood::run(kind, flood_options)?;
        table.add_row(row(kind, length.as_secs_f64(), &outcome));
        let missed = outcome.shortfalls();
        if !missed.is_empty() {
            shortfalls.push(format!("{}: {}", kind.name(), missed.join(", ")));
        }
    }
    print!("{}", table.text());
    table.save(&options.out.join("flood.csv"))?;
    Ok((!shortfalls.is_empty()).then(|| shortfalls.join("; ")))
}
