//! Tells operators that the group has no quorum, which voters it waits for, and since when.
//!
//! Leases and orders fail on every node while the group has no quorum, so each node reports what it
//! knows of the voters by itself: in its log, its metrics, the status, and the reason of refused calls.

use std::fmt;
use std::time::Duration;

use cadence::StatsdClient;
use cadence::prelude::*;
use client::LEASE_TIME;
use telemetry::{event, events};
use tokio::time::MissedTickBehavior;
use units::{ClockTime, DiskId, NodeName};

use crate::rollouts;
use crate::state::{ControlContext, DriverView};

/// Interval at which the confirmation by a quorum is checked. Half of the interval between the
/// announcements of control nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Last sign of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberSign {
    /// The member is this node, or has announced itself recently.
    Present,
    /// Its last announcement is this old.
    Silent(Duration),
    /// Its node announces itself with another data folder.
    FolderReplaced,
    /// It has not announced itself since this node started.
    Unheard,
}

impl MemberSign {
    /// Last sign of a member as known to a node.
    pub(crate) fn of(member: DiskId, view: &DriverView, now: ClockTime) -> Self {
        let mut announced = view.peers.values();
        let peer = announced.find(|peer| peer.announcement.id == member);
        let name = view.registry.controls().get(&member);
        match peer {
            _ if member == view.status.id => Self::Present,
            Some(peer) if peer.is_present(now) => Self::Present,
            Some(peer) => Self::Silent(peer.silence(now)),
            None if name.is_some_and(|name| view.peers.contains_key(name)) => Self::FolderReplaced,
            None => Self::Unheard,
        }
    }
}

/// A voter and its last sign.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct VoterReport {
    id: DiskId,
    name: Option<NodeName>,
    pub(crate) sign: MemberSign,
}

impl fmt::Display for VoterReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.name {
            Some(name) => write!(f, "{name}")?,
            None => write!(f, "{}", self.id)?,
        }
        match self.sign {
            MemberSign::Present => Ok(()),
            MemberSign::Silent(silence) => write!(f, " (silent for {} ms)", silence.as_millis()),
            MemberSign::FolderReplaced => write!(f, " (its data folder was replaced)"),
            MemberSign::Unheard => write!(f, " (not heard since the start)"),
        }
    }
}

/// What a control node knows of the quorum of its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QuorumReport {
    pub(crate) leader: Option<NodeName>,
    pub(crate) voters: Vec<VoterReport>,
}

impl QuorumReport {
    /// Report of the newest membership in the log of a node.
    pub(crate) fn new(view: &DriverView, own: &NodeName, now: ClockTime) -> Self {
        let status = &view.status;
        let voters = status.membership.voters.iter();
        let voters = voters.map(|id| VoterReport {
            id: *id,
            name: view.registry.controls().get(id).cloned(),
            sign: MemberSign::of(*id, view, now),
        });
        Self {
            leader: view.leader_name(own),
            voters: voters.collect(),
        }
    }

    fn absent(&self) -> impl Iterator<Item = &VoterReport> {
        let voters = self.voters.iter();
        voters.filter(|voter| voter.sign != MemberSign::Present)
    }

    /// Voters that the node does not hear from, for a log line.
    pub(crate) fn absent_text(&self) -> String {
        join(self.absent())
    }

    fn names_text(&self) -> String {
        let names = self.voters.iter().map(|voter| match &voter.name {
            Some(name) => name.to_string(),
            None => voter.id.to_string(),
        });
        names.collect::<Vec<_>>().join(", ")
    }

    /// Ids of the absent voters, which change only when a voter comes or goes.
    fn absent_ids(&self) -> Vec<DiskId> {
        self.absent().map(|voter| voter.id).collect()
    }
}

fn join(items: impl Iterator<Item = impl fmt::Display>) -> String {
    let texts: Vec<String> = items.map(|item| item.to_string()).collect();
    texts.join(", ")
}

impl fmt::Display for QuorumReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.leader {
            Some(leader) => write!(f, "leader {leader}, ")?,
            None => write!(f, "no leader, ")?,
        }
        let present = self.voters.len() - self.absent().count();
        write!(f, "{present} of {} voters present", self.voters.len())?;
        match self.absent().next() {
            Some(_) => write!(f, ", waiting for {}", self.absent_text()),
            None => Ok(()),
        }
    }
}

/// Report of a control node at this time.
pub(crate) fn report(context: &ControlContext) -> QuorumReport {
    let now = context.clock.now();
    let own = &context.settings.name;
    context.view.read(|view| QuorumReport::new(view, own, now))
}

/// Logs when the node loses and regains the confirmation by a quorum; runs until it is aborted.
pub(crate) async fn watch_quorum(context: ControlContext) {
    let started_at = context.clock.now();
    let mut interval = check_interval();
    let mut lost: Option<(ClockTime, Vec<DiskId>)> = None;
    loop {
        interval.tick().await;
        let now = context.clock.now();
        let confirmed_at = context.view.read(|view| view.confirmed_at);
        let confirmed_at = confirmed_at.unwrap_or(started_at);
        let report = report(&context);
        let is_confirmed = now.since(confirmed_at) < LEASE_TIME;
        match lost.take() {
            Some((since, _)) if is_confirmed => event!(
                events::QUORUM_REGAINED,
                age_ms = now.since(since).as_millis()
            ),
            previous if !is_confirmed => {
                let absent_ids = report.absent_ids();
                if previous.is_none_or(|(_, ids)| ids != absent_ids) {
                    log_lost(&report, now.since(confirmed_at));
                }
                lost = Some((confirmed_at, absent_ids));
            }
            _ => {}
        }
    }
}

fn log_lost(report: &QuorumReport, age: Duration) {
    let leader = report.leader.as_ref();
    event!(
        events::QUORUM_LOST,
        age_ms = age.as_millis(),
        leader = leader.map_or("none", NodeName::as_str),
        voters = report.names_text(),
        absent = report.absent_text()
    );
}

/// Records the gauges of the group and of roll-outs periodically; runs until it is aborted.
pub(crate) async fn record_gauges(context: ControlContext, metrics: StatsdClient) {
    let started_at = context.clock.now();
    let mut interval = check_interval();
    loop {
        interval.tick().await;
        let report = report(&context);
        let (confirmed_at, log_size) = context.view.read(|view| (view.confirmed_at, view.log_size));
        let age = context
            .clock
            .now()
            .since(confirmed_at.unwrap_or(started_at));
        let voters = report.voters.len() as u64;
        // The metric table accepts every gauge; with another sink, a lost value is replaced soon.
        let _ = metrics.gauge("voters", voters);
        let _ = metrics.gauge("voters.present", voters - report.absent().count() as u64);
        let _ = metrics.gauge("confirmation.age.ms", age.as_millis() as u64);
        let _ = metrics.gauge("log.memory.bytes", log_size.entry_bytes);
        let _ = metrics.gauge("log.snapshot.bytes", log_size.snapshot_bytes);
        let _ = metrics.gauge("log.disk.bytes", log_size.disk_bytes);
        rollouts::record_gauges(&context, &metrics);
    }
}

fn check_interval() -> tokio::time::Interval {
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
