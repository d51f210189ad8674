//! Links to a process that was killed and started again at its address.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use link::{KeyAuthority, KeyFiles, LinkEndpoint, LinkError, LinkIdentity};
use tokio::net::UdpSocket;
use units::{Incarnation, NodeName};
use wire::{EntryMessage, NodeRole, StreamKind};

/// Time within which a lost link must be noticed. Renewals of leases wait for 1 s before they try
/// another control node.
const NOTICE_TIME: Duration = Duration::from_millis(500);

fn identity(keys: &std::path::Path, role: NodeRole, name: &str) -> LinkIdentity {
    let name = NodeName::from(name);
    LinkIdentity::load(role, &name, &KeyFiles::find(keys, role, &name)).unwrap()
}

fn bind(identity: &LinkIdentity, incarnation: u64) -> LinkEndpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    LinkEndpoint::bind(address, identity, Incarnation(incarnation)).unwrap()
}

/// Address at which the datagrams of one peer are forwarded to the process that has the address.
async fn start_forwarder(process: Arc<Mutex<SocketAddr>>) -> SocketAddr {
    let outer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let inner = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = outer.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut from_peer, mut from_process) = (vec![0; 2_048], vec![0; 2_048]);
        let mut peer = address;
        loop {
            tokio::select! {
                received = outer.recv_from(&mut from_peer) => {
                    let (length, sender) = received.unwrap();
                    peer = sender;
                    let target = *process.lock().unwrap();
                    inner.send_to(&from_peer[..length], target).await.unwrap();
                }
                received = inner.recv_from(&mut from_process) => {
                    let (length, sender) = received.unwrap();
                    let is_current = *process.lock().unwrap() == sender;
                    if is_current {
                        outer.send_to(&from_process[..length], peer).await.unwrap();
                    }
                }
            }
        }
    });
    address
}

/// Guards against links that hang until a timeout after the peer's process was killed and restarted: an
/// entry with such links to all control nodes renewed its lease only after three timeouts, and handled
/// requests by a plan that had been replaced for longer than the bound.
#[tokio::test]
async fn link_to_a_process_that_was_killed_and_restarted_is_lost_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let authority = KeyAuthority::open_or_create(folder.path()).unwrap();
    authority.issue_role(NodeRole::Control).unwrap();
    authority.issue_role(NodeRole::Entry).unwrap();
    let control = identity(folder.path(), NodeRole::Control, "control-1");
    let killed = bind(&control, 1);
    let process = Arc::new(Mutex::new(killed.address()));
    let address = start_forwarder(process.clone()).await;
    let entry = bind(&identity(folder.path(), NodeRole::Entry, "entry-1"), 1);
    let accepting = async {
        let incoming = killed.accept().await.unwrap();
        killed.complete_handshake(incoming).await.unwrap()
    };
    let (opened, _accepted) = tokio::join!(entry.connect(address, NodeRole::Control), accepting);
    let opened = opened.unwrap();
    // The handshake ends with packets that the killed process still receives.
    tokio::time::sleep(Duration::from_millis(100)).await;

    let restarted = bind(&control, 2);
    *process.lock().unwrap() = restarted.address();
    let (mut writer, mut reader) = opened.open(StreamKind::Control).await.unwrap();
    writer.send(&EntryMessage::Ping(1)).await.unwrap();
    let reply = tokio::time::timeout(NOTICE_TIME, reader.receive::<EntryMessage>()).await;

    let reply = reply.expect("the link must be lost at once");
    assert!(
        matches!(reply, Err(LinkError::Stream(_) | LinkError::Lost { .. })),
        "{reply:?}"
    );
}
