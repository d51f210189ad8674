//! Directory of entries and agents, kept from their renewals.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, Incarnation, NodeName};
use wire::{DirectoryDelta, DirectoryEntry};

/// Time without a renewal after which a node is gone: five renewals, as long as a lease.
const NODE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Removed nodes that are remembered for deltas; a receiver that is further behind gets the whole.
const MAX_REMOVED: usize = 4_096;

#[derive(Debug)]
struct LiveNode {
    entry: DirectoryEntry,
    seen: ClockTime,
    revision: u64,
}

/// Live nodes and the revisions of their changes.
#[derive(Debug)]
pub(crate) struct NodeTable {
    source: Incarnation,
    revision: u64,
    nodes: BTreeMap<NodeName, LiveNode>,
    removed: BTreeMap<u64, NodeName>,
    /// Deltas start at this revision or later.
    oldest: u64,
    /// Own renewals since the last batch to the other control nodes.
    unsent: BTreeMap<NodeName, DirectoryEntry>,
}

impl NodeTable {
    pub(crate) fn new(source: Incarnation) -> Self {
        Self {
            source,
            revision: 0,
            nodes: BTreeMap::new(),
            removed: BTreeMap::new(),
            oldest: 0,
            unsent: BTreeMap::new(),
        }
    }

    /// Takes a node's own renewal, which is passed on to the other control nodes.
    pub(crate) fn renewed(&mut self, entry: DirectoryEntry, now: ClockTime) {
        self.unsent.insert(entry.name.clone(), entry.clone());
        self.announced(entry, now);
    }

    /// Takes an announcement that another control node passed on. One of an older process of the
    /// same name is passed over.
    pub(crate) fn announced(&mut self, entry: DirectoryEntry, now: ClockTime) {
        let known = self.nodes.get(&entry.name);
        if known.is_some_and(|known| known.entry.incarnation > entry.incarnation) {
            return;
        }
        let revision = match known {
            Some(known) if known.entry == entry => known.revision,
            _ => {
                self.revision += 1;
                self.revision
            }
        };
        let node = LiveNode {
            entry,
            seen: now,
            revision,
        };
        self.nodes.insert(node.entry.name.clone(), node);
    }

    /// Removes nodes that have not renewed in time.
    pub(crate) fn expire(&mut self, now: ClockTime) {
        let late = |node: &LiveNode| now.since(node.seen) > NODE_TIMEOUT;
        let gone: Vec<NodeName> = self
            .nodes
            .iter()
            .filter(|(_, node)| late(node))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.nodes.remove(&name);
            self.revision += 1;
            self.removed.insert(self.revision, name);
        }
        while self.removed.len() > MAX_REMOVED
            && let Some((revision, _)) = self.removed.pop_first()
        {
            self.oldest = revision;
        }
    }

    /// What has changed since a receiver's revision.
    pub(crate) fn delta(&self, known: (Incarnation, u64)) -> DirectoryDelta {
        let (source, since) = known;
        let whole = source != self.source || since < self.oldest || since > self.revision;
        let since = if whole { 0 } else { since };
        let changed = self.nodes.values().filter(|node| node.revision > since);
        let removed = self.removed.range(since + 1..).map(|(_, name)| name);
        DirectoryDelta {
            source: self.source,
            revision: self.revision,
            whole,
            changed: changed.map(|node| node.entry.clone()).collect(),
            removed: removed
                .filter(|name| !whole && !self.nodes.contains_key(*name))
                .cloned()
                .collect(),
        }
    }

    /// The renewals since the last batch.
    pub(crate) fn take_unsent(&mut self) -> Vec<DirectoryEntry> {
        std::mem::take(&mut self.unsent).into_values().collect()
    }

    /// All live nodes.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.nodes.values().map(|node| &node.entry)
    }
}
