//! One control node and the commands that operators run against it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use control::{ControlHandle, ControlSettings, start};
use ctl::{CommandReport, ExitStatus, run};
use raft::RaftSettings;

/// Maximum time until a control node has confirmed its state.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Loopback address with a port that the system chooses.
pub(crate) fn any_local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Runs a command with the keys in a folder.
pub(crate) async fn run_ctl(folder: &Path, controls: &str, arguments: &[&str]) -> CommandReport {
    let keys = folder.join("keys");
    let mut all_arguments = vec!["--keys", keys.to_str().unwrap(), "--controls", controls];
    all_arguments.extend(arguments);
    let options = ctl::options().run_inner(all_arguments.as_slice()).unwrap();
    run(options).await
}

/// Issues the keys of a control node, an operator and an entry, and starts the control node.
pub(crate) async fn start_control(folder: &Path) -> ControlHandle {
    for arguments in [
        vec!["keys", "init"],
        vec!["keys", "issue", "control", "control-1"],
        vec!["keys", "issue", "operator", "operator"],
        vec!["keys", "issue", "entry", "entry-1"],
    ] {
        let report = run_ctl(folder, "", &arguments).await;
        assert_eq!(report.status, ExitStatus::Done, "{report:?}");
    }
    let settings = ControlSettings {
        name: "control-1".into(),
        listen: any_local_address(),
        data: folder.join("data"),
        keys: folder.join("keys"),
        peers: Default::default(),
        http: None,
        region: None,
        data_centre: None,
        raft: RaftSettings::default(),
        catch_up_time: control::DEFAULT_CATCH_UP_TIME,
        rollout_bounds: control::DEFAULT_ROLLOUT_BOUNDS,
        plan_time: control::DEFAULT_PLAN_TIME,
        target_silence_timeout: Duration::from_secs(2),
        is_join_only: false,
        has_peer_discovery: false,
    };
    let handle = start(settings).await.unwrap();
    let ready = handle.wait_until(|status| status.confirmed_ms.is_some());
    tokio::time::timeout(READY_TIMEOUT, ready).await.unwrap();
    handle
}
