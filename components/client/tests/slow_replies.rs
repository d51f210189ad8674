//! Replies of a control node that arrive in parts.

use std::net::SocketAddr;
use std::time::Duration;

use client::{ClientError, ControlClient};
use link::{KeyAuthority, KeyFiles, LinkEndpoint, LinkIdentity};
use rstest::rstest;
use tempfile::TempDir;
use tokio::time::sleep;
use units::{ConfigVersion, Incarnation, NodeName};
use wire::{ControlReply, ControlRequest, NodeRole, RenewReply};

/// Interval between the parts. Four of them take longer than the timeout of an attempt, 1 s.
const PART_INTERVAL: Duration = Duration::from_millis(400);

fn bind_endpoint(keys: &TempDir, role: NodeRole, name: &str) -> LinkEndpoint {
    let name = NodeName::from(name);
    let authority = KeyAuthority::open_or_create(keys.path()).unwrap();
    authority.issue(role, &name).unwrap();
    let files = KeyFiles::in_folder(keys.path(), role, &name);
    let identity = LinkIdentity::load(role, &name, &files).unwrap();
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    LinkEndpoint::bind(loopback, &identity, Incarnation(1)).unwrap()
}

/// Starts a control node that replies to one request with parts, and falls silent after the last one or
/// ends the reply.
fn start_control(keys: &TempDir, parts: u8, is_complete: bool) -> SocketAddr {
    let endpoint = bind_endpoint(keys, NodeRole::Control, "control-1");
    let address = endpoint.address();
    tokio::spawn(async move {
        let incoming = endpoint.accept().await.unwrap();
        let link = endpoint.complete_handshake(incoming).await.unwrap();
        let mut stream = link.accept().await.unwrap();
        for part in 0..parts {
            sleep(PART_INTERVAL).await;
            let reply = ControlReply::Renewed(RenewReply {
                age_ms: 0,
                version: ConfigVersion(1),
                changes: vec![part],
                directory: None,
                controls: Vec::new(),
            });
            stream.writer.send(&reply).await.unwrap();
        }
        if is_complete {
            stream.writer.finish();
        }
        std::future::pending::<()>().await;
    });
    address
}

/// Guards against a transfer that is ended although it makes progress, and against one without progress
/// that is waited for.
#[rstest]
#[case::all_parts(4, true)]
#[case::silent_after_two_parts(2, false)]
#[tokio::test]
async fn reply_is_awaited_while_its_parts_arrive(#[case] parts: u8, #[case] is_complete: bool) {
    let keys = tempfile::tempdir().unwrap();
    let control = start_control(&keys, parts, is_complete);
    let endpoint = bind_endpoint(&keys, NodeRole::Entry, "entry-1");
    let client = ControlClient::new(endpoint, vec![control]);

    let request = client.request_once(&ControlRequest::Status);
    let reply = tokio::time::timeout(Duration::from_secs(10), request).await;

    match (is_complete, reply.unwrap()) {
        (true, Ok(ControlReply::Renewed(reply))) => assert_eq!(reply.changes, [0, 1, 2, 3]),
        (false, Err(ClientError::Unanswered { .. })) => {}
        (_, other) => panic!("{other:?}"),
    }
}
