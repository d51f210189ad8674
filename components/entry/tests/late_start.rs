//! Runs whose request body arrives after their agent may no longer accept new work.

mod common;

use std::time::{Duration, Instant};

use agent::{AgentHandle, TargetKind};
use common::target::FakeTarget;
use common::{EVENT_TIMEOUT, Fleet};
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

/// Entry side of a link on which a test sends and receives single frames.
struct FrameEntry {
    link: PeerLink,
    _session: FrameReader,
    _pings: JoinSet<()>,
}

/// Sends pings so that the agent does not close the connection as silent.
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
    /// Connects to an agent, offers the request and waits until the agent claims it.
    async fn connect_and_claim(fleet: &Fleet, agent: &AgentHandle) -> Self {
        let endpoint = fleet.bind_endpoint(NodeRole::Entry, "entry-1");
        let link = endpoint
            .connect(agent.address(), NodeRole::Agent)
            .await
            .unwrap();
        let (mut writer, mut reader) = link.open(StreamKind::Session).await.unwrap();
        writer.send(&EntryMessage::Offer(offer())).await.unwrap();
        let wait_for_claim = async {
            while let Some(message) = reader.receive::<AgentMessage>().await.unwrap() {
                if message == AgentMessage::Claim(REQUEST) {
                    return;
                }
            }
            panic!("the session ended without a claim");
        };
        tokio::time::timeout(EVENT_TIMEOUT, wait_for_claim)
            .await
            .unwrap();
        let mut pings = JoinSet::new();
        pings.spawn(ping(writer));
        Self {
            link,
            _session: reader,
            _pings: pings,
        }
    }
}

/// Queries other requests. Streams are accepted in order, so the replies show that the agent has
/// handled all frames that were sent before.
async fn query_other_requests(link: &PeerLink, agent: &AgentHandle) {
    let incarnation = agent.directory_entry().incarnation;
    for number in 0..20 {
        let (mut writer, mut reader) = link.open(StreamKind::Run).await.unwrap();
        let query = RunMessage::Query {
            request: RequestId(REQUEST.0 + 1 + number),
            incarnation,
        };
        writer.send(&query).await.unwrap();
        let receive = reader.receive::<RunReply>();
        let reply = tokio::time::timeout(EVENT_TIMEOUT, receive).await.unwrap();
        assert_eq!(reply.unwrap(), Some(RunReply::Status(RunStatus::NotRun)));
    }
}

/// Reason why the agent may not accept new work.
#[derive(Debug, Clone, Copy)]
enum Restriction {
    LeaseEnded,
    DataCentreOut,
    TargetOut,
}

/// Guards against a request that reaches a target after the lease of its agent ended or after the
/// data centre or the target was taken out, because its start arrived before and its body after.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_body_does_not_reach_restricted_target(
    #[values(
        Restriction::LeaseEnded,
        Restriction::DataCentreOut,
        Restriction::TargetOut
    )]
    restriction: Restriction,
    #[values(false, true)] repeatable: bool,
) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let agent = fleet
        .start_unlisted_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = FrameEntry::connect_and_claim(&fleet, &agent).await;
    let (mut writer, mut reader) = entry.link.open(StreamKind::Run).await.unwrap();
    writer
        .send(&RunMessage::Start(start(repeatable)))
        .await
        .unwrap();
    query_other_requests(&entry.link, &agent).await;

    fleet.agent_view.write(|view| match restriction {
        Restriction::LeaseEnded => view.lease_end = ClockTime(0),
        Restriction::DataCentreOut => {
            let out_data_centres = &mut view.config.out_data_centres;
            out_data_centres.insert(DataCentreName::from("praha-1"));
        }
        Restriction::TargetOut => {
            let out_targets = &mut view.config.out_targets;
            out_targets.insert(TargetName::from("target-of-agent-1"));
        }
    });
    writer.send(&RunMessage::Body(BODY.to_vec())).await.unwrap();
    let reply = tokio::time::timeout(EVENT_TIMEOUT, reader.receive::<RunReply>()).await;
    drop(writer);

    let reply = reply.unwrap().unwrap().unwrap();
    let RunReply::Failed { status, code, .. } = reply else {
        panic!("expected a refused start, got {reply:?}");
    };
    assert_eq!((status, code), (RunStatus::NotRun, FailureCode::NotServing));
    assert_eq!(target.count(|state| &state.requests), 0);
}

/// Time from the start of a shutdown within which the target may still receive new work.
const NEW_WORK_WINDOW: Duration = Duration::from_secs(3);

/// Guards against new work for a target that has been leaving for more than 3 s, caused by a start
/// that the agent accepted in time and whose body arrived later.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_body_does_not_reach_leaving_target(#[values(false, true)] repeatable: bool) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let agent = fleet
        .start_unlisted_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = FrameEntry::connect_and_claim(&fleet, &agent).await;
    let (mut writer, mut reader) = entry.link.open(StreamKind::Run).await.unwrap();
    writer
        .send(&RunMessage::Start(start(repeatable)))
        .await
        .unwrap();
    query_other_requests(&entry.link, &agent).await;

    let leave_started = Instant::now();
    let leaving = tokio::spawn(agent.leave());
    tokio::time::sleep_until((leave_started + NEW_WORK_WINDOW).into()).await;
    writer.send(&RunMessage::Body(BODY.to_vec())).await.unwrap();
    let reply = tokio::time::timeout(EVENT_TIMEOUT, reader.receive::<RunReply>()).await;
    drop(writer);

    let reply = reply.unwrap().unwrap().unwrap();
    let RunReply::Failed { status, code, .. } = reply else {
        panic!("expected a refused start, got {reply:?}");
    };
    assert_eq!((status, code), (RunStatus::NotRun, FailureCode::NotServing));
    assert_eq!(target.count(|state| &state.requests), 0);
    leaving.await.unwrap();
}
