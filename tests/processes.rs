//! Fleet of separate processes; each test kills or terminates processes while requests are open.

mod support;

use std::sync::Arc;

use load::{Answer, CallKind, CallResult};
use serde_json::json;
use support::{CONTROL_NAMES, TestFleet, booking, build_request, chat, has_stated_outcome, record};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Number of open requests of each kind while a process is stopped.
const REQUESTS_PER_KIND: usize = 4;
/// Maximum number of times that a caller resends a request whose response was lost.
const MAX_RESENDS: u32 = 2;

/// Serialises the tests, since several fleets at once could delay lease renewals on a busy machine.
async fn lock_test_fleet() -> MutexGuard<'static, ()> {
    static FLEET_LOCK: Mutex<()> = Mutex::const_new(());
    FLEET_LOCK.lock().await
}

/// Requests that are open while a process is stopped.
struct OpenRequests {
    tasks: JoinSet<(CallKind, CallResult)>,
}

impl OpenRequests {
    /// Sends requests of each kind through both entries, and waits until each engine runs one and a
    /// booking has started.
    async fn send(fleet: &TestFleet, name: &str) -> Self {
        fleet.set_service_faults(json!({"booking_ms": 400})).await;
        let bookings = fleet.fetch_service_status().await.bookings.len();
        let caller = Arc::new(fleet.caller());
        let mut tasks = JoinSet::new();
        for number in 0..REQUESTS_PER_KIND {
            let id = format!("{name}-{number}");
            let kinds = [chat(&id, true), chat(&id, false), record(&id), booking(&id)];
            for kind in kinds {
                let caller = caller.clone();
                tasks.spawn(async move {
                    let request = build_request(kind.clone());
                    let (result, _) = caller
                        .send_until_answered(&request, number, MAX_RESENDS)
                        .await;
                    (kind, result)
                });
            }
        }
        fleet
            .wait_until("running requests", async || {
                let engines = [
                    fleet.fetch_engine_status(0).await,
                    fleet.fetch_engine_status(1).await,
                ];
                let booked = fleet.fetch_service_status().await.bookings.len();
                engines.iter().all(|engine| engine.running > 0) && booked > bookings
            })
            .await;
        Self { tasks }
    }

    /// Waits for all responses and checks that each is complete or states its outcome.
    async fn wait_for_responses(self, fleet: &TestFleet) -> Vec<(CallKind, CallResult)> {
        let responses = self.tasks.join_all().await;
        for (kind, result) in &responses {
            assert!(has_stated_outcome(result), "{kind:?}: {:?}", result.answer);
        }
        assert_bookings(fleet, &responses).await;
        responses
    }
}

/// Checks that no booking ran more than once, and that the responses agree with what ran.
async fn assert_bookings(fleet: &TestFleet, responses: &[(CallKind, CallResult)]) {
    let status = fleet.fetch_service_status().await;
    for (id, count) in &status.bookings {
        assert_eq!(*count, 1, "booking {id} ran {count} times");
    }
    for (kind, result) in responses {
        let CallKind::Booking { id, .. } = kind else {
            continue;
        };
        let has_run = status.bookings.contains_key(id);
        match &result.answer {
            Answer::Whole => assert!(has_run, "booking {id} was confirmed but did not run"),
            Answer::Refused(refusal) if refusal.outcome == "not-run" => {
                assert!(!has_run, "booking {id} was reported as not run but ran");
            }
            _ => {}
        }
    }
}

/// Resends the bookings with their idempotency keys, and checks that none runs a second time.
async fn resend_bookings(fleet: &TestFleet, responses: &[(CallKind, CallResult)]) {
    let caller = fleet.caller();
    let mut results = Vec::new();
    for (kind, _) in responses {
        if matches!(kind, CallKind::Booking { .. }) {
            let result = caller.send(&build_request(kind.clone()), 0).await;
            assert!(has_stated_outcome(&result), "{kind:?}: {:?}", result.answer);
            results.push((kind.clone(), result));
        }
    }
    assert_bookings(fleet, &results).await;
}

/// Waits until both entries serve requests, and checks that a new booking runs.
async fn assert_serving(fleet: &TestFleet, name: &str) {
    fleet.wait_until_serving().await;
    let id = format!("{name}-after");
    let answer = fleet
        .caller()
        .send(&build_request(booking(&id)), 1)
        .await
        .answer;
    assert_eq!(answer, Answer::Whole);
    assert_eq!(fleet.fetch_service_status().await.bookings[&id], 1);
}

/// Guards against binaries that work only when all nodes share one process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_read_and_booking_are_served() {
    let _lock = lock_test_fleet().await;
    let fleet = TestFleet::start().await;
    let caller = fleet.caller();

    let stream = caller
        .send(&build_request(chat("a worn stone", true)), 0)
        .await;
    let unstreamed = caller
        .send(&build_request(chat("a worn stone", false)), 1)
        .await;
    let read = caller.send(&build_request(record("stone/7")), 0).await;
    let first = caller.send(&build_request(booking("visit-1")), 0).await;
    let repeated = caller.send(&build_request(booking("visit-1")), 1).await;

    assert_eq!(stream.answer, Answer::Whole);
    assert!(
        stream.part_times.len() > 1,
        "the streamed response arrived in one part"
    );
    for result in [unstreamed, read, first, repeated] {
        assert_eq!(result.answer, Answer::Whole);
    }
    assert_eq!(fleet.fetch_service_status().await.bookings["visit-1"], 1);
}

/// Guards against callers that get no response or an untrue outcome when their entry crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entry_leaves_no_request_without_outcome() {
    let _lock = lock_test_fleet().await;
    let mut fleet = TestFleet::start().await;
    let open_requests = OpenRequests::send(&fleet, "entry").await;

    fleet.entries[0].kill();

    let responses = open_requests.wait_for_responses(&fleet).await;
    fleet.entries[0].restart();
    assert_serving(&fleet, "entry").await;
    resend_bookings(&fleet, &responses).await;
}

/// Guards against requests that end without an outcome when their agent crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_agents_leave_no_request_without_outcome() {
    let _lock = lock_test_fleet().await;
    let mut fleet = TestFleet::start().await;
    let open_requests = OpenRequests::send(&fleet, "agent").await;

    // One of the two agents of the model service, and the only agent of the booking service.
    fleet.agents[0].kill();
    fleet.agents[2].kill();

    let responses = open_requests.wait_for_responses(&fleet).await;
    fleet.agents[0].restart();
    fleet.agents[2].restart();
    assert_serving(&fleet, "agent").await;
    resend_bookings(&fleet, &responses).await;
}

/// Guards against requests that depend on a single control node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_control_leader_stops_no_request() {
    let _lock = lock_test_fleet().await;
    let mut fleet = TestFleet::start().await;
    let open_requests = OpenRequests::send(&fleet, "control").await;
    let leader = fleet.wait_for_leader();

    fleet.controls[leader].kill();

    let responses = open_requests.wait_for_responses(&fleet).await;
    assert_serving(&fleet, "control").await;
    assert_ne!(
        CONTROL_NAMES[fleet.wait_for_leader()],
        CONTROL_NAMES[leader]
    );
    fleet.controls[leader].restart();
    assert_serving(&fleet, "control-again").await;
    resend_bookings(&fleet, &responses).await;
}

/// Guards against a crashed target that receives new requests, and against running requests that
/// end without an outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_target_leaves_no_request_without_outcome() {
    let _lock = lock_test_fleet().await;
    let mut fleet = TestFleet::start().await;
    let open_requests = OpenRequests::send(&fleet, "target").await;

    fleet.engines[0].kill();

    let responses = open_requests.wait_for_responses(&fleet).await;
    fleet.engines[0].restart();
    assert_serving(&fleet, "target").await;
    resend_bookings(&fleet, &responses).await;
    fleet
        .wait_until("completed request at the restarted engine", async || {
            let caller = fleet.caller();
            let requests = (0..4).map(|number| {
                let caller = caller.clone();
                async move {
                    caller
                        .send(&build_request(chat("again", true)), number)
                        .await
                }
            });
            let results: JoinSet<_> = requests.collect();
            let results = results.join_all().await;
            assert!(results.iter().all(|result| result.answer == Answer::Whole));
            fleet.fetch_engine_status(0).await.completed > 0
        })
        .await;
}

/// Guards against a graceful shutdown that interrupts requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_processes_interrupt_no_request() {
    let _lock = lock_test_fleet().await;
    let mut fleet = TestFleet::start().await;
    let open_requests = OpenRequests::send(&fleet, "stop").await;
    let leader = fleet.wait_for_leader();

    fleet.entries[0].terminate();
    fleet.agents[0].terminate();
    fleet.controls[leader].terminate();

    for (kind, result) in open_requests.wait_for_responses(&fleet).await {
        assert_eq!(result.answer, Answer::Whole, "{kind:?}");
    }
    fleet.wait_until_exited(|fleet| &mut fleet.entries[0]).await;
    fleet.wait_until_exited(|fleet| &mut fleet.agents[0]).await;
    fleet
        .wait_until_exited(move |fleet| &mut fleet.controls[leader])
        .await;
    fleet.entries[0].restart();
    assert_serving(&fleet, "stop").await;
}
