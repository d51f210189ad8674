//! Handshakes of many nodes at once, and of nodes whose links pass packets one way only.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::{TestGroup, node, renew, renew_request};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;
use wire::{NodeKind, NodeRole};

/// Time within which a node must get a reply, as long as other nodes cannot complete theirs.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of nodes that connect at once.
const NODES: usize = 60;

/// Forwards datagrams to `target` and drops all replies. Returns the address that accepts them.
async fn start_one_way_link(target: SocketAddr, links: &mut JoinSet<()>) -> SocketAddr {
    let inbound = UdpSocket::bind(("127.0.0.1", 0)).await.unwrap();
    let outbound = UdpSocket::bind(("127.0.0.1", 0)).await.unwrap();
    let address = inbound.local_addr().unwrap();
    links.spawn(async move {
        let mut buf = [0; 2_048];
        while let Ok((len, _)) = inbound.recv_from(&mut buf).await {
            outbound.send_to(&buf[..len], target).await.unwrap();
        }
    });
    address
}

/// Guards against nodes behind one-way links that keep all others from connecting: their handshakes
/// never complete, and they try again and again.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_links_leave_handshakes_to_others() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let mut background = JoinSet::new();
    for number in 0..NODES {
        let endpoint = group.endpoint(NodeRole::Entry, &format!("cut-{number}"));
        let address = start_one_way_link(group.address(0), &mut background).await;
        background.spawn(async move {
            loop {
                // Fails after the handshake timeout.
                let _ = endpoint.connect(address, NodeRole::Control).await;
            }
        });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;

    for number in 0..5 {
        let name = format!("entry-{number}");
        let client = group.client_at(0, NodeRole::Entry, &name);
        let renewal = renew(&client, node(&name, NodeKind::Entry));
        let replied = tokio::time::timeout(REPLY_TIMEOUT, renewal).await;

        assert!(replied.is_ok(), "no reply within {REPLY_TIMEOUT:?}");
    }
}

/// Guards against a bound on handshakes that refuses nodes of a fleet that starts.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_of_a_fleet_connect_at_once() {
    let group = TestGroup::start().await;
    group.wait_ready().await;
    let mut renewals = JoinSet::new();
    for number in 0..NODES {
        let name = format!("entry-{number}");
        let client = group.client_at(0, NodeRole::Entry, &name);
        let request = renew_request(node(&name, NodeKind::Entry));
        renewals.spawn(async move { client.request(&request).await.is_ok() });
    }

    let replies = renewals.join_all().await;

    assert!(replies.into_iter().all(|is_replied| is_replied));
}
