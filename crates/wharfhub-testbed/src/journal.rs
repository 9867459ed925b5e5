//! Table and chart of the operators' benchmark journal: the scores of each scenario, run by run.
//!
//! The journal is only read, and every run that matches is shown, failed ones included.

use crate::experiments::ExperimentError;
use crate::report::{draw_chart, Estimate, Line, Table};
use miniserde::{json, Deserialize};
use std::path::{Path, PathBuf};

#[derive(Deserialize)]
struct Entry {
    at: Vec<String>,
    cmd: String,
    head: String,
    dirty: bool,
    #[serde(rename = "why")]
    reason: Option<String>,
    #[serde(rename = "figures")]
    metrics: Option<Metrics>,
    #[serde(rename = "days")]
    scenarios: Option<Vec<ScenarioEntry>>,
}

#[derive(Deserialize)]
struct Metrics {
    gate: Option<f64>,
    real_score: Option<f64>,
}

#[derive(Deserialize)]
struct ScenarioEntry {
    name: Option<String>,
    seed: Option<u64>,
    score: Option<f64>,
    served: Option<f64>,
    #[serde(rename = "served_least")]
    min_served: Option<f64>,
}

/// Columns of the table, which has a row for each scored scenario.
const COLUMNS: [&str; 10] = [
    "at",
    "commit",
    "day",
    "seed",
    "score",
    "served",
    "gate wants",
    "together",
    "gate",
    "why",
];

/// Reads the runs of the command `cmd` with scenarios whose names contain `kind`, prints them as a table, and writes `NAME.csv` and
/// `NAME.svg`.
pub fn show(
    journal: &Path,
    cmd: &str,
    kind: &str,
    name: &str,
    out: &Path,
) -> Result<(), ExperimentError> {
    let mut table = Table::new(&COLUMNS);
    let mut lines: Vec<Line> = Vec::new();
    let mut runs: u32 = 0;
    for path in entry_files(journal)? {
        let mut entry = read_entry(&path)?;
        let scenarios = scenarios_of_kind(&mut entry, kind);
        if entry.cmd != cmd || scenarios.is_empty() {
            continue;
        }
        runs += 1;
        for scenario in scenarios {
            table.add_row(row_of(&entry, &scenario));
            let score = Estimate {
                mean: scenario.score.unwrap_or(0.0),
                half_width: 0.0,
            };
            let line = line_named(&mut lines, scenario.name.unwrap_or_default());
            line.points.push((f64::from(runs), score));
        }
    }
    print!("{}", table.text());
    table.save(&out.join(format!("{name}.csv")))?;
    let title = format!("Scored days ({kind}), run by run");
    Ok(draw_chart(
        &out.join(format!("{name}.svg")),
        &title,
        ("run", "score"),
        false,
        &lines,
    )?)
}

/// Returns the journal's files, sorted by name and thereby by time.
fn entry_files(journal: &Path) -> Result<Vec<PathBuf>, ExperimentError> {
    let mut files: Vec<PathBuf> = std::fs::read_dir(journal)?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<Result<_, _>>()?;
    files.retain(|path| path.extension().is_some_and(|ending| ending == "json"));
    files.sort();
    Ok(files)
}

fn read_entry(path: &Path) -> Result<Entry, ExperimentError> {
    let text = std::fs::read_to_string(path)?;
    json::from_str(&text).map_err(|_| {
        ExperimentError::Other(format!("cannot parse journal entry {}", path.display()))
    })
}

fn scenarios_of_kind(entry: &mut Entry, kind: &str) -> Vec<ScenarioEntry> {
    let mut scenarios = entry.scenarios.take().unwrap_or_default();
    scenarios.retain(|scenario| {
        scenario
            .name
            .as_deref()
            .is_some_and(|name| name.contains(kind))
    });
    scenarios
}

/// Returns the cells of a scenario in the order of [`COLUMNS`].
fn row_of(entry: &Entry, scenario: &ScenarioEntry) -> Vec<String> {
    let decimals = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.3}"));
    let metrics = entry.metrics.as_ref();
    let gate = match metrics.and_then(|metrics| metrics.gate) {
        Some(gate) if gate > 0.0 => "passed",
        Some(_) => "failed",
        None => "-",
    };
    let commit = entry.head.get(..7).unwrap_or("-");
    let dirty_mark = if entry.dirty { "+" } else { "" };
    vec![
        entry.at.first().cloned().unwrap_or_default(),
        format!("{commit}{dirty_mark}"),
        scenario.name.clone().unwrap_or_default(),
        scenario.seed.map_or("-".into(), |seed| seed.to_string()),
        decimals(scenario.score),
        decimals(scenario.served),
        decimals(scenario.min_served),
        decimals(metrics.and_then(|metrics| metrics.real_score)),
        gate.into(),
        entry.reason.clone().unwrap_or_default(),
    ]
}

/// Returns the line with a name, which is added if it does not exist.
fn line_named(lines: &mut Vec<Line>, name: String) -> &mut Line {
    let index = lines
        .iter()
        .position(|line| line.name == name)
        .unwrap_or_else(|| {
            lines.push(Line {
                name,
                points: Vec::new(),
            });
            lines.len() - 1
        });
    &mut lines[index]
}
