//! Taking a data centre or target out during network partitions.

mod network;

use std::time::{Duration, Instant};

use network::relay::{BOTH, Direction, UdpProxy};
use network::{
    EVENT_TIMEOUT, REGIONS, RegionFleet, TAKE_OUT_TIMEOUT, data_centre_order, target_out_order,
};
use rstest::rstest;

/// Time for which starts are observed after an order: the 3 s of [`TAKE_OUT_TIMEOUT`] and 2 s more
/// to detect a late start.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);

/// Part of the fleet that is partitioned from control when the data centre is taken out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum PartitionCase {
    NoPartition,
    /// The agent of the data centre cannot exchange packets with any control node.
    Agents,
    /// The agent receives no packets of the control nodes, which still receive its renewals.
    RepliesToAgents,
    /// Packets between the agent and control arrive late and twice.
    LateAgents,
    /// The entries of two regions cannot exchange packets with any control node.
    Entries,
    /// Neither the agent nor the entry of the region can exchange packets with any control node, so
    /// both keep the old configuration.
    AgentsAndEntry,
    /// The control node of the region is isolated together with the agent and the entry, which can
    /// only renew with it.
    Control,
}

fn partition_region(fleet: &RegionFleet, region: usize, case: PartitionCase) {
    let nodes = &fleet.regions[region];
    let other = &fleet.regions[(region + 1) % REGIONS];
    let cut_all = |proxies: &[UdpProxy], directions: &[Direction]| {
        proxies.iter().for_each(|proxy| proxy.cut(directions));
    };
    match case {
        PartitionCase::NoPartition => {}
        PartitionCase::Agents => cut_all(&nodes.agent_proxies, &BOTH),
        PartitionCase::RepliesToAgents => cut_all(&nodes.agent_proxies, &[Direction::Downstream]),
        PartitionCase::LateAgents => nodes
            .agent_proxies
            .iter()
            .for_each(|proxy| proxy.delay_and_repeat(Duration::from_millis(200))),
        PartitionCase::Entries => {
            cut_all(&nodes.entry_proxies, &BOTH);
            cut_all(&other.entry_proxies, &BOTH);
        }
        PartitionCase::AgentsAndEntry => {
            cut_all(&nodes.agent_proxies, &BOTH);
            cut_all(&nodes.entry_proxies, &BOTH);
        }
        PartitionCase::Control => {
            fleet.isolate_control(region);
            cut_all(&nodes.agent_proxies[1..], &BOTH);
            cut_all(&nodes.entry_proxies[1..], &BOTH);
        }
    }
}

/// Guards against new requests from any entry to a data centre that is out, whichever part of the
/// fleet cannot learn of the order. An isolated control node continues to answer renewals, so
/// its nodes can detect the partition only by the age of its last confirmation.
#[rstest]
#[case(PartitionCase::NoPartition, false)]
#[case(PartitionCase::Agents, false)]
#[case(PartitionCase::RepliesToAgents, false)]
#[case(PartitionCase::LateAgents, false)]
#[case(PartitionCase::Entries, false)]
#[case(PartitionCase::AgentsAndEntry, false)]
#[case(PartitionCase::Control, false)]
#[case(PartitionCase::Control, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn data_centre_that_is_out_receives_no_requests(
    #[case] case: PartitionCase,
    #[case] is_leader_region: bool,
) {
    let fleet = RegionFleet::start().await;
    let leader = fleet.wait_for_leader().await;
    let region = if is_leader_region {
        leader
    } else {
        (leader + 1) % REGIONS
    };
    let load = fleet.start_load();
    fleet
        .wait_until_started(region, fleet.fetch_started_requests(region).await)
        .await;

    partition_region(&fleet, region, case);
    let accepted_at = fleet.send_order(data_centre_order(region, true, 1)).await;
    let other = (region + 2) % REGIONS;
    let started_before = fleet.fetch_started_requests(other).await;
    let last_start = fleet
        .observe_last_start(region, accepted_at, OBSERVATION_TIME)
        .await;
    let started_elsewhere = fleet.fetch_started_requests(other).await - started_before;
    let counts = load.stop().await;

    println!(
        "{case:?}: last start {last_start:?} after the order, {started_elsewhere} starts in \
         another region, {counts:?}"
    );
    assert!(
        last_start < TAKE_OUT_TIMEOUT,
        "the engine started a request {last_start:?} after the order"
    );
    assert!(started_elsewhere > 0, "the other region started no request");
    assert!(counts.is_all_complete_or_not_run(), "{counts:?}");
}

/// Way in which a target is withdrawn.
#[derive(Debug, Clone, Copy)]
enum LeaveMethod {
    /// The operator sends the order `target out`.
    Order,
    /// Its agent shuts down gracefully, as it does on SIGTERM.
    Stop,
}

/// Guards against new requests for a target that leaves, and against requests that are interrupted,
/// lost or refused while it does.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_target_receives_no_new_requests_and_completes_running_ones(
    #[values(LeaveMethod::Order, LeaveMethod::Stop)] method: LeaveMethod,
) {
    let mut fleet = RegionFleet::start().await;
    let agent = fleet.regions[0].agent.take().unwrap();
    let load = fleet.start_load();
    fleet
        .wait_until_started(0, fleet.fetch_started_requests(0).await)
        .await;

    let mut stop_task = None;
    let leave_time = match method {
        LeaveMethod::Order => fleet.send_order(target_out_order(0, 1)).await,
        LeaveMethod::Stop => Instant::now(),
    };
    match method {
        LeaveMethod::Order => fleet.regions[0].agent = Some(agent),
        LeaveMethod::Stop => stop_task = Some(tokio::spawn(agent.leave())),
    }
    let last_start = fleet
        .observe_last_start(0, leave_time, OBSERVATION_TIME)
        .await;
    let counts = load.stop().await;
    if let Some(stop_task) = stop_task {
        tokio::time::timeout(EVENT_TIMEOUT, stop_task)
            .await
            .unwrap()
            .unwrap();
    }

    println!("{method:?}: last start {last_start:?}, {counts:?}");
    assert!(
        last_start < TAKE_OUT_TIMEOUT,
        "the engine started a request {last_start:?} after the target left"
    );
    assert!(counts.complete > 0, "no request was completed");
    assert!(counts.is_all_complete(), "{counts:?}");
}

/// Guards against a status that omits which node lacks the newest version, or for how long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_names_the_node_that_lacks_the_newest_version() {
    let fleet = RegionFleet::start().await;
    let proxies = &fleet.regions[0].agent_proxies;
    proxies
        .iter()
        .for_each(|proxy| proxy.cut(&[Direction::Downstream]));
    fleet.send_order(data_centre_order(0, true, 1)).await;

    fleet
        .wait_for_lagging_nodes(&["agent-1"], TAKE_OUT_TIMEOUT)
        .await;
    fleet.heal();
    fleet.wait_for_lagging_nodes(&[], Duration::ZERO).await;
}

/// Guards against a long-isolated region that continues with its old configuration, or that starts
/// requests after the partition ends and before it has received the order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_isolated_region_stays_out() {
    let fleet = RegionFleet::start().await;
    let region = (fleet.wait_for_leader().await + 1) % REGIONS;
    let load = fleet.start_load();

    let partition_time = Instant::now();
    partition_region(&fleet, region, PartitionCase::Control);
    let last_isolated = fleet
        .observe_last_start(region, partition_time, OBSERVATION_TIME)
        .await;
    let accepted_at = fleet.send_order(data_centre_order(region, true, 1)).await;
    fleet.heal();
    let last_after_order = fleet
        .observe_last_start(region, accepted_at, OBSERVATION_TIME)
        .await;
    let before = fleet.fetch_started_requests(region).await;
    fleet.send_order(data_centre_order(region, false, 2)).await;
    fleet.wait_until_started(region, before).await;
    let counts = load.stop().await;

    println!(
        "last start {last_isolated:?} after the partition, {last_after_order:?} after the order, \
         {counts:?}"
    );
    assert!(
        last_isolated < TAKE_OUT_TIMEOUT,
        "the engine started a request {last_isolated:?} after the partition"
    );
    assert_eq!(
        last_after_order,
        Duration::ZERO,
        "the region started a request although it was out"
    );
    assert!(counts.is_all_complete_or_not_run(), "{counts:?}");
}

/// Guards against requests that start, or orders that are accepted, without a quorum. Also guards
/// against an order that takes effect twice when the operator resends it after the partition.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_regions_refuse_work_and_orders() {
    let fleet = RegionFleet::start().await;
    let load = fleet.start_load();

    let partition_time = Instant::now();
    (0..REGIONS).for_each(|region| fleet.isolate_control(region));
    let observations = (0..REGIONS)
        .map(|region| fleet.observe_last_start(region, partition_time, OBSERVATION_TIME));
    let (is_accepted, last_starts) = tokio::join!(
        fleet.try_order(data_centre_order(0, true, 1)),
        futures_util::future::join_all(observations)
    );
    fleet.heal();
    // The isolated leader may still commit the order, so the operator resends it.
    let accepted_at = fleet.send_order(data_centre_order(0, true, 1)).await;
    let last_after_order = fleet
        .observe_last_start(0, accepted_at, OBSERVATION_TIME)
        .await;
    let mut before = Vec::new();
    for region in 0..REGIONS {
        before.push(fleet.fetch_started_requests(region).await);
    }
    fleet.send_order(data_centre_order(0, false, 2)).await;
    for (region, count) in before.into_iter().enumerate() {
        fleet.wait_until_started(region, count).await;
    }
    let counts = load.stop().await;

    println!(
        "last starts {last_starts:?} after the partition, {last_after_order:?} after the order, \
         {counts:?}"
    );
    assert!(!is_accepted, "an order was accepted without a quorum");
    assert!(
        last_starts.iter().all(|last| *last < TAKE_OUT_TIMEOUT),
        "last starts {last_starts:?} after the partition"
    );
    assert!(
        last_after_order < TAKE_OUT_TIMEOUT,
        "the engine started a request {last_after_order:?} after the order"
    );
    assert!(counts.is_all_complete_or_not_run(), "{counts:?}");
}
