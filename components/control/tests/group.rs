//! A group of three control nodes in one process, connected over loopback.

mod support;

use std::time::Duration;

use client::ClientError;
use registry::FleetConfig;
use support::{SERVICES_TEXT, TestGroup, agent_kind, apply, node, order, renew, renew_request};
use units::{ConfigVersion, CostUnits, FencingNumber, Incarnation, OrderId, RequestId};
use wire::{
    BeginCall, BeginOutcome, CallKey, ControlReply, ControlRequest, CrashReport, DemandReport,
    EntryReport, NodeKind, NodeRole, OperatorOrder, OrderReply,
};

/// Time without traffic after which a link is closed, 10 s, and a second more.
const LINK_IDLE_TIME: Duration = Duration::from_secs(11);

fn accepted(version: u64) -> OrderReply {
    OrderReply::Accepted(ConfigVersion(version))
}

/// Services text with a number of additional data centres.
fn text_with_data_centres(count: usize) -> String {
    let data_centres = (0..count)
        .map(|number| format!("[[data_centre]]\nname = \"brno-{number}\"\nregion = \"bohemia\"\n"));
    SERVICES_TEXT.to_string() + &data_centres.collect::<String>()
}

fn fence_order(id: &str) -> OperatorOrder {
    OperatorOrder::Fence {
        order: OrderId::from(id),
        target: "target-1".into(),
    }
}

fn begin_request(key: &str) -> ControlRequest {
    ControlRequest::Begin(BeginCall {
        call: CallKey {
            organisation: "mlyn-hora".into(),
            service: "visits".into(),
            key: key.into(),
        },
        body_hash: [7; 32],
        request: RequestId(1),
        agent: "agent-1".into(),
        incarnation: Incarnation(1),
    })
}

/// Guards against a group that forms but does not accept a services text, or that grants leases
/// without passing on the accepted configuration.
#[tokio::test(flavor = "multi_thread")]
async fn group_accepts_services_text_and_grants_leases() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let operator = group.client(NodeRole::Operator, "operator-1");

    let first = order(&operator, apply("order-1", 0, SERVICES_TEXT)).await;
    let repeated = order(&operator, apply("order-1", 0, SERVICES_TEXT)).await;
    let stale = order(&operator, apply("order-2", 0, SERVICES_TEXT)).await;
    group.wait_version(1).await;

    assert_eq!(first, accepted(1));
    assert_eq!(repeated, accepted(1));
    let current = ConfigVersion(1);
    assert_eq!(stale, OrderReply::Conflict { current });
    for index in group.running() {
        let entry = group.client_at(index, NodeRole::Entry, "entry-1");
        let reply = renew(&entry, node("entry-1", NodeKind::Entry)).await;
        let mut config = FleetConfig::default();
        config.install(&reply.changes).unwrap();
        assert_eq!(config.version, ConfigVersion(1));
        assert_eq!(config.manifest.services.len(), 1);
        assert!(reply.age_ms < 2_500, "{}", reply.age_ms);
    }
}

/// Guards against a services text of the largest fleet being refused or truncated because it does
/// not fit into one log entry or frame.
#[tokio::test(flavor = "multi_thread")]
async fn large_services_text_reaches_nodes_completely() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let operator = group.client(NodeRole::Operator, "operator-1");
    let organisations = (0..38_000).map(|number| {
        format!(
            "[[organisation]]\nname = \"organisation-{number}\"\nkey_sha256 = \"{number:064x}\"\n"
        )
    });
    let text = SERVICES_TEXT.to_string() + &organisations.collect::<String>();

    let reply = order(&operator, apply("order-1", 0, &text)).await;
    group.wait_version(1).await;
    let entry = group.client(NodeRole::Entry, "entry-1");
    let renewed = renew(&entry, node("entry-1", NodeKind::Entry)).await;

    assert_eq!(reply, accepted(1));
    let mut config = FleetConfig::default();
    config.install(&renewed.changes).unwrap();
    assert_eq!(config.manifest.organisations.len(), 38_000);
}

/// Guards against a first request that fails because the link to the control node was closed while it
/// was idle. Control nodes forward requests to the leader on such links, and the sender was told that
/// there is no quorum.
#[tokio::test(flavor = "multi_thread")]
async fn request_on_a_link_that_was_idle_is_answered() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let operator = group.client_at(0, NodeRole::Operator, "operator-1");
    operator.request(&ControlRequest::Status).await.unwrap();

    tokio::time::sleep(LINK_IDLE_TIME).await;
    let reply = operator.request_once(&ControlRequest::Status).await;

    assert!(matches!(reply, Ok(ControlReply::Status(_))), "{reply:?}");
}

/// Guards against a group that stops working when its leader stops, and against a restarted node
/// that misses orders accepted while it was down.
#[tokio::test(flavor = "multi_thread")]
async fn group_works_without_its_leader_which_catches_up_after_restart() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let operator = group.client(NodeRole::Operator, "operator-1");
    let first = order(&operator, apply("order-1", 0, &text_with_data_centres(1))).await;
    let leader = group.leader().await;
    let id = group.id_of(leader);

    group.stop(leader).await;
    let second = order(&operator, apply("order-2", 1, &text_with_data_centres(2))).await;
    group.restart(leader, false).await;
    group.wait_version(2).await;
    let repeated = order(&operator, apply("order-1", 0, &text_with_data_centres(1))).await;

    assert_eq!((first, second), (accepted(1), accepted(2)));
    assert_eq!(repeated, accepted(1));
    assert_eq!(group.id_of(leader), id);
}

/// Guards against a node that cannot catch up once the log entries that it lacks have been
/// compacted, and against a group that loses the state in its snapshots when all nodes restart.
#[tokio::test(flavor = "multi_thread")]
async fn node_catches_up_from_snapshot_and_group_restarts_from_snapshots() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let operator = group.client(NodeRole::Operator, "operator-1");
    order(&operator, apply("order-1", 0, &text_with_data_centres(1))).await;
    let absent = (group.leader().await + 1) % 3;
    group.kill(absent).await;

    let mut tasks = tokio::task::JoinSet::new();
    for worker in 0..24 {
        let operator = operator.clone();
        tasks.spawn(async move {
            for number in 0..50 {
                order(&operator, fence_order(&format!("fence-{worker}-{number}"))).await;
            }
        });
    }
    while let Some(result) = tasks.join_next().await {
        result.unwrap();
    }
    group.restart(absent, false).await;
    group.wait_version(1).await;
    let commit = group.commit_of(group.leader().await);
    for index in group.running() {
        group
            .wait(
                index,
                "the node has caught up with the commit index",
                |status| status.commit >= commit,
            )
            .await;
    }
    for index in group.running() {
        group.kill(index).await;
    }
    for index in 0..3 {
        group.restart(index, false).await;
    }
    group.wait_version(1).await;
    let next = order(&operator, fence_order("last")).await;
    let repeated = order(&operator, fence_order("fence-7-7")).await;

    assert_eq!(next, OrderReply::Fenced(FencingNumber(1_201)));
    assert!(matches!(repeated, OrderReply::Fenced(number) if number < FencingNumber(1_201)));
}

/// Guards against leases and calls being granted without a majority of the control nodes.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_majority_grants_nothing() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    group.kill(0).await;
    group.kill(1).await;
    group
        .wait(2, "the confirmation by a quorum has expired", |status| {
            status.confirmed_ms.is_none()
        })
        .await;

    let entry = group.client_at(2, NodeRole::Entry, "entry-1");
    let renewed = entry
        .request(&renew_request(node("entry-1", NodeKind::Entry)))
        .await;
    let begun = entry.request(&begin_request("key-1")).await;

    assert!(renewed.is_err(), "{renewed:?}");
    assert!(begun.is_err(), "{begun:?}");
}

/// Guards against nodes that keep an older configuration than the control nodes have, because these
/// have no quorum.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_majority_passes_on_committed_changes() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let operator = group.client(NodeRole::Operator, "operator-1");
    order(&operator, apply("order-1", 0, &text_with_data_centres(1))).await;
    group.wait_version(1).await;
    group.kill(0).await;
    group.kill(1).await;
    group
        .wait(2, "the confirmation by a quorum has expired", |status| {
            status.confirmed_ms.is_none()
        })
        .await;

    let entry = group.client_at(2, NodeRole::Entry, "entry-1");
    let renewed = entry
        .request(&renew_request(node("entry-1", NodeKind::Entry)))
        .await;

    let Err(ClientError::NoQuorum { changes, .. }) = renewed else {
        panic!("{renewed:?}");
    };
    let mut config = FleetConfig::default();
    config.install(&changes).unwrap();
    assert_eq!(config.version, ConfigVersion(1));
}

/// Guards against shares of a capacity that a new control node estimates before it has the plan that
/// states the capacity, and from the reports of a few entries: organisations then starve for as long as
/// the estimate takes to grow.
#[tokio::test(flavor = "multi_thread")]
async fn node_sums_no_demand_before_a_quorum_has_confirmed_it() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    for index in 0..3 {
        group.kill(index).await;
    }
    group.restart(2, false).await;
    let entry = group.client_at(2, NodeRole::Entry, "entry-1");
    let report = ControlRequest::Report(EntryReport {
        demand: DemandReport {
            reporter: "entry-1".into(),
            incarnation: Incarnation(1),
            service: "models".into(),
            interval_ms: 250,
            flows: Vec::new(),
            granted: CostUnits(0),
            served: CostUnits(0),
            answers: 0,
            lateness_permille: 0,
            known_capacity: None,
        },
        crashes: CrashReport {
            source: None,
            observations: Vec::new(),
            served: Vec::new(),
            successes: Vec::new(),
            quarantine: Vec::new(),
            refused: Vec::new(),
        },
        config: ConfigVersion(0),
        rollouts: Vec::new(),
        loads: None,
    });

    let unconfirmed = entry.request_once(&report).await;
    group.restart(1, false).await;
    group.wait_ready().await;
    let confirmed = entry.request_once(&report).await;

    assert!(
        matches!(unconfirmed, Err(ClientError::NoQuorum { .. })),
        "{unconfirmed:?}"
    );
    assert!(
        matches!(confirmed, Ok(ControlReply::Report(_))),
        "{confirmed:?}"
    );
}

/// Guards against a node that has lost its data folder and then does not rejoin, keeps the vote of
/// its old id, or forms a second group.
#[tokio::test(flavor = "multi_thread")]
async fn lost_data_folder_is_replaced() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let operator = group.client(NodeRole::Operator, "operator-1");
    order(&operator, apply("order-1", 0, &text_with_data_centres(1))).await;
    let lost = group.leader().await;
    let names_known = |status: &control::FleetStatus| {
        status.controls.iter().all(|control| control.name.is_some())
    };
    group
        .wait(lost, "the names of all members are recorded", names_known)
        .await;
    let old = group.id_of(lost);

    group.kill(lost).await;
    group.restart(lost, true).await;
    let new = group.id_of(lost);
    for index in group.running() {
        group
            .wait(
                index,
                "the new data folder has replaced the old one as a voter",
                |status| {
                    let is_new = |control: &control::ControlStatus| control.id == new;
                    let voters = status.controls.iter().filter(|control| control.voter);
                    voters.clone().count() == 3
                        && status.controls.len() == 3
                        && voters.into_iter().any(is_new)
                },
            )
            .await;
    }
    group.wait_version(1).await;
    let second = order(&operator, apply("order-2", 1, &text_with_data_centres(2))).await;

    assert_ne!(old, new);
    assert_eq!(second, accepted(2));
}

/// Guards against requests being accepted from a role or node that is not entitled to send them.
#[tokio::test(flavor = "multi_thread")]
async fn request_of_wrong_role_or_sender_is_refused() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let agent = group.client(NodeRole::Agent, "agent-1");
    let entry = group.client(NodeRole::Entry, "entry-1");
    let operator = group.client(NodeRole::Operator, "operator-1");
    let fence = ControlRequest::Order(fence_order("order-1"));

    let agent_begins = agent.request(&begin_request("key-1")).await.unwrap();
    let entry_orders = entry.request(&fence).await.unwrap();
    let operator_begins = operator.request(&begin_request("key-1")).await.unwrap();
    let entry_as_agent = entry
        .request(&renew_request(node("entry-1", agent_kind())))
        .await
        .unwrap();
    let entry_as_other = entry
        .request(&renew_request(node("entry-2", NodeKind::Entry)))
        .await
        .unwrap();
    let entry_begins = entry.request(&begin_request("key-1")).await.unwrap();

    assert_eq!(agent_begins, ControlReply::Forbidden(NodeRole::Agent));
    assert_eq!(entry_orders, ControlReply::Forbidden(NodeRole::Entry));
    assert_eq!(operator_begins, ControlReply::Forbidden(NodeRole::Operator));
    assert!(matches!(entry_as_agent, ControlReply::BadRequest(_)));
    assert!(matches!(entry_as_other, ControlReply::BadRequest(_)));
    assert_eq!(entry_begins, ControlReply::Begun(BeginOutcome::Granted));
}

/// Guards against directory entries that stay on the control node that received the renewal, and
/// against an outdated configuration that the status does not report.
#[tokio::test(flavor = "multi_thread")]
async fn directory_reaches_all_control_nodes() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let operator = group.client(NodeRole::Operator, "operator-1");
    order(&operator, apply("order-1", 0, SERVICES_TEXT)).await;
    group.wait_version(1).await;
    let agent = group.client_at(0, NodeRole::Agent, "agent-1");

    renew(&agent, node("agent-1", agent_kind())).await;

    for index in group.running() {
        group
            .wait(
                index,
                "the agent is listed with an outdated configuration",
                |status| {
                    let mut nodes = status.nodes.iter();
                    nodes.any(|node| node.name.as_str() == "agent-1" && node.lags_ms.is_some())
                },
            )
            .await;
    }
}
