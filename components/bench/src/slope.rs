//! Fits straight lines to costs that were measured at several sizes.

use std::fmt;

/// Measured cost at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopePoint {
    /// Number of records, messages or bytes that the cost depends on.
    pub size: u64,
    /// Cost in the unit of the series.
    pub cost: f64,
}

/// Least-squares line `base + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopeFit {
    /// Cost at size 0.
    pub base: f64,
    /// Additional cost per unit of size.
    pub slope: f64,
    /// Coefficient of determination: fraction of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

impl SlopeFit {
    /// Fits a line to measured points.
    ///
    /// # Panics
    ///
    /// Panics unless the points have at least two different sizes.
    pub fn from_points(points: &[SlopePoint]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size as f64).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let size_squares = points
            .iter()
            .map(|point| (point.size as f64 - mean_size).powi(2))
            .sum::<f64>();
        let size_cost_products = points
            .iter()
            .map(|point| (point.size as f64 - mean_size) * (point.cost - mean_cost))
            .sum::<f64>();
        assert!(
            size_squares > 0.0,
            "a line fit needs points of at least two different sizes"
        );
        let slope = size_cost_products / size_squares;
        let base = mean_cost - slope * mean_size;
        Self {
            base,
            slope,
            r_squared: r_squared(points, base, slope, mean_cost),
        }
    }

    /// Cost that the line predicts for a size, at least 0.
    pub fn cost_at(&self, size: f64) -> f64 {
        (self.base + self.slope * size).max(0.0)
    }
}

fn r_squared(points: &[SlopePoint], base: f64, slope: f64, mean_cost: f64) -> f64 {
    let total_squares = points
        .iter()
        .map(|point| (point.cost - mean_cost).powi(2))
        .sum::<f64>();
    let residual_squares = points
        .iter()
        .map(|point| (point.cost - base - slope * point.size as f64).powi(2))
        .sum::<f64>();
    if total_squares == 0.0 {
        1.0
    } else {
        (1.0 - residual_squares / total_squares).max(0.0)
    }
}

/// Unit of a measured cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostUnit {
    /// Nanoseconds of processor time.
    Nanoseconds,
    /// Bytes on the wire or of heap memory.
    Bytes,
}

impl fmt::Display for CostUnit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Nanoseconds => "ns",
            Self::Bytes => "B",
        })
    }
}

/// Cost of one operation at several sizes.
#[derive(Debug, Clone, PartialEq)]
pub struct SlopeSeries {
    /// Name of the operation, as the page shows it.
    pub name: &'static str,
    /// What the sizes count, as the page shows it.
    pub size_name: &'static str,
    /// Unit of the cost.
    pub unit: CostUnit,
    /// Measured points.
    pub points: Vec<SlopePoint>,
    /// Line fitted to the points.
    pub fit: SlopeFit,
}

impl SlopeSeries {
    /// Measures the cost at each size and fits a line to the points.
    ///
    /// # Panics
    ///
    /// Panics unless `sizes` has at least two different values.
    pub fn measure(
        name: &'static str,
        size_name: &'static str,
        unit: CostUnit,
        sizes: &[u64],
        mut measure_cost: impl FnMut(u64) -> f64,
    ) -> Self {
        let points: Vec<SlopePoint> = sizes
            .iter()
            .map(|&size| SlopePoint {
                size,
                cost: measure_cost(size),
            })
            .collect();
        let fit = SlopeFit::from_points(&points);
        Self {
            name,
            size_name,
            unit,
            points,
            fit,
        }
    }

    /// Cost that the fitted line predicts for a size, at least 0.
    pub fn cost_at(&self, size: f64) -> f64 {
        self.fit.cost_at(size)
    }
}
