//! Requests that try each control node in turn.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
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
    controls: Arc<[SocketAddr]>,
    current: Arc<AtomicUsize>,
}

impl ControlClient {
    /// Creates a client over links.
    pub fn new(endpoint: LinkEndpoint, controls: Vec<SocketAddr>) -> Self {
        Self::with_transport(Arc::new(LinkTransport::new(endpoint)), controls)
    }

    /// Creates a client over another transport.
    pub fn with_transport(transport: Arc<dyn ControlTransport>, controls: Vec<SocketAddr>) -> Self {
        Self {
            transport,
            controls: controls.into(),
            current: Arc::default(),
        }
    }

    /// Sends a request. Nodes that do not answer or have no quorum are passed over; every request
    /// may reach several nodes, so it must be safe to repeat.
    pub async fn request(&self, request: &ControlRequest) -> Result<ControlReply, ClientError> {
        let mut failure = ClientError::NoControls;
        for attempt in 1..=self.controls.len() * MAX_ROUNDS {
            let index = self.current.load(Ordering::Relaxed) % self.controls.len();
            failure = match self.attempt(index, request).await {
                Ok(ControlReply::NoQuorum { .. }) => ClientError::NoQuorum { attempts: attempt },
                Ok(reply) => return Ok(reply),
                Err(error) => ClientError::Unanswered {
                    attempts: attempt,
                    address: self.controls[index],
                    reason: error.to_string(),
                },
            };
            self.leave(index);
        }
        Err(failure)
    }

    /// Makes one attempt at the present control node, and goes on to the next node if it fails.
    pub async fn request_once(
        &self,
        request: &ControlRequest,
    ) -> Result<ControlReply, ClientError> {
        if self.controls.is_empty() {
            return Err(ClientError::NoControls);
        }
        let index = self.current.load(Ordering::Relaxed) % self.controls.len();
        match self.attempt(index, request).await {
            Ok(ControlReply::NoQuorum { .. }) => {
                self.leave(index);
                Err(ClientError::NoQuorum { attempts: 1 })
            }
            Ok(reply) => Ok(reply),
            Err(error) => {
                self.leave(index);
                Err(ClientError::Unanswered {
                    attempts: 1,
                    address: self.controls[index],
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

    async fn attempt(
        &self,
        index: usize,
        request: &ControlRequest,
    ) -> Result<ControlReply, LinkError> {
        self.attempt_at(self.controls[index], request).await
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
    fn leave(&self, index: usize) {
        let next = (index + 1) % self.controls.len();
        let current = &self.current;
        let _ = current.compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}
