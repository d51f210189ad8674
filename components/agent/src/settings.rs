//! Settings of an agent and their validation.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use units::{DataCentreName, NodeName, ServiceName, SlotCount, TargetName};

/// Kind of a target, which determines how the cost of a response is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// Model engine; the cost is counted in tokens.
    Model,
    /// Plain service; each call costs one unit.
    Plain,
}

impl fmt::Display for TargetKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Model => "model",
            Self::Plain => "plain",
        })
    }
}

impl FromStr for TargetKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "model" => Ok(Self::Model),
            "plain" => Ok(Self::Plain),
            _ => Err(format!(
                "Failed to read target kind {text:?}: expected model or plain"
            )),
        }
    }
}

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// Name of the agent, unique in the fleet.
    pub name: NodeName,
    /// Address to which entries connect.
    pub listen: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Addresses of the control nodes.
    pub controls: Vec<SocketAddr>,
    /// Folder with the key files.
    pub keys: PathBuf,
    /// Name of the target.
    pub target: TargetName,
    /// Service of the target.
    pub service: ServiceName,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Base URL of the target, `http://HOST:PORT`.
    pub target_url: String,
    /// Maximum number of concurrent requests while the target is cold.
    pub cold_limit: SlotCount,
    /// Maximum number of concurrent requests of the target.
    pub most_slots: SlotCount,
    /// HTTP address of `/healthz` and `/readyz`.
    pub health: SocketAddr,
}

impl AgentSettings {
    /// Returns a message for each invalid setting; empty if the settings are valid.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.listen.ip().is_unspecified() {
            let listen = self.listen;
            faults.push(format!(
                "Failed to use link address {listen}: other hosts need an IP address of this host"
            ));
        }
        if self.controls.is_empty() {
            faults.push(
                "Failed to use the control addresses: expected at least 1 address, got none".into(),
            );
        }
        if !self.target_url.starts_with("http://") {
            let url = &self.target_url;
            faults.push(format!(
                "Failed to use target URL {url:?}: expected http://HOST:PORT"
            ));
        }
        if self.cold_limit.0 == 0 || self.cold_limit > self.most_slots {
            let (cold, most) = (self.cold_limit, self.most_slots);
            faults.push(format!(
                "Failed to use cold limit {cold}: expected 1 to {most}, the value of most-slots"
            ));
        }
        if !self.keys.is_dir() {
            let keys = self.keys.display();
            faults.push(format!(
                "Failed to use keys folder {keys}: it does not exist or is not a folder"
            ));
        }
        faults
    }
}
