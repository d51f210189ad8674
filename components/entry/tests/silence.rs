//! Connections that go silent while new ones work, and packets that arrive late and twice.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use agent::{AgentHandle, TargetKind};
use common::recorder::FakeRecorder;
use common::relay::{BOTH, Direction, Relay};
use common::target::FakeTarget;
use common::{Caller, Fleet, PATIENCE, expected_tokens, read_rest, read_tokens, tokens, until};
use entry::{CallRecorder, EntryLimits};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use rstest::rstest;
use wire::{BeginCall, BeginOutcome, EndCall};

/// Time within which a silent connection must be found (section 3.7 of the design).
const FOUND_WITHIN: Duration = Duration::from_secs(2);

/// Time without a reader after which the agent cancels a run that may be repeated.
const ORPHAN_TIME: Duration = Duration::from_secs(5);

/// Starts an agent that entries reach over a relay.
async fn agent_behind_relay(
    fleet: &Fleet,
    service: &str,
    kind: TargetKind,
    target: &FakeTarget,
) -> (AgentHandle, Relay) {
    let agent = fleet
        .unlisted_agent("agent-1", service, kind, target.address)
        .await;
    let relay = Relay::start(agent.address()).await;
    fleet.list_at(agent.directory_entry(), relay.address);
    (agent, relay)
}

fn assert_found(relay: &Relay) {
    let found = relay.found_after().expect("a new connection was opened");
    assert!(found < FOUND_WITHIN, "found after {found:?}");
}

/// Guards against a stream that hangs, loses tokens or repeats them after its connection went
/// silent, in one direction or both.
#[rstest]
#[case(&BOTH)]
#[case(&[Direction::Forth])]
#[case(&[Direction::Back])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_goes_on_after_silence(#[case] silent: &[Direction]) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(20).await;
    let (_agent, relay) =
        agent_behind_relay(&fleet, "stone-advice", TargetKind::Model, &target).await;
    let entry = fleet.entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(60, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 20).await;

    relay.silence_in(silent);
    target.state.permits.add_permits(40);
    read_rest(response, &mut text).await;

    assert_eq!(tokens(&text), expected_tokens(60));
    assert_eq!(target.count(|state| &state.requests), 1);
    // Tokens that are on their way may arrive before the silence is noticed.
    if silent.contains(&Direction::Back) {
        assert_found(&relay);
    }
}

/// Guards against a whole answer, or a call that may not be repeated, that hangs, is lost or runs
/// again when its connection goes silent while it runs.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_answer_arrives_after_silence(
    #[values(&BOTH, &[Direction::Forth], &[Direction::Back])] silent: &[Direction],
    #[values(false, true)] repeatable: bool,
) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let (_agent, relay) = agent_behind_relay(&fleet, "visits", TargetKind::Plain, &target).await;
    let entry = fleet.entry("entry-1").await;
    let caller = Caller::new(&entry);
    let answer = tokio::spawn(async move {
        let response = match repeatable {
            true => caller.get("/services/visits/held").await,
            false => caller.order("key-1", "visit").await,
        };
        response.text().await.unwrap()
    });
    until("the request is at the target", || {
        target.count(|state| &state.requests) == 1
    })
    .await;

    relay.silence_in(silent);
    until("the silence is found", || relay.found_after().is_some()).await;
    target.state.permits.add_permits(1);
    let answer = tokio::time::timeout(PATIENCE, answer).await.unwrap();

    let wanted = if repeatable { "held" } else { "order 1" };
    assert_eq!(answer.unwrap(), wanted);
    assert_eq!(target.count(|state| &state.requests), 1);
    assert_found(&relay);
}

/// Recorder that silences the connection to the agent once the record is written, so that the
/// start meets a silent connection.
struct SilencingRecorder {
    recorder: Arc<FakeRecorder>,
    relay: Arc<Relay>,
    silent: Vec<Direction>,
}

impl CallRecorder for SilencingRecorder {
    fn begin(&self, call: BeginCall) -> BoxFuture<'_, Option<BeginOutcome>> {
        async move {
            let outcome = self.recorder.apply_begin(&call);
            if self.relay.found_after().is_none() {
                self.relay.silence_in(&self.silent);
            }
            Some(outcome)
        }
        .boxed()
    }

    fn end(&self, call: EndCall) -> BoxFuture<'_, bool> {
        self.recorder.end(call)
    }
}

/// Guards against a call that is lost or runs twice when the connection goes silent between its
/// record and its start.
#[rstest]
#[case(&BOTH)]
#[case(&[Direction::Forth])]
#[case(&[Direction::Back])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_runs_once_when_its_start_meets_silence(#[case] silent: &[Direction]) {
    let fleet = Fleet::new();
    let target = FakeTarget::start(2).await;
    let (_agent, relay) = agent_behind_relay(&fleet, "visits", TargetKind::Plain, &target).await;
    let relay = Arc::new(relay);
    let recorder = Arc::new(SilencingRecorder {
        recorder: fleet.recorder.clone(),
        relay: relay.clone(),
        silent: silent.into(),
    });
    let entry = fleet
        .entry_over("entry-1", EntryLimits::default(), recorder)
        .await;
    let caller = Caller::new(&entry);

    let answer = tokio::time::timeout(PATIENCE, caller.order("key-1", "visit")).await;

    assert_eq!(answer.unwrap().text().await.unwrap(), "order 1");
    assert_eq!(target.count(|state| &state.orders), 1);
    assert_found(&relay);
}

/// Guards against tokens that are lost, doubled or exchanged when packets arrive late and twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_is_whole_when_packets_arrive_late_and_twice() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(20).await;
    let (_agent, relay) =
        agent_behind_relay(&fleet, "stone-advice", TargetKind::Model, &target).await;
    let entry = fleet.entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(200, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 20).await;

    relay.delay_and_repeat(Duration::from_millis(100));
    target.state.permits.add_permits(90);
    read_tokens(&mut response, &mut text, 60).await;
    // The resumed stream sends chunks again that the first connection still delivers late.
    relay.silence_in(&[Direction::Back]);
    target.state.permits.add_permits(90);
    read_rest(response, &mut text).await;

    assert_eq!(tokens(&text), expected_tokens(200));
    assert_eq!(target.count(|state| &state.requests), 1);
}

/// Guards against a target that goes on working for an entry that died without a word, and against
/// one that is cut off before its entry could have resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_of_an_entry_that_died_silently_is_cancelled() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(5).await;
    let (agent, relay) =
        agent_behind_relay(&fleet, "stone-advice", TargetKind::Model, &target).await;
    let entry = fleet.entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(10, true).await;
    read_tokens(&mut response, &mut String::new(), 5).await;

    let lost = Instant::now();
    relay.cut(&BOTH);
    entry.kill().await;
    until("the target's connection is closed", || {
        target.count(|state| &state.broken) == 1
    })
    .await;
    let cancelled = lost.elapsed();
    until("the slot is free", || is_idle(&agent)).await;

    assert!(cancelled >= ORPHAN_TIME, "cancelled after {cancelled:?}");
    let longest = FOUND_WITHIN + ORPHAN_TIME + Duration::from_secs(1);
    assert!(cancelled < longest, "cancelled after {cancelled:?}");
}

fn is_idle(agent: &AgentHandle) -> bool {
    let node = agent.directory_entry();
    matches!(node.kind, wire::NodeKind::Agent(target) if target.running.0 == 0)
}

/// Guards against a call that is cut off with its entry, runs again, or whose response is lost for
/// the caller that sends it again through another entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_of_an_entry_that_died_silently_is_answered_by_another() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(0).await;
    let (agent, relay) = agent_behind_relay(&fleet, "visits", TargetKind::Plain, &target).await;
    let first = fleet.entry("entry-1").await;
    let caller = Caller::new(&first);
    let broken = tokio::spawn(async move { caller.try_order("key-1", "visit").await });
    until("the order is at the target", || {
        target.count(|state| &state.orders) == 1
    })
    .await;

    relay.cut(&BOTH);
    first.kill().await;
    fleet.list(agent.directory_entry());
    let second = fleet.entry("entry-2").await;
    let caller = Caller::new(&second);
    let running = caller.order("key-1", "visit").await;
    target.state.permits.add_permits(1);
    let asking = async {
        loop {
            let response = caller.order("key-1", "visit").await;
            if response.status() != 409 {
                break response;
            }
        }
    };
    let found = tokio::time::timeout(PATIENCE, asking).await.unwrap();

    assert_eq!(running.status(), 409);
    assert_eq!(found.text().await.unwrap(), "order 1");
    assert_eq!(target.count(|state| &state.orders), 1);
    broken.abort();
}
