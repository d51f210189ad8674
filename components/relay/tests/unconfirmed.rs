//! Answers of an entry whose plan no quorum has confirmed recently.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{TargetStep, TestTarget, ok_response, plan, relay_settings, start_relay_with};
use control::{ControlHandle, ControlSettings};
use link::{KeyAuthority, KeyFiles, LinkEndpoint, LinkIdentity};
use raft::RaftSettings;
use relay::{RelayHandle, RelaySettings};
use reqwest::{RequestBuilder, Response};
use routes::{KeyRule, PublishedPlan, RoutePlan, RouteSpec};
use rstest::rstest;
use telemetry::MetricTable;
use tempfile::TempDir;
use units::{ByteSize, Incarnation, NodeName, PlanNumber};
use wire::NodeRole;

/// Maximum time that a test waits for an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after the last confirmation of a plan during which the test relays refuse for good by it.
const PLAN_TIME: Duration = Duration::from_millis(2_500);

/// Time after a loss of the quorum within which an entry must have noticed that its plan is not
/// confirmed. The lost confirmation may be that old when the entry gets it.
const NOTICE_TIME: Duration = Duration::from_millis(2 * 2_500 + 500);

/// Time between two requests of a test that waits for another answer.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Names of the control nodes. Two nodes have a quorum only together.
const CONTROL_NAMES: [&str; 2] = ["control-1", "control-2"];

/// Maximum size of a body in the plan of the tests.
const MAX_BODY: usize = 1_000;

/// Two control nodes that have accepted [`open_plan`].
struct ControlPair {
    controls: Vec<ControlHandle>,
    addresses: Vec<SocketAddr>,
    keys: PathBuf,
    _folder: TempDir,
}

impl ControlPair {
    async fn start(targets: &[&TestTarget]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let keys = folder.path().join("keys");
        std::fs::create_dir_all(&keys).unwrap();
        let authority = KeyAuthority::open_or_create(&keys).unwrap();
        authority.issue_role(NodeRole::Control).unwrap();
        authority.issue_role(NodeRole::Entry).unwrap();
        let endpoints = CONTROL_NAMES.map(|name| {
            let name = NodeName::from(name);
            let files = KeyFiles::find(&keys, NodeRole::Control, &name);
            let identity = LinkIdentity::load(NodeRole::Control, &name, &files).unwrap();
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            LinkEndpoint::bind(address, &identity, Incarnation::starting_now()).unwrap()
        });
        let addresses: Vec<SocketAddr> = endpoints.iter().map(LinkEndpoint::address).collect();
        let named = CONTROL_NAMES.iter().zip(&addresses);
        let named: BTreeMap<NodeName, SocketAddr> = named
            .map(|(name, address)| ((*name).into(), *address))
            .collect();
        let mut controls = Vec::new();
        for (name, endpoint) in CONTROL_NAMES.iter().zip(endpoints) {
            let mut peers = named.clone();
            peers.remove(&NodeName::from(*name));
            let settings = ControlSettings {
                name: (*name).into(),
                listen: endpoint.address(),
                data: folder.path().join(name),
                keys: keys.clone(),
                peers,
                is_join_only: false,
                has_peer_discovery: false,
                http: None,
                region: None,
                data_centre: None,
                raft: RaftSettings::default(),
                catch_up_time: control::DEFAULT_CATCH_UP_TIME,
                rollout_bounds: control::DEFAULT_ROLLOUT_BOUNDS,
                plan_time: control::DEFAULT_PLAN_TIME,
                target_silence_timeout: Duration::from_secs(600),
            };
            controls.push(control::start_on(settings, endpoint).await.unwrap());
        }
        for control in &controls {
            let confirmed = control.wait_until(|status| status.confirmed_ms.is_some());
            tokio::time::timeout(EVENT_TIMEOUT, confirmed)
                .await
                .unwrap();
        }
        let published = PublishedPlan {
            number: PlanNumber(1),
            plan: open_plan(),
        };
        let api = controls[0].api();
        api.publish(&published, "plan 1".into()).await.unwrap();
        for target in targets {
            for control in &controls {
                control.api().announce(target.announcement()).await.unwrap();
            }
        }
        Self {
            controls,
            addresses,
            keys,
            _folder: folder,
        }
    }

    /// Starts an entry that accepts keys for a minute without a confirmation, as entries do where the
    /// time to revoke a key is not bounded.
    async fn start_entry(&self) -> RelayHandle {
        start_relay_with(
            RelaySettings {
                lease_time: Duration::from_secs(60),
                plan_time: PLAN_TIME,
                ..relay_settings("entry-1", self.addresses.clone(), self.keys.clone())
            },
            &MetricTable::new(),
        )
        .await
    }

    /// Starts an entry, and returns when it has the plan and the target.
    async fn start_ready_entry(&self) -> RelayHandle {
        let entry = self.start_entry().await;
        common::wait_until(|| entry.plan_number().is_some() && entry.target_count() == 1).await;
        entry
    }

    /// Stops one control node, so that the other has no quorum.
    async fn lose_quorum(&mut self) {
        self.controls[1].kill().await;
    }

    /// Stops both control nodes, which is a cut to all of them for the entries.
    async fn cut_off(&mut self) {
        for control in &mut self.controls {
            control.kill().await;
        }
    }
}

/// A plan with a route that needs no key, and a bound on bodies.
fn open_plan() -> RoutePlan {
    let mut plan = plan();
    let open = RouteSpec {
        name: "open".into(),
        prefix: "/open/".into(),
        key_rule: KeyRule::Optional,
        ..plan.routes[0].clone()
    };
    plan.routes.push(open);
    plan.bounds.max_body = ByteSize(MAX_BODY as u64);
    plan
}

async fn start_target() -> TestTarget {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "done")));
    TestTarget::start("target-1", script).await
}

fn request(entry: &RelayHandle, path: &str, key: Option<&str>) -> RequestBuilder {
    let client = reqwest::Client::new();
    let request = client.post(format!("http://{}{path}", entry.http()));
    let request = request
        .header("request-id", "r1")
        .header("deadline-ms", "2000");
    key.iter()
        .fold(request, |request, key| request.header("key", *key))
}

/// Asserts that a request has not run, may be repeated, and was refused with this code.
async fn assert_retryable(response: Response, code: &str) {
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()["bilberry-outcome"], "not-run");
    assert!(response.headers().contains_key("retry-after"));
    let body = response.text().await.unwrap();
    let code = format!("\"code\":\"{code}\"");
    assert!(body.contains(&code), "{body}");
}

/// Repeats a request until it is refused with 503, and returns that refusal.
async fn wait_for_refusal(entry: &RelayHandle, path: &str, key: Option<&str>) -> Response {
    let started_at = Instant::now();
    loop {
        let response = request(entry, path, key).send().await.unwrap();
        if response.status().as_u16() == 503 {
            return response;
        }
        let status = response.status();
        assert!(started_at.elapsed() < NOTICE_TIME, "still {status}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a refusal that callers never retry, by a plan that has possibly been replaced: the
/// route or the key may have been added, or the bound raised, by a plan that the entry did not receive.
#[rstest]
#[case::unknown_route("/added/x", Some("secret"), 0, 404)]
#[case::unknown_key("/once/x", Some("added"), 0, 401)]
#[case::no_key("/once/x", None, 0, 401)]
#[case::large_body("/once/x", Some("secret"), MAX_BODY + 1, 413)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plan_that_is_not_confirmed_refuses_nothing_for_good(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] body_size: usize,
    #[case] status: u16,
) {
    let target = start_target().await;
    let mut pair = ControlPair::start(&[&target]).await;
    let entry = pair.start_ready_entry().await;
    let send = || {
        request(&entry, path, key)
            .body("x".repeat(body_size))
            .send()
    };

    let confirmed = send().await.unwrap();
    pair.cut_off().await;
    tokio::time::sleep(PLAN_TIME).await;
    let unconfirmed = send().await.unwrap();

    assert_eq!(confirmed.status().as_u16(), status);
    assert_retryable(unconfirmed, "no-lease").await;
}

/// Guards against requests that run by an older plan while all entries reach the control nodes, which
/// have lost their quorum after they confirmed a newer plan.
#[rstest]
#[case::without_key("/open/x", None)]
#[case::with_key("/once/x", Some("secret"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_runs_by_an_unconfirmed_plan_while_control_has_no_quorum(
    #[case] path: &str,
    #[case] key: Option<&str>,
) {
    let target = start_target().await;
    let mut pair = ControlPair::start(&[&target]).await;
    let entry = pair.start_ready_entry().await;
    let confirmed = request(&entry, path, key).send().await.unwrap();
    assert_eq!(confirmed.status().as_u16(), 200);

    pair.lose_quorum().await;
    let refusal = wait_for_refusal(&entry, path, key).await;
    let run_count = target.heads.lock().unwrap().len();
    let later = request(&entry, path, key).send().await.unwrap();

    assert_retryable(refusal, "no-lease").await;
    assert_retryable(later, "no-lease").await;
    assert_eq!(target.heads.lock().unwrap().len(), run_count);
}

/// Guards against an entry that refuses the callers beside it while only its links to control have
/// failed: no other entry can serve them better.
#[rstest]
#[case::without_key("/open/x", None)]
#[case::with_key("/once/x", Some("secret"))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_is_cut_off_runs_requests(#[case] path: &str, #[case] key: Option<&str>) {
    let target = start_target().await;
    let mut pair = ControlPair::start(&[&target]).await;
    let entry = pair.start_ready_entry().await;

    pair.cut_off().await;
    let cut_off_at = Instant::now();
    while cut_off_at.elapsed() < NOTICE_TIME {
        let response = request(&entry, path, key).send().await.unwrap();
        assert_eq!(response.status().as_u16(), 200);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against an entry that starts while control has no quorum and learns no plan, or that takes
/// the plan for confirmed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_starts_without_a_quorum_learns_the_plan() {
    let target = start_target().await;
    let mut pair = ControlPair::start(&[&target]).await;
    pair.lose_quorum().await;
    let without_quorum = pair.controls[0].wait_until(|status| status.confirmed_ms.is_none());
    tokio::time::timeout(EVENT_TIMEOUT, without_quorum)
        .await
        .unwrap();

    let entry = pair.start_entry().await;
    common::wait_until(|| entry.plan_number() == Some(PlanNumber(1))).await;
    let unknown = request(&entry, "/added/x", None).send().await.unwrap();
    let known = request(&entry, "/open/x", None).send().await.unwrap();

    assert_retryable(unknown, "no-lease").await;
    assert_retryable(known, "no-lease").await;
}

/// Guards against a refusal that callers never retry by an entry that has no plan yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_without_a_plan_asks_for_a_retry() {
    let target = start_target().await;
    let mut pair = ControlPair::start(&[&target]).await;
    pair.cut_off().await;

    let entry = pair.start_entry().await;
    let response = request(&entry, "/open/x", None).send().await.unwrap();

    assert_retryable(response, "no-plan").await;
}
