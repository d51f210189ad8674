//! Agent daemon: the only path to one target.

mod settings;

use std::net::SocketAddr;

pub use settings::{AgentSettings, TargetKind};

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    address: SocketAddr,
    health: SocketAddr,
}

impl AgentHandle {
    /// Address for links of entries.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for `/healthz` and `/readyz`.
    pub fn health(&self) -> SocketAddr {
        self.health
    }

    /// Announces that the agent leaves, finishes its runs and stops.
    pub async fn leave(self) {}
}

/// Starts an agent.
pub async fn start(settings: AgentSettings) -> eyre::Result<AgentHandle> {
    Ok(AgentHandle {
        address: settings.listen,
        health: settings.health,
    })
}
