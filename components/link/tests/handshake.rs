//! Verification of certificates when a link is opened, and frames on its streams.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use link::{KeyAuthority, KeyFiles, LinkEndpoint, LinkError, LinkIdentity, PeerLink};
use units::{Incarnation, NodeName};
use wire::{EntryMessage, NodeRole, StreamKind};

fn endpoint(folder: &Path, role: NodeRole, name: &str) -> LinkEndpoint {
    bind(folder, role, name, SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn bind(folder: &Path, role: NodeRole, name: &str, address: SocketAddr) -> LinkEndpoint {
    let name = NodeName::from(name);
    let files = KeyAuthority::open_or_create(folder)
        .unwrap()
        .issue(role, &name)
        .unwrap();
    let identity = LinkIdentity::load(role, &name, &files).unwrap();
    LinkEndpoint::bind(address, &identity, Incarnation(1)).unwrap()
}

async fn accept(endpoint: &LinkEndpoint) -> Result<PeerLink, LinkError> {
    let incoming = endpoint.accept().await.unwrap();
    endpoint.complete_handshake(incoming).await
}

/// Connects an entry to an agent and returns the results at both ends.
async fn connect(
    entry: &LinkEndpoint,
    agent: &LinkEndpoint,
) -> (Result<PeerLink, LinkError>, Result<PeerLink, LinkError>) {
    tokio::join!(
        entry.connect(agent.address(), NodeRole::Agent),
        accept(agent)
    )
}

#[tokio::test]
async fn frames_are_delivered_and_the_peer_is_identified() {
    let folder = tempfile::tempdir().unwrap();
    let agent = endpoint(folder.path(), NodeRole::Agent, "agent-1");
    let entry = endpoint(folder.path(), NodeRole::Entry, "entry-1");

    let (opened, accepted) = connect(&entry, &agent).await;
    let (opened, accepted) = (opened.unwrap(), accepted.unwrap());
    let (mut writer, _reader) = opened.open(StreamKind::Session).await.unwrap();
    writer.send(&EntryMessage::Ping(7)).await.unwrap();
    let mut stream = accepted.accept().await.unwrap();

    assert_eq!(accepted.role(), NodeRole::Entry);
    assert_eq!(stream.hello.name, NodeName::from("entry-1"));
    assert_eq!(
        stream.reader.receive().await.unwrap(),
        Some(EntryMessage::Ping(7))
    );
}

/// Guards against a process that impersonates another role with a valid certificate of its own.
#[tokio::test]
async fn wrong_role_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let entry = endpoint(folder.path(), NodeRole::Entry, "entry-1");
    let other = endpoint(folder.path(), NodeRole::Entry, "entry-2");

    let rejected = entry.connect(other.address(), NodeRole::Agent).await;

    assert!(rejected.is_err(), "{rejected:?}");
}

/// Guards against accepting a certificate issued by another operator's authority.
#[tokio::test]
async fn foreign_authority_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let other_folder = tempfile::tempdir().unwrap();
    let agent = endpoint(folder.path(), NodeRole::Agent, "agent-1");
    let entry = endpoint(other_folder.path(), NodeRole::Entry, "entry-1");

    let (opened, accepted) = connect(&entry, &agent).await;

    assert!(opened.is_err(), "{opened:?}");
    assert!(accepted.is_err(), "{accepted:?}");
}

/// Guards against hosts that cannot start because no certificate was issued for their new name, and
/// against a role certificate that is valid for another role.
#[tokio::test]
async fn role_certificate_is_valid_for_every_name_of_its_role() {
    let folder = tempfile::tempdir().unwrap();
    let agent = endpoint(folder.path(), NodeRole::Agent, "agent-1");
    let authority = KeyAuthority::open_or_create(folder.path()).unwrap();
    authority.issue_role(NodeRole::Entry).unwrap();
    let name = NodeName::from("10-1-0-33");
    let files = KeyFiles::find(folder.path(), NodeRole::Entry, &name);

    let identity = LinkIdentity::load(NodeRole::Entry, &name, &files).unwrap();
    let other_role = LinkIdentity::load(NodeRole::Control, &name, &files);
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let entry = LinkEndpoint::bind(address, &identity, Incarnation(1)).unwrap();
    let (opened, accepted) = connect(&entry, &agent).await;
    let (opened, accepted) = (opened.unwrap(), accepted.unwrap());
    let (_writer, _reader) = opened.open(StreamKind::Session).await.unwrap();
    let stream = accepted.accept().await.unwrap();

    assert_eq!(stream.hello.name, name);
    assert!(other_role.is_err());
}

/// Guards against stream errors that do not state whether the peer closed the connection, timed out
/// or was restarted.
#[tokio::test]
async fn lost_stream_names_its_cause() {
    let folder = tempfile::tempdir().unwrap();
    let agent = endpoint(folder.path(), NodeRole::Agent, "agent-1");
    let entry = endpoint(folder.path(), NodeRole::Entry, "entry-1");
    let (opened, accepted) = connect(&entry, &agent).await;
    let (opened, _accepted) = (opened.unwrap(), accepted.unwrap());
    let (mut writer, mut reader) = opened.open(StreamKind::Session).await.unwrap();
    writer.send(&EntryMessage::Ping(7)).await.unwrap();

    agent.close().await;

    let error = reader.receive::<EntryMessage>().await.unwrap_err();
    assert!(error.to_string().contains("stopped"), "{error}");
}

/// Guards against a second without links after a power loss of all hosts: the first packet to a node
/// that does not listen yet is lost, and was repeated only after a second.
#[tokio::test]
async fn link_opens_soon_after_the_peer_listens() {
    let folder = tempfile::tempdir().unwrap();
    let entry = endpoint(folder.path(), NodeRole::Entry, "entry-1");
    let address = endpoint(folder.path(), NodeRole::Agent, "agent-1").address();
    let connecting = entry.connect(address, NodeRole::Agent);
    let starting = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let agent = bind(folder.path(), NodeRole::Agent, "agent-1", address);
        accept(&agent).await
    };

    let connected = async { tokio::join!(connecting, starting) };
    let (opened, accepted) = tokio::time::timeout(Duration::from_millis(800), connected)
        .await
        .expect("the link opens within 0.7 s after the peer listens");

    assert!(opened.is_ok() && accepted.is_ok());
}
