//! Directory of the live nodes, held by each control node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, ConfigVersion, DataCentreName, Incarnation, NodeName};
use wire::{DirectoryDelta, DirectoryEntry, NodeKind, NodeState, stable_hash};

use crate::departures::{DepartureRecord, DepartureTable};
use crate::record::{AnnouncementSource, NodeRecord, is_significant_change};

/// Time without announcements after which a node is removed from the directory.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the record of a removed node is kept.
///
/// It exceeds the delay of any announcement, so that a late announcement of an earlier incarnation
/// is still recognised as outdated.
pub const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// Node that was removed because its announcements stopped.
#[derive(Debug, Clone)]
struct RemovedNode {
    incarnation: Incarnation,
    entry: DirectoryEntry,
    revision: u64,
    removed_at: ClockTime,
}

impl RemovedNode {
    /// Whether an announcement is newer than the removal.
    ///
    /// Announcements that a target sent before its last recorded one may still arrive late; their
    /// sequence numbers show that they are older.
    fn is_replaced_by(&self, entry: &DirectoryEntry) -> bool {
        if entry.incarnation != self.incarnation {
            return entry.incarnation > self.incarnation;
        }
        match (&self.entry.kind, &entry.kind) {
            (NodeKind::Target(old), NodeKind::Target(new)) => new.sequence > old.sequence,
            _ => true,
        }
    }
}

/// Live nodes of the fleet; each significant change gets the next revision.
#[derive(Debug, Clone)]
pub struct NodeDirectory {
    source: Incarnation,
    /// Time since which entries have been heard of without a gap.
    listening_since: Option<ClockTime>,
    /// Whether that is long enough to have heard of all live nodes.
    is_settled: bool,
    revision: u64,
    nodes: BTreeMap<NodeName, NodeRecord>,
    removed: BTreeMap<NodeName, RemovedNode>,
    /// Names of live and removed nodes by the revision of their last significant change.
    by_revision: BTreeMap<u64, NodeName>,
    by_expiry: BTreeSet<(ClockTime, NodeName)>,
    by_removal_time: BTreeSet<(ClockTime, NodeName)>,
    /// Highest revision of a discarded removal. A delta from an older revision would lack that
    /// removal.
    last_discarded_revision: u64,
    /// Copy of the departures in the replicated state.
    departures: DepartureTable,
    /// Copy of the versions at which data centres were brought back.
    returns: BTreeMap<DataCentreName, ConfigVersion>,
    /// Time without announcements after which a target without an agent is removed.
    target_silence_timeout: Duration,
}

/// Source of the directory of a process of a control node. Control nodes may start in the same millisecond,
/// so the incarnation alone does not tell their directories apart.
pub fn directory_source(name: &NodeName, incarnation: Incarnation) -> Incarnation {
    let hash = stable_hash(&[name.as_str().as_bytes(), &incarnation.0.to_le_bytes()]);
    // Nodes that have no directory yet ask for changes since source 0.
    Incarnation(hash.max(1))
}

impl NodeDirectory {
    /// Creates an empty directory; `source` comes from [`directory_source`].
    pub fn new(source: Incarnation) -> Self {
        Self {
            source,
            listening_since: None,
            is_settled: false,
            revision: 0,
            nodes: BTreeMap::new(),
            removed: BTreeMap::new(),
            by_revision: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            by_removal_time: BTreeSet::new(),
            last_discarded_revision: 0,
            departures: DepartureTable::default(),
            returns: BTreeMap::new(),
            target_silence_timeout: SILENCE_TIMEOUT,
        }
    }

    /// Replaces [`SILENCE_TIMEOUT`] for targets without an agent.
    pub fn with_target_silence_timeout(self, timeout: Duration) -> Self {
        Self {
            target_silence_timeout: timeout,
            ..self
        }
    }

    fn expiry(&self, entry: &DirectoryEntry, announced_at: ClockTime) -> ClockTime {
        match entry.kind {
            NodeKind::Target(_) => announced_at + self.target_silence_timeout,
            NodeKind::Entry | NodeKind::Agent(_) => announced_at + SILENCE_TIMEOUT,
        }
    }

    /// Applies an announcement received directly from a node; returns whether it was accepted.
    pub fn announce(&mut self, entry: DirectoryEntry, now: ClockTime) -> bool {
        self.accept(entry, AnnouncementSource::Direct, now)
    }

    /// Applies announcements forwarded by another control node.
    pub fn apply_forwarded(&mut self, entries: Vec<DirectoryEntry>, now: ClockTime) {
        for entry in entries {
            self.accept(entry, AnnouncementSource::Forwarded, now);
        }
    }

    /// Applies the departures that were recorded since the last call. Their processes get no new
    /// work, whatever announcements of them arrive.
    pub fn apply_departures(&mut self, departures: &DepartureTable, now: ClockTime) {
        let known = self.departures.last_number();
        for (name, record) in departures.since(known) {
            self.departures.insert(name, record);
            self.end_departed(name, record, now);
        }
    }

    fn end_departed(&mut self, name: &NodeName, departure: DepartureRecord, now: ClockTime) {
        if let Some(record) = self.nodes.get(name) {
            let entry = &record.entry;
            if !matches!(entry.kind, NodeKind::Target(_)) {
                return;
            }
            if entry.incarnation < departure.incarnation {
                // A later process has started under this name, so this one has ended without leaving.
                self.remove(name, now);
            } else if entry.incarnation == departure.incarnation
                && entry.state == NodeState::Serving
            {
                let mut entry = entry.clone();
                entry.state = NodeState::Leaving;
                self.replace_entry(entry);
            }
        } else if let Some(removed) = self.removed.get_mut(name)
            && removed.incarnation == departure.incarnation
        {
            removed.entry.state = NodeState::Leaving;
        }
    }

    /// Takes over the versions at which data centres were brought back. Entries are told at once of the
    /// targets there that have announced themselves since.
    pub fn apply_returns(&mut self, returns: &BTreeMap<DataCentreName, ConfigVersion>) {
        if self.returns == *returns {
            return;
        }
        let old = std::mem::replace(&mut self.returns, returns.clone());
        let is_told = |entry: &DirectoryEntry| {
            let version = self.returns.get(&entry.data_centre);
            version.is_some()
                && version != old.get(&entry.data_centre)
                && self.is_announced_since_return(entry)
        };
        let entries = self.entries().filter(|entry| is_told(entry));
        for entry in entries.cloned().collect::<Vec<_>>() {
            self.replace_entry(entry);
        }
    }

    /// Whether a target has announced itself since its data centre was last brought back.
    fn is_announced_since_return(&self, entry: &DirectoryEntry) -> bool {
        let version = self.returns.get(&entry.data_centre);
        match &entry.kind {
            NodeKind::Target(target) => {
                version.is_none_or(|version| target.accepted_at >= *version)
            }
            NodeKind::Entry | NodeKind::Agent(_) => true,
        }
    }

    /// Nodes whose last direct announcement is later than `since`, to be forwarded.
    ///
    /// Forwarded announcements are left out: two control nodes would otherwise keep refreshing a
    /// dead node for each other.
    pub fn announced_since(&self, since: ClockTime) -> Vec<DirectoryEntry> {
        self.nodes
            .values()
            .filter(|record| record.direct_at.is_some_and(|direct_at| direct_at > since))
            .map(|record| record.entry.clone())
            .collect()
    }

    /// Removes the nodes whose announcements have timed out, and discards removals older than
    /// [`REMOVAL_RETENTION`].
    pub fn tick(&mut self, now: ClockTime) {
        while let Some((expiry, name)) = self.by_expiry.first().cloned() {
            if now < expiry {
                break;
            }
            self.remove(&name, now);
        }
        let listening_since = self.listening_since;
        self.is_settled = listening_since.is_some_and(|since| now.since(since) >= SILENCE_TIMEOUT);
        while let Some((time, name)) = self.by_removal_time.first().cloned() {
            if now.since(time) < REMOVAL_RETENTION {
                break;
            }
            if let Some(removed) = self.discard_removed(&name) {
                self.last_discarded_revision = self.last_discarded_revision.max(removed.revision);
            }
        }
    }

    /// Last entries of removed nodes that had not announced that they were leaving, each with the
    /// time since its last announcement.
    pub fn missing(&self, now: ClockTime) -> impl Iterator<Item = (&DirectoryEntry, Duration)> {
        let removed = self.removed.values();
        removed
            .filter(|node| node.entry.state == NodeState::Serving)
            .map(move |node| (&node.entry, now.since(node.removed_at) + SILENCE_TIMEOUT))
    }

    /// Changes since a revision. Contains the complete directory if `source` is another control
    /// node or an earlier process of this one, or if the revision is too old or unknown.
    pub fn delta_since(&self, source: Incarnation, revision: u64) -> DirectoryDelta {
        let is_known = source == self.source
            && revision >= self.last_discarded_revision
            && revision <= self.revision;
        if !is_known {
            return self.full_delta();
        }
        let names = self.by_revision.range(revision + 1..);
        let (live, removed): (Vec<_>, Vec<_>) = names
            .map(|(_, name)| name)
            .partition(|name| self.nodes.contains_key(*name));
        DirectoryDelta {
            source: self.source,
            revision: self.revision,
            is_complete: false,
            is_settled: self.is_settled,
            changed: live
                .into_iter()
                .map(|name| self.nodes[name].entry.clone())
                .collect(),
            removed: removed.into_iter().cloned().collect(),
        }
    }

    /// Entry of a live node.
    pub fn get(&self, name: &NodeName) -> Option<&DirectoryEntry> {
        self.nodes.get(name).map(|record| &record.entry)
    }

    /// Newest incarnation of a node that is live or was removed recently.
    pub fn last_incarnation(&self, name: &NodeName) -> Option<Incarnation> {
        let live = self.get(name).map(|entry| entry.incarnation);
        live.or_else(|| self.removed.get(name).map(|removed| removed.incarnation))
    }

    /// Entries of all live nodes.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.nodes.values().map(|record| &record.entry)
    }

    /// Revision of the last significant change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn full_delta(&self) -> DirectoryDelta {
        DirectoryDelta {
            source: self.source,
            revision: self.revision,
            is_complete: true,
            is_settled: self.is_settled,
            changed: self.entries().cloned().collect(),
            removed: Vec::new(),
        }
    }

    fn accept(
        &mut self,
        mut entry: DirectoryEntry,
        source: AnnouncementSource,
        now: ClockTime,
    ) -> bool {
        self.tick(now);
        if matches!(entry.kind, NodeKind::Target(_))
            && self.departures.contains(&entry.name, entry.incarnation)
        {
            entry.state = NodeState::Leaving;
        }
        let is_accepted = match self.nodes.get(&entry.name) {
            Some(record) => record.is_replaced_by(&entry, source, now),
            None => self
                .removed
                .get(&entry.name)
                .is_none_or(|removed| removed.is_replaced_by(&entry)),
        };
        if is_accepted {
            self.replace(entry, source, now);
        }
        is_accepted
    }

    fn replace(&mut self, mut entry: DirectoryEntry, source: AnnouncementSource, now: ClockTime) {
        let name = entry.name.clone();
        self.discard_removed(&name);
        if entry.kind == NodeKind::Entry {
            self.listening_since.get_or_insert(now);
        }
        let old = self.nodes.remove(&name);
        let is_same_process = old
            .as_ref()
            .is_some_and(|old| old.entry.incarnation == entry.incarnation);
        if let (true, Some(old)) = (is_same_process, &old) {
            keep_version(&old.entry, &mut entry);
        }
        let is_changed = old.as_ref().is_none_or(|old| {
            is_significant_change(&old.entry, &entry)
                || self.is_announced_since_return(&entry)
                    != self.is_announced_since_return(&old.entry)
        });
        let mut direct_at = match &old {
            Some(old) if is_same_process => old.direct_at,
            _ => None,
        };
        if source == AnnouncementSource::Direct {
            direct_at = Some(now);
        }
        let old_revision = old.as_ref().map_or(0, |old| old.revision);
        if let Some(old) = old {
            let expiry = self.expiry(&old.entry, old.announced_at);
            self.by_expiry.remove(&(expiry, name.clone()));
        }
        let revision = if is_changed {
            self.by_revision.remove(&old_revision);
            self.next_revision(&name)
        } else {
            old_revision
        };
        let expiry = self.expiry(&entry, now);
        self.by_expiry.insert((expiry, name.clone()));
        let record = NodeRecord {
            entry,
            revision,
            announced_at: now,
            direct_at,
        };
        self.nodes.insert(name, record);
    }

    /// Changes the entry of a live node, without an announcement of it.
    fn replace_entry(&mut self, entry: DirectoryEntry) {
        let name = entry.name.clone();
        let revision = self.next_revision(&name);
        if let Some(record) = self.nodes.get_mut(&name) {
            self.by_revision.remove(&record.revision);
            record.revision = revision;
            record.entry = entry;
        }
    }

    fn remove(&mut self, name: &NodeName, now: ClockTime) {
        let Some(record) = self.nodes.remove(name) else {
            return;
        };
        if !self.entries().any(|entry| entry.kind == NodeKind::Entry) {
            // Entries are recorded only while a quorum confirms this node.
            self.listening_since = None;
        }
        let expiry = self.expiry(&record.entry, record.announced_at);
        self.by_expiry.remove(&(expiry, name.clone()));
        self.by_revision.remove(&record.revision);
        let revision = self.next_revision(name);
        let removed = RemovedNode {
            incarnation: record.entry.incarnation,
            entry: record.entry,
            revision,
            removed_at: now,
        };
        self.removed.insert(name.clone(), removed);
        self.by_removal_time.insert((now, name.clone()));
    }

    fn discard_removed(&mut self, name: &NodeName) -> Option<RemovedNode> {
        let removed = self.removed.remove(name)?;
        self.by_removal_time
            .remove(&(removed.removed_at, name.clone()));
        self.by_revision.remove(&removed.revision);
        Some(removed)
    }

    fn next_revision(&mut self, name: &NodeName) -> u64 {
        self.revision += 1;
        self.by_revision.insert(self.revision, name.clone());
        self.revision
    }
}

/// Keeps the version at which an earlier announcement of the process was accepted, if it is newer: the
/// control node that has accepted this one may lag behind.
fn keep_version(old: &DirectoryEntry, new: &mut DirectoryEntry) {
    if let (NodeKind::Target(old), NodeKind::Target(new)) = (&old.kind, &mut new.kind) {
        new.accepted_at = new.accepted_at.max(old.accepted_at);
    }
}
