//! Settings, inputs, outputs and errors of an [`OfferBook`](crate::OfferBook).

use std::time::Duration;

use thiserror::Error;
use units::{ClockTime, NodeName, RequestId, ServiceName, SlotCount};
use wire::{EntryMessage, RequestOffer};

/// Settings of an [`OfferBook`](crate::OfferBook).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BookSettings {
    /// Maximum number of agents that a request is offered to in one wave.
    pub wave_size: usize,
    /// Time between two waves of a request.
    pub wave_interval: Duration,
    /// Time that a request waits before it is offered to agents in other regions.
    pub spill_after: Duration,
}

impl Default for BookSettings {
    /// Offers to all local agents at once, and to other regions after 150 ms.
    fn default() -> Self {
        Self {
            wave_size: usize::MAX,
            wave_interval: Duration::from_millis(20),
            spill_after: Duration::from_millis(150),
        }
    }
}

/// Connected agent that requests may be offered to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentView {
    /// Name of the agent.
    pub name: NodeName,
    /// Service that its target serves.
    pub service: ServiceName,
    /// Whether it is in the entry's region.
    pub is_local: bool,
    /// Number of free slots as last announced.
    pub free_slots: SlotCount,
}

/// Request to be queued until an agent claims it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Offer that is sent to agents.
    pub offer: RequestOffer,
    /// Time at which the request expires.
    pub deadline: ClockTime,
    /// Maximum number of requests of its flow that may wait at this entry.
    pub max_waiting: u32,
}

/// Action that the entry must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BookAction {
    /// Send a message to an agent on the session stream.
    Send {
        /// Receiver of the message.
        agent: NodeName,
        /// Message to send.
        message: EntryMessage,
    },
    /// Start a request at the agent whose claim was granted.
    Grant {
        /// Agent that holds the claim.
        agent: NodeName,
        /// Granted request.
        request: RequestId,
    },
    /// Fail a request as not run, since its deadline passed while it waited.
    Expire {
        /// Expired request.
        request: RequestId,
    },
}

/// Reason why a request cannot be queued.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum QueueError {
    /// The flow has reached its maximum number of waiting requests.
    #[error("Failed to queue a request: {waiting} of at most {max} requests wait already")]
    Full {
        /// Number of waiting requests of the flow.
        waiting: u32,
        /// Maximum number of waiting requests of the flow.
        max: u32,
    },
    /// A request with this id is already queued.
    #[error("Failed to queue request {0}: it waits already")]
    Duplicate(RequestId),
}
