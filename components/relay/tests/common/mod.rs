//! A relay with one control node, and targets that return scripted bytes.

#![allow(dead_code)]

pub(crate) mod crashing;
pub(crate) mod cutting;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use control::{ApiError, ControlApi, ControlHandle, ControlSettings};
use http::{HeaderMap, HeaderName, HeaderValue, request, response};
use link::KeyAuthority;
use manifest::KeyHash;
use raft::RaftSettings;
use relay::{
    CallerDialect, ForwardMetadata, MetadataError, ModelUsage, PromptPart, RelayHandle, RelayParts,
    RelaySettings, RequestMetadata, ResponseVerdict, StreamContinuation, TargetStatement,
    WindowBound,
};
use routes::{
    CallerBounds, KeyRule, OrganisationAccess, PublishedPlan, RepeatRule, RoutePlan, RouteSpec,
    ServicePool, StatedKey, WeightedService,
};
use telemetry::MetricTable;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use units::{ByteSize, ConfigVersion, Incarnation, MilliRate, PlanNumber, SlotCount};
use wire::{AnnouncedTarget, DirectoryEntry, NodeKind, NodeRole, NodeState};

/// Time within which the test relays stop.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time that a test waits for an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Header that names the step at which the [`TestDialect`] panics: `request`, `send` or `response`.
pub(crate) const PANIC_AT: &str = "panic-at";

/// Panics if the headers ask for it at this step.
fn panic_if_asked(headers: &HeaderMap, step: &str) {
    let is_asked = headers.get(PANIC_AT).is_some_and(|value| value == step);
    assert!(!is_asked, "the test asks for a panic");
}

/// Caller dialect of the tests, with short header names.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TestDialect;

impl CallerDialect for TestDialect {
    fn parse_request(&self, head: &request::Parts) -> Result<RequestMetadata, MetadataError> {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        panic_if_asked(&head.headers, "request");
        let millis = |text: &str| {
            let millis: f64 = text.parse().ok()?;
            Some(Duration::from_secs_f64(millis / 1_000.0))
        };
        Ok(RequestMetadata {
            attempt_id: text("request-id").unwrap_or("none").into(),
            host: "mill.example".into(),
            key: text("key").map_or(StatedKey::Missing, |text| StatedKey::Hash(key(text))),
            remaining: text("deadline-ms").and_then(millis),
            model_usage: text("prompt-parts").map(model_usage),
            continuation: text("last-event").map(|_| StreamContinuation {
                first_attempt: text("continues").map(Into::into),
            }),
        })
    }

    fn target_headers(&self, headers: &HeaderMap, metadata: &ForwardMetadata<'_>) -> HeaderMap {
        panic_if_asked(headers, "send");
        let mut headers = headers.clone();
        headers.remove("key");
        let instance = HeaderValue::from_str(metadata.target.as_str()).unwrap();
        headers.insert("instance", instance);
        headers
    }

    fn classify_response(&self, attempt_id: &str, head: &response::Parts) -> ResponseVerdict {
        let response_id = head.headers.get("request-id");
        if response_id.is_none_or(|response_id| response_id != attempt_id) {
            return ResponseVerdict::Invalid;
        }
        match head.headers.contains_key("not-run") {
            true => ResponseVerdict::NotRun,
            false => ResponseVerdict::Valid,
        }
    }

    fn target_statement(&self, _: &str, head: &response::Parts) -> TargetStatement {
        panic_if_asked(&head.headers, "response");
        let number =
            |name: &str| -> Option<f64> { head.headers.get(name)?.to_str().ok()?.parse().ok() };
        TargetStatement {
            limit: number("server-limit").map(|limit| MilliRate((limit * 1000.0) as u64)),
            pause: number("pause-ms").map(|pause| Duration::from_millis(pause as u64)),
            is_leaving: head.headers.contains_key("leaving"),
        }
    }

    fn is_end_to_end(&self, name: &HeaderName) -> bool {
        ["request-id", "instance", "deadline-ms"].contains(&name.as_str())
    }

    fn retry_after(&self, wait: Duration) -> HeaderValue {
        HeaderValue::from(wait.as_millis() as u64)
    }
}

/// Usage of a model by a prompt with these parts: hexadecimal ids, separated by commas.
fn model_usage(parts: &str) -> ModelUsage {
    let id = |text: &str| u64::from_str_radix(text, 16).unwrap();
    let parts = parts.split(',').map(|text| PromptPart {
        id: id(text),
        tokens: 10,
    });
    ModelUsage {
        prompt_tokens: 10,
        max_output_tokens: 1,
        output_hint: None,
        parts: parts.collect(),
    }
}

/// Hash of a key in [`TestDialect`]: its bytes, padded with zeros.
pub(crate) fn key(text: &str) -> KeyHash {
    let mut hash = [0; 32];
    hash[..text.len()].copy_from_slice(text.as_bytes());
    KeyHash(hash)
}

/// Reaction of a target to one request.
pub(crate) enum TargetStep {
    /// Writes these bytes and waits for the next request.
    Write(Vec<u8>),
    /// Writes these bytes and closes the connection.
    Close(Vec<u8>),
    /// Writes these bytes and resets the connection after they have been read.
    Reset(Vec<u8>),
    /// Writes these bytes and keeps the connection open.
    Hang(Vec<u8>),
    /// Does the other step after it was notified.
    Await(Arc<Notify>, Box<TargetStep>),
    /// Writes the first bytes, and then the others again and again until the connection is closed.
    Endless(Vec<u8>, Vec<u8>, Duration),
    /// Writes `part` up to `count` times, one in each interval, between `start` and `end`.
    Drip {
        start: Vec<u8>,
        part: Vec<u8>,
        end: Vec<u8>,
        interval: Duration,
        count: usize,
    },
}

/// Returns the reaction to a request with the given head.
pub(crate) type TargetScript = Arc<dyn Fn(&str) -> TargetStep + Send + Sync>;

/// A target that reacts to requests as its script says.
pub(crate) struct TestTarget {
    pub(crate) name: String,
    pub(crate) version: String,
    pub(crate) service: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
    /// Heads of the received requests.
    pub(crate) heads: Arc<Mutex<Vec<String>>>,
    /// Number of connections that have ended.
    pub(crate) closed: Arc<AtomicUsize>,
}

impl TestTarget {
    /// A target that does not accept connections yet.
    pub(crate) fn at(name: &str, address: SocketAddr) -> Self {
        Self {
            name: name.into(),
            version: "v1".into(),
            service: "visits".into(),
            incarnation: Incarnation(1),
            address,
            heads: Arc::default(),
            closed: Arc::default(),
        }
    }

    pub(crate) async fn start(name: &str, script: TargetScript) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = Self::at(name, listener.local_addr().unwrap());
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

    /// Sets the version of the software that the target announces.
    pub(crate) fn with_version(self, version: &str) -> Self {
        let version = version.into();
        Self { version, ..self }
    }

    /// Sets the service that the target announces.
    pub(crate) fn with_service(self, service: &str) -> Self {
        let service = service.into();
        Self { service, ..self }
    }

    pub(crate) fn arrivals(&self) -> usize {
        self.heads.lock().unwrap().len()
    }

    pub(crate) async fn wait_closed(&self) {
        wait_until(|| self.closed.load(Ordering::SeqCst) > 0).await;
    }

    pub(crate) fn announcement(&self) -> DirectoryEntry {
        DirectoryEntry {
            name: self.name.as_str().into(),
            incarnation: self.incarnation,
            address: self.address,
            data_centre: "praha-1".into(),
            state: NodeState::Serving,
            config: ConfigVersion(0),
            kind: NodeKind::Target(AnnouncedTarget {
                service: self.service.as_str().into(),
                version: Some(self.version.as_str().into()),
                slots: SlotCount(4),
                cold_ms: 0,
                sequence: 1,
                accepted_at: ConfigVersion(0),
            }),
        }
    }
}

async fn serve(mut stream: TcpStream, script: TargetScript, heads: Arc<Mutex<Vec<String>>>) {
    while let Some(head) = read_request(&mut stream).await {
        heads.lock().unwrap().push(head.clone());
        let mut step = script(&head);
        while let TargetStep::Await(notify, awaited) = step {
            notify.notified().await;
            step = *awaited;
        }
        match step {
            TargetStep::Write(bytes) => stream.write_all(&bytes).await.unwrap(),
            TargetStep::Close(bytes) => {
                stream.write_all(&bytes).await.unwrap();
                return;
            }
            TargetStep::Reset(bytes) => {
                stream.write_all(&bytes).await.unwrap();
                // A reset discards what the receiver has not read yet.
                tokio::time::sleep(Duration::from_millis(50)).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
            TargetStep::Hang(bytes) => stream.write_all(&bytes).await.unwrap(),
            TargetStep::Await(..) => unreachable!("the step was awaited"),
            TargetStep::Endless(start, part, interval) => {
                return drip(&mut stream, &start, &part, interval, usize::MAX).await;
            }
            TargetStep::Drip {
                start,
                part,
                end,
                interval,
                count,
            } => {
                drip(&mut stream, &start, &part, interval, count).await;
                // Fails if the relay has closed the connection.
                let _ = stream.write_all(&end).await;
            }
        }
    }
}

/// Writes `start`, and then `part` in each interval until the connection is closed or `count` parts
/// are written.
async fn drip(stream: &mut TcpStream, start: &[u8], part: &[u8], interval: Duration, count: usize) {
    if stream.write_all(start).await.is_err() {
        return;
    }
    for _ in 0..count {
        if stream.write_all(part).await.is_err() {
            return;
        }
        tokio::time::sleep(interval).await;
    }
}

/// Reads a request with an optional `content-length` body, and returns its head.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let head = read_head(stream).await?;
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// Reads the head of a request; `None` if the connection ends before.
pub(crate) async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(bytes).unwrap())
}

/// Value of a header in the head of a message.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A response with status 200 to the request with the given head.
pub(crate) fn ok_response(head: &str, body: &str) -> Vec<u8> {
    let id = header(head, "request-id").unwrap_or("none");
    response_bytes(200, id, body)
}

/// A complete response with a status and the id of its request.
pub(crate) fn response_bytes(status: u16, id: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Test\r\nrequest-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// A relay and its control node, with the clients that the tests use.
pub(crate) struct TestFleet {
    pub(crate) api: ControlApi,
    pub(crate) relay: RelayHandle,
    pub(crate) client: reqwest::Client,
    /// Metrics of the relay.
    pub(crate) metrics: MetricTable,
    control: ControlHandle,
    keys: PathBuf,
    folder: TempDir,
}

impl TestFleet {
    /// Starts a control node and a relay, publishes the plan, and announces the targets. Returns
    /// when the relay lists all targets.
    pub(crate) async fn start(plan: Option<RoutePlan>, targets: &[&TestTarget]) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let keys = folder.path().join("keys");
        std::fs::create_dir_all(&keys).unwrap();
        let authority = KeyAuthority::open_or_create(&keys).unwrap();
        authority.issue_role(NodeRole::Control).unwrap();
        authority.issue_role(NodeRole::Entry).unwrap();
        let control = start_control(folder.path()).await;
        let metrics = MetricTable::new();
        let relay = start_relay("entry-1", control.address(), keys.clone(), &metrics).await;
        let fleet = Self {
            api: control.api(),
            relay,
            client: reqwest::Client::new(),
            metrics,
            control,
            keys,
            folder,
        };
        if let Some(plan) = plan {
            fleet.publish(1, plan).await;
        }
        fleet.announce_all(targets).await;
        fleet
    }

    async fn announce_all(&self, targets: &[&TestTarget]) {
        for target in targets {
            self.api.announce(target.announcement()).await.unwrap();
        }
        self.wait_for_targets(targets.len()).await;
    }

    /// Stops the control node and the relay at once, and starts others with the same data folder.
    pub(crate) async fn restart_all(self, targets: &[&TestTarget]) -> Self {
        let Self {
            mut control,
            relay,
            client,
            metrics,
            keys,
            folder,
            ..
        } = self;
        drop(relay);
        control.kill().await;
        drop(control);
        let control = start_control(folder.path()).await;
        let relay = start_relay("entry-1", control.address(), keys.clone(), &metrics).await;
        let fleet = Self {
            api: control.api(),
            relay,
            client,
            metrics,
            control,
            keys,
            folder,
        };
        fleet.announce_all(targets).await;
        fleet
    }

    /// Stops the control node.
    pub(crate) async fn kill_control(&mut self) {
        self.control.kill().await;
    }

    /// Waits until the control node has written origins of streams to its journal.
    pub(crate) async fn wait_for_journal(&self) {
        let folder = data_folder(self.folder.path()).join("origins");
        let file_size =
            |entry: io::Result<std::fs::DirEntry>| entry.unwrap().metadata().unwrap().len();
        let size = || {
            std::fs::read_dir(&folder)
                .unwrap()
                .map(file_size)
                .sum::<u64>()
        };
        wait_until(|| size() > 0).await;
    }

    /// Starts another relay, and returns when the first one lists it.
    pub(crate) async fn start_other_relay(&self) -> RelayHandle {
        let others = self.relay.other_entry_count();
        let (control, keys) = (self.control.address(), self.keys.clone());
        let other = start_relay("entry-2", control, keys, &MetricTable::new()).await;
        wait_until(|| self.relay.other_entry_count() > others).await;
        other
    }

    pub(crate) async fn publish(&self, number: u64, plan: RoutePlan) {
        let published = PublishedPlan {
            number: PlanNumber(number),
            plan,
        };
        let text = format!("plan {number}");
        // Operators repeat an order that no quorum has confirmed in time, as on a busy machine.
        let publishing = async {
            loop {
                match self.api.publish(&published, text.clone()).await {
                    Err(ApiError::NoQuorum(_)) => {}
                    result => return result,
                }
            }
        };
        let published = tokio::time::timeout(EVENT_TIMEOUT, publishing).await;
        published.unwrap().unwrap();
    }

    async fn wait_for_targets(&self, count: usize) {
        wait_until(|| self.relay.target_count() == count).await;
    }

    /// Value of a counter; 0 if it has never been incremented.
    pub(crate) fn counter(&self, name: &str) -> u64 {
        let text = self.metrics.render();
        let prefix = format!("test_{name} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
        value.map_or(0, |value| value.parse().unwrap())
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.relay.http())
    }

    /// A request with an id, the key of the only organisation and a deadline of 2 s.
    pub(crate) fn request(&self, path: &str, id: &str) -> reqwest::RequestBuilder {
        self.request_with_deadline(path, id, Duration::from_secs(2))
    }

    /// A request to a given entry, with an id, the key of the only organisation and a deadline of 2
    /// s.
    pub(crate) fn request_at(
        &self,
        entry: &RelayHandle,
        path: &str,
        id: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", entry.http());
        let request = self.client.post(url).header("request-id", id);
        request
            .header("key", "secret")
            .header("deadline-ms", "2000")
    }

    /// A request with an id, the key of the only organisation and a deadline.
    pub(crate) fn request_with_deadline(
        &self,
        path: &str,
        id: &str,
        deadline: Duration,
    ) -> reqwest::RequestBuilder {
        let request = self.client.post(self.url(path));
        request
            .header("request-id", id)
            .header("key", "secret")
            .header("deadline-ms", deadline.as_millis().to_string())
            .body("order")
    }
}

fn data_folder(folder: &Path) -> PathBuf {
    folder.join("data")
}

/// Starts a control node with a data folder and keys in `folder`, and waits until it has a quorum.
async fn start_control(folder: &Path) -> ControlHandle {
    let control = control::start(ControlSettings {
        name: "control-1".into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        data: data_folder(folder),
        keys: folder.join("keys"),
        peers: BTreeMap::new(),
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
    })
    .await
    .unwrap();
    let confirmed = control.wait_until(|status| status.confirmed_ms.is_some());
    tokio::time::timeout(EVENT_TIMEOUT, confirmed)
        .await
        .unwrap();
    control
}

/// Settings of a relay on loopback addresses.
pub(crate) fn relay_settings(
    name: &str,
    controls: Vec<SocketAddr>,
    keys: PathBuf,
) -> RelaySettings {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    RelaySettings {
        name: name.into(),
        http: loopback,
        listen: loopback,
        data_centre: "praha-1".into(),
        regions: BTreeMap::from([("praha-1".into(), "bohemia".into())]),
        controls,
        keys,
        lease_time: Duration::from_millis(2_500),
        plan_time: Duration::from_millis(2_500),
        announcement_time: Duration::from_millis(2_500),
        retries: WindowBound {
            retries_per_thousand: 200,
            slack: 50,
            window: Duration::from_secs(10),
        },
        rollout_exposure_permille: 100,
        is_load_evened: false,
        limits: relay::MemoryLimits::default(),
        stop_timeout: STOP_TIMEOUT,
    }
}

async fn start_relay(
    name: &str,
    control: SocketAddr,
    keys: PathBuf,
    metrics: &MetricTable,
) -> RelayHandle {
    start_relay_with(relay_settings(name, vec![control], keys), metrics).await
}

pub(crate) async fn start_relay_with(
    settings: RelaySettings,
    metrics: &MetricTable,
) -> RelayHandle {
    let parts = RelayParts {
        dialect: Arc::new(TestDialect),
        metrics: metrics.client("test"),
    };
    relay::start(settings, parts).await.unwrap()
}

/// Sends bytes on a new connection, and returns what is received, and how the connection ends.
pub(crate) async fn exchange_bytes(address: SocketAddr, bytes: &[u8]) -> (String, io::Result<()>) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    let end = tokio::time::timeout(EVENT_TIMEOUT, reading).await.unwrap();
    (String::from_utf8(received).unwrap(), end.map(|_| ()))
}

/// Polls every 5 ms until a condition holds.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, waiting).await.unwrap();
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
        key_rule: KeyRule::Required,
        affinity: false,
        regions: BTreeSet::new(),
    }
}

/// A plan that routes `/once/`, `/again/`, `/stream/` and `/resumable/` to the service of the
/// targets.
pub(crate) fn plan() -> RoutePlan {
    RoutePlan {
        routes: vec![
            route("/once/", RepeatRule::Once, 2),
            route("/again/", RepeatRule::Repeatable, 2),
            route("/stream/", RepeatRule::Stream, 1),
            route("/resumable/", RepeatRule::ResumableStream, 2),
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
