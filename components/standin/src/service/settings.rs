//! Settings, faults and counts of a plain service.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How a plain service works.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    /// Address to listen on; port 0 lets the system choose.
    pub address: SocketAddr,
    /// Time that a call takes.
    pub call_time: Duration,
    /// Faults at the start.
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

/// Faults that can be switched while the service runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Bookings that run but whose connection is cut before the reply; the count falls with each.
    pub lose_replies: u64,
    /// Calls that are refused with status 503 before they run; the count falls with each.
    pub refuse_calls: u64,
    /// Calls that run but never get a reply; the count falls with each.
    pub silent_calls: u64,
    /// Time that a booking takes in place of the call time, in milliseconds.
    pub booking_ms: Option<u64>,
}

/// Counts of a plain service since its process started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Records read.
    pub reads: u64,
    /// How often each booking id ran.
    pub bookings: BTreeMap<String, u64>,
    /// Calls refused.
    pub refused: u64,
}
