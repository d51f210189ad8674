//! Settings of an entry and their validation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use units::{ByteSize, DataCentreName, NodeName};

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of the entry, unique in the fleet.
    pub name: NodeName,
    /// Address on which callers' HTTP is served.
    pub http: SocketAddr,
    /// Local address of the links to agents and control nodes.
    pub listen: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Addresses of the control nodes.
    pub controls: Vec<SocketAddr>,
    /// Folder with the key files.
    pub keys: PathBuf,
    /// Limits on callers' requests.
    pub limits: EntryLimits,
}

/// Limits on callers' requests.
#[derive(Debug, Clone)]
pub struct EntryLimits {
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Maximum total size of the header names and values of a request.
    pub max_headers: ByteSize,
    /// Time within which a request body must arrive.
    pub body_timeout: Duration,
    /// Time from the arrival of a request within which its response must end.
    pub request_timeout: Duration,
    /// Time for which a request waits before it is offered to agents in other regions.
    pub spill_after: Duration,
    /// Maximum number of agents that a request is offered to in one wave.
    pub wave_size: usize,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_body: ByteSize(16 << 20),
            max_headers: ByteSize(64 << 10),
            body_timeout: Duration::from_secs(30),
            request_timeout: Duration::from_secs(300),
            spill_after: Duration::from_millis(150),
            wave_size: usize::MAX,
        }
    }
}

impl EntrySettings {
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
        if self.limits.max_body.0 == 0 {
            faults.push("Failed to use body limit 0: expected at least 1 byte".into());
        }
        if self.limits.request_timeout.is_zero() {
            faults.push("Failed to use request timeout 0: expected at least 1 ms".into());
        }
        if self.limits.wave_size == 0 {
            faults.push("Failed to use wave size 0: expected at least 1 agent".into());
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
