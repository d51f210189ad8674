//! A relay with one control node, and targets whose bytes the test writes.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use control::{ControlApi, ControlHandle, ControlSettings};
use http::{HeaderMap, HeaderValue, request, response};
use link::KeyAuthority;
use manifest::KeyHash;
use raft::RaftSettings;
use relay::{
    AnswerVerdict, CallerDialect, CallerTerms, RelayHandle, RelayParts, RelaySettings, TargetTerms,
    TermsError, WindowBound,
};
use routes::{
    CallerBounds, OrganisationAccess, PublishedPlan, RepeatRule, RoutePlan, RouteSpec, ServicePool,
    WeightedService,
};
use telemetry::MetricTable;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use units::{ByteSize, ConfigVersion, Incarnation, PlanNumber, SlotCount};
use wire::{AnnouncedTarget, DirectoryEntry, NodeKind, NodeRole, NodeState};

/// Longest wait for a state that the test brings about.
const PATIENCE: Duration = Duration::from_secs(20);

/// Headers of the tests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TestDialect;

impl CallerDialect for TestDialect {
    fn read(&self, head: &request::Parts) -> Result<CallerTerms, TermsError> {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let millis = |text: &str| text.parse().ok().map(Duration::from_millis);
        Ok(CallerTerms {
            attempt: text("request-id").unwrap_or("none").into(),
            host: "mill.example".into(),
            key: text("key").map(key),
            remaining: text("deadline-ms").and_then(millis),
            model: None,
        })
    }

    fn target_headers(&self, headers: &HeaderMap, terms: &TargetTerms<'_>) -> HeaderMap {
        let mut headers = headers.clone();
        headers.remove("key");
        let instance = HeaderValue::from_str(terms.instance.as_str()).unwrap();
        headers.insert("instance", instance);
        headers
    }

    fn judge(&self, attempt: &str, head: &response::Parts) -> AnswerVerdict {
        if head.headers.contains_key("not-run") {
            return AnswerVerdict::NotRun;
        }
        let answered = head.headers.get("request-id");
        match answered.is_some_and(|answered| answered == attempt) {
            true => AnswerVerdict::Answer,
            false => AnswerVerdict::Unsound,
        }
    }

    fn retry_after(&self, wait: Duration) -> HeaderValue {
        HeaderValue::from(wait.as_millis() as u64)
    }
}

/// Hash of a key as the dialect of the tests computes it.
pub(crate) fn key(text: &str) -> KeyHash {
    let mut hash = [0; 32];
    hash[..text.len()].copy_from_slice(text.as_bytes());
    KeyHash(hash)
}

/// What a target does with one request.
pub(crate) enum TargetStep {
    /// Writes these bytes and waits for the next request.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    Close(Vec<u8>),
    /// Writes these bytes and keeps the connection open without another byte.
    Hang(Vec<u8>),
}

/// Answers a request of which the head is given as text.
pub(crate) type TargetScript = Arc<dyn Fn(&str) -> TargetStep + Send + Sync>;

/// A target that follows a script.
pub(crate) struct TestTarget {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    /// Heads of the requests that have arrived.
    pub(crate) heads: Arc<Mutex<Vec<String>>>,
    /// Connections that the other side has closed.
    pub(crate) closed: Arc<AtomicUsize>,
}

impl TestTarget {
    pub(crate) async fn start(name: &str, script: TargetScript) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = Self {
            name: name.into(),
            address: listener.local_addr().unwrap(),
            heads: Arc::default(),
            closed: Arc::default(),
        };
        let (heads, closed) = (target.heads.clone(), target.closed.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, heads, closed) = (script.clone(), heads.clone(), closed.clone());
                tokio::spawn(async move {
                    serve(stream, script, heads).await;
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        target
    }

    pub(crate) fn arrivals(&self) -> usize {
        self.heads.lock().unwrap().len()
    }

    pub(crate) async fn wait_closed(&self) {
        wait_until(|| self.closed.load(Ordering::SeqCst) > 0).await;
    }

    fn announcement(&self) -> DirectoryEntry {
        DirectoryEntry {
            name: self.name.as_str().into(),
            incarnation: Incarnation(1),
            address: self.address,
            data_centre: "praha-1".into(),
            state: NodeState::Serving,
            config: ConfigVersion(0),
            kind: NodeKind::Target(AnnouncedTarget {
                service: "visits".into(),
                slots: SlotCount(4),
                cold_ms: 0,
                sequence: 1,
            }),
        }
    }
}

async fn serve(mut stream: TcpStream, script: TargetScript, heads: Arc<Mutex<Vec<String>>>) {
    while let Some(head) = read_request(&mut stream).await {
        heads.lock().unwrap().push(head.clone());
        match script(&head) {
            TargetStep::Write(bytes) => stream.write_all(&bytes).await.unwrap(),
            TargetStep::Close(bytes) => {
                stream.write_all(&bytes).await.unwrap();
                return;
            }
            TargetStep::Hang(bytes) => stream.write_all(&bytes).await.unwrap(),
        }
    }
}

/// Reads a request with an optional body of stated length, and returns its head.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(bytes).unwrap();
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// Value of a header in the text of a head.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A whole answer to the request of a head.
pub(crate) fn answer(head: &str, body: &str) -> Vec<u8> {
    let id = header(head, "request-id").unwrap_or("none");
    whole(200, id, body)
}

/// A whole answer with a status and the id of a request.
pub(crate) fn whole(status: u16, id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Test\r\nrequest-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// A relay with its control node.
pub(crate) struct TestFleet {
    pub(crate) api: ControlApi,
    pub(crate) relay: RelayHandle,
    pub(crate) client: reqwest::Client,
    _control: ControlHandle,
    _folder: TempDir,
}

impl TestFleet {
    /// Starts a control node and a relay. With targets, waits until the relay sends to them.
    pub(crate) async fn start(plan: Option<RoutePlan>, targets: &[&TestTarget]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let keys = folder.path().join("keys");
        std::fs::create_dir_all(&keys).unwrap();
        let authority = KeyAuthority::open_or_create(&keys).unwrap();
        authority.issue_role(NodeRole::Control).unwrap();
        authority.issue_role(NodeRole::Entry).unwrap();
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let control = control::start(ControlSettings {
            name: "control-1".into(),
            listen: local,
            data: folder.path().join("data"),
            keys: keys.clone(),
            peers: BTreeMap::new(),
            joins_only: false,
            discovers: false,
            http: None,
            region: None,
            data_centre: None,
            raft: RaftSettings::default(),
            target_silence: Duration::from_secs(600),
        })
        .await
        .unwrap();
        let ready = control.wait_until(|status| status.confirmed_ms.is_some());
        tokio::time::timeout(PATIENCE, ready).await.unwrap();
        let settings = RelaySettings {
            name: "entry-1".into(),
            http: local,
            listen: local,
            data_centre: "praha-1".into(),
            regions: BTreeMap::from([("praha-1".into(), "bohemia".into())]),
            controls: vec![control.address()],
            keys,
            lease_time: Duration::from_millis(2_500),
            retries: WindowBound {
                retries_per_thousand: 200,
                slack: 50,
                window: Duration::from_secs(10),
            },
            stop_time: Duration::from_secs(5),
        };
        let relay = relay::start(
            settings,
            RelayParts {
                dialect: Arc::new(TestDialect),
                metrics: MetricTable::new().client("test"),
            },
        )
        .await
        .unwrap();
        let fleet = Self {
            api: control.api(),
            relay,
            client: reqwest::Client::new(),
            _control: control,
            _folder: folder,
        };
        if let Some(plan) = plan {
            fleet.publish(1, plan).await;
        }
        for target in targets {
            fleet.api.announce(target.announcement());
        }
        fleet.wait_for_targets(targets.len()).await;
        fleet
    }

    pub(crate) async fn publish(&self, number: u64, plan: RoutePlan) {
        let published = PublishedPlan {
            number: PlanNumber(number),
            plan,
        };
        let text = format!("plan {number}");
        self.api.publish(&published, text).await.unwrap();
    }

    async fn wait_for_targets(&self, count: usize) {
        wait_until(|| self.relay.target_count() == count).await;
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.relay.http())
    }

    /// A request with an id and the key of the only organisation.
    pub(crate) fn request(&self, path: &str, id: &str) -> reqwest::RequestBuilder {
        let request = self.client.post(self.url(path));
        request
            .header("request-id", id)
            .header("key", "secret")
            .header("deadline-ms", "2000")
            .body("order")
    }
}

/// Waits until a condition holds; it is looked at every few milliseconds.
pub(crate) async fn wait_until(check: impl Fn() -> bool) {
    let waiting = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.unwrap();
}

fn route(prefix: &str, repeat: RepeatRule, max_targets: u32) -> RouteSpec {
    RouteSpec {
        name: prefix.trim_matches('/').into(),
        host: "mill.example".into(),
        prefix: prefix.into(),
        repeat,
        timeout_ms: 1_500,
        objective_ms: 500,
        gap_ms: None,
        priority: 1,
        split: vec![WeightedService {
            service: "visits".into(),
            weight: 1,
        }],
        max_targets,
        anonymous: false,
        affinity: false,
        regions: BTreeSet::new(),
    }
}

/// Routes `/once/`, `/again/` and `/stream/` to the service of the targets.
pub(crate) fn plan() -> RoutePlan {
    RoutePlan {
        routes: vec![
            route("/once/", RepeatRule::Once, 2),
            route("/again/", RepeatRule::Repeatable, 2),
            route("/stream/", RepeatRule::Stream, 1),
        ],
        pools: BTreeMap::from([(
            "visits".into(),
            ServicePool {
                health_path: "/health".into(),
                connections: 10,
                cold: None,
                engine: None,
            },
        )]),
        organisations: BTreeMap::from([(
            "mlyn-hora".into(),
            OrganisationAccess {
                keys: BTreeSet::from([key("secret")]),
                priority: None,
                regions: BTreeSet::new(),
            },
        )]),
        bounds: CallerBounds {
            max_headers: ByteSize(16 << 10),
            max_body: ByteSize(1 << 20),
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            tokens_per_second: None,
        },
    }
}
