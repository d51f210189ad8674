//! Log lines of a lease that is not renewed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use board::StateBoard;
use client::{ControlClient, ControlTransport, FleetView, ReplyFuture, ReplyProgress, keep_lease};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use tokio::time::{Instant, sleep};
use units::{ClockSource, ClockTime, ConfigVersion, Incarnation};
use wire::{ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeState, RenewReply};

/// How control nodes answer renewals.
#[derive(Debug, Clone, Copy)]
enum Answer {
    Granted,
    Late,
    Incomplete,
    NoQuorum,
    Silent,
}

/// Control nodes whose answers the test sets.
#[derive(Clone)]
struct ScriptedControls(Arc<Mutex<Answer>>);

impl ControlTransport for ScriptedControls {
    fn exchange<'a>(
        &'a self,
        _address: SocketAddr,
        _request: &'a ControlRequest,
        progress: &'a ReplyProgress,
    ) -> ReplyFuture<'a> {
        let answer = *self.0.lock().unwrap();
        Box::pin(async move {
            match answer {
                Answer::Granted => {}
                Answer::Late => {
                    for _ in 0..3 {
                        sleep(Duration::from_millis(900)).await;
                        progress.record_part();
                    }
                }
                Answer::Incomplete => {
                    progress.record_part();
                    std::future::pending::<()>().await;
                }
                Answer::Silent => std::future::pending().await,
                Answer::NoQuorum => {
                    sleep(Duration::from_millis(100)).await;
                    return Ok(ControlReply::NoQuorum {
                        leader: None,
                        changes: Vec::new(),
                    });
                }
            }
            Ok(ControlReply::Renewed(RenewReply {
                age_ms: 0,
                version: ConfigVersion(0),
                changes: Vec::new(),
                directory: None,
                controls: Vec::new(),
            }))
        })
    }
}

/// Clock that follows the paused time of the test.
struct TestClock(Instant);

impl ClockSource for TestClock {
    fn now(&self) -> ClockTime {
        ClockTime(10_000) + self.0.elapsed()
    }
}

/// Logger that keeps the fields of each event.
#[derive(Clone, Default)]
struct EventLogger(Arc<Mutex<Vec<(String, FieldTable)>>>);

#[derive(Default, Clone, Debug)]
struct FieldTable(BTreeMap<String, String>);

impl Log for EventLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = FieldTable::default();
        record.key_values().visit(&mut fields).unwrap();
        let name = record.args().to_string();
        self.0.lock().unwrap().push((name, fields));
    }

    fn flush(&self) {}
}

impl<'kvs> VisitSource<'kvs> for FieldTable {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

fn node() -> DirectoryEntry {
    DirectoryEntry {
        name: "entry-1".into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(0),
        kind: NodeKind::Entry,
    }
}

/// Guards against a lost lease whose log line does not tell a large plan from a missing quorum and from
/// control nodes that are not reached.
#[tokio::test(start_paused = true)]
async fn log_tells_why_a_lease_was_not_renewed() {
    let logger = EventLogger::default();
    log::set_boxed_logger(Box::new(logger.clone())).unwrap();
    log::set_max_level(LevelFilter::Debug);
    let controls = ScriptedControls(Arc::new(Mutex::new(Answer::Granted)));
    let addresses = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let client = ControlClient::with_transport(Arc::new(controls.clone()), addresses.into());
    let board = StateBoard::new(FleetView::default());
    let clock = Arc::new(TestClock(Instant::now()));
    tokio::spawn(keep_lease(client, board, clock, node, false));

    for (answer, cause) in [
        (Answer::Silent, "not-reached"),
        (Answer::NoQuorum, "no-quorum"),
        (Answer::Incomplete, "transfer-incomplete"),
        (Answer::Late, "reply-late"),
    ] {
        *controls.0.lock().unwrap() = Answer::Granted;
        sleep(Duration::from_secs(6)).await;
        logger.0.lock().unwrap().clear();
        *controls.0.lock().unwrap() = answer;
        sleep(Duration::from_secs(6)).await;

        let lines = logger.0.lock().unwrap().clone();
        let lost = lines.iter().find(|(name, _)| name == "lease-lost");
        let (_, fields) = lost.unwrap_or_else(|| panic!("{answer:?}: {lines:?}"));
        assert_eq!(fields.0["cause"], cause, "{fields:?}");
        assert!(fields.0.contains_key("update_bytes"), "{fields:?}");
        if !matches!(answer, Answer::Late) {
            let failed = lines.iter().find(|(name, _)| name == "renewal-failed");
            assert_eq!(failed.unwrap().1.0["cause"], cause, "{lines:?}");
        }
    }
}
