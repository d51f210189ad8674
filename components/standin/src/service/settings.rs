//! Settings, injected faults and status of a plain service.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Settings of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 lets the system choose the port.
    pub address: SocketAddr,
    /// Duration of a call.
    pub call_time: Duration,
    /// Faults that are active from the start.
    pub faults: ServiceFaults,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            call_time: Duration::from_millis(20),
            faults: ServiceFaults::default(),
        }
    }
}

/// Injected faults, which can be changed while the service runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Number of bookings that will run but whose connection is closed before the reply; each
    /// decrements it.
    pub lose_replies: u64,
    /// Number of calls that will be refused with status 503 before they run; each decrements it.
    pub refuse_calls: u64,
    /// Number of bookings that will run but never get a reply; each decrements it.
    pub silent_calls: u64,
    /// Duration of a booking in milliseconds; if `None`, the call time.
    pub booking_ms: Option<u64>,
}

/// Counts of a plain service since the start of its process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Reads of records.
    pub reads: u64,
    /// Number of runs by booking id.
    pub bookings: BTreeMap<String, u64>,
    /// Calls refused.
    pub refused: u64,
}
