//! A services text of the size to build towards, over control processes.

#[path = "support/control_group.rs"]
mod control_group;
#[path = "support/process.rs"]
mod process;

use std::net::SocketAddr;
use std::time::Duration;

use client::FleetView;
use control_group::{ControlGroup, NODE, services_text};
use units::{ClockTime, ConfigVersion, Incarnation};
use wire::{
    ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeRole, NodeState, RenewReply,
    RenewRequest,
};

/// Longest wait for an event; a run that needs it has failed.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Organisations at the size to build towards.
const ORGANISATIONS: usize = 38_000;

/// Budget of control traffic of a node, in bytes each second.
const NODE_BUDGET: u64 = 8_000;

async fn renew(client: &client::ControlClient, version: u64) -> RenewReply {
    let node = DirectoryEntry {
        name: NODE.into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(version),
        kind: NodeKind::Entry,
    };
    let request = ControlRequest::Renew(RenewRequest {
        node,
        config: ConfigVersion(version),
        directory: None,
    });
    match client.request(&request).await {
        Ok(ControlReply::Renewed(reply)) => reply,
        other => panic!("{other:?}"),
    }
}

fn apply(group: &ControlGroup, text: &str) {
    let path = group.folder().join("services.toml");
    std::fs::write(&path, text).unwrap();
    let output = group.run(&["apply", path.to_str().unwrap()]);
    assert!(output.status.success(), "{output:?}");
}

/// Guards against a text that is too large for a frame, a log entry or the time of a request, and
/// against a small change that costs as much as the whole text.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn text_of_38_000_organisations_is_applied_and_changed() {
    let group = ControlGroup::start();
    let client = group.client(NodeRole::Entry, NODE, &[0, 1, 2]);
    let text = services_text((0..ORGANISATIONS).map(|_| 1));
    apply(&group, &text);
    group.check_in_force(&[0, 1, 2], 1, &Default::default());
    let log_bytes = || {
        let files = std::fs::read_dir(group.data(0)).unwrap();
        let sizes = files.map(|file| file.unwrap().metadata().unwrap().len());
        sizes.sum::<u64>()
    };
    let before = log_bytes();

    let changed = services_text((0..ORGANISATIONS).map(|number| if number == 7 { 2 } else { 1 }));
    apply(&group, &changed);

    group.check_in_force(&[0, 1, 2], 2, &Default::default());
    let entry = log_bytes() - before;
    let small = renew(&client, 1).await;
    let whole = renew(&client, 0).await;
    let (small_bytes, whole_bytes) = (small.changes.len() as u64, whole.changes.len());
    println!(
        "text {} B, log entry {entry} B, change {small_bytes} B, whole {whole_bytes} B",
        text.len()
    );
    let mut view = FleetView::default();
    view.apply_renewal(ClockTime(0), whole).unwrap();
    assert_eq!(view.config.version, ConfigVersion(2));
    assert_eq!(view.config.manifest.organisations.len(), ORGANISATIONS);
    assert!(
        whole_bytes > wire::MAX_FRAME,
        "the whole needs several frames"
    );
    assert!(entry < NODE_BUDGET && small_bytes < NODE_BUDGET);
}
