//! Connections that go silent while new ones work.

mod common;

use std::time::Duration;

use agent::TargetKind;
use common::relay::Relay;
use common::target::FakeTarget;
use common::{Caller, Fleet, expected_tokens, read_rest, read_tokens, tokens};

/// Time within which a silent connection must be found (section 3.7 of the design).
const FOUND_WITHIN: Duration = Duration::from_secs(2);

/// Guards against a stream that hangs, loses tokens or repeats them after its connection went
/// silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_goes_on_after_silence() {
    let fleet = Fleet::new();
    let target = FakeTarget::start(20).await;
    let agent = fleet
        .unlisted_agent("agent-1", "stone-advice", TargetKind::Model, target.address)
        .await;
    let relay = Relay::start(agent.address()).await;
    fleet.list_at(agent.directory_entry(), relay.address);
    let entry = fleet.entry("entry-1").await;
    let mut response = Caller::new(&entry).chat(60, true).await;
    let mut text = String::new();
    read_tokens(&mut response, &mut text, 20).await;

    relay.silence();
    target.state.permits.add_permits(40);
    read_rest(response, &mut text).await;

    assert_eq!(tokens(&text), expected_tokens(60));
    assert_eq!(target.count(|state| &state.requests), 1);
    let found = relay.found_after().expect("a new connection was opened");
    assert!(found < FOUND_WITHIN, "found after {found:?}");
}
