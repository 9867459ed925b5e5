//! Cost law of queries by their number of parts, and the criteria that it has to meet.

use crate::fit::{Point, Polynomial};

/// Largest ratio of the cost of a part in the largest query to that at the size with the cheapest parts. The check is at least
/// as strict as a comparison with the smallest query, whose four parts each bear a quarter of the fixed cost of a query.
pub const MAX_COST_RATIO: f64 = 1.5;
/// Largest accepted error of the prediction at the held-out size, relative to the measured cost.
const MAX_PREDICTION_ERROR: f64 = 0.25;
/// Largest error at a fitted point, relative to its measured cost, at which a line is the law; otherwise a parabola is fitted.
const MAX_LINE_RESIDUAL: f64 = 0.15;

/// Fitted cost law and the figures that are checked.
#[derive(Clone, Debug)]
pub struct CostLaw {
    /// Cost of a query by its number of parts.
    pub law: Polynomial,
    /// Point held out of the fit.
    pub holdout: Point,
    /// Relative error of the law at the held-out point.
    pub prediction_error: f64,
    /// Ratio of the cost of a part in the largest query to that in the smallest.
    pub largest_over_smallest: f64,
    /// Ratio of the cost of a part in the largest query to that at the size with the cheapest parts.
    pub largest_over_cheapest: f64,
}

impl CostLaw {
    /// Fits the law to costs sorted by size, without the point at index `holdout`. Returns `None` if too few points are left.
    pub fn of(points: &[Point], holdout: usize) -> Option<CostLaw> {
        let mut fitted = points.to_vec();
        let holdout = fitted.remove(holdout);
        let line = Polynomial::fit(1, &fitted)?;
        let law = if line.residual <= MAX_LINE_RESIDUAL {
            line
        } else {
            Polynomial::fit(2, &fitted)?
        };
        let part_cost = |point: &Point| point.cost / point.size;
        let largest = part_cost(points.last()?);
        let cheapest = points.iter().map(part_cost).fold(f64::MAX, f64::min);
        Some(CostLaw {
            prediction_error: law.relative_error(holdout),
            law,
            holdout,
            largest_over_smallest: largest / part_cost(points.first()?),
            largest_over_cheapest: largest / cheapest,
        })
    }

    /// Returns the criteria that the law misses, as text.
    pub fn shortfalls(&self) -> Vec<String> {
        let mut shortfalls = Vec::new();
        if self.largest_over_cheapest > MAX_COST_RATIO {
            let ratio = self.largest_over_cheapest;
            shortfalls.push(format!(
                "a part of the largest query costs {ratio:.2} times as much as the cheapest part"
            ));
        }
        if self.prediction_error > MAX_PREDICTION_ERROR {
            let percent = self.prediction_error * 100.0;
            shortfalls.push(format!(
                "the cost law is off by {percent:.0}% at the held-out size"
            ));
        }
        shortfalls
    }
}

#[cfg(test)]
mod tests;
