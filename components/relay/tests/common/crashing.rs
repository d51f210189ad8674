//! Targets that crash when they run certain requests, and come back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use control::ControlApi;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use units::Incarnation;

use super::{TestFleet, TestTarget, ok_response};

/// Time for which a target runs a request.
const RUN_TIME: Duration = Duration::from_millis(20);

/// Time after which a target that crashed is back.
const RESTART_DELAY: Duration = Duration::from_millis(400);

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
) -> CrashRecord {
    let record = CrashRecord::default();
    for number in 0..count {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = listener.local_addr().unwrap();
        let target = TestTarget::at(&format!("target-{number}"), address);
        let (api, rule) = (fleet.api.clone(), rule.clone());
        tokio::spawn(run_crashing_target(
            target,
            listener,
            api,
            rule,
            record.clone(),
        ));
    }
    fleet.wait_for_targets(count).await;
    record
}

/// Runs a target until the test ends: serves, crashes, and starts again at the same address.
async fn run_crashing_target(
    target: TestTarget,
    listener: TcpListener,
    api: ControlApi,
    rule: CrashRule,
    record: CrashRecord,
) {
    let mut listener = listener;
    for incarnation in 1.. {
        let mut entry = target.announcement();
        entry.incarnation = Incarnation(incarnation);
        api.announce(entry).await;
        serve_until_crash(listener, &rule, &record).await;
        record.crashes.lock().unwrap().push(Instant::now());
        tokio::time::sleep(RESTART_DELAY).await;
        listener = bind(target.address);
    }
}

/// Serves requests, and closes the listener and all connections at the first one that crashes it.
async fn serve_until_crash(listener: TcpListener, rule: &CrashRule, record: &CrashRecord) {
    let (crash_sender, mut crash) = mpsc::channel(1);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.unwrap();
                let (rule, record) = (rule.clone(), record.clone());
                connections.spawn(serve(stream, rule, record, crash_sender.clone()));
            }
            _ = crash.recv() => return,
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    rule: CrashRule,
    record: CrashRecord,
    crash_sender: mpsc::Sender<()>,
) {
    while let Some(head) = super::read_request(&mut stream).await {
        let is_crash = rule(&head);
        if is_crash {
            record.arrivals.lock().unwrap().push(Instant::now());
        }
        tokio::time::sleep(RUN_TIME).await;
        if is_crash {
            // The channel is full if the target is already about to crash.
            let _ = crash_sender.try_send(());
            std::future::pending::<()>().await;
        }
        // Fails if the relay has closed the connection.
        let _ = stream.write_all(&ok_response(&head, "done")).await;
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket.listen(128).unwrap()
}
