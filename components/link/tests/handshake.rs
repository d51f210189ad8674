//! Links are only opened between processes whose certificates prove their roles and names.

use std::net::SocketAddr;
use std::path::Path;

use link::{KeyAuthority, KeyFiles, LinkEndpoint, LinkError, LinkIdentity, PeerLink};
use units::{Incarnation, NodeName};
use wire::{EntryMessage, NodeRole, StreamKind};

fn endpoint(folder: &Path, role: NodeRole, name: &str) -> LinkEndpoint {
    let name = NodeName::from(name);
    let files = KeyAuthority::open_or_create(folder)
        .unwrap()
        .issue(role, &name)
        .unwrap();
    let identity = LinkIdentity::load(role, &name, &files).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    LinkEndpoint::bind(address, &identity, Incarnation(1)).unwrap()
}

async fn accept(endpoint: &LinkEndpoint) -> Result<PeerLink, LinkError> {
    let incoming = endpoint.accept().await.unwrap();
    endpoint.complete_handshake(incoming).await
}

/// Both ends of a connection from an entry to an agent.
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
async fn frames_arrive_and_the_peer_is_known() {
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

/// Guards against a process that poses as another role with a valid certificate.
#[tokio::test]
async fn wrong_role_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let entry = endpoint(folder.path(), NodeRole::Entry, "entry-1");
    let other = endpoint(folder.path(), NodeRole::Entry, "entry-2");

    let refused = entry.connect(other.address(), NodeRole::Agent).await;

    assert!(refused.is_err(), "{refused:?}");
}

/// Guards against a certificate of another operator's authority.
#[tokio::test]
async fn foreign_authority_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let foreign = tempfile::tempdir().unwrap();
    let agent = endpoint(folder.path(), NodeRole::Agent, "agent-1");
    let entry = endpoint(foreign.path(), NodeRole::Entry, "entry-1");

    let (opened, accepted) = connect(&entry, &agent).await;

    assert!(opened.is_err(), "{opened:?}");
    assert!(accepted.is_err(), "{accepted:?}");
}

/// Guards against hosts that cannot start because their names are new, and against a certificate of
/// a role that passes for another role.
#[tokio::test]
async fn certificate_of_a_role_is_good_for_every_name() {
    let folder = tempfile::tempdir().unwrap();
    let agent = endpoint(folder.path(), NodeRole::Agent, "agent-1");
    let authority = KeyAuthority::open_or_create(folder.path()).unwrap();
    authority.issue_role(NodeRole::Entry).unwrap();
    let name = NodeName::from("10-1-0-33");
    let files = KeyFiles::find(folder.path(), NodeRole::Entry, &name);

    let identity = LinkIdentity::load(NodeRole::Entry, &name, &files).unwrap();
    let other = LinkIdentity::load(NodeRole::Control, &name, &files);
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let entry = LinkEndpoint::bind(address, &identity, Incarnation(1)).unwrap();
    let (opened, accepted) = connect(&entry, &agent).await;
    let (opened, accepted) = (opened.unwrap(), accepted.unwrap());
    let (_writer, _reader) = opened.open(StreamKind::Session).await.unwrap();
    let stream = accepted.accept().await.unwrap();

    assert_eq!(stream.hello.name, name);
    assert!(other.is_err());
}

/// Guards against a lost stream whose error does not say whether the peer closed the connection, timed
/// out or was restarted.
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
