//! Exit codes and outputs of the commands, run against one control node.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use control::{ControlHandle, ControlSettings, start};
use ctl::{CommandReport, ExitStatus, run};
use raft::RaftSettings;

const SERVICES_TEXT: &str = r#"
[[region]]
name = "bohemia"
[[data_centre]]
name = "praha-1"
region = "bohemia"
"#;

async fn run_ctl(folder: &Path, controls: &str, arguments: &[&str]) -> CommandReport {
    let keys = folder.join("keys");
    let mut all_arguments = vec!["--keys", keys.to_str().unwrap(), "--controls", controls];
    all_arguments.extend(arguments);
    let options = ctl::options().run_inner(all_arguments.as_slice()).unwrap();
    run(options).await
}

/// Issues the keys of a control node and an operator, and starts the control node.
async fn start_control(folder: &Path) -> ControlHandle {
    for arguments in [
        vec!["keys", "init"],
        vec!["keys", "issue", "control", "control-1"],
        vec!["keys", "issue", "operator", "operator"],
    ] {
        let report = run_ctl(folder, "", &arguments).await;
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

/// Guards against changes of exit codes and outputs on which scripts rely.
#[tokio::test(flavor = "multi_thread")]
async fn orders_have_their_exit_codes() {
    let folder = tempfile::tempdir().unwrap();
    let handle = start_control(folder.path()).await;
    let address = handle.address().to_string();
    let file = folder.path().join("fleet.toml");
    std::fs::write(&file, SERVICES_TEXT).unwrap();
    let file = file.to_str().unwrap();
    let invalid_file = folder.path().join("faulty.toml");
    std::fs::write(&invalid_file, "[[region]]\nnmae = 1").unwrap();
    let invalid_file = invalid_file.to_str().unwrap();
    let commands: [(&[&str], ExitStatus, &str); 12] = [
        (&["check", file], ExitStatus::Done, "1 regions"),
        (
            &["check", invalid_file],
            ExitStatus::Invalid,
            "line 2, column 1",
        ),
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
        (
            &["apply", invalid_file],
            ExitStatus::Invalid,
            "name is missing",
        ),
        (&["dc", "out", "praha-1"], ExitStatus::Done, "Version 2"),
        (&["dc", "in", "praha-1"], ExitStatus::Done, "Version 3"),
        (&["dc", "out", "brno-1"], ExitStatus::Failed, "unknown"),
        (&["target", "out", "t-1"], ExitStatus::Done, "Version 4"),
        (&["keys", "issue", "king", "x"], ExitStatus::Usage, "king"),
    ];

    for (arguments, status, text) in commands {
        let report = run_ctl(folder.path(), &address, arguments).await;
        assert_eq!(report.status, status, "{arguments:?}: {report:?}");
        let printed = report.output + &report.errors;
        assert!(printed.contains(text), "{arguments:?}: {printed}");
    }
    let status = run_ctl(folder.path(), &address, &["--json", "status"]).await;
    let status: control::FleetStatus = serde_json::from_str(&status.output).unwrap();
    assert_eq!(status.version.0, 4);
    assert_eq!(status.out_targets.len(), 1);
    let members = run_ctl(folder.path(), &address, &["control", "members"]).await;
    assert!(members.output.contains("voter"), "{members:?}");
    handle.stop().await;
}
