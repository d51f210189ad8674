//! State and handles shared by the parts of a control node.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use balance::LoadHome;
use board::StateBoard;
use client::LEASE_TIME;
use directory::NodeDirectory;
use fair::{DemandHome, UsageHome};
use quarantine::QuarantineHome;
use raft::{NodeRole, NodeStatus};
use registry::RegistryState;
use tokio::sync::{Notify, mpsc};
use units::{ClockSource, ClockTime, ConfigVersion, NodeName};

use crate::driver_event::DriverEvent;
use crate::formation::{PeerAnnouncement, SeenPeer, SeenPeers};
use crate::origins::OriginStore;
use crate::peers::PeerTable;
use crate::rollouts::RolloutHomes;
use crate::settings::ControlSettings;

/// Maximum number of configuration versions for which the time of application is kept. The times
/// show for how long a node's configuration has been out of date.
const MAX_VERSION_TIMES: usize = 1_024;

/// Size of a node's log, in bytes, for its metrics.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LogSize {
    /// Entries in memory.
    pub(crate) entry_bytes: u64,
    /// Newest snapshot.
    pub(crate) snapshot_bytes: u64,
    /// Log segments on disk.
    pub(crate) disk_bytes: u64,
}

/// State that the driver publishes.
#[derive(Debug)]
pub(crate) struct DriverView {
    /// Replicated state as applied by this node.
    pub(crate) registry: RegistryState,
    /// Status of the Raft node.
    pub(crate) status: NodeStatus,
    /// Start time of the newest read barrier confirmed by a quorum.
    pub(crate) confirmed_at: Option<ClockTime>,
    /// Announcement that this node sends to its peers.
    pub(crate) announcement: PeerAnnouncement,
    /// Whether the group has removed this node's data folder while the node was leaving.
    pub(crate) has_left: bool,
    /// Newest announcement of each other control node.
    pub(crate) peers: SeenPeers,
    /// Size of the replicated log.
    pub(crate) log_size: LogSize,
    /// Newest configuration versions, oldest first, with the time at which this node applied them.
    pub(crate) version_times: VecDeque<(ConfigVersion, ClockTime)>,
}

impl DriverView {
    /// View of a node that has applied nothing.
    pub(crate) fn empty(announcement: PeerAnnouncement, status: NodeStatus) -> Self {
        Self {
            registry: RegistryState::default(),
            status,
            confirmed_at: None,
            announcement,
            has_left: false,
            peers: SeenPeers::new(),
            log_size: LogSize::default(),
            version_times: VecDeque::new(),
        }
    }

    /// Time since the last confirmed read barrier, or `None` if it is too old to grant a lease.
    pub(crate) fn confirmation_age(&self, now: ClockTime) -> Option<Duration> {
        let age = now.since(self.confirmed_at?);
        (age < LEASE_TIME).then_some(age)
    }

    /// Name of the leader, if known.
    pub(crate) fn leader_name(&self, own: &NodeName) -> Option<NodeName> {
        let leader = self.status.leader?;
        if leader == self.status.id {
            return Some(own.clone());
        }
        let mut peers = self.peers.iter();
        peers
            .find(|(_, peer)| peer.announcement.id == leader)
            .map(|(name, _)| name.clone())
    }

    /// Whether this node is a voter other than the leader, and another node of its data centre is
    /// present that could take its seat.
    pub(crate) fn has_successor(&self, now: ClockTime) -> bool {
        let members = &self.status.membership;
        let is_leader = self.status.role == NodeRole::Leader;
        let mut peers = self.peers.values().filter(|peer| peer.is_present(now));
        let may_succeed = |peer: &SeenPeer| {
            let announcement = &peer.announcement;
            let is_known = members.voters.contains(&announcement.id)
                || members.removed.contains(&announcement.id);
            !is_known && announcement.data_centre == self.announcement.data_centre
        };
        !is_leader && members.voters.contains(&self.status.id) && peers.any(may_succeed)
    }

    /// Records the time at which the current configuration version was applied.
    pub(crate) fn record_version_time(&mut self, now: ClockTime) {
        let version = self.registry.config().version;
        if self.version_times.back().map(|(newest, _)| *newest) == Some(version) {
            return;
        }
        self.version_times.push_back((version, now));
        if self.version_times.len() > MAX_VERSION_TIMES {
            self.version_times.pop_front();
        }
    }

    /// Newest version of the configuration that was applied at `time`; 0 if that is not known.
    pub(crate) fn version_at(&self, time: ClockTime) -> ConfigVersion {
        let mut times = self.version_times.iter().rev();
        let applied = times.find(|(_, applied_at)| *applied_at <= time);
        applied.map_or(ConfigVersion(0), |(version, _)| *version)
    }

    /// Time since the first version newer than `installed` was applied, or `None` if `installed` is
    /// current.
    pub(crate) fn config_lag(&self, installed: ConfigVersion, now: ClockTime) -> Option<Duration> {
        if installed >= self.registry.config().version {
            return None;
        }
        let mut times = self.version_times.iter();
        let first_missing = times.find(|(version, _)| *version > installed);
        Some(first_missing.map_or(Duration::ZERO, |(_, time)| now.since(*time)))
    }
}

/// Handles shared by all parts of a control node.
#[derive(Clone)]
pub(crate) struct ControlContext {
    pub(crate) settings: Arc<ControlSettings>,
    /// Board on which the driver publishes its state.
    pub(crate) view: StateBoard<DriverView>,
    /// Directory of entries, agents and targets.
    pub(crate) nodes: StateBoard<NodeDirectory>,
    /// Usage totals of the flows whose home is this node.
    pub(crate) usage: StateBoard<UsageHome>,
    /// Demand of the services whose home is this node.
    pub(crate) demand: StateBoard<DemandHome>,
    /// Requests that crash targets, if this node is the home of the entries' reports.
    pub(crate) quarantine: StateBoard<QuarantineHome>,
    /// Roll-outs in progress, which this node judges if it is the home of the entries' reports.
    pub(crate) rollouts: StateBoard<RolloutHomes>,
    /// Wakes the judgement of roll-outs.
    pub(crate) rollout_due: Arc<Notify>,
    /// Loads of targets over all entries, if this node is the home of the entries' reports.
    pub(crate) loads: StateBoard<LoadHome>,
    /// Origins of streams that entries have reported.
    pub(crate) origins: OriginStore,
    /// Event queue of the driver.
    pub(crate) driver: mpsc::Sender<DriverEvent>,
    /// Addresses, queues and clients of the other control nodes.
    pub(crate) peers: PeerTable,
    /// Monotonic clock of the process.
    pub(crate) clock: Arc<dyn ClockSource>,
}
