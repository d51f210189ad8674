//! Starts whose body arrives after the agent may take no new work.

mod common;

use std::time::{Duration, Instant};

use agent::{AgentHandle, TargetKind};
use common::target::FakeTarget;
use common::{Fleet, PATIENCE};
use link::{FrameReader, FrameWriter, PeerLink};
use rstest::rstest;
use tokio::task::JoinSet;
use units::{ClockTime, CostUnits, DataCentreName, FlowWeight, PrefixHash, RequestId, TargetName};
use wire::{
    AgentMessage, EntryMessage, FailureCode, FlowKey, HeaderField, NodeRole, RequestHead,
    RequestOffer, RunMessage, RunReply, RunStart, RunStatus, StreamKind,
};

const REQUEST: RequestId = RequestId(7);
const PING_INTERVAL: Duration = Duration::from_millis(500);
const BODY: &[u8] = b"visit";

fn flow() -> FlowKey {
    FlowKey {
        organisation: "mlyn-hora".into(),
        service: "visits".into(),
    }
}

fn offer() -> RequestOffer {
    RequestOffer {
        request: REQUEST,
        flow: flow(),
        weight: FlowWeight(1),
        cost_estimate: CostUnits(1),
        prefix: PrefixHash(0),
        waited_ms: 0,
    }
}

fn start(repeatable: bool) -> RunStart {
    RunStart {
        request: REQUEST,
        flow: flow(),
        repeatable,
        cost_estimate: CostUnits(1),
        deadline_ms: 10_000,
        trace: None,
        head: RequestHead {
            method: "POST".into(),
            path: "/orders".into(),
            headers: vec![HeaderField {
                name: "content-type".into(),
                value: b"text/plain".to_vec(),
            }],
        },
        body_size: BODY.len() as u64,
    }
}

/// Entry that speaks the protocol frame by frame.
struct FrameEntry {
    link: PeerLink,
    _session: FrameReader,
    _pings: JoinSet<()>,
}

/// Keeps the connection from being silent.
async fn ping(mut writer: FrameWriter) {
    let mut interval = tokio::time::interval(PING_INTERVAL);
    loop {
        interval.tick().await;
        if writer.send(&EntryMessage::Ping(0)).await.is_err() {
            return;
        }
    }
}

impl FrameEntry {
    /// Connects and offers the request until the agent claims it.
    async fn claimed(fleet: &Fleet, agent: &AgentHandle) -> Self {
        let endpoint = fleet.endpoint(NodeRole::Entry, "entry-1");
        let link = endpoint
            .connect(agent.address(), NodeRole::Agent)
            .await
            .unwrap();
        let (mut writer, mut reader) = link.open(StreamKind::Session).await.unwrap();
        writer.send(&EntryMessage::Offer(offer())).await.unwrap();
        let claiming = async {
            while let Some(message) = reader.receive::<AgentMessage>().await.unwrap() {
                if message == AgentMessage::Claim(REQUEST) {
                    return;
                }
            }
            panic!("the session ended without a claim");
        };
        tokio::time::timeout(PATIENCE, claiming).await.unwrap();
        let mut pings = JoinSet::new();
        pings.spawn(ping(writer));
        Self {
            link,
            _session: reader,
            _pings: pings,
        }
    }
}

/// Asks about other requests. Streams are accepted in order, so the answers show that the agent has
/// handled what was sent before.
async fn ask_others(link: &PeerLink, agent: &AgentHandle) {
    let incarnation = agent.directory_entry().incarnation;
    for number in 0..20 {
        let (mut writer, mut reader) = link.open(StreamKind::Run).await.unwrap();
        let query = RunMessage::Query {
            request: RequestId(REQUEST.0 + 1 + number),
            incarnation,
        };
        writer.send(&query).await.unwrap();
        let asking = reader.receive::<RunReply>();
        let reply = tokio::time::timeout(PATIENCE, asking).await.unwrap();
        assert_eq!(reply.unwrap(), Some(RunReply::Status(RunStatus::NotRun)));
    }
}

#[derive(Debug, Clone, Copy)]
enum Ban {
    Lease,
    DataCentre,
    Target,
}

/// Guards against work that reaches the target of a data centre that is out, because its start
/// arrived before the order and its body long after.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_body_does_not_reach_the_target(
    #[values(Ban::Lease, Ban::DataCentre, Ban::Target)] ban: Ban,
    #[values(false, true)] repeatable: bool,
) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let agent = fleet
        .unlisted_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = FrameEntry::claimed(&fleet, &agent).await;
    let (mut writer, mut reader) = entry.link.open(StreamKind::Run).await.unwrap();
    writer
        .send(&RunMessage::Start(start(repeatable)))
        .await
        .unwrap();
    ask_others(&entry.link, &agent).await;

    fleet.agent_view.write(|view| match ban {
        Ban::Lease => view.lease_end = ClockTime(0),
        Ban::DataCentre => {
            let out = &mut view.config.out_data_centres;
            out.insert(DataCentreName::from("praha-1"));
        }
        Ban::Target => {
            let out = &mut view.config.out_targets;
            out.insert(TargetName::from("target-of-agent-1"));
        }
    });
    writer.send(&RunMessage::Body(BODY.to_vec())).await.unwrap();
    let reply = tokio::time::timeout(PATIENCE, reader.receive::<RunReply>()).await;
    drop(writer);

    let reply = reply.unwrap().unwrap().unwrap();
    let RunReply::Failed { status, code, .. } = reply else {
        panic!("the run has begun: {reply:?}");
    };
    assert_eq!((status, code), (RunStatus::NotRun, FailureCode::NotServing));
    assert_eq!(target.count(|state| &state.requests), 0);
}

/// Time after which a leaving target gets no new work.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// Guards against new work for a target that has been leaving for longer than 3 s, from a start
/// that the agent accepted in time and whose body arrived later.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_body_does_not_reach_a_leaving_target(#[values(false, true)] repeatable: bool) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let agent = fleet
        .unlisted_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = FrameEntry::claimed(&fleet, &agent).await;
    let (mut writer, mut reader) = entry.link.open(StreamKind::Run).await.unwrap();
    writer
        .send(&RunMessage::Start(start(repeatable)))
        .await
        .unwrap();
    ask_others(&entry.link, &agent).await;

    let left = Instant::now();
    let leaving = tokio::spawn(agent.leave());
    tokio::time::sleep_until((left + LEAVE_TIME).into()).await;
    writer.send(&RunMessage::Body(BODY.to_vec())).await.unwrap();
    let reply = tokio::time::timeout(PATIENCE, reader.receive::<RunReply>()).await;
    drop(writer);

    let reply = reply.unwrap().unwrap().unwrap();
    let RunReply::Failed { status, code, .. } = reply else {
        panic!("the run has begun: {reply:?}");
    };
    assert_eq!((status, code), (RunStatus::NotRun, FailureCode::NotServing));
    assert_eq!(target.count(|state| &state.requests), 0);
    leaving.await.unwrap();
}
