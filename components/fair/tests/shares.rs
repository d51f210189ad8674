//! Max-min shares, and the load patterns that they answer.
//!
//! The replay has an engine pool that serves a fixed rate in arrival order, entries with a gate each,
//! and organisations whose callers enter at some of the entries.

use std::collections::BTreeMap;
use std::time::Duration;

use fair::{DEMAND_INTERVAL, DemandHome, ShareGate, share_level};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, CostUnits, FlowWeight, Incarnation};
use wire::{FlowId, FlowKey};

const EVEN: FlowWeight = FlowWeight(1000);
const OBJECTIVE: Duration = Duration::from_millis(400);

fn flow(number: usize) -> FlowId {
    FlowId::of(&FlowKey {
        organisation: format!("organisation-{number}").as_str().into(),
        service: "models".into(),
    })
}

/// Shares by raising the level one unit at a time.
fn naive_shares(capacity: u64, demands: &[u64]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    let mut left = capacity;
    loop {
        let hungry: Vec<usize> = (0..demands.len())
            .filter(|index| shares[*index] < demands[*index])
            .collect();
        if hungry.is_empty() || left < hungry.len() as u64 {
            return shares;
        }
        for index in hungry {
            shares[index] += 1;
            left -= 1;
        }
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(5),
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a level that gives more than there is, or leaves capacity unused.
    #[test]
    fn level_gives_the_shares_of_the_naive_version(
        capacity in 0u64..2_000,
        demands in prop::collection::vec(0u64..600, 1..12),
    ) {
        let level = share_level(capacity, demands.iter().map(|rate| (*rate, EVEN)));
        let shares: Vec<u64> = demands
            .iter()
            .map(|rate| level.map_or(*rate, |level| level.min(*rate)))
            .collect();

        for (share, naive) in shares.iter().zip(naive_shares(capacity, &demands)) {
            prop_assert!(share.abs_diff(naive) <= 1, "{shares:?} at {capacity}: {demands:?}");
        }
    }
}

/// One request in the pool's queue.
struct QueuedRequest {
    organisation: usize,
    entry: usize,
    cost: u64,
    arrived: u64,
}

/// Traffic of one organisation.
#[derive(Clone)]
struct Traffic {
    /// Entries that its callers use.
    entries: Vec<usize>,
    /// Cost of one request.
    cost: u64,
    /// Milliseconds between two requests of the calm time and of the busy time.
    gaps: (u64, u64),
}

/// What the organisations got in the measured seconds.
#[derive(Default, Clone)]
struct Served {
    asked: u64,
    in_time: u64,
    begun: u64,
}

struct Replay {
    traffic: Vec<Traffic>,
    gated: bool,
    /// Cost units that the pool serves in a second.
    capacity: u64,
    busy_from: u64,
    measured_from: u64,
    end: u64,
}

impl Replay {
    fn run(&self) -> Vec<Served> {
        let entries = 3;
        let mut gates: Vec<ShareGate> = (0..entries)
            .map(|_| ShareGate::new("models".into(), ClockTime(0)))
            .collect();
        let mut home = DemandHome::new();
        let mut served = vec![Served::default(); self.traffic.len()];
        let mut queue: Vec<QueuedRequest> = Vec::new();
        let mut credit = 0;
        for now in 0..self.end {
            let clock = ClockTime(now);
            for (organisation, traffic) in self.traffic.iter().enumerate() {
                let gap = match now < self.busy_from {
                    true => traffic.gaps.0,
                    false => traffic.gaps.1,
                };
                if now % gap != organisation as u64 % gap {
                    continue;
                }
                let entry = traffic.entries[(now / gap) as usize % traffic.entries.len()];
                let gate = &mut gates[entry];
                let cost = CostUnits(traffic.cost);
                let within = gate.admit(flow(organisation), EVEN, cost, false, clock);
                if now >= self.measured_from {
                    served[organisation].asked += traffic.cost;
                }
                // As in `place`, an entry holds requests back while its oldest one waits for long.
                let oldest = queue.iter().find(|request| request.entry == entry);
                let holds = oldest.is_some_and(|oldest| {
                    Duration::from_millis(now - oldest.arrived) > OBJECTIVE * 6 / 10
                });
                if (within && !holds) || !self.gated {
                    gate.record_grant(cost);
                    queue.push(QueuedRequest {
                        organisation,
                        entry,
                        cost: traffic.cost,
                        arrived: now,
                    });
                }
            }
            credit += self.capacity;
            while queue
                .first()
                .is_some_and(|first| first.cost * 1000 <= credit)
            {
                let first = queue.remove(0);
                credit -= first.cost * 1000;
                let latency = Duration::from_millis(now - first.arrived);
                gates[first.entry].record_first_byte(CostUnits(first.cost), latency, OBJECTIVE);
                if now >= self.measured_from {
                    let served = &mut served[first.organisation];
                    served.begun += first.cost;
                    served.in_time += if latency <= OBJECTIVE { first.cost } else { 0 };
                }
            }
            credit = if queue.is_empty() { 0 } else { credit };
            self.report(&mut gates, &mut home, now);
        }
        served
    }

    /// Each entry reports at its own time.
    fn report(&self, gates: &mut [ShareGate], home: &mut DemandHome, now: u64) {
        let interval = DEMAND_INTERVAL.as_millis() as u64;
        for (entry, gate) in gates.iter_mut().enumerate() {
            if now % interval != 37 * entry as u64 {
                continue;
            }
            let name = format!("entry-{entry}").as_str().into();
            let report = gate.take_report(name, Incarnation(1), ClockTime(now));
            let (reply, _) = home.apply_report(&report, None, ClockTime(now));
            gate.apply_reply(&reply, ClockTime(now));
        }
    }
}

/// Seven small organisations that ask 40 units a second each, and a large one that floods from the
/// fifth second on; the pool serves 1,000 units a second.
fn flood(gated: bool) -> Vec<Served> {
    let small = Traffic {
        entries: vec![0, 1, 2],
        cost: 10,
        gaps: (250, 250),
    };
    let large = Traffic {
        entries: vec![1],
        cost: 20,
        gaps: (40, 5),
    };
    let replay = Replay {
        traffic: (0..7).map(|_| small.clone()).chain([large]).collect(),
        gated,
        capacity: 1_000,
        busy_from: 5_000,
        measured_from: 9_000,
        end: 20_000,
    };
    replay.run()
}

fn part(served: &[Served], of: impl Fn(&Served) -> u64) -> f64 {
    let asked: u64 = served.iter().map(|one| one.asked).sum();
    served.iter().map(of).sum::<u64>() as f64 / asked as f64
}

/// Load pattern: one organisation sends many times its usual. The small ones, which ask less than
/// their shares, must be served in time; without the gate none of them is.
#[test]
fn flood_leaves_small_organisations_in_time() {
    let (gated, open) = (flood(true), flood(false));

    let (with, without) = (
        part(&gated[..7], |one| one.in_time),
        part(&open[..7], |one| one.in_time),
    );

    assert!(with >= 0.95, "{with}");
    assert!(without < 0.05, "{without}");
}

/// Guards against capacity that is idle while the large organisation is refused.
#[test]
fn flood_gets_what_the_others_leave() {
    let gated = flood(true);

    let begun: u64 = gated.iter().map(|one| one.begun).sum();

    // 11 s at 1,000 units a second.
    let used = begun as f64 / 11_000.0;
    assert!(used >= 0.8, "{used}");
}

/// Guards against unequal shares of two organisations that both ask too much and enter elsewhere.
#[test]
fn two_floods_get_equal_shares() {
    let flood = |entries: Vec<usize>, cost, gap| Traffic {
        entries,
        cost,
        gaps: (gap, gap),
    };
    let replay = Replay {
        traffic: vec![flood(vec![0], 20, 5), flood(vec![0, 1, 2], 20, 12)],
        gated: true,
        capacity: 1_000,
        busy_from: 0,
        measured_from: 6_000,
        end: 20_000,
    };

    let served = replay.run();

    let ratio = served[0].begun as f64 / served[1].begun as f64;
    assert!((0.7..=1.4).contains(&ratio), "{ratio}");
}

/// Guards against refusals while everything is answered in time.
#[test]
fn calm_load_is_never_refused() {
    let calm = Traffic {
        entries: vec![0, 1, 2],
        cost: 10,
        gaps: (50, 50),
    };
    let replay = Replay {
        traffic: vec![calm; 3],
        gated: true,
        capacity: 1_000,
        busy_from: 0,
        measured_from: 0,
        end: 10_000,
    };

    let served = replay.run();

    let asked: u64 = served.iter().map(|one| one.asked).sum();
    let begun: u64 = served.iter().map(|one| one.begun).sum();
    assert!(begun + 30 >= asked, "{begun} of {asked}");
}

/// Guards against shares of a time before the flood: without answers of control every request is
/// within its share after two seconds.
#[test]
fn unanswered_gate_lets_everything_through() {
    let mut gate = ShareGate::new("models".into(), ClockTime(0));
    let mut home = DemandHome::new();
    let mut refused: BTreeMap<u64, bool> = BTreeMap::new();
    for now in (0..4_000).step_by(10) {
        let within = gate.admit(flow(0), EVEN, CostUnits(100), false, ClockTime(now));
        refused.insert(now, !within);
        gate.record_first_byte(CostUnits(50), OBJECTIVE * 2, OBJECTIVE);
        if now < 1_500 && now % 500 == 0 {
            let report = gate.take_report("entry".into(), Incarnation(1), ClockTime(now));
            let (reply, _) = home.apply_report(&report, None, ClockTime(now));
            gate.apply_reply(&reply, ClockTime(now));
        }
    }

    assert!(refused.range(1_000..2_000).any(|(_, refused)| *refused));
    assert!(refused.range(3_100..).all(|(_, refused)| !refused));
}

/// Load pattern: callers that were refused come back, and are late whatever happens. Guards against
/// shares that they use up while requests that could be in time are refused.
#[test]
fn overdue_requests_leave_room_for_others() {
    let mut gate = ShareGate::new("models".into(), ClockTime(0));
    let mut home = DemandHome::new();
    let (mut fresh, mut overdue) = (0, 0);
    for now in (0..10_000).step_by(20) {
        let clock = ClockTime(now);
        // Either kind alone asks what the flow may have; the answers are late until shares bind.
        let is_overdue = now % 40 == 0;
        let within = gate.admit(flow(0), EVEN, CostUnits(20), is_overdue, clock);
        if within && now >= 4_000 {
            *(if is_overdue { &mut overdue } else { &mut fresh }) += 1;
        }
        gate.record_first_byte(CostUnits(10), OBJECTIVE * 3 / 4, OBJECTIVE);
        if now % 240 == 0 {
            let report = gate.take_report("entry".into(), Incarnation(1), clock);
            let (reply, _) = home.apply_report(&report, Some(500), clock);
            gate.apply_reply(&reply, clock);
        }
    }

    assert!(fresh >= 3 * overdue, "{fresh} fresh and {overdue} overdue");
}
