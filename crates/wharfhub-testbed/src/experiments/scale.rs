//! The scale experiment: slopes over mixers, servers and changes a second, with one size kept out of each fit and
//! predicted, and the events of a year on a fleet in two regions.
//!
//! The verdict of the full run rests on predictions and on what came into force; that of the quick run on counts
//! alone (calls, messages, bytes, whole lists), never on a time.

mod events;
mod quantity;

use super::{Failure, Options, Verdict};
use crate::fleet::bench::{Bench, Load, Point};
use crate::fleet::events::CompressedDay;
use crate::fleet::fit::LineFit;
use crate::report::{chart, Estimate, Line, Table};
use events::events;
use quantity::{
    change_bytes, change_messages, changes, mixers, whole_list_bytes, FigureOf, Quantity,
    BY_MIXERS, BY_RATE, BY_SERVERS,
};
use std::path::{Path, PathBuf};

/// A prediction may miss what was measured by this share.
const MAX_PREDICTION_ERROR: f64 = 0.25;
/// Host processes of a fleet.
const PROCESSES: u32 = 8;
/// The name of the axis over changes a second.
const RATE_AXIS: &str = "changes/s";
/// The size to plan with.
const FULL_SIZE: (u32, u32) = (860, 5_300);
/// A change is to be in force everywhere within this time (seconds).
const MAX_IN_FORCE_S: f64 = 10.0;

/// The sizes of a run.
struct Plan {
    mixers: [u32; 5],     // the last one is kept out
    servers: [u32; 5],    // the last one is kept out
    rates: [f64; 5],      // changes a second; the last one is kept out
    standard: (u32, u32), // mixers for the slope over servers, servers for the slope over mixers
    full: Option<(u32, u32)>,
    events: (u32, u32),
    scenario: CompressedDay,
    changes: u32,
    idle_s: f64,
    rate_s: f64,
    rates_in_step: bool, // where a busy machine must not let changes be told together
    poll_within_s: f64,
}

impl Plan {
    fn full() -> Plan {
        Plan {
            mixers: [50, 100, 215, 430, 860],
            servers: [200, 660, 1_325, 2_650, 5_300],
            rates: [1.0, 2.0, 4.0, 8.0, 16.0],
            standard: (100, 660),
            full: Some(FULL_SIZE),
            events: FULL_SIZE,
            scenario: CompressedDay {
                changes: 150,
                per_s: 10.0,
            },
            changes: 12,
            idle_s: 2.0,
            rate_s: 3.0,
            rates_in_step: false,
            poll_within_s: 4.0,
        }
    }

    fn quick() -> Plan {
        Plan {
            mixers: [8, 16, 24, 32, 64],
            servers: [50, 100, 200, 400, 800],
            rates: [2.0, 4.0, 6.0, 8.0, 16.0],
            standard: (16, 100),
            full: None,
            events: (40, 200),
            scenario: CompressedDay {
                changes: 40,
                per_s: 20.0,
            },
            changes: 4,
            idle_s: 0.2,
            rate_s: 1.0,
            rates_in_step: true,
            poll_within_s: 1.0,
        }
    }

    /// A load at the size to plan with, on one machine: first calls are spread as in service, for the machine takes so
    /// many whole lists no sooner; and targets are longer, for the idle work of so many mixers would fill five of its
    /// eight cores.
    fn full_size_load(&self, mixers: u32, servers: u32) -> Load {
        Load {
            poll_within_s: 30.0,
            target_factor: 10.0,
            ..self.load(mixers, servers)
        }
    }

    fn load(&self, mixers: u32, servers: u32) -> Load {
        Load {
            mixers,
            servers,
            changes_per_s: 4.0,
            changes: self.changes,
            is_sequential: true,
            idle_s: self.idle_s,
            // Ten times those of service: hundreds of mixers share eight cores here.
            round_s: 0.05,
            poll_within_s: self.poll_within_s,
            target_factor: 1.0,
        }
    }
}

/// One axis: its points in order, the last of them kept out of the fits.
struct Axis {
    name: &'static str,
    x: FigureOf,
    quantities: &'static [Quantity],
    points: Vec<Point>,
}

fn measure(options: &Options, load: &Load) -> Result<Point, Failure> {
    let mut bench = Bench::start(load, std::env::current_exe()?, PROCESSES, options.seed)?;
    let point = bench.measure(load)?;
    let Load {
        mixers, servers, ..
    } = load;
    let Point {
        start_s,
        propagation,
        ..
    } = point;
    println!(
        "measured {mixers} mixers, {servers} servers: started in {start_s:.1} s, a change in {:.3} s",
        propagation.last_s
    );
    Ok(point)
}

fn by_rate(options: &Options, plan: &Plan) -> Result<Vec<Point>, Failure> {
    let load = plan.load(plan.standard.0, plan.standard.1);
    let mut bench = Bench::start(&load, std::env::current_exe()?, PROCESSES, options.seed)?;
    let at = |changes_per_s: f64| {
        let changes = (changes_per_s * plan.rate_s).ceil() as u32;
        bench
            .measure(&Load {
                changes_per_s,
                changes,
                is_sequential: plan.rates_in_step,
                ..load
            })
            .map_err(Failure::from)
    };
    plan.rates.into_iter().map(at).collect()
}

fn axes(options: &Options, plan: &Plan) -> Result<Vec<Axis>, Failure> {
    let (standard_mixers, standard_servers) = plan.standard;
    let by_mixers = plan
        .mixers
        .map(|mixers| plan.load(mixers, standard_servers));
    let by_servers = plan
        .servers
        .map(|servers| plan.load(standard_mixers, servers));
    let by_mixers = by_mixers
        .iter()
        .map(|load| measure(options, load))
        .collect::<Result<Vec<Point>, _>>()?;
    let by_servers = by_servers.iter().map(|load| {
        // The standard size stands on both axes, and is measured once.
        let measured = by_mixers.iter().find(|point| point.load == *load);
        measured.map_or_else(|| measure(options, load), |point| Ok(*point))
    });
    let by_servers = by_servers.collect::<Result<Vec<Point>, Failure>>()?;
    Ok(vec![
        Axis {
            name: "mixers",
            x: mixers,
            quantities: &BY_MIXERS,
            points: by_mixers,
        },
        Axis {
            name: "servers",
            x: |point| f64::from(point.load.servers),
            quantities: &BY_SERVERS,
            points: by_servers,
        },
        Axis {
            name: RATE_AXIS,
            x: |point| point.load.changes_per_s,
            quantities: &BY_RATE,
            points: by_rate(options, plan)?,
        },
    ])
}

fn points_table(axes: &[Axis], full: Option<&Point>) -> Table {
    let columns = [
        "axis",
        "mixers",
        "servers",
        "changes/s",
        "memory MB each",
        "idle % of a core each",
        "idle bytes/s each",
        "idle messages/s each",
        "list kB",
        "CPU ms for the list each",
        "CPU ms an answer each",
        "messages a change",
        "bytes a change",
        "discovery CPU ms a change",
        "start s",
        "in force median s",
        "in force p99 s",
        "in force last s",
        "not in force",
    ];
    let mut table = Table::new(&columns);
    let full = full.map(|point| ("full size", point));
    let all = axes
        .iter()
        .flat_map(|axis| axis.points.iter().map(|point| (axis.name, point)));
    for (name, point) in all.chain(full) {
        // A fleet that goes on from one rate to the next has started once.
        let started = |text: String| if name == RATE_AXIS { "-".into() } else { text };
        let each = |value: f64| value / mixers(point);
        let (idle, idle_s) = point.idle;
        let Point {
            load, propagation, ..
        } = point;
        table.row(vec![
            name.into(),
            load.mixers.to_string(),
            load.servers.to_string(),
            load.changes_per_s.to_string(),
            format!("{:.2}", each(point.memory_bytes) / 1e6),
            format!("{:.3}", each(point.idle_cores) * 100.0),
            format!("{:.1}", each(idle.bytes() as f64) / idle_s),
            format!("{:.3}", each(idle.messages() as f64) / idle_s),
            started(format!("{:.1}", whole_list_bytes(point) / 1e3)),
            started(format!("{:.2}", each(point.start_cpu_s) * 1e3)),
            format!("{:.3}", each(point.change_cpu_s) * 1e3),
            format!("{:.1}", change_messages(point) / changes(point)),
            format!("{:.0}", change_bytes(point) / changes(point)),
            format!("{:.2}", point.discovery_change_cpu_s * 1e3),
            started(format!("{:.2}", point.start_s)),
            format!("{:.4}", propagation.median_s),
            format!("{:.4}", propagation.p99_s),
            format!("{:.4}", propagation.last_s),
            propagation.missing.to_string(),
        ]);
    }
    table
}

/// The fits of all axes; says which predictions miss by too much.
fn fits_table(axes: &[Axis], counts_only: bool) -> (Table, Vec<String>) {
    let columns = [
        "axis",
        "role",
        "figure",
        "base",
        "slope",
        "residual %",
        "size kept out",
        "predicted",
        "measured",
        "error %",
    ];
    let (mut table, mut short) = (Table::new(&columns), Vec::new());
    for axis in axes {
        let Some((kept_out, fitted)) = axis.points.split_last() else {
            continue;
        };
        for quantity in axis.quantities {
            let points: Vec<(f64, f64)> = fitted
                .iter()
                .map(|point| ((axis.x)(point), (quantity.of)(point)))
                .collect();
            let Some(fit) = LineFit::of(&points) else {
                short.push(format!("no line for {} by {}", quantity.name, axis.name));
                continue;
            };
            let (x, measured) = ((axis.x)(kept_out), (quantity.of)(kept_out));
            let error = fit.error(x, measured);
            table.row(vec![
                axis.name.into(),
                quantity.role.into(),
                quantity.name.into(),
                format!("{:.5}", fit.base),
                format!("{:.7}", fit.slope),
                format!("{:.1}", fit.residual * 100.0),
                x.to_string(),
                format!("{:.3}", fit.at(x)),
                format!("{measured:.3}"),
                format!("{:.1}", error * 100.0),
            ]);
            if error > MAX_PREDICTION_ERROR && (quantity.is_count || !counts_only) {
                let (name, error) = (quantity.name, error * 100.0);
                short.push(format!(
                    "{name} at {x} {} is predicted {error:.0}% off",
                    axis.name
                ));
            }
        }
    }
    (table, short)
}

/// What the size to plan with would be by the slopes over servers, against what was measured there.
fn full_size_table(by_servers: &Axis, full: &Point) -> (Table, Vec<String>) {
    let mut table = Table::new(&["figure at full size", "predicted", "measured", "error %"]);
    let mut short = Vec::new();
    let fitted = &by_servers.points[..by_servers.points.len() - 1];
    for quantity in &by_servers.quantities[..2] {
        let points: Vec<(f64, f64)> = fitted
            .iter()
            .map(|point| ((by_servers.x)(point), (quantity.of)(point)))
            .collect();
        let Some(fit) = LineFit::of(&points) else {
            continue;
        };
        let (x, measured) = ((by_servers.x)(full), (quantity.of)(full));
        let error = fit.error(x, measured);
        let cells = [
            format!("{:.3}", fit.at(x)),
            format!("{measured:.3}"),
            format!("{:.1}", error * 100.0),
        ];
        table.row(
            [quantity.name.to_string()]
                .into_iter()
                .chain(cells)
                .collect(),
        );
        if error > MAX_PREDICTION_ERROR {
            short.push(format!(
                "{} at full size is predicted {:.0}% off",
                quantity.name,
                error * 100.0
            ));
        }
    }
    (table, short)
}

fn charts(out: &Path, axes: &[Axis]) -> Result<(), Failure> {
    for axis in axes {
        let line = |(name, of): (&str, FigureOf)| {
            let value = |point: &Point| Estimate {
                mean: of(point),
                half: f64::INFINITY,
            };
            let points = axis
                .points
                .iter()
                .map(|point| ((axis.x)(point), value(point)))
                .collect();
            Line {
                name: name.into(),
                points,
            }
        };
        let times: [(&str, FigureOf); 3] = [
            ("median", |point| point.propagation.median_s),
            ("99 in 100", |point| point.propagation.p99_s),
            ("last", |point| point.propagation.last_s),
        ];
        let costs: [(&str, FigureOf); 2] = [
            ("CPU ms a change, each mixer", |point| {
                point.change_cpu_s / mixers(point) * 1e3
            }),
            ("memory MB, each mixer", |point| {
                point.memory_bytes / mixers(point) / 1e6
            }),
        ];
        let file = axis.name.replace('/', "-per-");
        let path = |what: &str| -> PathBuf { out.join(format!("scale-{file}-{what}.svg")) };
        let title = format!("A change in force everywhere, by {}", axis.name);
        chart(
            &path("in-force"),
            &title,
            (axis.name, "seconds"),
            true,
            &times.map(line),
        )?;
        let title = format!("What a mixer needs, by {}", axis.name);
        chart(
            &path("cost"),
            &title,
            (axis.name, "ms, MB"),
            true,
            &costs.map(line),
        )?;
    }
    Ok(())
}

fn slopes(options: &Options, plan: &Plan) -> Result<Vec<String>, Failure> {
    let axes = axes(options, plan)?;
    let full = match plan.full {
        Some((mixers, servers)) => {
            let load = Load {
                changes: 6,
                ..plan.full_size_load(mixers, servers)
            };
            Some(measure(options, &load)?)
        }
        None => None,
    };
    let points = points_table(&axes, full.as_ref());
    let (fits, mut short) = fits_table(&axes, options.quick);
    println!("{}\n{}", points.text(), fits.text());
    points.save(&options.out.join("scale.csv"))?;
    fits.save(&options.out.join("scale-fits.csv"))?;
    charts(&options.out, &axes)?;
    let all = axes.iter().flat_map(|axis| &axis.points).chain(&full);
    short.extend(
        all.filter(|point| point.propagation.missing > 0)
            .map(|point| {
                format!(
                    "{} changes never in force at {:?}",
                    point.propagation.missing, point.load
                )
            }),
    );
    if let Some(full) = &full {
        let (table, missed) = full_size_table(&axes[1], full);
        println!("{}", table.text());
        table.save(&options.out.join("scale-full-size.csv"))?;
        short.extend(missed);
        if full.propagation.last_s > MAX_IN_FORCE_S {
            short.push(format!(
                "a change takes {:.1} s at full size",
                full.propagation.last_s
            ));
        }
    }
    Ok(short)
}

pub fn run(options: &Options) -> Verdict {
    let plan = if options.quick {
        Plan::quick()
    } else {
        Plan::full()
    };
    let mut short = Vec::new();
    match options.part.as_deref() {
        None => {
            short.extend(slopes(options, &plan)?);
            short.extend(events(options, &plan)?);
        }
        Some("slopes") => short.extend(slopes(options, &plan)?),
        Some("events") => short.extend(events(options, &plan)?),
        Some(other) => {
            return Err(Failure::Other(format!(
                "part: {other:?} is none of slopes, events"
            )))
        }
    }
    Ok((!short.is_empty()).then(|| short.join("; ")))
}
