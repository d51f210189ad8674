//! Requests that try each control node in turn.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use link::{LinkEndpoint, LinkError};
use thiserror::Error;
use wire::{ControlReply, ControlRequest, OperatorOrder};

use crate::transport::{ControlTransport, LinkTransport};

/// Longest wait for one control node.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for one control node with a services text, which takes seconds to check and commit
/// when it is large.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Rounds over all control nodes before a request fails.
const MAX_ROUNDS: usize = 2;

/// Fault of a request to control.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No control node is known.
    #[error("Failed to ask control: no control node is listed")]
    NoControls,
    /// No control node has answered.
    #[error("Failed to ask control: {attempts} attempts, the last at {address}: {reason}")]
    Unanswered {
        /// Number of attempts.
        attempts: usize,
        /// The control node that was tried last.
        address: SocketAddr,
        /// What happened there.
        reason: String,
    },
    /// The control nodes that answered have no quorum.
    #[error("Failed to ask control: no quorum after {attempts} attempts")]
    NoQuorum {
        /// Number of attempts.
        attempts: usize,
    },
}

/// Asks control nodes, and stays with the one that answered last.
#[derive(Clone)]
pub struct ControlClient {
    transport: Arc<dyn ControlTransport>,
    controls: Arc<Mutex<ControlList>>,
    current: Arc<AtomicUsize>,
}

/// Addresses of control nodes.
#[derive(Debug, Default)]
struct ControlList {
    /// From the settings.
    configured: Vec<SocketAddr>,
    /// From the control nodes themselves.
    learned: Vec<SocketAddr>,
    /// Both, each address once.
    all: Arc<[SocketAddr]>,
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
}

impl ControlClient {
    /// Creates a client over links.
    pub fn new(endpoint: LinkEndpoint, controls: Vec<SocketAddr>) -> Self {
        Self::with_transport(Arc::new(LinkTransport::new(endpoint)), controls)
    }

    /// Creates a client over another transport.
    pub fn with_transport(transport: Arc<dyn ControlTransport>, controls: Vec<SocketAddr>) -> Self {
        let mut list = ControlList::default();
        list.update(Some(controls), None);
        Self {
            transport,
            controls: Arc::new(Mutex::new(list)),
            current: Arc::default(),
        }
    }

    /// Takes over changed addresses from the settings.
    pub fn set_configured_controls(&self, controls: Vec<SocketAddr>) {
        self.list().update(Some(controls), None);
    }

    /// Takes over the addresses that control nodes know of each other.
    pub fn set_learned_controls(&self, controls: Vec<SocketAddr>) {
        if !controls.is_empty() {
            self.list().update(None, Some(controls));
        }
    }

    fn list(&self) -> MutexGuard<'_, ControlList> {
        self.controls.lock().expect("no holder of the list panics")
    }

    /// Addresses of all control nodes that are known.
    pub fn controls(&self) -> Arc<[SocketAddr]> {
        self.list().all.clone()
    }

    /// Sends a request. Nodes that do not answer or have no quorum are passed over; every request
    /// may reach several nodes, so it must be safe to repeat.
    pub async fn request(&self, request: &ControlRequest) -> Result<ControlReply, ClientError> {
        let mut failure = ClientError::NoControls;
        let controls = self.controls();
        for attempt in 1..=controls.len() * MAX_ROUNDS {
            let index = self.current.load(Ordering::Relaxed) % controls.len();
            failure = match self.attempt_at(controls[index], request).await {
                Ok(ControlReply::NoQuorum { .. }) => ClientError::NoQuorum { attempts: attempt },
                Ok(reply) => return Ok(reply),
                Err(error) => ClientError::Unanswered {
                    attempts: attempt,
                    address: controls[index],
                    reason: error.to_string(),
                },
            };
            self.leave(index, controls.len());
        }
        Err(failure)
    }

    /// Makes one attempt at the present control node, and goes on to the next node if it fails.
    pub async fn request_once(
        &self,
        request: &ControlRequest,
    ) -> Result<ControlReply, ClientError> {
        let controls = self.controls();
        if controls.is_empty() {
            return Err(ClientError::NoControls);
        }
        let index = self.current.load(Ordering::Relaxed) % controls.len();
        match self.attempt_at(controls[index], request).await {
            Ok(ControlReply::NoQuorum { .. }) => {
                self.leave(index, controls.len());
                Err(ClientError::NoQuorum { attempts: 1 })
            }
            Ok(reply) => Ok(reply),
            Err(error) => {
                self.leave(index, controls.len());
                Err(ClientError::Unanswered {
                    attempts: 1,
                    address: controls[index],
                    reason: error.to_string(),
                })
            }
        }
    }

    /// Makes one attempt at a given control node, whichever one other requests stay with.
    pub async fn request_at(
        &self,
        control: SocketAddr,
        request: &ControlRequest,
    ) -> Result<ControlReply, ClientError> {
        self.attempt_at(control, request)
            .await
            .map_err(|error| ClientError::Unanswered {
                attempts: 1,
                address: control,
                reason: error.to_string(),
            })
    }

    async fn attempt_at(
        &self,
        control: SocketAddr,
        request: &ControlRequest,
    ) -> Result<ControlReply, LinkError> {
        let timeout = match request {
            ControlRequest::Order(OperatorOrder::Apply { .. }) => APPLY_TIMEOUT,
            _ => ATTEMPT_TIMEOUT,
        };
        let exchange = self.transport.exchange(control, request);
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(LinkError::Stream(format!("no answer within {timeout:?}"))))
    }

    /// Goes on to the next node, unless another request has done so since.
    fn leave(&self, index: usize, count: usize) {
        let next = (index + 1) % count;
        let current = &self.current;
        // The stored index may be that of a longer list.
        let _ = current.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |stored| {
            (stored % count == index).then_some(next)
        });
    }
}
