//! Straight lines fitted to measured points.

/// Line `y = base + slope * x`, fitted by least squares of the relative errors, so that small sizes count as much as large ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value at `x = 0`.
    pub base: f64,
    /// Increase for each unit of `x`.
    pub slope: f64,
    /// Largest error of the line at a fitted point, relative to the measured value of that point.
    pub residual: f64,
}

impl LineFit {
    /// Fits a line to the points; returns `None` if they have fewer than two different `x`.
    pub fn of(points: &[(f64, f64)]) -> Option<LineFit> {
        let weight = |y: f64| 1.0 / (y * y).max(f64::MIN_POSITIVE);
        let sum = |value: &dyn Fn(f64, f64) -> f64| {
            points.iter().map(|(x, y)| weight(*y) * value(*x, *y)).sum()
        };
        let (all, x, y): (f64, f64, f64) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|_, y| y));
        let (xx, xy): (f64, f64) = (sum(&|x, _| x * x), sum(&|x, y| x * y));
        let spread = all * xx - x * x;
        if !spread.is_finite() || spread <= f64::EPSILON * all * xx {
            return None;
        }
        let slope = (all * xy - x * y) / spread;
        let mut fit = LineFit {
            base: (y - slope * x) / all,
            slope,
            residual: 0.0,
        };
        fit.residual = points
            .iter()
            .map(|(x, y)| fit.error(*x, *y))
            .fold(0.0, f64::max);
        Some(fit)
    }

    /// Returns the predicted value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }

    /// Returns the error of the prediction at `x`, relative to the measured value.
    pub fn error(&self, x: f64, measured: f64) -> f64 {
        (self.at(x) - measured).abs() / measured.abs().max(f64::MIN_POSITIVE)
    }
}
