//! Exit codes and outputs of the commands, run against one control node.

mod common;

use common::{run_ctl, start_control};
use ctl::ExitStatus;

const SERVICES_TEXT: &str = r#"
[[region]]
name = "bohemia"
[[data_centre]]
name = "praha-1"
region = "bohemia"
"#;

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
