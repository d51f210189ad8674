//! Straight lines through measured points.

use std::fmt;

/// Cost at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopePoint {
    /// Number of records, messages or bytes that the cost depends on.
    pub size: u64,
    /// Measured cost.
    pub cost: f64,
}

/// Line `base + slope * size` with the least squared error.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlopeFit {
    /// Cost at size 0.
    pub base: f64,
    /// Cost for each further unit of size.
    pub slope: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

impl SlopeFit {
    /// Fits a line through points of at least two sizes.
    pub fn from_points(points: &[SlopePoint]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.size as f64).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.cost).sum::<f64>() / count;
        let spread = points
            .iter()
            .map(|point| (point.size as f64 - mean_size).powi(2))
            .sum::<f64>();
        let shared = points
            .iter()
            .map(|point| (point.size as f64 - mean_size) * (point.cost - mean_cost))
            .sum::<f64>();
        assert!(spread > 0.0, "a line needs points of two sizes");
        let slope = shared / spread;
        let base = mean_cost - slope * mean_size;
        Self {
            base,
            slope,
            r_squared: r_squared(points, base, slope, mean_cost),
        }
    }

    /// Cost at a size, never below zero.
    pub fn cost_at(&self, size: f64) -> f64 {
        (self.base + self.slope * size).max(0.0)
    }
}

fn r_squared(points: &[SlopePoint], base: f64, slope: f64, mean_cost: f64) -> f64 {
    let total = points
        .iter()
        .map(|point| (point.cost - mean_cost).powi(2))
        .sum::<f64>();
    let rest = points
        .iter()
        .map(|point| (point.cost - base - slope * point.size as f64).powi(2))
        .sum::<f64>();
    if total == 0.0 {
        1.0
    } else {
        (1.0 - rest / total).max(0.0)
    }
}

/// Unit of a cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostUnit {
    /// Nanoseconds of processor time.
    Nanoseconds,
    /// Bytes on the wire or on the heap.
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
    /// What was measured.
    pub name: &'static str,
    /// What the size counts.
    pub size_name: &'static str,
    /// Unit of the cost.
    pub unit: CostUnit,
    /// Measured points.
    pub points: Vec<SlopePoint>,
    /// Line through the points.
    pub fit: SlopeFit,
}

impl SlopeSeries {
    /// Measures the cost at each size.
    pub fn measure(
        name: &'static str,
        size_name: &'static str,
        unit: CostUnit,
        sizes: &[u64],
        mut cost: impl FnMut(u64) -> f64,
    ) -> Self {
        let points: Vec<SlopePoint> = sizes
            .iter()
            .map(|&size| SlopePoint {
                size,
                cost: cost(size),
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

    /// Cost at a size, from the line.
    pub fn cost_at(&self, size: f64) -> f64 {
        self.fit.cost_at(size)
    }
}
