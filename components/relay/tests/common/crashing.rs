//! Targets that crash when they run certain requests, and come back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use control::ControlApi;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use units::Incarnation;

use super::{TestFleet, TestTarget};

/// Time for which a target runs a request.
const RUN_TIME: Duration = Duration::from_millis(20);

/// Time after which a target that crashed is back.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// How a target behaves from its crash until it is back.
#[derive(Debug, Clone, Copy)]
pub(crate) enum CrashKind {
    /// Its connections break, and its address refuses new ones.
    Refusing,
    /// Its connections break, but its address accepts new ones for this time, as a supervisor that
    /// holds the socket does. They are never answered.
    Accepting(Duration),
    /// Its connections stay open for this time, and new ones are accepted. None is answered.
    Silent(Duration),
}

/// Decides from the head of a request whether the target crashes.
pub(crate) type CrashRule = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// What happened at all targets of a test.
#[derive(Clone, Default)]
pub(crate) struct CrashRecord {
    /// Times of the crashes.
    pub(crate) crashes: Arc<Mutex<Vec<Instant>>>,
    /// Times at which requests arrived that make their target crash.
    pub(crate) arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl CrashRecord {
    /// Time of the crash with this number, counted from 1.
    pub(crate) fn crash(&self, number: usize) -> Option<Instant> {
        self.crashes.lock().unwrap().get(number - 1).copied()
    }

    /// Number of requests that arrived after a time and make their target crash.
    pub(crate) fn arrivals_after(&self, time: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|arrival| **arrival > time).count()
    }
}

/// Starts `count` targets, which the fleet's control node lists.
pub(crate) async fn start_crashing_targets(
    fleet: &TestFleet,
    count: usize,
    rule: CrashRule,
    kind: CrashKind,
) -> CrashRecord {
    let record = CrashRecord::default();
    for number in 0..count {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = listener.local_addr().unwrap();
        let crashing = CrashingTarget {
            target: TestTarget::at(&format!("target-{number}"), address),
            rule: rule.clone(),
            record: record.clone(),
            kind,
        };
        tokio::spawn(crashing.run(listener, fleet.api.clone()));
    }
    fleet.wait_for_targets(count).await;
    record
}

/// A target that crashes when it runs certain requests.
struct CrashingTarget {
    target: TestTarget,
    rule: CrashRule,
    record: CrashRecord,
    kind: CrashKind,
}

impl CrashingTarget {
    /// Runs the target until the test ends: serves, crashes, and starts again at the same address.
    async fn run(self, listener: TcpListener, api: ControlApi) {
        let mut listener = listener;
        for incarnation in 1.. {
            let mut entry = self.target.announcement();
            entry.incarnation = Incarnation(incarnation);
            api.announce(entry).await.unwrap();
            let connections = self.serve_until_crash(&listener).await;
            self.record.crashes.lock().unwrap().push(Instant::now());
            match self.kind {
                CrashKind::Refusing => {
                    drop((connections, listener));
                    tokio::time::sleep(RESTART_DELAY).await;
                    listener = bind(self.target.address);
                }
                CrashKind::Accepting(time) => {
                    drop(connections);
                    accept_without_answers(&listener, time).await;
                }
                CrashKind::Silent(time) => {
                    accept_without_answers(&listener, time).await;
                    drop(connections);
                }
            }
        }
    }

    /// Serves requests until the first one that crashes the target. Returns the connections, which
    /// are open and silent.
    async fn serve_until_crash(&self, listener: &TcpListener) -> JoinSet<()> {
        let (crash_sender, crash) = watch::channel(false);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    let (rule, record) = (self.rule.clone(), self.record.clone());
                    connections.spawn(serve(stream, rule, record, crash_sender.clone()));
                }
                () = wait_for_crash(crash.clone()) => return connections,
            }
        }
    }
}

/// Accepts connections and keeps them open without an answer.
async fn accept_without_answers(listener: &TcpListener, time: Duration) {
    let mut streams = Vec::new();
    let accepting = async {
        loop {
            streams.extend(listener.accept().await.ok());
        }
    };
    let _ = tokio::time::timeout(time, accepting).await;
}

/// Serves requests of a connection until the target crashes; then neither reads nor writes.
async fn serve(
    mut stream: TcpStream,
    rule: CrashRule,
    record: CrashRecord,
    crash_sender: watch::Sender<bool>,
) {
    tokio::select! {
        biased;
        () = wait_for_crash(crash_sender.subscribe()) => std::future::pending().await,
        () = serve_requests(&mut stream, &rule, &record, &crash_sender) => {}
    }
}

async fn wait_for_crash(mut crash: watch::Receiver<bool>) {
    let _ = crash.wait_for(|has_crashed| *has_crashed).await;
}

async fn serve_requests(
    stream: &mut TcpStream,
    rule: &CrashRule,
    record: &CrashRecord,
    crash_sender: &watch::Sender<bool>,
) {
    while let Some(head) = super::read_request(stream).await {
        let is_crash = rule(&head);
        if is_crash {
            record.arrivals.lock().unwrap().push(Instant::now());
        }
        tokio::time::sleep(RUN_TIME).await;
        if is_crash {
            crash_sender.send_replace(true);
            std::future::pending::<()>().await;
        }
        // Fails if the relay has closed the connection.
        let _ = stream.write_all(&super::ok_response(&head, "done")).await;
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket.listen(128).unwrap()
}
