//! Output of experiments: tables as text and CSV, charts as SVG, and means with confidence intervals.

use plotters::prelude::*;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Error of writing a result.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file could not be written.
    #[error("cannot write {path}: {reason}")]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        reason: String,
    },
}

/// Mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Arithmetic mean of the values.
    pub mean: f64,
    /// Half the width of the interval; infinite for fewer than two values.
    pub half_width: f64,
}

impl Estimate {
    /// Computes the mean and, by Student's t-distribution, the interval of independent values.
    pub fn of(values: &[f64]) -> Estimate {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Estimate {
                mean,
                half_width: f64::INFINITY,
            };
        }
        let variance = values
            .iter()
            .map(|value| (value - mean).powi(2))
            .sum::<f64>()
            / (count - 1.0);
        let t =
            StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
        Estimate {
            mean,
            half_width: t * (variance / count).sqrt(),
        }
    }

    /// Formats the mean and the interval with the given number of decimals.
    pub fn text(&self, decimals: usize) -> String {
        if self.half_width.is_finite() {
            format!("{:.decimals$} ± {:.decimals$}", self.mean, self.half_width)
        } else {
            format!("{:.decimals$}", self.mean)
        }
    }
}

/// Table of text cells.
pub struct Table {
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(columns: &[&str]) -> Table {
        Table {
            columns: columns.iter().map(|column| column.to_string()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row, which must have as many cells as there are columns.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Formats the table as Markdown with aligned columns.
    pub fn text(&self) -> String {
        let width = |index: usize| {
            let cells = self
                .rows
                .iter()
                .filter_map(|row| row.get(index))
                .map(|cell| cell.chars().count());
            cells
                .chain([self.columns[index].chars().count()])
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        let mut text = String::new();
        let mut line = |cells: &[String]| {
            for (cell, width) in cells.iter().zip(&widths) {
                let _ = write!(
                    text,
                    "| {cell}{} ",
                    " ".repeat(width - cell.chars().count().min(*width))
                );
            }
            text.push_str("|\n");
        };
        line(&self.columns);
        line(
            &widths
                .iter()
                .map(|width| "-".repeat(*width))
                .collect::<Vec<_>>(),
        );
        self.rows.iter().for_each(|row| line(row));
        text
    }

    /// Writes the table to a CSV file.
    pub fn save(&self, path: &Path) -> Result<(), ReportError> {
        let failed = |error: csv::Error| ReportError::Write {
            path: path.into(),
            reason: error.to_string(),
        };
        let mut file = csv::Writer::from_path(path).map_err(failed)?;
        file.write_record(&self.columns).map_err(failed)?;
        for row in &self.rows {
            file.write_record(row).map_err(failed)?;
        }
        file.flush().map_err(|error| failed(error.into()))
    }
}

/// Line of a chart.
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points as `x` and the estimate of `y`.
    pub points: Vec<(f64, Estimate)>,
}

/// Draws lines with confidence intervals to an SVG file; with `log_x`, the x axis is logarithmic.
pub fn draw_chart(
    path: &Path,
    title: &str,
    labels: (&str, &str),
    log_x: bool,
    lines: &[Line],
) -> Result<(), ReportError> {
    let failed = |reason: String| ReportError::Write {
        path: path.into(),
        reason,
    };
    let Some(bounds) = Bounds::of(lines, log_x) else {
        return Err(failed("the chart has no points".into()));
    };
    let drawing = Drawing {
        title,
        labels,
        log_x,
        bounds,
        lines,
    };
    let drawn = drawing.draw(path).map_err(|error| error.to_string());
    drawn.map_err(failed)
}

/// Returns the position of `x` on the x axis.
fn x_position(x: f64, log_x: bool) -> f64 {
    if log_x {
        x.log10()
    } else {
        x
    }
}

/// Returns the half width of an interval, or 0 if it is infinite.
fn finite_half_width(estimate: &Estimate) -> f64 {
    if estimate.half_width.is_finite() {
        estimate.half_width
    } else {
        0.0
    }
}

/// Ranges of the axes, with a margin.
struct Bounds {
    x: std::ops::Range<f64>,
    y: std::ops::Range<f64>,
}

impl Bounds {
    /// Returns the ranges that contain all points and intervals, or `None` without points.
    fn of(lines: &[Line], log_x: bool) -> Option<Bounds> {
        let points = || lines.iter().flat_map(|line| &line.points);
        points().next()?;
        let widen = |low: f64, high: f64, share: f64| {
            let (low, high) = if high > low {
                (low, high)
            } else {
                (low - 0.5, low + 0.5)
            };
            let margin = (high - low) * share;
            low - margin..high + margin
        };
        let xs = || points().map(|(x, _)| x_position(*x, log_x));
        let lows = points().map(|(_, estimate)| estimate.mean - finite_half_width(estimate));
        let highs = points().map(|(_, estimate)| estimate.mean + finite_half_width(estimate));
        Some(Bounds {
            x: widen(
                xs().fold(f64::MAX, f64::min),
                xs().fold(f64::MIN, f64::max),
                0.05,
            ),
            y: widen(
                lows.fold(f64::MAX, f64::min),
                highs.fold(f64::MIN, f64::max),
                0.08,
            ),
        })
    }
}

/// Contents of a chart.
struct Drawing<'a> {
    title: &'a str,
    labels: (&'a str, &'a str),
    log_x: bool,
    bounds: Bounds,
    lines: &'a [Line],
}

impl Drawing<'_> {
    fn draw<'p>(&self, path: &'p Path) -> Result<(), Box<dyn std::error::Error + 'p>> {
        let area = SVGBackend::new(path, (860, 480)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(42)
            .y_label_area_size(64)
            .build_cartesian_2d(self.bounds.x.clone(), self.bounds.y.clone())?;
        let label = |x: &f64| {
            if self.log_x {
                format!("{:.0}", 10f64.powf(*x))
            } else {
                format!("{x:.2}")
            }
        };
        chart
            .configure_mesh()
            .x_desc(self.labels.0)
            .y_desc(self.labels.1)
            .x_label_formatter(&label)
            .light_line_style(WHITE)
            .draw()?;
        for (number, line) in self.lines.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let points: Vec<(f64, Estimate)> = line
                .points
                .iter()
                .map(|(x, estimate)| (x_position(*x, self.log_x), *estimate))
                .collect();
            let means = points.iter().map(|(x, estimate)| (*x, estimate.mean));
            chart
                .draw_series(LineSeries::new(means.clone(), color.stroke_width(2)))?
                .label(&line.name)
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2))
                });
            chart.draw_series(means.map(|point| Circle::new(point, 3, color.filled())))?;
            let bars = points.iter().map(|(x, estimate)| {
                let (low, high) = (
                    estimate.mean - finite_half_width(estimate),
                    estimate.mean + finite_half_width(estimate),
                );
                PathElement::new(vec![(*x, low), (*x, high)], color.stroke_width(1))
            });
            chart.draw_series(bars)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }
}

#[cfg(test)]
mod tests;
