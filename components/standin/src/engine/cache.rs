//! Prefix cache of limited size, and its events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Cache events that are kept.
const EVENT_LIMIT: usize = 1024;

/// Prefixes in order of use, the last used at the back.
pub(crate) struct PrefixCache {
    limit: usize,
    prefixes: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    next_number: u64,
}

struct CacheEvent {
    number: u64,
    kind: &'static str,
    prefix: u64,
    time: Instant,
}

impl PrefixCache {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            next_number: 1,
        }
    }

    /// Uses a prefix; says whether it was cached.
    pub(crate) fn touch(&mut self, prefix: u64) -> bool {
        let place = self.prefixes.iter().position(|held| *held == prefix);
        if let Some(place) = place {
            self.prefixes.remove(place);
        } else {
            self.note("stored", prefix);
        }
        self.prefixes.push_back(prefix);
        while self.prefixes.len() > self.limit {
            if let Some(evicted) = self.prefixes.pop_front() {
                self.note("evicted", evicted);
            }
        }
        place.is_some()
    }

    /// Empties the cache without an event, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Events after a number that are at least `lag` old, without each `gap`-th.
    pub(crate) fn events(&self, since: u64, lag: Duration, gap: u64) -> Vec<Value> {
        self.events
            .iter()
            .filter(|event| event.number > since && event.time.elapsed() >= lag)
            .filter(|event| gap == 0 || event.number % gap != 0)
            .map(|event| {
                json!({"number": event.number, "kind": event.kind, "prefix": format!("{:016x}", event.prefix)})
            })
            .collect()
    }

    fn note(&mut self, kind: &'static str, prefix: u64) {
        self.events.push_back(CacheEvent {
            number: self.next_number,
            kind,
            prefix,
            time: Instant::now(),
        });
        self.next_number += 1;
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
