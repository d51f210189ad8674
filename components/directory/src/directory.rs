//! Directory of a control node.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName};
use wire::{DirectoryDelta, DirectoryEntry, NodeKind, NodeState};

use crate::record::{AnnouncementSource, NodeRecord, is_meaningful};

/// Time without announcements after which a node is removed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a removed node is remembered.
///
/// Longer than any announcement is late, so that one of an older incarnation is still recognised.
pub const REMOVED_MEMORY: Duration = Duration::from_secs(60);

/// Node that was removed.
#[derive(Debug, Clone)]
struct RemovedNode {
    incarnation: Incarnation,
    entry: DirectoryEntry,
    revision: u64,
    time: ClockTime,
}

impl RemovedNode {
    /// Whether an announcement is newer than the removal. One of a target that was sent before its
    /// last one may still be on its way.
    fn may_return_as(&self, entry: &DirectoryEntry) -> bool {
        if entry.incarnation != self.incarnation {
            return entry.incarnation > self.incarnation;
        }
        match (&self.entry.kind, &entry.kind) {
            (NodeKind::Target(old), NodeKind::Target(new)) => new.sequence > old.sequence,
            _ => true,
        }
    }
}

/// Live nodes, with a revision for each meaningful change.
#[derive(Debug, Clone)]
pub struct NodeDirectory {
    source: Incarnation,
    revision: u64,
    nodes: BTreeMap<NodeName, NodeRecord>,
    removed: BTreeMap<NodeName, RemovedNode>,
    /// Nodes and removed nodes by the revision of their last change.
    by_revision: BTreeMap<u64, NodeName>,
    by_expiry: BTreeSet<(ClockTime, NodeName)>,
    by_removal: BTreeSet<(ClockTime, NodeName)>,
    /// Largest revision of a removal that is forgotten: older deltas would lack it.
    forgotten: u64,
    /// Time without announcements after which a target without an agent is removed.
    target_silence: Duration,
}

impl NodeDirectory {
    /// Creates an empty directory; `source` is the incarnation of the control node.
    pub fn new(source: Incarnation) -> Self {
        Self {
            source,
            revision: 0,
            nodes: BTreeMap::new(),
            removed: BTreeMap::new(),
            by_revision: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            by_removal: BTreeSet::new(),
            forgotten: 0,
            target_silence: SILENCE_TIMEOUT,
        }
    }

    /// Sets the time without announcements after which a target without an agent is removed.
    pub fn with_target_silence_timeout(self, span: Duration) -> Self {
        Self {
            target_silence: span,
            ..self
        }
    }

    fn expiry(&self, entry: &DirectoryEntry, heard: ClockTime) -> ClockTime {
        match entry.kind {
            NodeKind::Target(_) => heard + self.target_silence,
            NodeKind::Entry | NodeKind::Agent(_) => heard + SILENCE_TIMEOUT,
        }
    }

    /// Takes in the announcement of a node itself; returns whether it was accepted.
    pub fn announce(&mut self, entry: DirectoryEntry, now: ClockTime) -> bool {
        self.accept(entry, AnnouncementSource::Direct, now)
    }

    /// Takes in announcements that another control node has passed on.
    pub fn apply_forwarded(&mut self, entries: Vec<DirectoryEntry>, now: ClockTime) {
        for entry in entries {
            self.accept(entry, AnnouncementSource::PassedOn, now);
        }
    }

    /// Nodes that have announced themselves here after `since`, to be passed on.
    ///
    /// What was passed on to this node is not among them: two control nodes would otherwise keep a
    /// dead node alive for each other.
    pub fn announced_since(&self, since: ClockTime) -> Vec<DirectoryEntry> {
        self.nodes
            .values()
            .filter(|record| record.direct.is_some_and(|direct| direct > since))
            .map(|record| record.entry.clone())
            .collect()
    }

    /// Removes silent nodes.
    pub fn tick(&mut self, now: ClockTime) {
        while let Some((expiry, name)) = self.by_expiry.first().cloned() {
            if now < expiry {
                break;
            }
            self.remove(&name, now);
        }
        while let Some((time, name)) = self.by_removal.first().cloned() {
            if now.since(time) < REMOVED_MEMORY {
                break;
            }
            if let Some(removed) = self.forget_removed(&name) {
                self.forgotten = self.forgotten.max(removed.revision);
            }
        }
    }

    /// Nodes that fell silent without leaving, as they announced themselves last, and for how long
    /// they have been silent.
    pub fn missing(&self, now: ClockTime) -> impl Iterator<Item = (&DirectoryEntry, Duration)> {
        let removed = self.removed.values();
        removed
            .filter(|node| node.entry.state == NodeState::Serving)
            .map(move |node| (&node.entry, now.since(node.time) + SILENCE_TIMEOUT))
    }

    /// Changes since a revision; the whole directory if the source differs or the revision is not
    /// known any more.
    pub fn delta_since(&self, source: Incarnation, revision: u64) -> DirectoryDelta {
        let is_known =
            source == self.source && revision >= self.forgotten && revision <= self.revision;
        if !is_known {
            return self.whole();
        }
        let names = self.by_revision.range(revision + 1..);
        let (live, removed): (Vec<_>, Vec<_>) = names
            .map(|(_, name)| name)
            .partition(|name| self.nodes.contains_key(*name));
        DirectoryDelta {
            source: self.source,
            revision: self.revision,
            whole: false,
            changed: live
                .into_iter()
                .map(|name| self.nodes[name].entry.clone())
                .collect(),
            removed: removed.into_iter().cloned().collect(),
        }
    }

    /// The live node of a name.
    pub fn get(&self, name: &NodeName) -> Option<&DirectoryEntry> {
        self.nodes.get(name).map(|record| &record.entry)
    }

    /// All live nodes.
    pub fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.nodes.values().map(|record| &record.entry)
    }

    /// Revision of the last meaningful change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn whole(&self) -> DirectoryDelta {
        DirectoryDelta {
            source: self.source,
            revision: self.revision,
            whole: true,
            changed: self.entries().cloned().collect(),
            removed: Vec::new(),
        }
    }

    fn accept(
        &mut self,
        entry: DirectoryEntry,
        source: AnnouncementSource,
        now: ClockTime,
    ) -> bool {
        self.tick(now);
        let is_accepted = match self.nodes.get(&entry.name) {
            Some(record) => record.is_replaced_by(&entry, source, now),
            None => self
                .removed
                .get(&entry.name)
                .is_none_or(|removed| removed.may_return_as(&entry)),
        };
        if is_accepted {
            self.replace(entry, source, now);
        }
        is_accepted
    }

    fn replace(&mut self, entry: DirectoryEntry, source: AnnouncementSource, now: ClockTime) {
        let name = entry.name.clone();
        self.forget_removed(&name);
        let old = self.nodes.remove(&name);
        let is_changed = old
            .as_ref()
            .is_none_or(|old| is_meaningful(&old.entry, &entry));
        let is_same_process = old
            .as_ref()
            .is_some_and(|old| old.entry.incarnation == entry.incarnation);
        let mut direct = match &old {
            Some(old) if is_same_process => old.direct,
            _ => None,
        };
        if source == AnnouncementSource::Direct {
            direct = Some(now);
        }
        let old_revision = old.as_ref().map_or(0, |old| old.revision);
        if let Some(old) = old {
            let expiry = self.expiry(&old.entry, old.heard);
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
            heard: now,
            direct,
        };
        self.nodes.insert(name, record);
    }

    fn remove(&mut self, name: &NodeName, now: ClockTime) {
        let Some(record) = self.nodes.remove(name) else {
            return;
        };
        let expiry = self.expiry(&record.entry, record.heard);
        self.by_expiry.remove(&(expiry, name.clone()));
        self.by_revision.remove(&record.revision);
        let revision = self.next_revision(name);
        let removed = RemovedNode {
            incarnation: record.entry.incarnation,
            entry: record.entry,
            revision,
            time: now,
        };
        self.removed.insert(name.clone(), removed);
        self.by_removal.insert((now, name.clone()));
    }

    fn forget_removed(&mut self, name: &NodeName) -> Option<RemovedNode> {
        let removed = self.removed.remove(name)?;
        self.by_removal.remove(&(removed.time, name.clone()));
        self.by_revision.remove(&removed.revision);
        Some(removed)
    }

    fn next_revision(&mut self, name: &NodeName) -> u64 {
        self.revision += 1;
        self.by_revision.insert(self.revision, name.clone());
        self.revision
    }
}
