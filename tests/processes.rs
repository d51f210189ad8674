//! The binaries as separate processes, of which one kind after the other is killed.

mod support;

use std::sync::Arc;

use load::{Answer, CallKind, CallResult};
use serde_json::json;
use support::{CONTROLS, TestFleet, booking, chat, has_stated_outcome, record, request};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// Open requests of each kind while a process is killed.
const OPEN: usize = 4;
/// Times that a caller sends a request again after its answer was lost.
const RESENDS: u32 = 2;

/// Fleets run one after the other, so that a busy machine does not delay their leases.
async fn one_at_a_time() -> MutexGuard<'static, ()> {
    static GATE: Mutex<()> = Mutex::const_new(());
    GATE.lock().await
}

/// Requests that are open while a process is killed.
struct OpenRequests {
    tasks: JoinSet<(CallKind, CallResult)>,
}

impl OpenRequests {
    /// Sends requests of each kind through both entries, and waits until some of them run.
    async fn send(fleet: &TestFleet, name: &str) -> Self {
        fleet.set_service_faults(json!({"booking_ms": 400})).await;
        let bookings = fleet.service_status().await.bookings.len();
        let caller = Arc::new(fleet.caller());
        let mut tasks = JoinSet::new();
        for number in 0..OPEN {
            let id = format!("{name}-{number}");
            let kinds = [chat(&id, true), chat(&id, false), record(&id), booking(&id)];
            for kind in kinds {
                let caller = caller.clone();
                tasks.spawn(async move {
                    let request = request(kind.clone());
                    let (result, _) = caller.send_until_answered(&request, number, RESENDS).await;
                    (kind, result)
                });
            }
        }
        fleet
            .wait_until("running requests", async || {
                let engines = [fleet.engine_status(0).await, fleet.engine_status(1).await];
                let booked = fleet.service_status().await.bookings.len();
                engines.iter().all(|engine| engine.running > 0) && booked > bookings
            })
            .await;
        Self { tasks }
    }

    /// Waits for all answers and checks that each is whole or states its outcome.
    async fn check(self, fleet: &TestFleet) -> Vec<(CallKind, CallResult)> {
        let answers = self.tasks.join_all().await;
        for (kind, result) in &answers {
            assert!(has_stated_outcome(result), "{kind:?}: {:?}", result.answer);
        }
        check_bookings(fleet, &answers).await;
        answers
    }
}

/// Checks that no booking ran twice, and that what callers were told of each is true.
async fn check_bookings(fleet: &TestFleet, answers: &[(CallKind, CallResult)]) {
    let status = fleet.service_status().await;
    for (id, count) in &status.bookings {
        assert_eq!(*count, 1, "booking {id} ran {count} times");
    }
    for (kind, result) in answers {
        let CallKind::Booking { id, .. } = kind else {
            continue;
        };
        let ran = status.bookings.contains_key(id);
        match &result.answer {
            Answer::Whole => assert!(ran, "booking {id} is confirmed but did not run"),
            Answer::Refused(refusal) if refusal.outcome == "not-run" => {
                assert!(!ran, "booking {id} is said not to have run");
            }
            _ => {}
        }
    }
}

/// Sends the open bookings again with their keys and checks that none runs a second time.
async fn resend_bookings(fleet: &TestFleet, answers: &[(CallKind, CallResult)]) {
    let caller = fleet.caller();
    let mut again = Vec::new();
    for (kind, _) in answers {
        if matches!(kind, CallKind::Booking { .. }) {
            let result = caller.send(&request(kind.clone()), 0).await;
            assert!(has_stated_outcome(&result), "{kind:?}: {:?}", result.answer);
            again.push((kind.clone(), result));
        }
    }
    check_bookings(fleet, &again).await;
}

/// Checks that both entries serve, and that a new booking runs.
async fn check_serving(fleet: &TestFleet, name: &str) {
    fleet.wait_serving().await;
    let id = format!("{name}-after");
    let answer = fleet.caller().send(&request(booking(&id)), 1).await.answer;
    assert_eq!(answer, Answer::Whole);
    assert_eq!(fleet.service_status().await.bookings[&id], 1);
}

/// Guards against binaries that work in one process only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_read_and_booking_are_served() {
    let _gate = one_at_a_time().await;
    let fleet = TestFleet::start().await;
    let caller = fleet.caller();

    let stream = caller.send(&request(chat("a worn stone", true)), 0).await;
    let whole = caller.send(&request(chat("a worn stone", false)), 1).await;
    let read = caller.send(&request(record("stone/7")), 0).await;
    let first = caller.send(&request(booking("visit-1")), 0).await;
    let repeated = caller.send(&request(booking("visit-1")), 1).await;

    assert_eq!(stream.answer, Answer::Whole);
    assert!(stream.part_times.len() > 1, "the answer came in one part");
    for result in [whole, read, first, repeated] {
        assert_eq!(result.answer, Answer::Whole);
    }
    assert_eq!(fleet.service_status().await.bookings["visit-1"], 1);
}

/// Guards against callers that are stuck or told a lie when their entry dies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entry_leaves_whole_or_stated_answers() {
    let _gate = one_at_a_time().await;
    let mut fleet = TestFleet::start().await;
    let open = OpenRequests::send(&fleet, "entry").await;

    fleet.entries[0].kill();

    let answers = open.check(&fleet).await;
    fleet.entries[0].restart();
    check_serving(&fleet, "entry").await;
    resend_bookings(&fleet, &answers).await;
}

/// Guards against runs that an agent takes with it without an outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_agents_leave_whole_or_stated_answers() {
    let _gate = one_at_a_time().await;
    let mut fleet = TestFleet::start().await;
    let open = OpenRequests::send(&fleet, "agent").await;

    // One of the two agents of the model service, and the only one of the bookings.
    fleet.agents[0].kill();
    fleet.agents[2].kill();

    let answers = open.check(&fleet).await;
    fleet.agents[0].restart();
    fleet.agents[2].restart();
    check_serving(&fleet, "agent").await;
    resend_bookings(&fleet, &answers).await;
}

/// Guards against requests that depend on one control node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_control_leader_stops_no_request() {
    let _gate = one_at_a_time().await;
    let mut fleet = TestFleet::start().await;
    let open = OpenRequests::send(&fleet, "control").await;
    let leader = fleet.leader();

    fleet.controls[leader].kill();

    let answers = open.check(&fleet).await;
    check_serving(&fleet, "control").await;
    assert_ne!(CONTROLS[fleet.leader()], CONTROLS[leader]);
    fleet.controls[leader].restart();
    check_serving(&fleet, "control-again").await;
    resend_bookings(&fleet, &answers).await;
}

/// Guards against a dead target that gets work, or whose runs end without an outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_target_leaves_whole_or_stated_answers() {
    let _gate = one_at_a_time().await;
    let mut fleet = TestFleet::start().await;
    let open = OpenRequests::send(&fleet, "target").await;

    fleet.engines[0].kill();

    let answers = open.check(&fleet).await;
    fleet.engines[0].restart();
    check_serving(&fleet, "target").await;
    resend_bookings(&fleet, &answers).await;
    fleet
        .wait_until("work at the restarted engine", async || {
            let caller = fleet.caller();
            let calls = (0..4).map(|number| {
                let caller = caller.clone();
                async move { caller.send(&request(chat("again", true)), number).await }
            });
            let results: JoinSet<_> = calls.collect();
            let results = results.join_all().await;
            assert!(results.iter().all(|result| result.answer == Answer::Whole));
            fleet.engine_status(0).await.completed > 0
        })
        .await;
}

/// Guards against a planned stop that interrupts a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_processes_interrupt_no_request() {
    let _gate = one_at_a_time().await;
    let mut fleet = TestFleet::start().await;
    let open = OpenRequests::send(&fleet, "stop").await;
    let leader = fleet.leader();

    fleet.entries[0].terminate();
    fleet.agents[0].terminate();
    fleet.controls[leader].terminate();

    for (kind, result) in open.check(&fleet).await {
        assert_eq!(result.answer, Answer::Whole, "{kind:?}");
    }
    fleet.wait_stopped(|fleet| &mut fleet.entries[0]).await;
    fleet.wait_stopped(|fleet| &mut fleet.agents[0]).await;
    fleet
        .wait_stopped(move |fleet| &mut fleet.controls[leader])
        .await;
    fleet.entries[0].restart();
    check_serving(&fleet, "stop").await;
}
