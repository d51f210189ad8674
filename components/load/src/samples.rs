//! Samples of the engines' use while the load runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use reqwest::Client;
use serde::Serialize;
use standin::{EngineStatus, ServiceStatus};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a sample of one engine is given up.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Open requests that do not run from which on work counts as waiting. One may be on its way.
const WAITING_REQUESTS: usize = 2;

/// Use of all engines at one time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct UtilisationSample {
    /// Time since the start of the run, in seconds.
    pub at_s: f64,
    /// Requests that run in the engines.
    pub running: usize,
    /// Requests that the engines carry, those that are down left out.
    pub carried: usize,
    /// Open chat requests of the load tool.
    pub open: usize,
}

impl UtilisationSample {
    /// Whether requests wait while this sample was taken.
    pub fn has_waiting_requests(&self) -> bool {
        self.open >= self.running + WAITING_REQUESTS
    }
}

/// Takes samples until it is stopped, at most for the given time.
pub(crate) async fn sample_engines(
    client: Client,
    engines: Vec<SocketAddr>,
    open: Arc<AtomicUsize>,
    start: Instant,
    limit: Duration,
    samples: tokio::sync::mpsc::UnboundedSender<UtilisationSample>,
) {
    while start.elapsed() < limit && !engines.is_empty() {
        let mut sample = UtilisationSample {
            at_s: start.elapsed().as_secs_f64(),
            running: 0,
            carried: 0,
            open: open.load(Ordering::SeqCst),
        };
        for engine in &engines {
            let Some(status) = engine_status(&client, *engine).await else {
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

async fn engine_status(client: &Client, engine: SocketAddr) -> Option<EngineStatus> {
    let url = format!("http://{engine}/standin/status");
    let request = client.get(url).timeout(SAMPLE_TIMEOUT);
    request.send().await.ok()?.json().await.ok()
}

/// Reads the booking counts of a plain service.
pub(crate) async fn service_status(client: &Client, service: SocketAddr) -> Option<ServiceStatus> {
    let url = format!("http://{service}/standin/status");
    let request = client.get(url).timeout(SAMPLE_TIMEOUT);
    request.send().await.ok()?.json().await.ok()
}
