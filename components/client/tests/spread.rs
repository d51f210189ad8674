//! Links of many clients to a few control nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use client::ControlClient;
use link::{KeyAuthority, KeyFiles, LinkEndpoint, LinkIdentity};
use tempfile::TempDir;
use units::{Incarnation, NodeName};
use wire::{ControlRequest, NodeRole};

/// Number of clients, each with a name of its own.
const CLIENTS: usize = 30;

/// Time for the links of all clients to open. The requests are never answered.
const CONNECT_TIME: Duration = Duration::from_millis(800);

fn bind_endpoint(keys: &TempDir, role: NodeRole, name: &str) -> LinkEndpoint {
    let name = NodeName::from(name);
    let authority = KeyAuthority::open_or_create(keys.path()).unwrap();
    authority.issue(role, &name).unwrap();
    let files = KeyFiles::in_folder(keys.path(), role, &name);
    let identity = LinkIdentity::load(role, &name, &files).unwrap();
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    LinkEndpoint::bind(loopback, &identity, Incarnation(1)).unwrap()
}

/// Starts an endpoint that accepts links and answers no request. Returns its address and the number
/// of its links.
fn start_silent_control(keys: &TempDir, name: &str) -> (SocketAddr, Arc<AtomicUsize>) {
    let endpoint = bind_endpoint(keys, NodeRole::Control, name);
    let address = endpoint.address();
    let link_count = Arc::new(AtomicUsize::new(0));
    let counter = link_count.clone();
    tokio::spawn(async move {
        let mut links = Vec::new();
        while let Some(incoming) = endpoint.accept().await {
            links.push(endpoint.complete_handshake(incoming).await.unwrap());
            counter.fetch_add(1, Ordering::SeqCst);
        }
    });
    (address, link_count)
}

/// Guards against a fleet that connects to the same control node when it starts: its handshakes
/// exceeded the memory of a small host.
#[tokio::test(flavor = "multi_thread")]
async fn first_links_are_spread_over_the_control_nodes() {
    let keys = tempfile::tempdir().unwrap();
    let controls: Vec<_> = (0..3)
        .map(|number| start_silent_control(&keys, &format!("control-{number}")))
        .collect();
    let addresses: Vec<SocketAddr> = controls.iter().map(|(address, _)| *address).collect();

    for number in 0..CLIENTS {
        let endpoint = bind_endpoint(&keys, NodeRole::Entry, &format!("entry-{number}"));
        let client = ControlClient::new(endpoint, addresses.clone());
        tokio::spawn(async move { client.request_once(&ControlRequest::Status).await });
    }
    tokio::time::sleep(CONNECT_TIME).await;

    let counts: Vec<usize> = controls
        .iter()
        .map(|(_, count)| count.load(Ordering::SeqCst))
        .collect();
    assert!(
        counts.iter().all(|count| *count <= CLIENTS / 2),
        "links of each control node: {counts:?}"
    );
}

/// Guards against a link for each of the requests that a client sends at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_share_a_link() {
    let keys = tempfile::tempdir().unwrap();
    let (address, link_count) = start_silent_control(&keys, "control-1");
    let client = ControlClient::new(
        bind_endpoint(&keys, NodeRole::Entry, "entry-1"),
        vec![address],
    );

    for _ in 0..4 {
        let client = client.clone();
        tokio::spawn(async move { client.request_at(address, &ControlRequest::Status).await });
    }
    tokio::time::sleep(CONNECT_TIME).await;

    assert_eq!(link_count.load(Ordering::SeqCst), 1);
}
