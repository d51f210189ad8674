//! Measures the cost of the path through entry and agent, compared to direct calls of the same
//! engine.
//!
//! Both kinds of call alternate in one run, so that other load on the machine affects both equally.
//! Only ratios within a run are meaningful.

use std::time::Duration;

use eyre::{Result, WrapErr, bail, ensure};
use load::{Answer, CallKind, CallRequest, CallResult, Caller};
use standin::EngineSettings;
use units::ServiceName;

use crate::dev::{DevFleet, DevSettings};

/// Maximum time to wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of warm-up calls of each kind, which raise the limit of the target to its maximum before
/// the measurement.
const WARM_UP_CALLS: usize = 64;

/// Number of concurrent requests in the throughput measurement.
const CONCURRENCY: usize = 8;

/// Measured times and rates of both kinds of call.
#[derive(Debug, Clone, PartialEq)]
pub struct PathCost {
    /// Number of calls of each kind.
    pub calls: usize,
    /// Median time to the first token of direct calls.
    pub direct_first_token: Duration,
    /// Median time to the first token through entry and agent.
    pub routed_first_token: Duration,
    /// Complete answers per second of concurrent direct calls.
    pub direct_answers_per_s: f64,
    /// Complete answers per second of concurrent calls through entry and agent.
    pub routed_answers_per_s: f64,
}

/// Starts a fleet with one entry and one engine for each model service, and measures both paths.
///
/// `key` is the bearer key of an organisation in the services text. Fails if the text has no model
/// service or if an answer is not complete.
pub async fn measure(services_text: &str, key: &str, calls: usize) -> Result<PathCost> {
    let engine = EngineSettings {
        token_time: Duration::from_millis(1),
        prefill_time: Duration::from_millis(5),
        cached_prefill_time: Duration::from_millis(5),
        cold_limit: CONCURRENCY,
        batch_limit: CONCURRENCY,
        ..EngineSettings::default()
    };
    let fleet = DevFleet::start(DevSettings {
        engine,
        ..DevSettings::new(services_text, key)
    })
    .await?;
    let target = fleet
        .targets
        .iter()
        .find(|target| target.kind == manifest::ServiceKind::Model)
        .ok_or_else(|| eyre::eyre!("Failed to measure: the services text has no model service"))?;
    let service = target.service.clone();
    let direct_caller = Caller::new(vec![target.standin.address()], CALL_TIMEOUT)?;
    let routed_caller = Caller::new(vec![fleet.entries[0].http()], CALL_TIMEOUT)?;
    for number in 0..WARM_UP_CALLS {
        measure_first_token(&routed_caller, &request(key, &service, number)).await?;
        measure_first_token(&direct_caller, &request(key, &service, number)).await?;
    }
    let mut direct_first_tokens = Vec::new();
    let mut routed_first_tokens = Vec::new();
    for number in 0..calls {
        direct_first_tokens
            .push(measure_first_token(&direct_caller, &request(key, &service, number)).await?);
        routed_first_tokens
            .push(measure_first_token(&routed_caller, &request(key, &service, number)).await?);
    }
    let direct_answers_per_s = measure_answer_rate(&direct_caller, key, &service, calls).await?;
    let routed_answers_per_s = measure_answer_rate(&routed_caller, key, &service, calls).await?;
    Ok(PathCost {
        calls,
        direct_first_token: median(direct_first_tokens),
        routed_first_token: median(routed_first_tokens),
        direct_answers_per_s,
        routed_answers_per_s,
    })
}

fn request(key: &str, service: &ServiceName, number: usize) -> CallRequest {
    CallRequest {
        key: key.to_string(),
        kind: CallKind::Chat {
            service: service.to_string(),
            prompt: format!("Worn furrow number {}", number % 16),
            max_tokens: 16,
            stream: true,
        },
    }
}

async fn measure_first_token(caller: &Caller, request: &CallRequest) -> Result<Duration> {
    let result = send_checked(caller, request).await?;
    let first_token = result
        .part_times
        .first()
        .copied()
        .unwrap_or(result.ended_at);
    Ok(first_token - result.sent_at)
}

async fn send_checked(caller: &Caller, request: &CallRequest) -> Result<CallResult> {
    let result = caller.send(request, 0).await;
    match &result.answer {
        Answer::Whole => Ok(result),
        other => bail!("Failed to get a complete answer: {other:?}"),
    }
}

/// Returns the complete answers per second with [`CONCURRENCY`] concurrent callers.
async fn measure_answer_rate(
    caller: &Caller,
    key: &str,
    service: &ServiceName,
    calls: usize,
) -> Result<f64> {
    let start = std::time::Instant::now();
    let callers: Vec<_> = (0..CONCURRENCY)
        .map(|caller_index| {
            let caller = caller.clone();
            let requests: Vec<_> = (caller_index..calls)
                .step_by(CONCURRENCY)
                .map(|number| request(key, service, number))
                .collect();
            tokio::spawn(async move {
                for request in &requests {
                    send_checked(&caller, request).await?;
                }
                Ok::<(), eyre::Report>(())
            })
        })
        .collect();
    for caller in callers {
        caller
            .await
            .wrap_err("Failed to wait for the task of a caller")??;
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    ensure!(
        elapsed_s > 0.0,
        "Failed to measure the answer rate: the clock did not advance"
    );
    Ok(calls as f64 / elapsed_s)
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
