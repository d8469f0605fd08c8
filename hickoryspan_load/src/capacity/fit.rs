//! Linear regression over measured points.

use std::fmt;

/// Measurement at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizePoint {
    /// Size, such as a number of targets.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// Least-squares line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value at size zero.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Coefficient of determination; 1 if all points are on the line.
    pub r_squared: f64,
}

impl LineFit {
    /// Fits a line to the points. With fewer than two different sizes, the line is flat and passes through the mean.
    pub fn of(points: &[SizePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
        let sum = |term: &dyn Fn(&SizePoint) -> f64| points.iter().map(term).sum::<f64>();
        let spread = sum(&|point| (point.size - mean_size).powi(2));
        if spread == 0.0 {
            return Self { intercept: mean_value, slope: 0.0, r_squared: 0.0 };
        }
        let slope = sum(&|point| (point.size - mean_size) * (point.value - mean_value)) / spread;
        let intercept = mean_value - slope * mean_size;
        let total = sum(&|point| (point.value - mean_value).powi(2));
        let residual = sum(&|point| (point.value - intercept - slope * point.size).powi(2));
        let r_squared = if total > 0.0 { 1.0 - residual / total } else { 1.0 };
        Self { intercept, slope, r_squared }
    }
}

impl fmt::Display for LineFit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:.4} + {:.4} x size (R2 {:.4})",
            self.intercept, self.slope, self.r_squared
        )
    }
}
