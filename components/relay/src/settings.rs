//! Settings of a relay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use intake::MemoryLimits;
use limits::WindowBound;
use units::{DataCentreName, NodeName, RegionName};

/// Settings of a relay.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Name of the relay, unique in the fleet.
    pub name: NodeName,
    /// Address on which callers' HTTP is served.
    pub http: SocketAddr,
    /// Local address of the links to control nodes.
    pub listen: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentreName, RegionName>,
    /// Addresses of the control nodes.
    pub controls: Vec<SocketAddr>,
    /// Folder with the key files.
    pub keys: PathBuf,
    /// Time after the last confirmation by a quorum during which keys are accepted.
    pub lease_time: Duration,
    /// Time after the last confirmation by a quorum during which the entry refuses requests by its
    /// plan for good (unknown route, unknown key, body too large). A change must be in force within
    /// this time, so a plan that is older may lack one.
    pub plan_time: Duration,
    /// Time within which the entry hears of a target that has started.
    pub announcement_time: Duration,
    /// Bound on retries at other targets, over all entries.
    pub retries: WindowBound,
    /// Maximum share of a service's requests that a bad version gets during its roll-out, in
    /// thousandths.
    pub rollout_exposure_permille: u32,
    /// Whether sessions are placed by the loads of targets over all entries, where the plan allows it.
    pub is_load_evened: bool,
    /// Memory and descriptors of the process.
    pub limits: MemoryLimits,
    /// Time within which a graceful shutdown must end.
    pub stop_timeout: Duration,
}

impl RelaySettings {
    /// Time for which an entry that is no longer listed may go on sending requests: until its lease has
    /// ended and its planned stop is over.
    pub(crate) fn entry_retention(&self) -> Duration {
        self.lease_time + self.stop_timeout
    }

    /// Region of the host, if its data centre is listed.
    pub fn region(&self) -> Option<&RegionName> {
        self.regions.get(&self.data_centre)
    }
}
