//! Order of what several control nodes tell of the same process.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, NodeName};
use wire::{DirectoryEntry, NodeKind, NodeState};

/// Time for which a process is remembered that is no longer listed, and for which an older state of a
/// process is not taken over. Control nodes keep removed nodes as long, so that an entry does not refuse
/// for good what control accepts, for example a target whose clock was set back.
const RETENTION: Duration = Duration::from_secs(60);

/// State of a process in the directory of the control node that a node follows, older than what the node
/// knows.
#[derive(Debug, Clone, Copy)]
struct OlderState {
    since: ClockTime,
    /// Whether the control node has to be asked for its complete directory. It tells of an announcement
    /// only if that changes its own directory.
    is_sequence: bool,
}

/// Processes that the current directory lacks or lists with an older state.
///
/// Control nodes hear of announcements at different times. With it, what a node knows of a process never
/// goes back when it follows another control node.
#[derive(Debug, Clone, Default)]
pub struct ProcessHistory {
    /// Last known state of processes that are not listed, and the time since which they are not.
    unlisted: BTreeMap<NodeName, (DirectoryEntry, ClockTime)>,
    /// Nodes whose listed state is older than the known one.
    older: BTreeMap<NodeName, OlderState>,
}

impl ProcessHistory {
    /// Whether a listed announcement is older than the known one.
    pub(crate) fn has_older_announcements(&self) -> bool {
        self.older.values().any(|older| older.is_sequence)
    }

    /// Remembers a process that is no longer listed.
    pub(crate) fn record_unlisted(&mut self, entry: DirectoryEntry, now: ClockTime) {
        self.older.remove(&entry.name);
        self.unlisted.insert(entry.name.clone(), (entry, now));
    }

    /// Forgets processes that have not been listed for a while. `directory` is the current one.
    pub(crate) fn discard_expired(
        &mut self,
        directory: &BTreeMap<NodeName, DirectoryEntry>,
        now: ClockTime,
    ) {
        self.unlisted
            .retain(|_, (_, since)| now.since(*since) < RETENTION);
        let unlisted = &self.unlisted;
        self.older
            .retain(|name, _| directory.contains_key(name) || unlisted.contains_key(name));
    }

    /// State of a process after a control node has listed it; `None` if a later process under its name
    /// is no longer listed. `known` is the state in the directory before.
    pub(crate) fn newest(
        &mut self,
        known: Option<DirectoryEntry>,
        listed: DirectoryEntry,
        now: ClockTime,
    ) -> Option<DirectoryEntry> {
        let unlisted = match known {
            Some(_) => None,
            None => self.unlisted.remove(&listed.name),
        };
        let is_listed = known.is_some();
        let unlisted_since = unlisted.as_ref().map(|(_, since)| *since);
        let Some(known) = known.or(unlisted.map(|(entry, _)| entry)) else {
            self.older.remove(&listed.name);
            return Some(listed);
        };
        let order = compare(&known, &listed);
        // A process that leaves does not serve again.
        let returns = known.incarnation == listed.incarnation
            && known.state == NodeState::Leaving
            && listed.state == NodeState::Serving;
        if order != Ordering::Greater && !returns {
            self.older.remove(&listed.name);
            return Some(listed);
        }
        let is_sequence = order == Ordering::Greater && known.incarnation == listed.incarnation;
        let older = self.older.entry(listed.name.clone());
        let older = older.or_insert(OlderState {
            since: now,
            is_sequence,
        });
        older.is_sequence = is_sequence;
        if now.since(older.since) >= RETENTION {
            self.older.remove(&listed.name);
            return Some(listed);
        }
        if known.incarnation > listed.incarnation {
            if let (false, Some(since)) = (is_listed, unlisted_since) {
                self.unlisted.insert(known.name.clone(), (known, since));
                return None;
            }
            return Some(known);
        }
        let is_leaving = returns || listed.state == NodeState::Leaving;
        let mut newest = match order {
            Ordering::Greater => known,
            _ => listed,
        };
        if is_leaving {
            newest.state = NodeState::Leaving;
        }
        Some(newest)
    }
}

/// Order of two states of a node. Announcements of targets carry a sequence number; those of one process
/// of another node are not told apart.
fn compare(known: &DirectoryEntry, listed: &DirectoryEntry) -> Ordering {
    let by_process = known.incarnation.cmp(&listed.incarnation);
    match (&known.kind, &listed.kind) {
        (NodeKind::Target(known), NodeKind::Target(listed)) => {
            by_process.then(known.sequence.cmp(&listed.sequence))
        }
        _ => by_process,
    }
}
