//! Cost of the path through entry and agent against a direct call of the same engine.
//!
//! Both kinds of call alternate in one run, so that other load on the machine meets both alike. The
//! figures are ratios of that run.

use std::time::Duration;

use eyre::{Result, WrapErr, bail, ensure};
use load::{Answer, CallKind, CallRequest, CallResult, Caller};
use standin::EngineSettings;
use units::ServiceName;

use crate::dev::{DevFleet, DevSettings};

/// Longest wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Calls before the measurement, which bring the target to full use.
const WARM_CALLS: usize = 64;

/// Requests in flight in the throughput measurement.
const CONCURRENCY: usize = 8;

/// Measured costs of the path.
#[derive(Debug, Clone, PartialEq)]
pub struct PathCost {
    /// Calls of each kind.
    pub calls: usize,
    /// Median time to the first token of direct calls.
    pub direct_first_token: Duration,
    /// Median time to the first token through entry and agent.
    pub routed_first_token: Duration,
    /// Whole answers each second of direct calls, several at a time.
    pub direct_rate: f64,
    /// Whole answers each second through entry and agent, several at a time.
    pub routed_rate: f64,
}

/// Starts a fleet of one entry, one agent and one engine, and measures.
pub async fn measure(text: &str, key: &str, calls: usize) -> Result<PathCost> {
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
        ..DevSettings::new(text, key)
    })
    .await?;
    let target = fleet
        .targets
        .iter()
        .find(|target| target.kind == manifest::ServiceKind::Model)
        .ok_or_else(|| eyre::eyre!("Failed to measure: the text has no model service"))?;
    let service = target.service.clone();
    let direct = Caller::new(vec![target.standin.address()], CALL_TIMEOUT)?;
    let routed = Caller::new(vec![fleet.entries[0].http()], CALL_TIMEOUT)?;
    for number in 0..WARM_CALLS {
        first_token(&routed, &request(key, &service, number)).await?;
        first_token(&direct, &request(key, &service, number)).await?;
    }
    let mut direct_times = Vec::new();
    let mut routed_times = Vec::new();
    for number in 0..calls {
        direct_times.push(first_token(&direct, &request(key, &service, number)).await?);
        routed_times.push(first_token(&routed, &request(key, &service, number)).await?);
    }
    let direct_rate = rate(&direct, key, &service, calls).await?;
    let routed_rate = rate(&routed, key, &service, calls).await?;
    Ok(PathCost {
        calls,
        direct_first_token: median(direct_times),
        routed_first_token: median(routed_times),
        direct_rate,
        routed_rate,
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

async fn first_token(caller: &Caller, request: &CallRequest) -> Result<Duration> {
    let result = whole(caller, request).await?;
    let first = result.parts.first().copied().unwrap_or(result.ended);
    Ok(first - result.sent)
}

async fn whole(caller: &Caller, request: &CallRequest) -> Result<CallResult> {
    let result = caller.send(request, 0).await;
    match &result.answer {
        Answer::Whole => Ok(result),
        other => bail!("Failed to get a whole answer: {other:?}"),
    }
}

/// Whole answers each second with [`CONCURRENCY`] callers.
async fn rate(caller: &Caller, key: &str, service: &ServiceName, calls: usize) -> Result<f64> {
    let start = std::time::Instant::now();
    let callers: Vec<_> = (0..CONCURRENCY)
        .map(|first| {
            let caller = caller.clone();
            let requests: Vec<_> = (first..calls)
                .step_by(CONCURRENCY)
                .map(|number| request(key, service, number))
                .collect();
            tokio::spawn(async move {
                for request in &requests {
                    whole(&caller, request).await?;
                }
                Ok::<(), eyre::Report>(())
            })
        })
        .collect();
    for caller in callers {
        caller.await.wrap_err("Failed to wait for a caller")??;
    }
    let seconds = start.elapsed().as_secs_f64();
    ensure!(seconds > 0.0, "Failed to measure a rate: no time passed");
    Ok(calls as f64 / seconds)
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
