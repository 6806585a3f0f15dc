//! Linear regression.

/// A measured point.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Independent variable.
    pub x: f64,
    /// Dependent variable.
    pub y: f64,
}

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Increase per unit of `x`.
    pub slope: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
}

impl Line {
    /// Fits a line. The slope is zero if all points have the same `x`.
    pub fn fit(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|p| (p.y - intercept - slope * p.x).powi(2)).sum();
        Self { intercept, slope, residual: (squares / count).sqrt() }
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
