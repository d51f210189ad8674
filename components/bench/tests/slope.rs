//! The fit that all capacity figures rest on.

use bench::{CostUnit, SlopeSeries};

/// Guards against a wrong slope or base, which would falsify every row of the capacity page.
#[test]
fn line_through_exact_points_is_found() {
    let series = SlopeSeries::measure(
        "test",
        "records",
        CostUnit::Bytes,
        &[10, 20, 40, 80],
        |size| 5.0 + 3.0 * size as f64,
    );

    assert!((series.fit.base - 5.0).abs() < 1e-9);
    assert!((series.fit.slope - 3.0).abs() < 1e-9);
    assert!((series.fit.r_squared - 1.0).abs() < 1e-9);
    assert!((series.cost_at(38_000.0) - 114_005.0).abs() < 1e-6);
}

/// Guards against a fit that hides scatter.
#[test]
fn scattered_points_have_a_low_quality() {
    let costs = [9.0, 1.0, 8.0, 2.0];
    let mut next = costs.iter();
    let series = SlopeSeries::measure(
        "test",
        "records",
        CostUnit::Nanoseconds,
        &[1, 2, 3, 4],
        |_| *next.next().unwrap(),
    );

    assert!(series.fit.r_squared < 0.5, "{}", series.fit.r_squared);
}
