//! Line fit from which all figures of the capacity page are computed.

use bench::{CostUnit, SlopeSeries};

/// Guards against a wrong slope or base, which would make every row of the capacity page wrong.
#[test]
fn exact_points_give_their_slope_and_base() {
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

/// Guards against a coefficient of determination that is high for points far from the line.
#[test]
fn scattered_points_give_a_low_r_squared() {
    let costs = [9.0, 1.0, 8.0, 2.0];
    let mut remaining_costs = costs.iter();
    let series = SlopeSeries::measure(
        "test",
        "records",
        CostUnit::Nanoseconds,
        &[1, 2, 3, 4],
        |_| *remaining_costs.next().unwrap(),
    );

    assert!(series.fit.r_squared < 0.5, "{}", series.fit.r_squared);
}
