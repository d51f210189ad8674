//! Settings, inputs, outputs and errors of an [`OfferBook`](crate::OfferBook).

use std::time::Duration;

use thiserror::Error;
use units::{ClockTime, NodeName, RequestId, ServiceName, SlotCount};
use wire::{EntryMessage, RequestOffer};

/// Settings of an [`OfferBook`](crate::OfferBook).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BookSettings {
    /// Agents that a request is offered to in one wave.
    pub wave_size: usize,
    /// Time between two waves.
    pub wave_interval: Duration,
    /// Time that a request waits before agents in other regions are offered it.
    pub spill_after: Duration,
}

impl Default for BookSettings {
    /// All local agents at once, other regions after 150 ms.
    fn default() -> Self {
        Self {
            wave_size: usize::MAX,
            wave_interval: Duration::from_millis(20),
            spill_after: Duration::from_millis(150),
        }
    }
}

/// Agent that is connected and may be offered requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentView {
    /// Name of the agent.
    pub name: NodeName,
    /// Service of its target.
    pub service: ServiceName,
    /// Whether it is in the entry's region.
    pub is_local: bool,
    /// Free slots as last announced.
    pub free_slots: SlotCount,
}

/// Request that is to wait for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// What agents are sent.
    pub offer: RequestOffer,
    /// Time at which it expires.
    pub deadline: ClockTime,
    /// Requests of its flow that may wait at this entry.
    pub max_waiting: u32,
}

/// What an entry must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BookAction {
    /// Send a message on the session stream.
    Send {
        /// The agent.
        agent: NodeName,
        /// The message.
        message: EntryMessage,
    },
    /// Start the request at the agent.
    Grant {
        /// The agent.
        agent: NodeName,
        /// The request.
        request: RequestId,
    },
    /// Fail the request as not run: its deadline passed while it waited.
    Expire {
        /// The request.
        request: RequestId,
    },
}

/// Why a request may not wait.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum QueueError {
    /// The flow has as many waiting requests as it may.
    #[error("Failed to queue a request: {waiting} of at most {max} requests wait already")]
    Full {
        /// Requests that wait.
        waiting: u32,
        /// Requests that may wait.
        max: u32,
    },
    /// The request waits already.
    #[error("Failed to queue request {0}: it waits already")]
    Duplicate(RequestId),
}
