//! What the parts of a control node share.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use board::StateBoard;
use client::LEASE_TIME;
use directory::NodeDirectory;
use fair::{DemandHome, UsageHome};
use raft::NodeStatus;
use registry::RegistryState;
use tokio::sync::mpsc;
use units::{ClockSource, ClockTime, ConfigVersion, NodeName};

use crate::driver_event::DriverEvent;
use crate::formation::{PeerAnnouncement, SeenPeers};
use crate::peers::PeerTable;
use crate::settings::ControlSettings;

/// Versions whose time of arrival is remembered, to tell since when a node lags.
const MAX_VERSION_TIMES: usize = 1_024;

/// What the driver publishes.
#[derive(Debug)]
pub(crate) struct DriverView {
    /// The replicated state as applied here.
    pub(crate) registry: RegistryState,
    /// State of the Raft node.
    pub(crate) status: NodeStatus,
    /// Start of the newest read barrier that a quorum confirmed.
    pub(crate) confirmed: Option<ClockTime>,
    /// What this node tells the others.
    pub(crate) announcement: PeerAnnouncement,
    /// The other control nodes.
    pub(crate) peers: SeenPeers,
    /// When each of the newest versions came in force here.
    pub(crate) version_times: VecDeque<(ConfigVersion, ClockTime)>,
}

impl DriverView {
    /// The view of a node that has applied nothing.
    pub(crate) fn empty(announcement: PeerAnnouncement, status: NodeStatus) -> Self {
        Self {
            registry: RegistryState::default(),
            status,
            confirmed: None,
            announcement,
            peers: SeenPeers::new(),
            version_times: VecDeque::new(),
        }
    }

    /// Time since the last confirmation; none if it is too old for a lease.
    pub(crate) fn age(&self, now: ClockTime) -> Option<Duration> {
        let age = now.since(self.confirmed?);
        (age < LEASE_TIME).then_some(age)
    }

    /// Name of the leader, if known.
    pub(crate) fn leader(&self, own: &NodeName) -> Option<NodeName> {
        let leader = self.status.leader?;
        if leader == self.status.id {
            return Some(own.clone());
        }
        let mut peers = self.peers.iter();
        peers
            .find(|(_, peer)| peer.announcement.id == leader)
            .map(|(name, _)| name.clone())
    }

    /// Remembers when the present version came in force.
    pub(crate) fn note_version(&mut self, now: ClockTime) {
        let version = self.registry.config().version;
        if self.version_times.back().map(|(newest, _)| *newest) == Some(version) {
            return;
        }
        self.version_times.push_back((version, now));
        if self.version_times.len() > MAX_VERSION_TIMES {
            self.version_times.pop_front();
        }
    }

    /// Time since the first version that a node with this configuration lacks.
    pub(crate) fn lag(&self, installed: ConfigVersion, now: ClockTime) -> Option<Duration> {
        if installed >= self.registry.config().version {
            return None;
        }
        let mut times = self.version_times.iter();
        let missing = times.find(|(version, _)| *version > installed);
        Some(missing.map_or(Duration::ZERO, |(_, time)| now.since(*time)))
    }
}

/// Handles that every part of the node holds.
#[derive(Clone)]
pub(crate) struct ControlContext {
    /// Settings.
    pub(crate) settings: Arc<ControlSettings>,
    /// What the driver publishes.
    pub(crate) view: StateBoard<DriverView>,
    /// Entries and agents.
    pub(crate) nodes: StateBoard<NodeDirectory>,
    /// Sums of the flows whose home is this node.
    pub(crate) usage: StateBoard<UsageHome>,
    /// Demand of the services whose home is this node.
    pub(crate) demand: StateBoard<DemandHome>,
    /// To the driver.
    pub(crate) driver: mpsc::Sender<DriverEvent>,
    /// The other control nodes.
    pub(crate) peers: PeerTable,
    /// Clock of the process.
    pub(crate) clock: Arc<dyn ClockSource>,
}
