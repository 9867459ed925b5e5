//! The tail of 180 answers: what slow leaf servers do to the share of queries in time, and what hedged requests cost.
//!
//! One mixer at its planned rate in virtual time: 180 partitions with 29 holders each, 163 queries of 180 parts a second.
//! Nothing here depends on the machine. The mixer is told that it is alone, so it may send more copies than one of 860.

use super::data_path::{scenario_with_holders, PLANNED_HOLDERS};
use super::{parallel, Failure, Options, Verdict};
use crate::emulator;
use crate::report::Table;
use crate::site::{Fault, Scenario};
use crate::tally;

/// Slow leaf servers of 5,220: none, one, one in a thousand, one in a hundred. The quick run plays one in a thousand alone.
const SLOW_SERVERS: [u32; 4] = [0, 1, 5, 52];
/// A slow server takes so many times as long: far over the latency target.
const SLOW_FACTOR: f64 = 25.0;
/// Length of a scenario in the full and in the quick run (seconds).
const SECONDS: (f64, f64) = (10.0, 3.0);
/// So many of the queries have to be in time with hedged requests and one slow server in a thousand.
const MIN_IN_TIME: f64 = 0.99;
const JUDGED_SLOW_SERVERS: u32 = 5;

#[derive(Clone, Copy)]
struct Case {
    slow_servers: u32,
    hedging: bool,
}

fn scenario(options: &Options, case: Case) -> Scenario {
    let plain = scenario_with_holders(options.seed, PLANNED_HOLDERS);
    let mut site = plain.site.clone();
    site.attempts.1 = case.hedging;
    let slow_share = f64::from(case.slow_servers) / f64::from(plain.leaf_servers);
    let seconds = if options.quick { SECONDS.1 } else { SECONDS.0 };
    let faults = vec![(0.0, f64::MAX, Fault::SomeSlow(slow_share, SLOW_FACTOR))];
    Scenario {
        site,
        seconds,
        faults,
        is_ideal: false,
        ..plain
    }
}

/// Runs the experiment.
pub fn run(options: &Options) -> Verdict {
    let cases: Vec<Case> = SLOW_SERVERS
        .iter()
        .filter(|slow_servers| !options.quick || **slow_servers == JUDGED_SLOW_SERVERS)
        .flat_map(|slow_servers| {
            [true, false].map(|hedging| Case {
                slow_servers: *slow_servers,
                hedging,
            })
        })
        .collect();
    let scenarios: Vec<Scenario> = cases.iter().map(|case| scenario(options, *case)).collect();
    let runs = parallel(&scenarios, |scenario| {
        emulator::run(scenario).map_err(Failure::from)
    });
    let columns = [
        "slow of 5220",
        "second copies",
        "queries",
        "in time",
        "late",
        "not answered",
        "attempts a part",
    ];
    let mut table = Table::new(&columns);
    let mut short = Vec::new();
    for (case, run) in cases.iter().zip(runs) {
        let run = run?;
        let (late, unanswered) = run.tally.late_and_unanswered_shares();
        let in_time = 1.0 - late - unanswered;
        let parts = run.tally.requests[tally::TOTAL] * 180;
        table.row(vec![
            case.slow_servers.to_string(),
            if case.hedging { "on" } else { "off" }.into(),
            run.requests.to_string(),
            format!("{in_time:.4}"),
            format!("{late:.4}"),
            format!("{unanswered:.4}"),
            format!(
                "{:.4}",
                run.tally.attempts_sent as f64 / parts.max(1) as f64
            ),
        ]);
        short.extend(
            run.rules
                .violations
                .iter()
                .map(|what| format!("broken: {what}")),
        );
        if case.hedging && case.slow_servers == JUDGED_SLOW_SERVERS && in_time < MIN_IN_TIME {
            short.push(format!(
                "{in_time:.4} in time with one slow server in a thousand"
            ));
        }
    }
    print!("{}", table.text());
    table.save(&options.out.join("tail.csv"))?;
    Ok((!short.is_empty()).then(|| short.join("; ")))
}
