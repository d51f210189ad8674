//! A data centre that is taken out while parts of the fleet are cut off from each other.

mod network;

use std::time::{Duration, Instant};

use network::relay::{BOTH, Direction, UdpProxy};
use network::{OUT_TIME, PATIENCE, REGIONS, RegionFleet, data_centre, target_out};
use rstest::rstest;

/// Time for which starts are observed after an order: the 3 s and as much again that shows a late
/// start.
const WATCH_TIME: Duration = Duration::from_secs(5);

/// What is cut off when the data centre is taken out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Cut {
    Nothing,
    /// The agents of the data centre, from all control nodes.
    Agents,
    /// The same, but their renewals still arrive.
    RepliesToAgents,
    /// Packets to and from the agents arrive late and twice.
    LateAgents,
    /// The entries of two regions, from all control nodes.
    Entries,
    /// The agents of the data centre and the entry beside them, which keep the old configuration.
    AgentsAndEntry,
    /// The control node of the region, with the agents and the entry that renew with it.
    Control,
}

/// Cuts a region off as the case says.
fn cut_off(fleet: &RegionFleet, region: usize, cut: Cut) {
    let parts = &fleet.regions[region];
    let other = &fleet.regions[(region + 1) % REGIONS];
    let cut_all = |ways: &[UdpProxy], directions: &[Direction]| {
        ways.iter().for_each(|way| way.cut(directions));
    };
    match cut {
        Cut::Nothing => {}
        Cut::Agents => cut_all(&parts.agent_ways, &BOTH),
        Cut::RepliesToAgents => cut_all(&parts.agent_ways, &[Direction::Downstream]),
        Cut::LateAgents => parts
            .agent_ways
            .iter()
            .for_each(|way| way.delay_and_repeat(Duration::from_millis(200))),
        Cut::Entries => {
            cut_all(&parts.entry_ways, &BOTH);
            cut_all(&other.entry_ways, &BOTH);
        }
        Cut::AgentsAndEntry => {
            cut_all(&parts.agent_ways, &BOTH);
            cut_all(&parts.entry_ways, &BOTH);
        }
        Cut::Control => {
            fleet.cut_control(region);
            cut_all(&parts.agent_ways[1..], &BOTH);
            cut_all(&parts.entry_ways[1..], &BOTH);
        }
    }
}

/// Guards against new work for a data centre that is out, from any entry to any of its agents,
/// whichever part cannot learn of the order. A control node that is cut off goes on answering
/// renewals, so its nodes notice nothing but the age of its last confirmation.
#[rstest]
#[case(Cut::Nothing, false)]
#[case(Cut::Agents, false)]
#[case(Cut::RepliesToAgents, false)]
#[case(Cut::LateAgents, false)]
#[case(Cut::Entries, false)]
#[case(Cut::AgentsAndEntry, false)]
#[case(Cut::Control, false)]
#[case(Cut::Control, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn data_centre_that_is_out_gets_no_work(#[case] cut: Cut, #[case] of_leader: bool) {
    let fleet = RegionFleet::start().await;
    let leader = fleet.leader().await;
    let region = if of_leader {
        leader
    } else {
        (leader + 1) % REGIONS
    };
    let load = fleet.load();
    fleet
        .wait_started(region, fleet.started(region).await)
        .await;

    cut_off(&fleet, region, cut);
    let accepted = fleet.order(data_centre(region, true, 1)).await;
    let other = (region + 2) % REGIONS;
    let before = fleet.started(other).await;
    let last = fleet.last_start(region, accepted, WATCH_TIME).await;
    let elsewhere = fleet.started(other).await - before;
    let counts = load.stop().await;

    println!("{cut:?}: last start {last:?} after the order, {elsewhere} elsewhere, {counts:?}");
    assert!(
        last < OUT_TIME,
        "the engine got work {last:?} after the order"
    );
    assert!(elsewhere > 0, "no work was offered");
    assert!(counts.is_whole_or_not_run(), "{counts:?}");
}

/// Way in which a target leaves.
#[derive(Debug, Clone, Copy)]
enum Leave {
    /// By the order `target out`.
    Order,
    /// By a planned stop of its agent, which SIGTERM triggers.
    Stop,
}

/// Guards against new work for a target that leaves, and against requests that are cut, lost or
/// refused because of it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_target_gets_no_work_and_finishes_its_own(
    #[values(Leave::Order, Leave::Stop)] leave: Leave,
) {
    let mut fleet = RegionFleet::start().await;
    let agent = fleet.regions[0].agent.take().unwrap();
    let load = fleet.load();
    fleet.wait_started(0, fleet.started(0).await).await;

    let mut stopping = None;
    let left = match leave {
        Leave::Order => fleet.order(target_out(0, 1)).await,
        Leave::Stop => Instant::now(),
    };
    match leave {
        Leave::Order => fleet.regions[0].agent = Some(agent),
        Leave::Stop => stopping = Some(tokio::spawn(agent.leave())),
    }
    let last = fleet.last_start(0, left, WATCH_TIME).await;
    let counts = load.stop().await;
    if let Some(stopping) = stopping {
        tokio::time::timeout(PATIENCE, stopping)
            .await
            .unwrap()
            .unwrap();
    }

    println!("{leave:?}: last start {last:?}, {counts:?}");
    assert!(
        last < OUT_TIME,
        "the engine got work {last:?} after it left"
    );
    assert!(counts.whole > 0, "no work was offered");
    assert!(counts.is_all_whole(), "{counts:?}");
}

/// Guards against a report that hides which node lacks the newest version, or since when.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_names_the_node_that_lacks_the_newest_version() {
    let fleet = RegionFleet::start().await;
    let ways = &fleet.regions[0].agent_ways;
    ways.iter()
        .for_each(|way| way.cut(&[Direction::Downstream]));
    fleet.order(data_centre(0, true, 1)).await;

    fleet.wait_unconfirmed(&["agent-1"], OUT_TIME).await;
    fleet.heal();
    fleet.wait_unconfirmed(&[], Duration::ZERO).await;
}

/// Guards against a region that, cut off for long, goes on with its old configuration, or takes
/// work when it returns before it has the order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn region_that_was_cut_off_for_long_stays_out() {
    let fleet = RegionFleet::start().await;
    let region = (fleet.leader().await + 1) % REGIONS;
    let load = fleet.load();

    let cut_at = Instant::now();
    cut_off(&fleet, region, Cut::Control);
    let last_cut = fleet.last_start(region, cut_at, WATCH_TIME).await;
    let accepted = fleet.order(data_centre(region, true, 1)).await;
    fleet.heal();
    let last_out = fleet.last_start(region, accepted, WATCH_TIME).await;
    let before = fleet.started(region).await;
    fleet.order(data_centre(region, false, 2)).await;
    fleet.wait_started(region, before).await;
    let counts = load.stop().await;

    println!("last start {last_cut:?} after the cut, {last_out:?} after the order, {counts:?}");
    assert!(last_cut < OUT_TIME, "work {last_cut:?} after the cut");
    assert_eq!(last_out, Duration::ZERO, "the returning region got work");
    assert!(counts.is_whole_or_not_run(), "{counts:?}");
}

/// Guards against work without a quorum, against an order that is accepted without one, and against
/// one that takes effect twice when the operator repeats it after the return.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn regions_apart_refuse_work_and_orders() {
    let fleet = RegionFleet::start().await;
    let load = fleet.load();

    let cut_at = Instant::now();
    (0..REGIONS).for_each(|region| fleet.cut_control(region));
    let observing = (0..REGIONS).map(|region| fleet.last_start(region, cut_at, WATCH_TIME));
    let (order, last) = tokio::join!(
        fleet.try_order(data_centre(0, true, 1)),
        futures_util::future::join_all(observing)
    );
    fleet.heal();
    // The leader that was cut off may still commit the order, so the operator repeats it.
    let accepted = fleet.order(data_centre(0, true, 1)).await;
    let last_out = fleet.last_start(0, accepted, WATCH_TIME).await;
    let mut before = Vec::new();
    for region in 0..REGIONS {
        before.push(fleet.started(region).await);
    }
    fleet.order(data_centre(0, false, 2)).await;
    for (region, count) in before.into_iter().enumerate() {
        fleet.wait_started(region, count).await;
    }
    let counts = load.stop().await;

    println!("last starts {last:?} after the cut, {last_out:?} after the order, {counts:?}");
    assert!(!order, "an order was accepted without a quorum");
    assert!(last.iter().all(|last| *last < OUT_TIME), "{last:?}");
    assert!(last_out < OUT_TIME, "work {last_out:?} after the order");
    assert!(counts.is_whole_or_not_run(), "{counts:?}");
}
