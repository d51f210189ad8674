//! Entries that send requests, as one of them knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use units::{ClockTime, NodeName};

use crate::limit::EntryPosition;

/// Time after the first list before which none is taken as complete. Entries that start at the same moment
/// list each other after two renewals of 500 ms and a forward between control nodes.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Entries among which rates are divided.
///
/// An entry that is no longer listed may still send requests: until its lease ends, until its planned
/// stop is over, or because only the control node that this entry follows has not heard of it. It counts
/// for a retention time, so that all entries together never exceed a rate because the list shrinks.
#[derive(Debug)]
pub struct EntryRoster {
    own: NodeName,
    retention: Duration,
    /// Other entries, with the time at which each was last listed.
    listed_at: BTreeMap<NodeName, ClockTime>,
    /// Time of the first list.
    first_listed_at: Option<ClockTime>,
    is_settled: bool,
}

impl EntryRoster {
    /// Roster of the entry `own`, which keeps entries for `retention` after they were last listed.
    pub fn new(own: NodeName, retention: Duration) -> Self {
        Self {
            own,
            retention,
            listed_at: BTreeMap::new(),
            first_listed_at: None,
            is_settled: false,
        }
    }

    /// Takes over the entries that the directory lists. `is_settled` tells whether the control node has
    /// listened long enough to have heard of all.
    pub fn sync<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a NodeName>,
        is_settled: bool,
        now: ClockTime,
    ) {
        for name in listed.filter(|name| **name != self.own) {
            match self.listed_at.get_mut(name) {
                Some(listed_at) => *listed_at = now,
                None => {
                    self.listed_at.insert(name.clone(), now);
                }
            }
        }
        let first_listed_at = *self.first_listed_at.get_or_insert(now);
        if !is_settled {
            return;
        }
        let retention = self.retention;
        self.listed_at
            .retain(|_, listed_at| now.since(*listed_at) < retention);
        self.is_settled |= now.since(first_listed_at) >= SETTLE_TIME;
    }

    /// Position of this entry among all that may send requests.
    pub fn position(&self) -> EntryPosition {
        let lower = self.listed_at.range(..&self.own);
        EntryPosition {
            rank: lower.count() as u32,
            count: self.listed_at.len() as u32 + 1,
        }
    }

    /// Whether a control node that knows all entries has listed them. Before that, the position may be
    /// that among far too few.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }
}
