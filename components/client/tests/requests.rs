//! Failover of requests, and updates of the directory.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use client::{ClientError, ControlClient, ControlTransport, FleetView, ReplyFuture, ReplyProgress};
use rstest::rstest;
use tokio::time::{Instant, sleep};
use units::{ClockTime, ConfigVersion, Incarnation, NodeName};
use wire::{
    ControlReply, ControlRequest, DirectoryDelta, DirectoryEntry, NodeKind, NodeState,
    OperatorOrder, RenewReply,
};

/// Behaviour of a fake control node.
#[derive(Clone, Copy)]
enum Behaviour {
    Answers,
    Silent,
    NoQuorum,
    Grants,
    /// Receives a plan at 250 KB/s and commits it within 0.9 s.
    Commits,
}

struct FakeControls {
    behaviours: Vec<Behaviour>,
    attempted_ports: Mutex<Vec<u16>>,
}

impl ControlTransport for FakeControls {
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a ControlRequest,
        _progress: &'a ReplyProgress,
    ) -> ReplyFuture<'a> {
        let port = address.port();
        self.attempted_ports.lock().unwrap().push(port);
        let behaviour = self.behaviours[usize::from(port) - 1];
        Box::pin(async move {
            match behaviour {
                Behaviour::Answers => Ok(ControlReply::Done),
                Behaviour::NoQuorum => Ok(ControlReply::NoQuorum {
                    leader: None,
                    changes: Vec::new(),
                }),
                Behaviour::Grants => Ok(ControlReply::Renewed(RenewReply {
                    age_ms: 0,
                    version: ConfigVersion(0),
                    changes: Vec::new(),
                    directory: None,
                    controls: Vec::new(),
                })),
                Behaviour::Silent => std::future::pending().await,
                Behaviour::Commits => {
                    let ControlRequest::Order(OperatorOrder::Publish { packed }) = request else {
                        panic!("unexpected request");
                    };
                    sleep(Duration::from_millis(900 + packed.len() as u64 / 250)).await;
                    Ok(ControlReply::Done)
                }
            }
        })
    }
}

fn client(behaviours: &[Behaviour]) -> (ControlClient, Arc<FakeControls>) {
    let controls = Arc::new(FakeControls {
        behaviours: behaviours.to_vec(),
        attempted_ports: Mutex::default(),
    });
    let ports = 1..=behaviours.len() as u16;
    let addresses = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let client = ControlClient::with_transport(controls.clone(), addresses.collect());
    (client, controls)
}

/// Guards against a client that tries an unresponsive node first in every request.
#[tokio::test(start_paused = true)]
async fn client_prefers_the_node_that_answered() {
    let behaviours = [Behaviour::Silent, Behaviour::NoQuorum, Behaviour::Answers];
    let (client, controls) = client(&behaviours);

    for _ in 0..2 {
        let reply = client.request(&ControlRequest::Status).await.unwrap();
        assert_eq!(reply, ControlReply::Done);
    }

    assert_eq!(*controls.attempted_ports.lock().unwrap(), [1, 2, 3, 3]);
}

/// Guards against a request that is retried without limit.
#[tokio::test(start_paused = true)]
async fn attempts_are_limited() {
    let (silent, silent_controls) = client(&[Behaviour::Silent; 3]);
    let (without_quorum, _) = client(&[Behaviour::NoQuorum; 2]);
    let (empty, _) = client(&[]);

    let unanswered = silent.request(&ControlRequest::Status).await;
    let no_quorum = without_quorum.request(&ControlRequest::Status).await;
    let no_controls = empty.request(&ControlRequest::Status).await;

    assert!(matches!(
        unanswered,
        Err(ClientError::Unanswered { attempts: 6, .. })
    ));
    assert_eq!(silent_controls.attempted_ports.lock().unwrap().len(), 6);
    assert!(matches!(
        no_quorum,
        Err(ClientError::NoQuorum { attempts: 4, .. })
    ));
    assert!(matches!(no_controls, Err(ClientError::NoControls)));
}

/// Guards against a plan that never reaches the leader over a link between regions, because its transfer
/// takes longer than an attempt, and against a silent leader that is waited for.
#[rstest]
#[case::routes_350(25_000, 1_200)]
#[case::routes_1_050(66_000, 1_400)]
#[case::largest(480_000, 3_000)]
#[tokio::test(start_paused = true)]
async fn plan_gets_time_by_its_size(#[case] bytes: usize, #[case] max_silence_ms: u128) {
    let packed = vec![0; bytes];
    let order = ControlRequest::Order(OperatorOrder::Publish { packed });
    let (reachable, _) = client(&[Behaviour::Commits]);
    let (silent, _) = client(&[Behaviour::Silent]);

    let forwarded = reachable.request_once(&order).await;
    let started_at = Instant::now();
    let unanswered = silent.request_once(&order).await;

    assert!(matches!(forwarded, Ok(ControlReply::Done)), "{forwarded:?}");
    assert!(unanswered.is_err());
    assert!(started_at.elapsed().as_millis() <= max_silence_ms);
}

/// Guards against a node that takes a cut to most control nodes for a loss of the quorum, or the
/// reverse.
#[rstest]
#[case::all_without_quorum(&[Behaviour::NoQuorum; 3], true)]
#[case::one_of_three_is_down(&[Behaviour::Silent, Behaviour::NoQuorum, Behaviour::NoQuorum], true)]
#[case::two_of_four_are_replaced(
    &[Behaviour::Silent, Behaviour::NoQuorum, Behaviour::Silent, Behaviour::NoQuorum],
    true
)]
#[case::only_one_of_three_is_reached(
    &[Behaviour::Silent, Behaviour::NoQuorum, Behaviour::Silent],
    false
)]
#[case::none_is_reached(&[Behaviour::Silent; 3], false)]
#[case::one_has_a_quorum(&[Behaviour::NoQuorum, Behaviour::Grants, Behaviour::NoQuorum], false)]
#[case::none_is_known(&[], false)]
#[tokio::test(start_paused = true)]
async fn lost_quorum_is_told_from_a_cut(#[case] behaviours: &[Behaviour], #[case] is_lost: bool) {
    let (client, _) = client(behaviours);

    for _ in 0..2 * behaviours.len() {
        let _ = client.request_once(&ControlRequest::Status).await;
    }

    assert_eq!(client.is_quorum_lost(), is_lost);
}

fn entry(name: &str) -> DirectoryEntry {
    DirectoryEntry {
        name: name.into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(0),
        kind: NodeKind::Entry,
    }
}

fn delta(source: u64, revision: u64, is_complete: bool, changed: &[&str]) -> DirectoryDelta {
    DirectoryDelta {
        source: Incarnation(source),
        revision,
        is_complete,
        is_settled: true,
        changed: changed.iter().map(|name| entry(name)).collect(),
        removed: Vec::new(),
    }
}

/// Guards against applying the deltas of another control node, or older ones, to a directory.
#[test]
fn deltas_of_another_source_are_ignored() {
    let mut view = FleetView::default();
    let now = ClockTime(1);
    view.update_directory(delta(1, 4, true, &["a", "b"]), now);

    view.update_directory(delta(2, 9, false, &["c"]), now);
    view.update_directory(delta(1, 3, false, &["d"]), now);
    let newer = DirectoryDelta {
        removed: vec!["a".into()],
        ..delta(1, 6, false, &["e"])
    };
    view.update_directory(newer, now);

    let names: Vec<_> = view.directory.keys().map(NodeName::as_str).collect();
    assert_eq!(names, ["b", "e"]);
    assert_eq!(view.revision, Some((Incarnation(1), 6)));
}

/// Guards against nodes that cannot reach control after all control hosts of their settings were
/// replaced.
#[tokio::test(start_paused = true)]
async fn learned_addresses_are_used_with_the_configured_ones() {
    let behaviours = [Behaviour::Silent, Behaviour::Silent, Behaviour::Answers];
    let (client, controls) = client(&behaviours);
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    client.set_configured_controls(vec![address(1)]);
    client.set_learned_controls(vec![address(1), address(3)]);

    let reply = client.request(&ControlRequest::Status).await.unwrap();
    client.set_configured_controls(vec![address(2)]);

    assert_eq!(reply, ControlReply::Done);
    assert_eq!(*controls.attempted_ports.lock().unwrap(), [1, 3]);
    assert_eq!(*client.controls(), [address(2), address(1), address(3)]);
}
