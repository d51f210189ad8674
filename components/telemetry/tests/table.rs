//! Metrics rendered for scraping.

use std::time::Duration;

use cadence::prelude::*;
use telemetry::MetricTable;

/// Guards against lost counts, and latencies in the wrong bucket.
#[test]
fn counters_are_summed_and_latencies_are_counted_in_buckets() {
    let table = MetricTable::new();
    let client = table.client("bilberry.relay");

    client.incr("requests").unwrap();
    client.count("requests", 2).unwrap();
    for ms in [3, 100, 100_000] {
        client
            .time("first-byte", Duration::from_millis(ms))
            .unwrap();
    }
    let rendered = table.render();

    for line in [
        "bilberry_relay_requests 3",
        "bilberry_relay_first_byte_ms_bucket{le=\"4\"} 1",
        "bilberry_relay_first_byte_ms_bucket{le=\"128\"} 2",
        "bilberry_relay_first_byte_ms_bucket{le=\"+Inf\"} 3",
        "bilberry_relay_first_byte_ms_sum 100103",
    ] {
        assert!(
            rendered.lines().any(|found| found == line),
            "{line} is missing in {rendered}"
        );
    }
}

/// Guards against gauges that are summed like counters, so that a lost voter never shows.
#[test]
fn gauges_keep_their_last_value() {
    let table = MetricTable::new();
    let client = table.client("bilberry.control");

    for present in [3_u64, 2] {
        client.gauge("voters-present", present).unwrap();
    }
    let rendered = table.render();

    let line = "bilberry_control_voters_present 2";
    assert!(rendered.lines().any(|found| found == line), "{rendered}");
}
