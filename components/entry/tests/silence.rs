//! Connections that go silent while new connections work, and packets that arrive late and twice.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use agent::{AgentHandle, TargetKind};
use common::recorder::FakeRecorder;
use common::relay::{BOTH, Direction, UdpProxy};
use common::target::FakeTarget;
use common::{
    Caller, EVENT_TIMEOUT, Fleet, expected_tokens, parse_tokens, read_rest, read_tokens, wait_until,
};
use entry::{CallRecorder, EntryLimits};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use rstest::rstest;
use wire::{BeginCall, BeginOutcome, EndCall};

/// Time within which a silent connection must be detected (section 3.7 of the design).
const MAX_DETECTION_TIME: Duration = Duration::from_secs(2);

/// Time without a reader after which the agent cancels a repeatable run.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an agent that entries reach through a UDP proxy.
async fn agent_behind_proxy(
    fleet: &Fleet,
    service: &str,
    kind: TargetKind,
    target: &FakeTarget,
) -> (AgentHandle, UdpProxy) {
    let agent = fleet
        .start_unlisted_agent("agent-1", service, kind, target.address)
        .await;
    let proxy = UdpProxy::start(agent.address()).await;
    fleet.list_node_at(agent.directory_entry(), proxy.address);
    (agent, proxy)
}

fn assert_silence_detected(proxy: &UdpProxy) {
    let delay = proxy
        .reconnect_delay()
        .expect("a new connection was opened after the silence");
    assert!(
        delay < MAX_DETECTION_TIME,
        "the silence was detected after {delay:?}"
    );
}

/// Guards against a stream that hangs, loses tokens or repeats tokens after its connection went
/// silent in one or both directions.
#[rstest]
#[case(&BOTH)]
#[case(&[Direction::Upstream])]
#[case(&[Direction::Downstream])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_continues_after_silence(#[case] silent_directions: &[Direction]) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(20).await;
    let (_agent, proxy) =
        agent_behind_proxy(&fleet, "stone-advice", TargetKind::Model, &target).await;
    let entry = fleet.start_entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(60, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 20).await;

    proxy.block_connections_in(silent_directions);
    target.state.permits.add_permits(40);
    read_rest(response, &mut text).await;

    assert_eq!(parse_tokens(&text), expected_tokens(60));
    assert_eq!(target.count(|state| &state.requests), 1);
    // If packets from the agent still arrive, all tokens may arrive before the silence is detected.
    if silent_directions.contains(&Direction::Downstream) {
        assert_silence_detected(&proxy);
    }
}

/// Guards against an unstreamed response that hangs or is lost, and against a second execution,
/// when the connection goes silent during the run. Covers reads and calls that may not be repeated.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unstreamed_response_arrives_after_silence(
    #[values(&BOTH, &[Direction::Upstream], &[Direction::Downstream])]
    silent_directions: &[Direction],
    #[values(false, true)] repeatable: bool,
) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let (_agent, proxy) = agent_behind_proxy(&fleet, "visits", TargetKind::Plain, &target).await;
    let entry = fleet.start_entry("entry-1").await;
    let caller = Caller::new(&entry);
    let response = tokio::spawn(async move {
        let response = match repeatable {
            true => caller.get("/services/visits/held").await,
            false => caller.order("key-1", "visit").await,
        };
        response.text().await.unwrap()
    });
    wait_until("the request is at the target", || {
        target.count(|state| &state.requests) == 1
    })
    .await;

    proxy.block_connections_in(silent_directions);
    wait_until("the entry reconnects", || proxy.reconnect_delay().is_some()).await;
    target.state.permits.add_permits(1);
    let response = tokio::time::timeout(EVENT_TIMEOUT, response).await.unwrap();

    let expected = if repeatable { "held" } else { "order 1" };
    assert_eq!(response.unwrap(), expected);
    assert_eq!(target.count(|state| &state.requests), 1);
    assert_silence_detected(&proxy);
}

/// Recorder that blocks the connection to the agent once the record is written, so that the start
/// is sent on a silent connection.
struct SilencingRecorder {
    recorder: Arc<FakeRecorder>,
    proxy: Arc<UdpProxy>,
    silent_directions: Vec<Direction>,
}

impl CallRecorder for SilencingRecorder {
    fn begin(&self, call: BeginCall) -> BoxFuture<'_, Option<BeginOutcome>> {
        async move {
            let outcome = self.recorder.apply_begin(&call);
            if self.proxy.reconnect_delay().is_none() {
                self.proxy.block_connections_in(&self.silent_directions);
            }
            Some(outcome)
        }
        .boxed()
    }

    fn end(&self, call: EndCall) -> BoxFuture<'_, bool> {
        self.recorder.end(call)
    }
}

/// Guards against a call that is lost or runs twice when its connection goes silent after the
/// record is written and before the start is sent.
#[rstest]
#[case(&BOTH)]
#[case(&[Direction::Upstream])]
#[case(&[Direction::Downstream])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_runs_once_when_started_on_silent_connection(#[case] silent_directions: &[Direction]) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(2).await;
    let (_agent, proxy) = agent_behind_proxy(&fleet, "visits", TargetKind::Plain, &target).await;
    let proxy = Arc::new(proxy);
    let recorder = Arc::new(SilencingRecorder {
        recorder: fleet.recorder.clone(),
        proxy: proxy.clone(),
        silent_directions: silent_directions.into(),
    });
    let entry = fleet
        .start_entry_with_recorder("entry-1", EntryLimits::default(), recorder)
        .await;
    let caller = Caller::new(&entry);

    let response = tokio::time::timeout(EVENT_TIMEOUT, caller.order("key-1", "visit")).await;

    assert_eq!(response.unwrap().text().await.unwrap(), "order 1");
    assert_eq!(target.count(|state| &state.orders), 1);
    assert_silence_detected(&proxy);
}

/// Guards against tokens that are lost, duplicated or reordered when packets arrive late and twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_is_complete_when_packets_arrive_late_and_twice() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(20).await;
    let (_agent, proxy) =
        agent_behind_proxy(&fleet, "stone-advice", TargetKind::Model, &target).await;
    let entry = fleet.start_entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(200, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 20).await;

    proxy.delay_and_repeat(Duration::from_millis(100));
    target.state.permits.add_permits(90);
    read_tokens(&mut response, &mut text, 60).await;
    // The resumed stream repeats chunks that the first connection still delivers late.
    proxy.block_connections_in(&[Direction::Downstream]);
    target.state.permits.add_permits(90);
    read_rest(response, &mut text).await;

    assert_eq!(parse_tokens(&text), expected_tokens(200));
    assert_eq!(target.count(|state| &state.requests), 1);
}

/// Guards against a target that continues to work for an entry that crashed without closing its
/// connections, and against a run that is cancelled while its entry could still resume it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_of_silently_crashed_entry_is_cancelled() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let (agent, proxy) =
        agent_behind_proxy(&fleet, "stone-advice", TargetKind::Model, &target).await;
    let entry = fleet.start_entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(10, true).await;
    read_tokens(&mut response, &mut String::new(), 5).await;

    let crashed_at = Instant::now();
    proxy.cut(&BOTH);
    entry.kill().await;
    wait_until("the target's connection is closed", || {
        target.count(|state| &state.failed_connections) == 1
    })
    .await;
    let cancel_delay = crashed_at.elapsed();
    wait_until("the slot is free", || is_idle(&agent)).await;

    assert!(
        cancel_delay >= ORPHAN_TIMEOUT,
        "cancelled after {cancel_delay:?}"
    );
    let max_delay = MAX_DETECTION_TIME + ORPHAN_TIMEOUT + Duration::from_secs(1);
    assert!(cancel_delay < max_delay, "cancelled after {cancel_delay:?}");
}

fn is_idle(agent: &AgentHandle) -> bool {
    let node = agent.directory_entry();
    matches!(node.kind, wire::NodeKind::Agent(target) if target.running.0 == 0)
}

/// Guards against a call that is cancelled or runs twice when its entry crashes without closing its
/// connections, and against a response that a resend through another entry does not receive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_of_silently_crashed_entry_is_answered_by_another_entry() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let (agent, proxy) = agent_behind_proxy(&fleet, "visits", TargetKind::Plain, &target).await;
    let first_entry = fleet.start_entry("entry-1").await;
    let caller = Caller::new(&first_entry);
    let interrupted_order = tokio::spawn(async move { caller.try_order("key-1", "visit").await });
    wait_until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    proxy.cut(&BOTH);
    first_entry.kill().await;
    fleet.list_node(agent.directory_entry());
    let second_entry = fleet.start_entry("entry-2").await;
    let caller = Caller::new(&second_entry);
    let running_response = caller.order("key-1", "visit").await;
    target.state.permits.add_permits(1);
    let resend = async {
        loop {
            let response = caller.order("key-1", "visit").await;
            if response.status() != 409 {
                break response;
            }
        }
    };
    let final_response = tokio::time::timeout(EVENT_TIMEOUT, resend).await.unwrap();

    assert_eq!(running_response.status(), 409);
    assert_eq!(final_response.text().await.unwrap(), "order 1");
    assert_eq!(target.count(|state| &state.orders), 1);
    interrupted_order.abort();
}
