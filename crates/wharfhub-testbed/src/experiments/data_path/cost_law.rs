//! The law behind the cost of queries of several sizes, and whether it is good enough.
//!
//! Pure arithmetic: it must never measure, and never print.

use crate::fit::{Point, Polynomial};

/// A part of the largest query may cost so many times one of the size at which parts are cheapest. That is no weaker
/// than a comparison with the smallest query, of which each part bears a quarter of what the query costs by itself.
pub const MAX_COST_RATIO: f64 = 1.5;
/// The prediction may be off by this share of the measured cost.
const MAX_PREDICTION_ERROR: f64 = 0.25;
/// A straight line stands as the law where no point lies further from it, as a share; otherwise a parabola is fitted.
const MAX_LINE_RESIDUAL: f64 = 0.15;

/// What the costs of queries of several sizes say.
#[derive(Clone, Debug)]
pub struct CostLaw {
    /// The cost of a query by its parts.
    pub law: Polynomial,
    /// The point that the fit did not see.
    pub holdout: Point,
    /// How far the law is from it, as a share of what was measured.
    pub prediction_error: f64,
    /// The cost of a part in the largest query over that in the smallest.
    pub largest_over_smallest: f64,
    /// The same over that at the size at which parts are cheapest.
    pub largest_over_cheapest: f64,
}

impl CostLaw {
    /// Fits the law to the costs of queries, the smallest first, without the one in the place held out; none where
    /// too few are left.
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

    /// What falls shortfalls.
    pub fn shortfalls(&self) -> Vec<String> {
        let mut shortfalls = Vec::new();
        if self.largest_over_cheapest > MAX_COST_RATIO {
            let ratio = self.largest_over_cheapest;
            shortfalls.push(format!(
                "a part of the largest query costs {ratio:.2} times the cheapest one"
            ));
        }
        if self.prediction_error > MAX_PREDICTION_ERROR {
            let percent = self.prediction_error * 100.0;
            shortfalls.push(format!("the law is {percent:.0}% off at the size kept out"));
        }
        shortfalls
    }
}

#[cfg(test)]
mod tests;
