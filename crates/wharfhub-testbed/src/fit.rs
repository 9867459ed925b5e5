//! Least squares: a measured cost as a polynomial of the size it was measured at.
//!
//! This file owns the fit, its residual and its predictions. It must never choose the points that it is given, and never
//! judge the result.

/// A pivot this small means that the points do not determine the polynomial.
const MIN_PIVOT: f64 = 1e-12;

/// A measured cost at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The cost; above 0.
    pub cost: f64,
}

/// A polynomial through measured points, the constant term first.
#[derive(Clone, Debug, PartialEq)]
pub struct Polynomial {
    /// Its coefficients, by rising power of the size.
    pub coefficients: Vec<f64>,
    /// The largest distance of a fitted point from it, as a share of that point's cost.
    pub residual: f64,
}

impl Polynomial {
    /// Fits a polynomial of this degree so that the sum of squared relative errors is least; none where the points do
    /// not determine it.
    pub fn fit(degree: usize, points: &[Point]) -> Option<Polynomial> {
        let unknowns = degree + 1;
        // The normal equations, the right-hand side as the last column. Every point weighs by its relative error.
        let mut rows = vec![vec![0.0; unknowns + 1]; unknowns];
        for point in points {
            let powers: Vec<f64> = (0..unknowns)
                .map(|power| point.size.powi(power as i32) / point.cost)
                .collect();
            for (row, left) in rows.iter_mut().zip(&powers) {
                row.iter_mut()
                    .zip(&powers)
                    .for_each(|(cell, right)| *cell += left * right);
                row[unknowns] += left;
            }
        }
        let coefficients = solve(rows)?;
        let mut fitted = Polynomial {
            coefficients,
            residual: 0.0,
        };
        fitted.residual = points
            .iter()
            .map(|point| fitted.relative_error(*point))
            .fold(0.0, f64::max);
        Some(fitted)
    }

    /// The cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.coefficients
            .iter()
            .rev()
            .fold(0.0, |sum, coefficient| sum * size + coefficient)
    }

    /// How far a measured point lies from the polynomial, as a share of the measured cost.
    pub fn relative_error(&self, point: Point) -> f64 {
        (self.at(point.size) / point.cost - 1.0).abs()
    }
}

/// Solves linear equations, the right-hand side in the last column, by elimination with row pivots.
fn solve(mut rows: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let unknowns = rows.len();
    for index in 0..unknowns {
        let pivot = (index..unknowns)
            .max_by(|a, b| rows[*a][index].abs().total_cmp(&rows[*b][index].abs()))?;
        rows.swap(index, pivot);
        let pivot_row = rows[index].clone();
        if pivot_row[index].abs() <= MIN_PIVOT {
            return None;
        }
        for (_, row) in rows
            .iter_mut()
            .enumerate()
            .filter(|(number, _)| *number != index)
        {
            let factor = row[index] / pivot_row[index];
            row.iter_mut()
                .zip(&pivot_row)
                .for_each(|(cell, above)| *cell -= factor * above);
        }
    }
    Some(
        rows.iter()
            .enumerate()
            .map(|(index, row)| row[unknowns] / row[index])
            .collect(),
    )
}

#[cfg(test)]
mod tests;
