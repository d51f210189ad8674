//! Memory of links. This test has a process of its own, since it measures the memory of the process.

use std::net::SocketAddr;
use std::path::Path;

use link::{KeyAuthority, KeyFiles, LinkEndpoint, LinkIdentity};
use units::{Incarnation, NodeName};
use wire::NodeRole;

/// Number of links that are open at the same time.
const LINKS: u64 = 100;

/// Memory of one end of a link. A control process of 40 MB must hold those of 300 entries.
const MAX_KB_PER_END: u64 = 100;

fn endpoint(folder: &Path, role: NodeRole, name: &str) -> LinkEndpoint {
    let name = NodeName::from(name);
    let authority = KeyAuthority::open_or_create(folder).unwrap();
    let files: KeyFiles = authority.issue(role, &name).unwrap();
    let identity = LinkIdentity::load(role, &name, &files).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    LinkEndpoint::bind(address, &identity, Incarnation(1)).unwrap()
}

/// Resident memory of this process.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}

/// Guards against a control process that exceeds the memory of its host because all nodes of a
/// fleet have a link to it.
#[tokio::test]
async fn links_to_a_control_node_occupy_little_memory() {
    let folder = tempfile::tempdir().unwrap();
    let control = endpoint(folder.path(), NodeRole::Control, "control-1");
    let entry = endpoint(folder.path(), NodeRole::Entry, "entry-1");
    let before_kb = resident_kb();

    let mut links = Vec::new();
    for _ in 0..LINKS {
        let incoming = async {
            let incoming = control.accept().await.unwrap();
            control.complete_handshake(incoming).await.unwrap()
        };
        let connecting = entry.connect(control.address(), NodeRole::Control);
        let (opened, accepted) = tokio::join!(connecting, incoming);
        links.push((opened.unwrap(), accepted));
    }

    let kb_per_end = (resident_kb() - before_kb) / LINKS / 2;
    assert!(kb_per_end < MAX_KB_PER_END, "{kb_per_end} kB for each end");
}
