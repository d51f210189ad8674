//! Fairness tests of a simulated fleet with message delays, partitions and restarts.

mod common;

use common::first_come;
use common::meter::FleetMeter;
use common::network::SimulatedNetwork;
use common::settings::{CallerLoad, FleetSettings, ReportFaults, SharePolicy};

const ORGANISATIONS: usize = 16;
const ENTRIES: usize = 6;
const AGENTS: usize = 12;
const CONTROLS: usize = 3;

/// Load of one organisation, spread evenly over some entries; `rate` is in requests per second.
fn load(organisation: usize, entries: &[usize], rate: u64) -> Vec<CallerLoad> {
    let interval_ms = 1000 * entries.len() as u64 / rate;
    let loads = entries.iter().map(|entry| CallerLoad {
        organisation,
        entry: *entry,
        interval_ms,
        start_ms: 0,
    });
    loads.collect()
}

fn fleet(loads: Vec<CallerLoad>) -> FleetSettings {
    FleetSettings {
        regions: 3,
        entries: ENTRIES,
        agents: AGENTS,
        controls: CONTROLS,
        slots: 2,
        weights: vec![1000; ORGANISATIONS],
        loads,
        max_waiting: 64,
        wave_size: usize::MAX,
        policy: SharePolicy::FleetTotals,
        faults: None,
        seed: 7,
    }
}

/// Three large organisations send 20 times the requests of each small one. Each small one uses two
/// entries.
fn three_large() -> Vec<CallerLoad> {
    let all: Vec<usize> = (0..ENTRIES).collect();
    let loads = (0..ORGANISATIONS).flat_map(|organisation| match organisation {
        0..3 => load(organisation, &all, 200),
        _ => load(
            organisation,
            &[organisation % ENTRIES, (organisation + 1) % ENTRIES],
            10,
        ),
    });
    loads.collect()
}

/// All callers of organisations 0 (large) and 1 (small) use one entry; those of the others are
/// spread over all entries.
fn uneven_callers() -> Vec<CallerLoad> {
    let all: Vec<usize> = (0..ENTRIES).collect();
    let loads = (0..ORGANISATIONS).flat_map(|organisation| match organisation {
        0 => load(organisation, &[0], 200),
        1 => load(organisation, &[0], 10),
        _ => load(organisation, &all, 12),
    });
    loads.collect()
}

fn all_organisations() -> Vec<usize> {
    (0..ORGANISATIONS).collect()
}

fn print_results(meter: &FleetMeter, bound: f64, label: &str) {
    println!(
        "{label}: gap {:.0} of at most {bound:.0} at {:?}, end gap {:.0}, utilisation {:.3}, \
         offered {}, claimed {}, granted {}, refused {}, reports {} B",
        meter.gap,
        meter.worst_pair,
        meter.final_gap(&all_organisations()),
        meter.utilisation(),
        meter.offered,
        meter.claimed,
        meter.granted,
        meter.refused,
        meter.report_bytes,
    );
}

fn check_invariants(network: &SimulatedNetwork, bound: f64, label: &str) {
    let meter = &network.meter;
    print_results(meter, bound, label);
    assert!(
        meter.gap <= bound,
        "{label}: gap of {} exceeds the bound of {bound}",
        meter.gap
    );
    assert_eq!(
        meter.idle_violations.first(),
        None,
        "{label}: an agent was idle"
    );
    let starved = meter.service.iter().position(|service| *service == 0);
    assert_eq!(starved, None, "{label}: an organisation got no service");
}

/// Guards against large organisations that take the shares of small ones.
#[test]
fn three_large_organisations_do_not_reduce_the_shares_of_others() {
    let settings = fleet(three_large());
    let bound = settings.bound(0);
    let mut network = SimulatedNetwork::new(settings);

    network.run_until(20_000);

    check_invariants(&network, bound, "three large");
}

/// Guards against shares that depend on the entries that an organisation uses.
#[test]
fn share_does_not_depend_on_the_entries_used() {
    let settings = fleet(uneven_callers());
    let bound = settings.bound(0);
    let mut network = SimulatedNetwork::new(settings);

    network.run_until(20_000);

    check_invariants(&network, bound, "uneven callers");
}

/// Guards against shares that are not proportional to the weights: two organisations have twice the
/// normal weight, and one has half of it.
#[test]
fn shares_are_proportional_to_the_weights() {
    let mut settings = fleet(three_large());
    settings.weights[0] = 2000;
    settings.weights[7] = 500;
    settings.weights[9] = 2000;
    let bound = settings.bound(0);
    let mut network = SimulatedNetwork::new(settings);

    network.run_until(20_000);

    check_invariants(&network, bound, "weights");
}

/// Guards against idle agents and starved flows when a request is offered to only a few agents at a
/// time.
#[test]
fn small_waves_keep_the_bound() {
    let mut settings = fleet(three_large());
    settings.wave_size = 2;
    let bound = settings.bound(0);
    let mut network = SimulatedNetwork::new(settings);

    network.run_until(15_000);

    check_invariants(&network, bound, "waves of two agents");
}

/// Guards against credit for idle time: an organisation that sends its first request after 30 s
/// must not catch up with the service that others received before.
#[test]
fn late_organisation_gets_no_credit() {
    let mut loads = three_large();
    for load in &mut loads {
        if [0, 5].contains(&load.organisation) {
            load.start_ms = 30_000;
        }
    }
    let settings = fleet(loads);
    let bound = settings.bound(0);
    let mut network = SimulatedNetwork::new(settings);

    network.run_until(30_000);
    let credit = network.meter.share(1);
    assert!(
        credit > bound,
        "credit of {credit} would not exceed the bound of {bound}"
    );
    network.run_until(40_000);

    check_invariants(&network, bound, "late organisation");
}

/// Guards against an overload that takes the shares of others while agents are partitioned from
/// homes. The totals are then as old as the partition, and the difference in service must be
/// compensated after it.
#[test]
fn overload_during_a_partition_is_compensated() {
    // In the first case each side has control nodes; in the second, one side has none.
    for controls in [vec![0], vec![]] {
        let settings = fleet(three_large());
        let during_bound = settings.bound(5_000);
        let after_bound = settings.bound(0);
        let mut network = SimulatedNetwork::new(settings);

        network.run_until(3_000);
        network.partition = [0, 3, 6, 9].into();
        network.partition_controls = controls.iter().copied().collect();
        network.run_until(8_000);
        network.partition.clear();
        network.partition_controls.clear();
        network.run_until(20_000);

        check_invariants(
            &network,
            during_bound,
            &format!("partition with {controls:?}"),
        );
        let gap = network.meter.final_gap(&all_organisations());
        assert!(
            gap <= after_bound,
            "gap of {gap} exceeds the bound of {after_bound} after the partition"
        );
    }
}

/// Guards against requests that are lost or granted twice while a region is disconnected with its
/// entries and agents, and against differences in service that are not compensated afterwards.
#[test]
fn disconnection_of_a_region_is_compensated() {
    let settings = fleet(three_large());
    let bound = settings.bound(0);
    let mut network = SimulatedNetwork::new(settings);

    network.run_until(3_000);
    network.isolate_region(0);
    network.run_until(6_000);
    network.restore_region();
    network.run_until(25_000);

    print_results(&network.meter, bound, "region disconnected");
    assert_eq!(network.meter.idle_violations.first(), None);
    let gap = network.meter.final_gap(&all_organisations());
    assert!(gap <= bound, "gap of {gap} exceeds the bound of {bound}");
}

/// Guards against shares that change when an entry restarts without its state.
#[test]
fn restart_of_an_entry_keeps_the_bound() {
    for index in 0..ENTRIES {
        let settings = fleet(three_large());
        let bound = settings.bound(0);
        let mut network = SimulatedNetwork::new(settings);

        network.run_until(6_100);
        network.restart_entry(index);
        network.run_until(12_000);

        check_invariants(&network, bound, &format!("restart of entry {index}"));
    }
}

/// Guards against usage that is lost or counted twice when a control node, the home of some flows,
/// restarts without its state.
#[test]
fn restart_of_a_home_keeps_the_bound() {
    for index in 0..CONTROLS {
        let settings = fleet(three_large());
        let bound = settings.bound(0);
        let mut network = SimulatedNetwork::new(settings);

        network.run_until(6_100);
        network.restart_control(index);
        network.run_until(12_000);

        check_invariants(&network, bound, &format!("restart of control node {index}"));
    }
}

/// Guards against usage that is lost or counted twice when reports and answers are lost, delayed,
/// repeated and reordered while agents and homes restart. The simulated network checks each total.
#[test]
fn faulty_reports_keep_the_bound() {
    for seed in 1..=4 {
        let mut settings = fleet(three_large());
        settings.seed = seed;
        settings.faults = Some(ReportFaults {
            lost_percent: 5,
            repeated_percent: 10,
            max_delay_ms: 700,
        });
        // The loss of a message is detected after 1 s. Another node is then the home for 2 s, and
        // its total lacks the usage that other agents report to the first home. Messages are
        // delayed by up to 700 ms in each direction.
        let bound = settings.bound(1_000 + 2_000 + 2 * 700);
        let mut network = SimulatedNetwork::new(settings);

        for round in 1..=8 {
            network.run_until(2_000 * round);
            network.restart_agent((5 * round as usize + seed as usize) % AGENTS);
            network.restart_control((round as usize + seed as usize) % CONTROLS);
        }
        network.run_until(20_000);

        check_invariants(&network, bound, &format!("faulty reports, seed {seed}"));
    }
}

/// Guards against usage that never reaches a home: without faults, a total lacks only the service
/// since the last report round.
#[test]
fn totals_include_all_service_before_the_last_round() {
    let mut network = SimulatedNetwork::new(fleet(three_large()));

    network.run_until(19_000);
    let served = network.meter.service.clone();
    network.run_until(20_000);

    for (organisation, served) in served.iter().enumerate() {
        let total = network.home_total(organisation);
        let raised = network.raised[organisation];
        assert!(
            total >= served + raised,
            "total {total} is below service {served} plus raises {raised}"
        );
    }
}

/// Guards against an agent that chooses by age after a restart, until it has received the counters.
#[test]
fn restart_of_an_agent_keeps_the_bound() {
    let settings = fleet(uneven_callers());
    let bound = settings.bound(0);
    let mut network = SimulatedNetwork::new(settings);

    network.run_until(6_100);
    network.restart_agent(4);
    network.run_until(15_000);

    check_invariants(&network, bound, "restart of an agent");
}

/// Guards against requests that are lost or granted twice when connections fail.
#[test]
fn broken_connections_lose_no_request() {
    let settings = fleet(three_large());
    let bound = settings.bound(0);
    let mut network = SimulatedNetwork::new(settings);

    for round in 1..40 {
        network.run_until(round * 250);
        network.reconnect(round as usize % ENTRIES, round as usize * 5 % AGENTS);
    }

    check_invariants(&network, bound, "broken connections");
}

/// Prints the results of two simpler designs under the same load. Guards against a load so even
/// that the bound would hold without fair scheduling.
#[test]
fn first_come_first_served_breaks_the_bound() {
    for (label, loads) in [
        ("three large", three_large()),
        ("uneven callers", uneven_callers()),
    ] {
        let mut settings = fleet(loads);
        let bound = settings.bound(0);
        let first_come = first_come::run(&settings, 20_000);
        print_results(
            &first_come,
            bound,
            &format!("{label}, first come first served"),
        );
        settings.policy = SharePolicy::LocalTotals;
        let mut local_network = SimulatedNetwork::new(settings);
        local_network.run_until(20_000);
        print_results(
            &local_network.meter,
            bound,
            &format!("{label}, each agent alone"),
        );
        if label == "three large" {
            assert!(
                first_come.gap > bound,
                "gap of {} is within the bound of {bound}",
                first_come.gap
            );
        }
    }
}
