//! Throughput over a path that delivers packets out of order and loses none.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use link::{KeyAuthority, KeyFiles, LinkEndpoint, LinkIdentity};
use tokio::net::UdpSocket;
use units::{Incarnation, NodeName};
use wire::{NodeRole, StreamKind};

const FRAME_BYTES: usize = 100_000;
const FRAMES: usize = 20;

fn endpoint(folder: &Path, role: NodeRole, name: &str) -> LinkEndpoint {
    let name = NodeName::from(name);
    let files: KeyFiles = KeyAuthority::open_or_create(folder)
        .unwrap()
        .issue(role, &name)
        .unwrap();
    let identity = LinkIdentity::load(role, &name, &files).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    LinkEndpoint::bind(address, &identity, Incarnation(1)).unwrap()
}

/// Forwards the packets of one client and the replies to it. Successive packets are delayed by 50 ms
/// and by 60 ms in turn.
async fn start_reordering_proxy(upstream: SocketAddr) -> SocketAddr {
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut client = None;
        let mut packet = vec![0; 65_536];
        for number in 0_u64.. {
            let Ok((size, source)) = socket.recv_from(&mut packet).await else {
                continue;
            };
            if source != upstream {
                client = Some(source);
            }
            let destination = match source == upstream {
                true => client.expect("a client has sent the first packet"),
                false => upstream,
            };
            let (socket, packet) = (socket.clone(), packet[..size].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(50 + number % 2 * 10)).await;
                let _ = socket.send_to(&packet, destination).await;
            });
        }
    });
    address
}

/// Guards against packets that count as lost because others have overtaken them: the congestion window
/// then stays at a few packets, and a link of 1,000 Mbit/s carries 4.
#[tokio::test(flavor = "multi_thread")]
async fn overtaken_packets_do_not_count_as_lost() {
    let folder = tempfile::tempdir().unwrap();
    let agent = endpoint(folder.path(), NodeRole::Agent, "agent-1");
    let entry = endpoint(folder.path(), NodeRole::Entry, "entry-1");
    let address = start_reordering_proxy(agent.address()).await;
    let receiver = tokio::spawn(async move {
        let incoming = agent.accept().await.unwrap();
        let link = agent.complete_handshake(incoming).await.unwrap();
        let mut stream = link.accept().await.unwrap();
        let mut received = 0;
        while let Ok(Some(frame)) = stream.reader.receive::<Vec<u8>>().await {
            received += frame.len();
        }
        received
    });
    let link = entry.connect(address, NodeRole::Agent).await.unwrap();
    let (mut writer, _reader) = link.open(StreamKind::Session).await.unwrap();

    for _ in 0..FRAMES {
        writer.send(&vec![7_u8; FRAME_BYTES]).await.unwrap();
    }
    writer.finish();
    let received = receiver.await.unwrap();

    let traffic = link.traffic();
    assert_eq!(received, FRAMES * FRAME_BYTES);
    assert!(
        traffic.lost_packets * 100 < traffic.sent_datagrams,
        "{} of {} packets count as lost",
        traffic.lost_packets,
        traffic.sent_datagrams
    );
}
