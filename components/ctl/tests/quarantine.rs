//! Listing and lifting of the quarantine, at a control node that has it from an entry.

mod common;

use client::ControlClient;
use common::{any_local_address, run_ctl, start_control};
use ctl::ExitStatus;
use link::{KeyFiles, LinkEndpoint, LinkIdentity};
use units::{ConfigVersion, Incarnation};
use wire::{
    ControlReply, ControlRequest, CrashReport, DemandReport, EntryReport, NodeRole,
    QuarantinedTrait,
};

const SUBJECT: &str = "drafts/part:5c1e07a2";

/// Report of an entry that applies the quarantine of one trait, which it has from another home.
fn quarantine_report() -> ControlRequest {
    ControlRequest::Report(EntryReport {
        demand: DemandReport {
            reporter: "entry-1".into(),
            incarnation: Incarnation(1),
            service: "models".into(),
            interval_ms: 250,
            flows: Vec::new(),
            granted: Default::default(),
            served: Default::default(),
            answers: 0,
            lateness_permille: 0,
            known_capacity: None,
        },
        crashes: CrashReport {
            source: None,
            observations: Vec::new(),
            served: Vec::new(),
            successes: Vec::new(),
            quarantine: vec![QuarantinedTrait {
                subject: SUBJECT.parse().unwrap(),
                flows: Vec::new(),
                trial_ms: 60_000,
                interval_ms: 60_000,
                crashes: 5,
            }],
            refused: Vec::new(),
        },
        config: ConfigVersion(0),
        rollouts: Vec::new(),
        loads: None,
    })
}

/// Guards against a quarantine that operators cannot see or end, and that comes back with the next
/// report of an entry.
#[tokio::test(flavor = "multi_thread")]
async fn operator_lists_and_lifts_the_quarantine() {
    let folder = tempfile::tempdir().unwrap();
    let handle = start_control(folder.path()).await;
    let controls = handle.address().to_string();
    let files = KeyFiles::in_folder(
        &folder.path().join("keys"),
        NodeRole::Entry,
        &"entry-1".into(),
    );
    let identity = LinkIdentity::load(NodeRole::Entry, &"entry-1".into(), &files).unwrap();
    let endpoint = LinkEndpoint::bind(any_local_address(), &identity, Incarnation(1)).unwrap();
    let entry = ControlClient::new(endpoint, vec![handle.address()]);
    let reply = entry
        .request_at(handle.address(), &quarantine_report())
        .await;
    assert!(matches!(reply, Ok(ControlReply::Report(_))), "{reply:?}");
    let list = ["quarantine", "list"];

    let before = run_ctl(folder.path(), &controls, &list).await;
    let lifted = run_ctl(folder.path(), &controls, &["quarantine", "lift", SUBJECT]).await;
    entry
        .request_at(handle.address(), &quarantine_report())
        .await
        .unwrap();
    let after = run_ctl(folder.path(), &controls, &list).await;
    let again = run_ctl(folder.path(), &controls, &["quarantine", "lift", SUBJECT]).await;
    let invalid = run_ctl(folder.path(), &controls, &["quarantine", "lift", "part:x"]).await;

    assert!(before.output.contains(SUBJECT), "{before:?}");
    assert_eq!(lifted.status, ExitStatus::Done, "{lifted:?}");
    assert!(!after.output.contains(SUBJECT), "{after:?}");
    assert_eq!(again.status, ExitStatus::Failed, "{again:?}");
    assert_eq!(invalid.status, ExitStatus::Usage, "{invalid:?}");
    handle.stop().await;
}
