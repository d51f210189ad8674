//! Exit codes and outputs of the commands, run against one control node.

mod common;

use common::{run_ctl, start_control};
use ctl::ExitStatus;
use routes::{CallerBounds, PublishedPlan, RoutePlan, ServicePool};
use units::{ByteSize, PlanNumber};

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

/// Guards against roll-outs that operators cannot start, see or cancel, and against a conflict that
/// scripts take for success.
#[tokio::test(flavor = "multi_thread")]
async fn operator_starts_lists_and_cancels_a_rollout() {
    let folder = tempfile::tempdir().unwrap();
    let handle = start_control(folder.path()).await;
    let address = handle.address().to_string();
    let start = |version| ["rollout", "start", "drafts", version, "--duration", "60"];
    let run = async |arguments: &[&str]| run_ctl(folder.path(), &address, arguments).await;

    let without_plan = run(&start("v2")).await;
    let api = handle.api();
    api.publish(&plan_with_service("drafts"), String::new())
        .await
        .unwrap();
    let before = run(&["rollout", "status", "drafts"]).await;
    let started = run(&start("v2")).await;
    let repeated = run(&start("v2")).await;
    let other = run(&start("v3")).await;
    let listed = run(&["rollout", "list"]).await;
    let cancelled = run(&["rollout", "cancel", "drafts"]).await;
    let after = run(&["--json", "rollout", "status", "drafts"]).await;

    assert_eq!(without_plan.status, ExitStatus::Failed, "{without_plan:?}");
    assert_eq!(before.status, ExitStatus::Failed, "{before:?}");
    assert_eq!(started.status, ExitStatus::Done, "{started:?}");
    assert_eq!(repeated, started);
    assert_eq!(other.status, ExitStatus::Conflict, "{other:?}");
    assert!(listed.output.contains("running, step 0"), "{listed:?}");
    assert_eq!(cancelled.status, ExitStatus::Done, "{cancelled:?}");
    assert!(after.output.contains("cancelled"), "{after:?}");
    handle.stop().await;
}

fn plan_with_service(name: &str) -> PublishedPlan {
    let pool = ServicePool {
        health_path: "/health".into(),
        connections: 9,
        cold: None,
        engine: None,
    };
    PublishedPlan {
        number: PlanNumber(1),
        plan: RoutePlan {
            routes: Vec::new(),
            pools: [(name.into(), pool)].into(),
            organisations: Default::default(),
            bounds: CallerBounds {
                max_headers: ByteSize(1),
                max_body: ByteSize(1),
                header_timeout_ms: 1,
                idle_timeout_ms: 1,
                tokens_per_second: None,
            },
        },
    }
}
