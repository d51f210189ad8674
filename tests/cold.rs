//! Concurrency limit of the agent of a cold engine under full load.

use std::time::{Duration, Instant};

use bilberrycrank::dev::{DevFleet, DevSettings};
use load::{CallKind, CallRequest, Caller};
use manifest::ServiceKind;
use standin::{EngineSettings, EngineStatus};
use tokio::task::JoinSet;

const SERVICES_TEXT: &str = include_str!("../examples/kamenny-zub/services.toml");
const BEARER_KEY: &str = "example-key-mlyn-hora";

/// Number of requests that the engine processes concurrently.
const BATCH_LIMIT: usize = 8;
/// Number of callers that each send one request at a time: twice the batch limit, so that requests
/// are always waiting.
const CALLERS: usize = 2 * BATCH_LIMIT;
/// Number of restarts, each of which makes the engine cold without warning.
const RESTART_COUNT: u32 = 6;
/// Maximum time that the test waits for a full batch.
const FULL_BATCH_TIMEOUT: Duration = Duration::from_secs(10);

async fn start_fleet(cold_slots: Option<u32>) -> DevFleet {
    let settings = DevSettings {
        engine: EngineSettings {
            token_time: Duration::from_millis(3),
            prefill_time: Duration::from_millis(10),
            batch_limit: BATCH_LIMIT,
            cold_limit: 1,
            outage_time: Duration::from_millis(200),
            ..EngineSettings::default()
        },
        cold_slots,
        ..DevSettings::new(SERVICES_TEXT, BEARER_KEY)
    };
    DevFleet::start(settings).await.unwrap()
}

/// Base URL of the only engine.
fn engine_url(fleet: &DevFleet) -> String {
    let mut targets = fleet.targets.iter();
    let engine = targets.find(|target| target.kind == ServiceKind::Model);
    format!("http://{}", engine.unwrap().standin.address())
}

async fn fetch_status(url: &str) -> EngineStatus {
    let response = reqwest::get(format!("{url}/standin/status")).await;
    response.unwrap().json().await.unwrap()
}

async fn restart_engine(url: &str) {
    let client = reqwest::Client::new();
    let request = client.post(format!("{url}/standin/restart"));
    request.send().await.unwrap().error_for_status().unwrap();
}

/// Starts callers that send chat completions without a pause until the returned set is dropped.
fn start_callers(fleet: &DevFleet) -> JoinSet<()> {
    let entries = fleet.entries.iter().map(|entry| entry.http()).collect();
    let caller = Caller::new(entries, Duration::from_secs(20)).unwrap();
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let caller = caller.clone();
        callers.spawn(async move {
            for round in 0..10_000 {
                let request = CallRequest {
                    key: BEARER_KEY.into(),
                    kind: CallKind::Chat {
                        service: "stone-advice".into(),
                        prompt: format!("question {number} of round {round}"),
                        max_tokens: 4 + (number as u64 + round) % 12,
                        stream: number % 2 == 0,
                    },
                };
                // The result is ignored, since a restart interrupts running requests.
                caller.send(&request, 0).await;
            }
        });
    }
    callers
}

/// Waits until the batch is full, and returns `false` after [`FULL_BATCH_TIMEOUT`].
async fn wait_for_full_batch(url: &str) -> bool {
    let start = Instant::now();
    while fetch_status(url).await.running < BATCH_LIMIT {
        if start.elapsed() > FULL_BATCH_TIMEOUT {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    true
}

/// Guards against outages of a cold engine that receives more requests than it can process, both at
/// the start and after restarts without warning under full load. With the limit fixed at the batch
/// size, the engine has more outages in the same time, which shows that the load suffices.
///
/// Requests that were sent before the agent learns of a restart cannot be held back, and two of
/// them cause an outage of the cold engine, so one outage is tolerated for every second restart.
/// The model in the tests of `limits` distinguishes these from avoidable outages.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cold_engine_is_not_overloaded() {
    let fleet = start_fleet(None).await;
    let url = engine_url(&fleet);
    let mut callers = start_callers(&fleet);
    let start = Instant::now();
    let mut completed_per_round = Vec::new();
    for round in 0..=RESTART_COUNT {
        let before = fetch_status(&url).await;
        assert!(
            wait_for_full_batch(&url).await,
            "the batch was not full within {FULL_BATCH_TIMEOUT:?} in round {round}"
        );
        let full = fetch_status(&url).await;
        completed_per_round.push(full.completed - before.completed);
        if round == 0 {
            assert_eq!(full.outages, 0, "outages before the first restart");
        }
        if round < RESTART_COUNT {
            restart_engine(&url).await;
        }
    }
    let elapsed = start.elapsed();
    let adaptive = fetch_status(&url).await;
    callers.shutdown().await;

    let fleet = start_fleet(Some(BATCH_LIMIT as u32)).await;
    let url = engine_url(&fleet);
    let mut callers = start_callers(&fleet);
    tokio::time::sleep(elapsed).await;
    let fixed = fetch_status(&url).await;
    callers.shutdown().await;

    println!(
        "outages in {elapsed:.1?}: adaptive limit {}, fixed limit {}; \
         responses before each full batch: {completed_per_round:?}",
        adaptive.outages, fixed.outages
    );
    assert!(adaptive.outages * 2 <= u64::from(RESTART_COUNT));
    assert!(fixed.outages > u64::from(RESTART_COUNT));
}
