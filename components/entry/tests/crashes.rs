//! Requests that crash the targets that run them.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use agent::{AgentHandle, TargetKind};
use common::crashing::{CRASHING_PATH, CrashArrivals, start_crashing_target};
use common::home::FakeHome;
use common::{Caller, Fleet, header_value, wait_until};
use entry::EntryHandle;
use tokio::task::JoinSet;

/// Crashes from which on the fleet must know the cause.
const TOLERATED_CRASHES: usize = 3;

/// Time after the last tolerated crash within which the fleet must know the cause.
const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);

/// Number of further requests that may reach targets afterwards.
const MAX_LATE_ARRIVALS: usize = 3;

/// Time for which the late arrivals are counted.
const COUNT_TIME: Duration = Duration::from_secs(3);

/// Two entries and a control node, and agents of targets that crash.
struct CrashFleet {
    _fleet: Fleet,
    _home: FakeHome,
    _agents: Vec<AgentHandle>,
    entries: [EntryHandle; 2],
    arrivals: CrashArrivals,
}

async fn start_crash_fleet(targets: usize) -> CrashFleet {
    let mut fleet = Fleet::new();
    let home = fleet.start_home("control-1");
    fleet.controls = vec![home.address];
    let arrivals = CrashArrivals::default();
    let mut agents = Vec::new();
    for number in 0..targets {
        let target = start_crashing_target(arrivals.clone());
        let name = format!("agent-{number}");
        let agent = fleet.start_agent(&name, "visits", TargetKind::Plain, target);
        agents.push(agent.await);
    }
    let entries = [
        fleet.start_entry("entry-1").await,
        fleet.start_entry("entry-2").await,
    ];
    CrashFleet {
        _fleet: fleet,
        _home: home,
        _agents: agents,
        entries,
        arrivals,
    }
}

/// Sends a request again and again, one in each interval, until it is dropped. Counts the requests
/// sent and those served.
fn start_load(
    entry: &EntryHandle,
    path: String,
    interval: Duration,
    counts: &Arc<[AtomicUsize; 2]>,
) -> JoinSet<()> {
    let (caller, counts) = (Caller::new(entry), counts.clone());
    let mut load = JoinSet::new();
    load.spawn(async move {
        loop {
            let response = caller.get(&format!("/services/visits{path}")).await;
            counts[0].fetch_add(1, Ordering::SeqCst);
            counts[1].fetch_add(usize::from(response.status() == 200), Ordering::SeqCst);
            tokio::time::sleep(interval).await;
        }
    });
    load
}

/// Guards against a request that its caller repeats, and that goes on crashing one target after the
/// other. The sound requests beside it must still be served.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_targets_stops_reaching_them() {
    let fleet = start_crash_fleet(8).await;
    let (counts, crash_counts): (Arc<[AtomicUsize; 2]>, Arc<[AtomicUsize; 2]>) = Default::default();
    let mut loads = Vec::new();
    for (number, entry) in fleet.entries.iter().enumerate() {
        for session in 0..4 {
            let path = format!("/sound-{number}-{session}");
            let interval = Duration::from_millis(30);
            loads.push(start_load(entry, path, interval, &counts));
        }
        let interval = Duration::from_millis(60);
        loads.push(start_load(
            entry,
            CRASHING_PATH.into(),
            interval,
            &crash_counts,
        ));
    }

    let arrivals = || fleet.arrivals.lock().unwrap().clone();
    wait_until("targets have crashed", || {
        arrivals().len() >= TOLERATED_CRASHES
    })
    .await;
    let tolerated_until = arrivals()[TOLERATED_CRASHES - 1] + CONTACT_WINDOW;
    tokio::time::sleep_until(tolerated_until.into()).await;
    let before = [0, 1].map(|index| counts[index].load(Ordering::SeqCst));
    tokio::time::sleep(COUNT_TIME).await;

    let is_late = |arrival: &Instant| *arrival > tolerated_until;
    let late_arrivals = arrivals().into_iter().filter(is_late).count();
    assert!(
        late_arrivals <= MAX_LATE_ARRIVALS,
        "{late_arrivals} later requests"
    );
    let [sent, served] = [0, 1].map(|index| counts[index].load(Ordering::SeqCst) - before[index]);
    assert!(
        2 * served >= sent,
        "{served} of {sent} sound requests are served"
    );
    let refused = Caller::new(&fleet.entries[0])
        .get("/services/visits/crash")
        .await;
    assert_eq!(refused.status(), 503);
    assert_eq!(header_value(&refused, "bilberry-outcome"), "not-run");
    assert!(refused.text().await.unwrap().contains("quarantined"));
}
