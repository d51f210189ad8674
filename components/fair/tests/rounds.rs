//! Schedule of report rounds, and selection of homes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use fair::{
    AVOID_DURATION, HomeList, MAX_REPORT_BYTES_PER_S, REPORT_INTERVAL, ReportPacer, home_of,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, OrganisationName, ServiceName};
use wire::{FlowId, FlowKey};

fn control(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7400))
}

fn flow(number: usize) -> FlowId {
    FlowId::of(&FlowKey {
        organisation: OrganisationName::from(format!("org-{number}").as_str()),
        service: ServiceName::from("stone-advice"),
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..Config::default()
    })]

    /// Guards against reports that exceed their part of a node's traffic budget, and against
    /// rounds that follow each other faster than the interval.
    #[test]
    fn rounds_stay_within_the_report_rate(
        rounds in prop::collection::vec((0u64..20_000, 0u64..20_000), 1..60),
        delays_ms in prop::collection::vec(0u64..300, 60),
    ) {
        let mut pacer = ReportPacer::new();
        let mut now = ClockTime(1_000);
        let start = now;
        let mut sent_bytes = 0;
        for (round, (report, answer)) in rounds.into_iter().enumerate() {
            let due = pacer.next_round().unwrap_or(now);
            prop_assert!(round == 0 || due.since(now) >= REPORT_INTERVAL);
            now = due.max(now) + Duration::from_millis(delays_ms[round]);
            // The rate limit has covered all earlier rounds when the next one begins.
            let allowed_bytes = now.since(start).as_millis() as u64 * MAX_REPORT_BYTES_PER_S / 1000;
            prop_assert!(
                sent_bytes <= allowed_bytes,
                "{} bytes within {} ms",
                sent_bytes,
                now.since(start).as_millis()
            );
            pacer.begin_round(now);
            pacer.record_bytes(report);
            pacer.record_bytes(answer);
            sent_bytes += report + answer;
        }
    }
}

/// Guards against rounds that are less frequent than the rate limit requires.
#[test]
fn small_rounds_follow_at_the_minimum_interval() {
    let mut pacer = ReportPacer::new();

    assert_eq!(pacer.next_round(), None);
    pacer.begin_round(ClockTime(1_000));
    pacer.record_bytes(MAX_REPORT_BYTES_PER_S / 2);
    assert_eq!(pacer.next_round(), Some(ClockTime(1_500)));
    pacer.record_bytes(MAX_REPORT_BYTES_PER_S);
    assert_eq!(pacer.next_round(), Some(ClockTime(2_500)));
    assert_eq!(pacer.interval(), REPORT_INTERVAL);
    pacer.begin_round(ClockTime(2_500));
    assert_eq!(pacer.interval(), Duration::from_millis(1_500));
}

/// Guards against an uneven distribution of flows, and against flows whose home changes although
/// it answers.
#[test]
fn only_the_flows_of_an_unreachable_control_node_move() {
    let mut homes = HomeList::new((1..=5).map(control).collect());
    let now = ClockTime(1_000);
    let before: Vec<_> = (0..500)
        .map(|number| homes.home(flow(number), now))
        .collect();

    homes.mark_unreachable(control(2), now);

    for (number, home) in before.iter().enumerate() {
        let after = homes.home(flow(number), now);
        if *home == Some(control(2)) {
            let rest = [1, 3, 4, 5].map(control);
            assert_eq!(
                after,
                home_of(flow(number), rest),
                "flow moves to the next highest hash"
            );
        } else {
            assert_eq!(after, *home);
        }
        assert_eq!(homes.home(flow(number), now + AVOID_DURATION), *home);
    }
    for host in 1..=5 {
        let flows = before.iter().filter(|home| **home == Some(control(host)));
        assert!(
            flows.count() > 50,
            "50 or fewer flows at control node {host}"
        );
    }
}

/// Guards against a selection that depends on the order of the control nodes.
#[test]
fn order_of_control_nodes_does_not_matter() {
    for number in 0..100 {
        let forward = home_of(flow(number), (1..=5).map(control));
        let backward = home_of(flow(number), (1..=5).rev().map(control));
        assert_eq!(forward, backward);
    }
}

/// Guards against reports to control nodes that do not answer, and against a panic if there are no
/// control nodes.
#[test]
fn no_home_without_a_reachable_control_node() {
    let mut homes = HomeList::new(vec![control(1)]);

    homes.mark_unreachable(control(1), ClockTime(0));

    assert_eq!(homes.home(flow(1), ClockTime(0)), None);
    assert_eq!(HomeList::default().home(flow(1), ClockTime(0)), None);
}

/// Guards against ids that change between versions of the program. Nodes of two versions must
/// agree on them during an update.
#[test]
fn flow_id_is_stable() {
    let ids: BTreeSet<FlowId> = (0..10_000).map(flow).collect();

    assert_eq!(ids.len(), 10_000);
    assert_eq!(flow(1).to_string(), "679ace608f60cf66");
}
