//! Commands of the operator against one control node.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use control::{ControlHandle, ControlSettings, start};
use ctl::{CommandReport, ExitStatus, run};
use raft::RaftSettings;

const TEXT: &str = r#"
[[region]]
name = "bohemia"
[[data_centre]]
name = "praha-1"
region = "bohemia"
"#;

async fn ctl(folder: &Path, controls: &str, arguments: &[&str]) -> CommandReport {
    let keys = folder.join("keys");
    let mut all = vec!["--keys", keys.to_str().unwrap(), "--controls", controls];
    all.extend(arguments);
    let options = ctl::options().run_inner(all.as_slice()).unwrap();
    run(options).await
}

async fn control(folder: &Path) -> ControlHandle {
    for arguments in [
        vec!["keys", "init"],
        vec!["keys", "issue", "control", "control-1"],
        vec!["keys", "issue", "operator", "operator"],
    ] {
        let report = ctl(folder, "", &arguments).await;
        assert_eq!(report.status, ExitStatus::Done, "{report:?}");
    }
    let settings = ControlSettings {
        name: "control-1".into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        data: folder.join("data"),
        keys: folder.join("keys"),
        peers: Default::default(),
        http: None,
        region: None,
        data_centre: None,
        raft: RaftSettings::default(),
        target_silence_timeout: Duration::from_secs(2),
        is_join_only: false,
        has_peer_discovery: false,
    };
    let handle = start(settings).await.unwrap();
    let ready = handle.wait_until(|status| status.confirmed_ms.is_some());
    tokio::time::timeout(Duration::from_secs(30), ready)
        .await
        .unwrap();
    handle
}

/// Guards against exit codes and outputs that scripts rely on.
#[tokio::test(flavor = "multi_thread")]
async fn orders_have_their_exit_codes() {
    let folder = tempfile::tempdir().unwrap();
    let handle = control(folder.path()).await;
    let address = handle.address().to_string();
    let file = folder.path().join("fleet.toml");
    std::fs::write(&file, TEXT).unwrap();
    let file = file.to_str().unwrap();
    let faulty = folder.path().join("faulty.toml");
    std::fs::write(&faulty, "[[region]]\nnmae = 1").unwrap();
    let faulty = faulty.to_str().unwrap();
    let commands: [(&[&str], ExitStatus, &str); 12] = [
        (&["check", file], ExitStatus::Done, "1 regions"),
        (&["check", faulty], ExitStatus::Invalid, "line 2, column 1"),
        (&["check", "/nowhere"], ExitStatus::Failed, "/nowhere"),
        (
            &["apply", "--order", "a", file],
            ExitStatus::Done,
            "Version 1",
        ),
        (
            &["apply", "--order", "a", file],
            ExitStatus::Done,
            "Version 1",
        ),
        (
            &["apply", "--expect", "0", file],
            ExitStatus::Conflict,
            "version 1",
        ),
        (&["apply", faulty], ExitStatus::Invalid, "name is missing"),
        (&["dc", "out", "praha-1"], ExitStatus::Done, "Version 2"),
        (&["dc", "in", "praha-1"], ExitStatus::Done, "Version 3"),
        (&["dc", "out", "brno-1"], ExitStatus::Failed, "unknown"),
        (&["target", "out", "t-1"], ExitStatus::Done, "Version 4"),
        (&["keys", "issue", "king", "x"], ExitStatus::Usage, "king"),
    ];

    for (arguments, status, text) in commands {
        let report = ctl(folder.path(), &address, arguments).await;
        assert_eq!(report.status, status, "{arguments:?}: {report:?}");
        let all = report.output + &report.errors;
        assert!(all.contains(text), "{arguments:?}: {all}");
    }
    let status = ctl(folder.path(), &address, &["--json", "status"]).await;
    let status: control::FleetStatus = serde_json::from_str(&status.output).unwrap();
    assert_eq!(status.version.0, 4);
    assert_eq!(status.out_targets.len(), 1);
    let members = ctl(folder.path(), &address, &["control", "members"]).await;
    assert!(members.output.contains("voter"), "{members:?}");
    handle.stop().await;
}
