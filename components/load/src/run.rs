//! Execution of the planned requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use reqwest::Client;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use crate::caller::{CallKind, CallRequest, CallResult, Caller};
use crate::plan::{PlannedCall, plan_calls};
use crate::profile::LoadProfile;
use crate::report::{LoadReport, ReportInput};
use crate::samples::{UtilisationSample, read_service_status, sample_engines};

/// Maximum number of concurrent requests; those beyond it are counted as not sent.
const MAX_OPEN_REQUESTS: usize = 2_000;

/// Loopback addresses that a run connects to.
#[derive(Debug, Clone, Default)]
pub struct LoadAddresses {
    /// HTTP addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Engine stand-ins whose utilisation is sampled.
    pub engines: Vec<SocketAddr>,
    /// Plain service stand-ins whose booking counts are checked.
    pub services: Vec<SocketAddr>,
}

/// A planned request with its result and its number of resends.
#[derive(Debug)]
pub(crate) struct FinishedCall {
    pub(crate) call: PlannedCall,
    pub(crate) result: CallResult,
    pub(crate) resent: u32,
}

/// Sends the requests of a profile and returns the report on their answers.
///
/// Fails without entries or if an address is not loopback.
pub async fn run_load(profile: &LoadProfile, addresses: &LoadAddresses) -> Result<LoadReport> {
    check_loopback(addresses)?;
    let timeout = Duration::from_secs(profile.request_timeout_s);
    let caller = Caller::new(addresses.entries.clone(), timeout)?;
    let client = Client::builder()
        .no_proxy()
        .build()
        .wrap_err("Failed to create an HTTP client for the stand-ins")?;
    let start = Instant::now();
    let open = Arc::new(AtomicUsize::new(0));
    let max_duration = Duration::from_secs(profile.duration_s) + timeout * (profile.resends + 1);
    let (sender, receiver) = mpsc::unbounded_channel();
    let sampler = tokio::spawn(sample_engines(
        client.clone(),
        addresses.engines.clone(),
        open.clone(),
        start,
        max_duration,
        sender,
    ));
    let (finished, not_sent) = send_planned_calls(profile, caller, start, open).await;
    sampler.abort();
    let samples = drain_samples(receiver);
    let (bookings, unread_services) = read_booking_counts(&client, &addresses.services).await;
    Ok(LoadReport::new(&ReportInput {
        profile,
        start,
        finished: &finished,
        not_sent,
        samples,
        bookings: (!addresses.services.is_empty()).then_some(bookings),
        unread_services,
    }))
}

fn check_loopback(addresses: &LoadAddresses) -> Result<()> {
    let standins = addresses.engines.iter().chain(&addresses.services);
    for address in standins.chain(&addresses.entries) {
        if !address.ip().is_loopback() {
            bail!("Failed to send load to {address}: it is not a loopback address");
        }
    }
    Ok(())
}

/// Sends each planned request at its planned time and waits for all answers. Returns the finished
/// requests and the number of those that were not sent.
async fn send_planned_calls(
    profile: &LoadProfile,
    caller: Caller,
    start: Instant,
    open: Arc<AtomicUsize>,
) -> (Vec<FinishedCall>, u64) {
    let permits = Arc::new(Semaphore::new(MAX_OPEN_REQUESTS));
    let delay = Duration::from_secs_f64(profile.delays.clients_ms / 1000.0);
    let mut tasks = JoinSet::new();
    let mut not_sent = 0;
    for (number, call) in plan_calls(profile).into_iter().enumerate() {
        tokio::time::sleep_until((start + call.at).into()).await;
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            not_sent += 1;
            continue;
        };
        let (caller, open, resends) = (caller.clone(), open.clone(), profile.resends);
        let request = CallRequest {
            key: profile.organisations[call.organisation].key.clone(),
            kind: call.kind.clone(),
        };
        tasks.spawn(async move {
            let is_chat = matches!(call.kind, CallKind::Chat { .. });
            tokio::time::sleep(delay).await;
            open.fetch_add(usize::from(is_chat), Ordering::SeqCst);
            let (result, resent) = caller.send_until_answered(&request, number, resends).await;
            open.fetch_sub(usize::from(is_chat), Ordering::SeqCst);
            tokio::time::sleep(delay).await;
            drop(permit);
            FinishedCall {
                call,
                result,
                resent,
            }
        });
    }
    (tasks.join_all().await, not_sent)
}

fn drain_samples(
    mut receiver: mpsc::UnboundedReceiver<UtilisationSample>,
) -> Vec<UtilisationSample> {
    let mut samples = Vec::new();
    while let Ok(sample) = receiver.try_recv() {
        samples.push(sample);
    }
    samples
}

/// Returns the booking counts summed over all services, and the number of services that did not
/// answer.
async fn read_booking_counts(
    client: &Client,
    services: &[SocketAddr],
) -> (BTreeMap<String, u64>, u64) {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    let mut unread_services = 0;
    for service in services {
        match read_service_status(client, *service).await {
            Some(status) => {
                for (id, count) in status.bookings {
                    *counts.entry(id).or_default() += count;
                }
            }
            None => unread_services += 1,
        }
    }
    (counts, unread_services)
}
