//! Usage reports of agents to a control node.

mod support;

use support::{NODE_NAMES, TestGroup};
use units::{CostUnits, Incarnation, ServiceName};
use wire::{
    ControlReply, ControlRequest, FlowActivity, FlowId, FlowKey, FlowTotal, FlowUsage, NodeRole,
    UsageReport,
};

fn report(reporter: &str, incarnation: u64, count: u64) -> ControlRequest {
    let service = ServiceName::from("stone-advice");
    let flow = FlowKey {
        organisation: "mlyn-hora".into(),
        service: service.clone(),
    };
    let usage = FlowUsage {
        flow: FlowId::of(&flow),
        count: CostUnits(count),
        known_total: CostUnits(0),
        unpublished_count: CostUnits(count),
        raise_to: None,
        activity: FlowActivity::Waiting,
    };
    ControlRequest::Usage(UsageReport {
        reporter: reporter.into(),
        incarnation: Incarnation(incarnation),
        interval_ms: 500,
        service,
        virtual_time: 10 * count,
        flows: vec![usage],
    })
}

fn totals(reply: ControlReply) -> (Vec<FlowTotal>, u64) {
    match reply {
        ControlReply::Usage(answer) => (answer.totals, answer.virtual_time),
        other => panic!("{other:?}"),
    }
}

/// Guards against counts that are not summed over agents, against a control node that does not keep
/// totals for the reports that it receives, and against totals that require a quorum.
#[tokio::test(flavor = "multi_thread")]
async fn control_node_sums_counts_of_all_agents_without_a_quorum() {
    let mut group = TestGroup::start().await;
    group.wait_ready().await;
    let address = group.nodes[1].as_ref().unwrap().address();
    let first = group.client(NodeRole::Agent, "agent-1");
    let second = group.client(NodeRole::Agent, "agent-2");
    group.kill(0).await;
    group.kill(2).await;

    let one = first.request_at(address, &report("agent-1", 1, 30)).await;
    let two = second.request_at(address, &report("agent-2", 1, 12)).await;

    let (one, time) = totals(one.unwrap());
    assert_eq!(
        (one[0].total, one[0].is_backlogged_elsewhere, time),
        (CostUnits(30), false, 300)
    );
    let (two, time) = totals(two.unwrap());
    assert_eq!(
        (two[0].total, two[0].is_backlogged_elsewhere, time),
        (CostUnits(42), true, 300)
    );
}

/// Guards against usage reports from roles other than agents, and from an agent under another name
/// or incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn only_an_agent_reports_its_own_usage() {
    let group = TestGroup::start().await;
    let address = group.nodes[0].as_ref().unwrap().address();
    let agent = group.client(NodeRole::Agent, "agent-1");

    for role in [NodeRole::Entry, NodeRole::Control, NodeRole::Operator] {
        let name = if role == NodeRole::Control {
            NODE_NAMES[0]
        } else {
            "other"
        };
        let client = group.client(role, name);
        let reply = client.request_at(address, &report(name, 1, 1)).await;
        assert_eq!(reply.unwrap(), ControlReply::Forbidden(role));
    }
    for (name, incarnation) in [("agent-2", 1), ("agent-1", 2)] {
        let reply = agent
            .request_at(address, &report(name, incarnation, 1))
            .await;
        assert!(
            matches!(reply, Ok(ControlReply::BadRequest(_))),
            "{reply:?}"
        );
    }
}
