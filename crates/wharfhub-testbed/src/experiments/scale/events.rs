//! Operational events of a year on a fleet in two regions, with queries during the ordinary day.
//!
//! All runs check the number of complete lists; the full run also checks the times until changes are applied.

use super::{Plan, MAX_PROPAGATION_S};
use crate::experiments::{ExperimentError, Options};
use crate::fleet::events::{EventBench, EventOutcome};
use crate::fleet::queries::{QueryOutcome, QueryPath};
use crate::report::Table;
use crate::site::Scenario;

/// Numbers of real daemons that serve queries during the ordinary day, and of their leaf servers.
const QUERY_MIXERS: u32 = 2;
const QUERY_LEAVES: u32 = 10;

/// Runs the ordinary day on the hollow mixers, and queries on real daemons in parallel.
fn ordinary_day_with_queries(
    bench: &mut EventBench,
    plan: &Plan,
    seed: u64,
) -> Result<(EventOutcome, QueryOutcome), ExperimentError> {
    let seconds = plan.day.changes as f64 / plan.day.changes_per_s;
    let scenario = Scenario {
        seed,
        seconds,
        leaf_servers: QUERY_LEAVES,
        mixers: QUERY_MIXERS,
        load: 0.3,
        ..Scenario::default()
    };
    let (queries, leaves) = QueryPath::start(scenario, bench.discovery_address())?;
    bench.publish_leaf_servers(leaves)?;
    std::thread::scope(|scope| {
        let load = scope.spawn(move || queries.run());
        let day = bench.ordinary_day(plan.day, u64::from(QUERY_MIXERS))?;
        let queries = load
            .join()
            .map_err(|_| ExperimentError::Other("the load generator panicked".into()))?;
        Ok((day, queries))
    })
}

/// Runs the events and returns the criteria that they miss.
pub(super) fn run_events(options: &Options, plan: &Plan) -> Result<Vec<String>, ExperimentError> {
    let (mixers, servers) = plan.events;
    let load = match plan.full {
        Some(_) => plan.full_size_load(mixers, servers),
        None => plan.load(mixers, servers),
    };
    let mut bench = EventBench::start(&load, std::env::current_exe()?, options.seed)?;
    let (day, queries) = ordinary_day_with_queries(&mut bench, plan, options.seed)?;
    let mut outcomes: Vec<EventOutcome> = vec![day];
    outcomes.extend(bench.lose_and_restore_rack()?);
    outcomes.extend(bench.lose_and_restore_zone()?);
    outcomes.push(bench.region_partition()?);
    outcomes.push(bench.rolling_release()?);
    outcomes.push(bench.restart_all_mixers()?);
    drop(bench);

    let table = events_table(&outcomes, servers);
    println!("{}", table.text());
    let mut shortfalls: Vec<String> = outcomes
        .iter()
        .flat_map(|outcome| shortfalls(outcome, options.quick))
        .collect();
    shortfalls.extend(check_queries(&queries));
    let (changes, speedup) = (plan.day.changes, plan.day.speedup());
    println!(
        "the ordinary day: {changes} of its list changes, {speedup:.0} times faster than in operation"
    );
    table.save(&options.out.join("scale-events.csv"))?;
    Ok(shortfalls)
}

fn events_table(outcomes: &[EventOutcome], servers: u32) -> Table {
    let mut table = Table::new(&[
        "event",
        "mixers",
        "servers",
        "settled s",
        "in force median s",
        "in force p99 s",
        "in force last s",
        "calls",
        "whole lists",
        "change answers",
        "MB",
        "kB each mixer",
    ]);
    for outcome in outcomes {
        let EventOutcome {
            name,
            propagation,
            counters,
            ..
        } = outcome;
        table.add_row(vec![
            name.to_string(),
            outcome.mixers.to_string(),
            servers.to_string(),
            format!("{:.2}", outcome.convergence_s),
            format!("{:.3}", propagation.median_s),
            format!("{:.3}", propagation.p99_s),
            format!("{:.3}", propagation.last_s),
            counters.calls.to_string(),
            counters.complete_lists.to_string(),
            counters.change_answers.to_string(),
            format!("{:.2}", counters.bytes() as f64 / 1e6),
            format!("{:.1}", outcome.bytes_per_mixer() / 1e3),
        ]);
    }
    table
}

/// Returns whether an event needed too many complete lists or was applied too late, as text.
fn shortfalls(outcome: &EventOutcome, is_quick: bool) -> Vec<String> {
    let mut shortfalls = Vec::new();
    let name = &outcome.name;
    let (lists, needed) = (outcome.counters.complete_lists, outcome.max_complete_lists);
    if lists > needed {
        shortfalls.push(format!(
            "{name}: {lists} complete lists sent, {needed} needed"
        ));
    }
    // A started mixer spreads its first call over the interval of the settings, so that its time is not checked.
    let last_s = outcome.propagation.last_s;
    if outcome.mixers_started == 0 && !is_quick && last_s > MAX_PROPAGATION_S {
        shortfalls.push(format!("{name}: applied everywhere after {last_s:.1} s"));
    }
    shortfalls
}

fn check_queries(queries: &QueryOutcome) -> Option<String> {
    let QueryOutcome {
        sent,
        answered,
        violations,
    } = queries;
    println!(
        "queries during the ordinary day: {answered} of {sent} requests answered, {} rule violations",
        violations.len()
    );
    (*answered == 0).then(|| "no query was answered during the ordinary day".into())
}
