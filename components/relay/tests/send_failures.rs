//! Log lines of requests whose answers stopped.

mod common;

use std::sync::{Arc, Mutex};

use common::cutting::{CUT_AT, CUT_END, CutEnd, CutRecord, start_cutting_target};
use common::{TestFleet, plan, wait_until};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

const ANSWER: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 800\r\n\r\n";

/// Logger that keeps the fields of the events with one name.
#[derive(Clone, Default)]
struct EventLogger {
    lines: Arc<Mutex<Vec<String>>>,
}

impl Log for EventLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.args().to_string() != "relay-send-failed" {
            return;
        }
        let mut fields = FieldText(String::new());
        record.key_values().visit(&mut fields).unwrap();
        self.lines.lock().unwrap().push(fields.0);
    }

    fn flush(&self) {}
}

/// Fields of an event as text.
struct FieldText(String);

impl<'kvs> VisitSource<'kvs> for FieldText {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0 += &format!("{key}={value};");
        Ok(())
    }
}

/// Guards against a target that stops in its heads without a line that names it, the request and the
/// reason.
#[tokio::test(flavor = "multi_thread")]
async fn head_that_stops_is_logged_with_its_target() {
    let logger = EventLogger::default();
    log::set_boxed_logger(Box::new(logger.clone())).unwrap();
    log::set_max_level(LevelFilter::Debug);
    let record = CutRecord::default();
    let target = start_cutting_target("target-1", ANSWER, &record).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;

    let request = fleet.request("/once/x", "cut-1").header(CUT_AT, 30);
    let request = request.header(CUT_END, CutEnd::Close.as_str());
    let response = request.send().await.unwrap();

    assert_eq!(response.status().as_u16(), 502);
    wait_until(|| !logger.lines.lock().unwrap().is_empty()).await;
    let lines = logger.lines.lock().unwrap().clone();
    assert_eq!(lines.len(), 1, "{lines:?}");
    for field in [
        "request=cut-1;",
        "route=once;",
        "target=target-1;",
        "may_have_run=true;",
        "sends=1;",
        "reason=connection closed before message completed;",
    ] {
        assert!(lines[0].contains(field), "{}", lines[0]);
    }
}
