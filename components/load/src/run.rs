//! A run of the planned requests.

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
use crate::report::{LoadReport, RunRecord};
use crate::samples::{UtilisationSample, sample_engines, service_status};

/// Most open requests; more are counted as not sent.
const MAX_OPEN: usize = 2_000;

/// Addresses that a run uses, all loopback.
#[derive(Debug, Clone, Default)]
pub struct LoadAddresses {
    /// Entries for callers' HTTP.
    pub entries: Vec<SocketAddr>,
    /// Engine stand-ins whose use is sampled.
    pub engines: Vec<SocketAddr>,
    /// Plain service stand-ins whose booking counts are checked.
    pub services: Vec<SocketAddr>,
}

/// One request of the run and what became of it.
#[derive(Debug)]
pub(crate) struct FinishedCall {
    pub(crate) call: PlannedCall,
    pub(crate) result: CallResult,
    pub(crate) resent: u32,
}

/// Sends the load of a profile and reports what callers saw.
pub async fn run_load(profile: &LoadProfile, targets: &LoadAddresses) -> Result<LoadReport> {
    check_loopback(targets)?;
    let timeout = Duration::from_secs(profile.request_timeout_s);
    let caller = Caller::new(targets.entries.clone(), timeout)?;
    let client = Client::builder()
        .no_proxy()
        .build()
        .wrap_err("Failed to open an HTTP client")?;
    let start = Instant::now();
    let open = Arc::new(AtomicUsize::new(0));
    let limit = Duration::from_secs(profile.duration_s) + timeout * (profile.resends + 1);
    let (sender, receiver) = mpsc::unbounded_channel();
    let sampler = tokio::spawn(sample_engines(
        client.clone(),
        targets.engines.clone(),
        open.clone(),
        start,
        limit,
        sender,
    ));
    let (finished, not_sent) = send_all(profile, caller, start, open).await;
    sampler.abort();
    let samples = drain(receiver);
    let (bookings, unread_services) = booking_counts(&client, &targets.services).await;
    Ok(LoadReport::new(&RunRecord {
        profile,
        start,
        finished: &finished,
        not_sent,
        samples,
        bookings: (!targets.services.is_empty()).then_some(bookings),
        unread_services,
    }))
}

fn check_loopback(targets: &LoadAddresses) -> Result<()> {
    let all = targets.engines.iter().chain(&targets.services);
    for address in all.chain(&targets.entries) {
        if !address.ip().is_loopback() {
            bail!("Failed to use {address}: it is not a loopback address");
        }
    }
    Ok(())
}

/// Sends every planned request at its time and waits for all answers.
async fn send_all(
    profile: &LoadProfile,
    caller: Caller,
    start: Instant,
    open: Arc<AtomicUsize>,
) -> (Vec<FinishedCall>, u64) {
    let places = Arc::new(Semaphore::new(MAX_OPEN));
    let delay = Duration::from_secs_f64(profile.delays.clients_ms / 1000.0);
    let mut tasks = JoinSet::new();
    let mut not_sent = 0;
    for (number, call) in plan_calls(profile).into_iter().enumerate() {
        tokio::time::sleep_until((start + call.at).into()).await;
        let Ok(place) = places.clone().try_acquire_owned() else {
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
            drop(place);
            FinishedCall {
                call,
                result,
                resent,
            }
        });
    }
    (tasks.join_all().await, not_sent)
}

fn drain(mut receiver: mpsc::UnboundedReceiver<UtilisationSample>) -> Vec<UtilisationSample> {
    let mut samples = Vec::new();
    while let Ok(sample) = receiver.try_recv() {
        samples.push(sample);
    }
    samples
}

/// Sums the booking counts of all services; also how many did not reply.
async fn booking_counts(client: &Client, services: &[SocketAddr]) -> (BTreeMap<String, u64>, u64) {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    let mut unread = 0;
    for service in services {
        match service_status(client, *service).await {
            Some(status) => {
                for (id, count) in status.bookings {
                    *counts.entry(id).or_default() += count;
                }
            }
            None => unread += 1,
        }
    }
    (counts, unread)
}
