//! Straight lines through measured points.

/// One measured point.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// What was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at zero.
    pub intercept: f64,
    /// Growth per unit.
    pub slope: f64,
    /// Root of the mean squared residual.
    pub residual: f64,
}

impl Line {
    /// Fits a line. Fewer than two points give a constant.
    pub fn fit(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let together: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let slope = if spread > 0.0 { together / spread } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|p| (p.y - intercept - slope * p.x).powi(2)).sum();
        Self { intercept, slope, residual: (squares / count).sqrt() }
    }

    /// Returns the value of the line.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
