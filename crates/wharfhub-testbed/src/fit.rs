//! Least-squares fit of a measured cost to a polynomial of the size.

/// Pivots up to this value mean that the points do not determine the polynomial.
const MAX_SINGULAR_PIVOT: f64 = 1e-12;

/// Measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size of the measured object, for example the number of parts of a query.
    pub size: f64,
    /// Measured cost; must be above 0.
    pub cost: f64,
}

/// Polynomial fitted to measured points.
#[derive(Clone, Debug, PartialEq)]
pub struct Polynomial {
    /// Coefficients by ascending power of the size, the constant term first.
    pub coefficients: Vec<f64>,
    /// Largest error of the polynomial at a fitted point, relative to the measured cost of that point.
    pub residual: f64,
}

impl Polynomial {
    /// Fits a polynomial of the given degree by least squares of the relative errors. Returns `None` if the points do not
    /// determine it.
    pub fn fit(degree: usize, points: &[Point]) -> Option<Polynomial> {
        let unknowns = degree + 1;
        // Normal equations with the right-hand side in the last column. Dividing by the cost makes the errors relative.
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

    /// Returns the cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.coefficients
            .iter()
            .rev()
            .fold(0.0, |sum, coefficient| sum * size + coefficient)
    }

    /// Returns the error of the polynomial at a measured point, relative to the measured cost.
    pub fn relative_error(&self, point: Point) -> f64 {
        (self.at(point.size) / point.cost - 1.0).abs()
    }
}

/// Solves linear equations, whose right-hand side is the last column, by Gauss-Jordan elimination with partial pivoting. Returns
/// `None` for a singular system.
fn solve(mut rows: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let unknowns = rows.len();
    for index in 0..unknowns {
        let pivot = (index..unknowns)
            .max_by(|a, b| rows[*a][index].abs().total_cmp(&rows[*b][index].abs()))?;
        rows.swap(index, pivot);
        let pivot_row = rows[index].clone();
        if pivot_row[index].abs() <= MAX_SINGULAR_PIVOT {
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
