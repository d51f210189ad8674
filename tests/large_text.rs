//! Services text of the planned fleet size, with control nodes as separate processes.

#[path = "support/control_group.rs"]
mod control_group;
#[path = "support/process.rs"]
mod process;

use std::net::SocketAddr;
use std::time::Duration;

use client::FleetView;
use control_group::{ControlGroup, ENTRY_NAME, services_text};
use units::{ClockTime, ConfigVersion, Incarnation};
use wire::{
    ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeRole, NodeState, RenewReply,
    RenewRequest,
};

/// Maximum time that a test waits for an event before it fails.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of organisations that the system is designed for.
const ORGANISATIONS: usize = 38_000;

/// Control traffic budget of a node, in bytes per second.
const NODE_BUDGET_BYTES_PER_S: u64 = 8_000;

async fn renew_lease(client: &client::ControlClient, version: u64) -> RenewReply {
    let node = DirectoryEntry {
        name: ENTRY_NAME.into(),
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
        other => panic!("unexpected reply to a renewal: {other:?}"),
    }
}

fn apply_services_text(group: &ControlGroup, text: &str) {
    let path = group.folder().join("services.toml");
    std::fs::write(&path, text).unwrap();
    let output = group.run_operator(&["apply", path.to_str().unwrap()]);
    assert!(output.status.success(), "{output:?}");
}

/// Guards against a text that exceeds the size of a frame or a log entry or the timeout of a
/// request, and against a small change that costs as much as the complete text.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn text_of_38_000_organisations_is_applied_and_changed() {
    let group = ControlGroup::start();
    let client = group.client(NodeRole::Entry, ENTRY_NAME, &[0, 1, 2]);
    let text = services_text((0..ORGANISATIONS).map(|_| 1));
    apply_services_text(&group, &text);
    group.assert_in_force(&[0, 1, 2], 1, &Default::default());
    let log_bytes = || {
        let files = std::fs::read_dir(group.data_folder(0)).unwrap();
        let sizes = files.map(|file| file.unwrap().metadata().unwrap().len());
        sizes.sum::<u64>()
    };
    let bytes_before = log_bytes();

    let changed_text =
        services_text((0..ORGANISATIONS).map(|number| if number == 7 { 2 } else { 1 }));
    apply_services_text(&group, &changed_text);

    group.assert_in_force(&[0, 1, 2], 2, &Default::default());
    let log_entry_bytes = log_bytes() - bytes_before;
    let change_reply = renew_lease(&client, 1).await;
    let complete_reply = renew_lease(&client, 0).await;
    let (change_bytes, complete_bytes) = (
        change_reply.changes.len() as u64,
        complete_reply.changes.len(),
    );
    println!(
        "text {} B, log entry {log_entry_bytes} B, change {change_bytes} B, \
         complete configuration {complete_bytes} B",
        text.len()
    );
    let mut view = FleetView::default();
    view.apply_renewal(ClockTime(0), complete_reply).unwrap();
    assert_eq!(view.config.version, ConfigVersion(2));
    assert_eq!(view.config.manifest.organisations.len(), ORGANISATIONS);
    assert!(
        complete_bytes > wire::MAX_FRAME,
        "the configuration of {complete_bytes} B fits into one frame"
    );
    assert!(log_entry_bytes < NODE_BUDGET_BYTES_PER_S && change_bytes < NODE_BUDGET_BYTES_PER_S);
}
