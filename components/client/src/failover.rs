//! Requests that fail over from one control node to the next.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use link::{LinkEndpoint, LinkError};
use thiserror::Error;
use tokio::time::Instant;
use wire::{ControlReply, ControlRequest, OperatorOrder, stable_hash};

use crate::transport::{ControlTransport, LinkTransport, ReplyProgress};

/// Timeout of an attempt at one control node, and of each further part of a reply.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of an attempt to apply a services text, since checking and committing a large one takes
/// seconds.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Rate at which a plan is assumed to reach a control node, in bytes per second: less than half of what a
/// link between regions carries.
const PLAN_BYTES_PER_SECOND: u32 = 200_000;

/// Maximum time that a plan is given beyond the timeout of an attempt. Operators wait for 5 s.
const MAX_PLAN_TIME: Duration = Duration::from_secs(2);

/// Maximum duration of an attempt whose reply arrives in parts. A plan of 240 KB, about the largest that
/// fits a log entry with its text, takes 2.4 s at 100 KB/s. A longer bound would delay the failover to a
/// node with a faster link.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of rounds over all control nodes before a request fails.
const MAX_ROUNDS: usize = 2;

/// Error of a request to control.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The list of control nodes is empty.
    #[error("Failed to ask control: no control node is configured")]
    NoControls,
    /// No control node answered.
    #[error(
        "Failed to ask control: no reply after {attempts} attempts; \
         last error from {address}: {reason}"
    )]
    Unanswered {
        /// Number of failed attempts.
        attempts: usize,
        /// Number of parts of the reply that the last attempt received.
        parts: usize,
        /// Control node of the last attempt.
        address: SocketAddr,
        /// Error of the last attempt.
        reason: String,
    },
    /// The control node that answered the last attempt has no quorum.
    #[error("Failed to ask control: no quorum after {attempts} attempts")]
    NoQuorum {
        /// Number of failed attempts.
        attempts: usize,
        /// Configuration changes of the last reply.
        changes: Vec<u8>,
    },
}

/// Failed attempt at one control node.
struct FailedAttempt {
    error: LinkError,
    /// Number of parts of the reply that arrived.
    parts: usize,
}

impl FailedAttempt {
    fn into_error(self, attempts: usize, address: SocketAddr) -> ClientError {
        ClientError::Unanswered {
            attempts,
            parts: self.parts,
            address,
            reason: self.error.to_string(),
        }
    }
}

/// Client of all control nodes, which prefers the node that last answered. Clones share their
/// state.
#[derive(Clone)]
pub struct ControlClient {
    transport: Arc<dyn ControlTransport>,
    controls: Arc<Mutex<ControlList>>,
    preferred: Arc<AtomicUsize>,
}

/// Known addresses of control nodes.
#[derive(Debug, Default)]
struct ControlList {
    /// Addresses from the settings.
    configured: Vec<SocketAddr>,
    /// Addresses from the replies of control nodes.
    learned: Vec<SocketAddr>,
    /// Configured and learned addresses without duplicates.
    all: Arc<[SocketAddr]>,
    /// Nodes whose last reply was that they have no quorum, since the last renewal that was granted.
    without_quorum: BTreeSet<SocketAddr>,
}

impl ControlList {
    fn update(&mut self, configured: Option<Vec<SocketAddr>>, learned: Option<Vec<SocketAddr>>) {
        self.configured = configured.unwrap_or(std::mem::take(&mut self.configured));
        self.learned = learned.unwrap_or(std::mem::take(&mut self.learned));
        let mut all: Vec<SocketAddr> = Vec::new();
        for address in self.configured.iter().chain(&self.learned) {
            if !all.contains(address) {
                all.push(*address);
            }
        }
        self.all = all.into();
    }

    fn record(&mut self, control: SocketAddr, result: &Result<ControlReply, LinkError>) {
        match result {
            Ok(ControlReply::NoQuorum { .. }) => {
                self.without_quorum.insert(control);
            }
            Ok(ControlReply::Renewed(_)) => self.without_quorum.clear(),
            Ok(_) => {}
            Err(_) => {
                self.without_quorum.remove(&control);
            }
        }
    }
}

impl ControlClient {
    /// Creates a client that connects through links of this endpoint.
    ///
    /// The name of the endpoint selects the first preferred node. Otherwise all nodes of a fleet
    /// that starts would connect to the same control node at once.
    pub fn new(endpoint: LinkEndpoint, controls: Vec<SocketAddr>) -> Self {
        let name_hash = stable_hash(&[endpoint.name().as_str().as_bytes()]);
        let preferred = name_hash % controls.len().max(1) as u64;
        let client = Self::with_transport(Arc::new(LinkTransport::new(endpoint)), controls);
        client
            .preferred
            .store(preferred as usize, Ordering::Relaxed);
        client
    }

    /// Creates a client with another transport.
    pub fn with_transport(transport: Arc<dyn ControlTransport>, controls: Vec<SocketAddr>) -> Self {
        let mut list = ControlList::default();
        list.update(Some(controls), None);
        Self {
            transport,
            controls: Arc::new(Mutex::new(list)),
            preferred: Arc::default(),
        }
    }

    /// Replaces the addresses that come from the settings.
    pub fn set_configured_controls(&self, controls: Vec<SocketAddr>) {
        self.list().update(Some(controls), None);
    }

    /// Replaces the addresses that come from control nodes; an empty list is ignored.
    pub fn set_learned_controls(&self, controls: Vec<SocketAddr>) {
        if !controls.is_empty() {
            self.list().update(None, Some(controls));
        }
    }

    fn list(&self) -> MutexGuard<'_, ControlList> {
        self.controls
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Configured addresses, followed by the other learned ones.
    pub fn controls(&self) -> Arc<[SocketAddr]> {
        self.list().all.clone()
    }

    /// Whether at least half of the control nodes are reached and have no quorum, so that the caller is
    /// not cut off: the group itself can confirm nothing. Nodes that were replaced may still be
    /// listed, so a strict majority would need more nodes than there are.
    pub fn is_quorum_lost(&self) -> bool {
        let list = self.list();
        let controls = list.all.iter();
        let without_quorum = controls.filter(|control| list.without_quorum.contains(control));
        let count = without_quorum.count();
        count > 0 && count * 2 >= list.all.len()
    }

    /// Sends a request and fails over from nodes that do not answer or have no quorum. A request
    /// may therefore reach several nodes and must be idempotent.
    pub async fn request(&self, request: &ControlRequest) -> Result<ControlReply, ClientError> {
        let mut failure = ClientError::NoControls;
        let controls = self.controls();
        for attempt in 1..=controls.len() * MAX_ROUNDS {
            let index = self.preferred.load(Ordering::Relaxed) % controls.len();
            failure = match self.attempt(controls[index], request).await {
                Ok(ControlReply::NoQuorum { changes, .. }) => ClientError::NoQuorum {
                    attempts: attempt,
                    changes,
                },
                Ok(reply) => return Ok(reply),
                Err(failed) => failed.into_error(attempt, controls[index]),
            };
            self.advance_from(index, controls.len());
        }
        Err(failure)
    }

    /// Makes one attempt at the preferred control node, and prefers the next one after a failure.
    pub async fn request_once(
        &self,
        request: &ControlRequest,
    ) -> Result<ControlReply, ClientError> {
        let controls = self.controls();
        if controls.is_empty() {
            return Err(ClientError::NoControls);
        }
        let index = self.preferred.load(Ordering::Relaxed) % controls.len();
        match self.attempt(controls[index], request).await {
            Ok(ControlReply::NoQuorum { changes, .. }) => {
                self.advance_from(index, controls.len());
                Err(ClientError::NoQuorum {
                    attempts: 1,
                    changes,
                })
            }
            Ok(reply) => Ok(reply),
            Err(failed) => {
                self.advance_from(index, controls.len());
                Err(failed.into_error(1, controls[index]))
            }
        }
    }

    /// Makes one attempt at a given control node, without changing the preferred one.
    pub async fn request_at(
        &self,
        control: SocketAddr,
        request: &ControlRequest,
    ) -> Result<ControlReply, ClientError> {
        self.attempt(control, request)
            .await
            .map_err(|failed| failed.into_error(1, control))
    }

    async fn attempt(
        &self,
        control: SocketAddr,
        request: &ControlRequest,
    ) -> Result<ControlReply, FailedAttempt> {
        let timeout = attempt_timeout(request);
        let started_at = Instant::now();
        let progress = ReplyProgress::default();
        let mut exchange = self.transport.exchange(control, request, &progress);
        let result = loop {
            let received = progress.part_count();
            match tokio::time::timeout(timeout, &mut exchange).await {
                Ok(result) => break result,
                // A transfer that is ended begins again from nothing, and would never succeed on a
                // link that is too slow for one timeout.
                Err(_)
                    if progress.part_count() > received
                        && started_at.elapsed() < TRANSFER_TIMEOUT => {}
                Err(_) => break Err(timeout_error(timeout, progress.part_count())),
            }
        };
        self.list().record(control, &result);
        result.map_err(|error| FailedAttempt {
            error,
            parts: progress.part_count(),
        })
    }

    /// Prefers the next node, unless another request has changed the preferred node meanwhile.
    fn advance_from(&self, index: usize, count: usize) {
        let next = (index + 1) % count;
        let preferred = &self.preferred;
        // The index was possibly stored when the list was longer.
        let _ = preferred.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |stored| {
            (stored % count == index).then_some(next)
        });
    }
}

/// Timeout of an attempt. An order that contains a plan gets additional time for its transfer.
fn attempt_timeout(request: &ControlRequest) -> Duration {
    match request {
        ControlRequest::Order(OperatorOrder::Apply { .. }) => APPLY_TIMEOUT,
        ControlRequest::Order(OperatorOrder::Publish { packed }) => {
            let plan_time =
                Duration::from_secs_f64(packed.len() as f64 / f64::from(PLAN_BYTES_PER_SECOND));
            ATTEMPT_TIMEOUT + plan_time.min(MAX_PLAN_TIME)
        }
        _ => ATTEMPT_TIMEOUT,
    }
}

fn timeout_error(timeout: Duration, part_count: usize) -> LinkError {
    LinkError::Stream(match part_count {
        0 => format!("no reply within {timeout:?}"),
        _ => format!("the reply ended after {part_count} parts, none within {timeout:?}"),
    })
}
