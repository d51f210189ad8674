//! Sampling of the engines' utilisation during a run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use reqwest::Client;
use serde::Serialize;
use standin::{EngineStatus, ServiceStatus};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a status request; an engine that does not answer in time is left out of the sample.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests are taken to wait if at least this many are open without running in an engine. A single
/// one may just be in transit.
const MIN_WAITING_REQUESTS: usize = 2;

/// Utilisation of all engines at one time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct UtilisationSample {
    /// Time since the start of the run, in seconds.
    pub at_s: f64,
    /// Requests that run or queue in the engines.
    pub running: usize,
    /// Requests that the engines can run without crashing; engines that are down count as 0.
    pub carried: usize,
    /// Chat requests of the load tool without a complete answer.
    pub open: usize,
}

impl UtilisationSample {
    /// Whether requests were waiting outside the engines when this sample was taken.
    pub fn has_waiting_requests(&self) -> bool {
        self.open >= self.running + MIN_WAITING_REQUESTS
    }
}

/// Samples all engines until `max_duration` after `start`, with a pause of [`SAMPLE_INTERVAL`]
/// after each sample.
pub(crate) async fn sample_engines(
    client: Client,
    engines: Vec<SocketAddr>,
    open: Arc<AtomicUsize>,
    start: Instant,
    max_duration: Duration,
    samples: tokio::sync::mpsc::UnboundedSender<UtilisationSample>,
) {
    while start.elapsed() < max_duration && !engines.is_empty() {
        let mut sample = UtilisationSample {
            at_s: start.elapsed().as_secs_f64(),
            running: 0,
            carried: 0,
            open: open.load(Ordering::SeqCst),
        };
        for engine in &engines {
            let Some(status) = read_engine_status(&client, *engine).await else {
                continue;
            };
            if !status.down {
                sample.running += status.running + status.waiting;
                sample.carried += status.carries;
            }
        }
        if samples.send(sample).is_err() {
            return;
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

async fn read_engine_status(client: &Client, engine: SocketAddr) -> Option<EngineStatus> {
    let url = format!("http://{engine}/standin/status");
    let request = client.get(url).timeout(SAMPLE_TIMEOUT);
    request.send().await.ok()?.json().await.ok()
}

/// Reads the counts of a plain service stand-in, or `None` if it does not answer.
pub(crate) async fn read_service_status(
    client: &Client,
    service: SocketAddr,
) -> Option<ServiceStatus> {
    let url = format!("http://{service}/standin/status");
    let request = client.get(url).timeout(SAMPLE_TIMEOUT);
    request.send().await.ok()?.json().await.ok()
}
