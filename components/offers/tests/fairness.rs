//! Fairness of the whole fleet, joined by a fake network with delays, partitions and restarts.

mod common;

use common::network::{CallerLoad, FakeNetwork, FleetSettings, SharePolicy};

const ORGANISATIONS: usize = 16;
const ENTRIES: usize = 6;

/// Load of one organisation, spread over some entries, in requests for each second.
fn load(organisation: usize, entries: &[usize], rate: u64) -> Vec<CallerLoad> {
    let every_ms = 1000 * entries.len() as u64 / rate;
    let loads = entries.iter().map(|entry| CallerLoad {
        organisation,
        entry: *entry,
        every_ms,
    });
    loads.collect()
}

fn fleet(loads: Vec<CallerLoad>) -> FleetSettings {
    FleetSettings {
        regions: 3,
        entries: ENTRIES,
        agents: 12,
        slots: 2,
        weights: vec![1000; ORGANISATIONS],
        loads,
        max_waiting: 64,
        policy: SharePolicy::Fleet,
        seed: 7,
    }
}

/// Three organisations offer 20 times the rest; each small one calls at two entries.
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

/// All callers of a large organisation are at one entry, those of small ones are spread.
fn uneven_callers() -> Vec<CallerLoad> {
    let all: Vec<usize> = (0..ENTRIES).collect();
    let loads = (0..ORGANISATIONS).flat_map(|organisation| match organisation {
        0 => load(organisation, &[0], 200),
        1 => load(organisation, &[0], 10),
        _ => load(organisation, &all, 12),
    });
    loads.collect()
}

fn check(network: &FakeNetwork, bound: f64, label: &str) {
    let meter = &network.meter;
    println!(
        "{label}: gap {:.0} of at most {bound:.0} {:?}, end gap {:.0}, utilisation {:.3}, granted {}, refused {}, idle faults {}",
        meter.gap,
        meter.worst,
        meter.final_gap(&(0..ORGANISATIONS).collect::<Vec<_>>()),
        meter.utilisation(),
        meter.granted,
        meter.refused,
        meter.idle_faults.len(),
    );
    assert!(
        meter.gap <= bound,
        "{label}: gap {} over {bound}",
        meter.gap
    );
    assert_eq!(meter.idle_faults.first(), None, "{label}");
    let starved = meter.service.iter().position(|service| *service == 0);
    assert_eq!(starved, None, "{label}: an organisation got no service");
}

/// Guards against large organisations taking the shares of small ones.
#[test]
fn three_large_organisations_leave_the_others_their_share() {
    let settings = fleet(three_large());
    let bound = settings.bound(0);
    let mut network = FakeNetwork::new(settings);

    network.run_until(20_000);

    check(&network, bound, "three large");
}

/// Guards against shares that depend on the entries at which an organisation calls.
#[test]
fn callers_at_one_entry_get_no_other_share_than_spread_ones() {
    let settings = fleet(uneven_callers());
    let bound = settings.bound(0);
    let mut network = FakeNetwork::new(settings);

    network.run_until(20_000);

    check(&network, bound, "uneven callers");
}
