//! Prefix cache with least-recently-used eviction, and the log of its events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Maximum number of events that are kept for readers; older ones are discarded.
const MAX_EVENTS: usize = 1024;

/// Cached prefixes; the most recently used one is at the back.
pub(crate) struct PrefixCache {
    max_prefixes: usize,
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
    pub(crate) fn new(max_prefixes: usize) -> Self {
        Self {
            max_prefixes,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            next_number: 1,
        }
    }

    /// Marks a prefix as used, stores it if it is missing, and returns whether it was cached.
    pub(crate) fn touch(&mut self, prefix: u64) -> bool {
        let position = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(position) = position {
            self.prefixes.remove(position);
        } else {
            self.push_event("stored", prefix);
        }
        self.prefixes.push_back(prefix);
        while self.prefixes.len() > self.max_prefixes {
            if let Some(evicted) = self.prefixes.pop_front() {
                self.push_event("evicted", evicted);
            }
        }
        position.is_some()
    }

    /// Clears the cache without events: an engine that restarts does not report its lost prefixes.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Returns the events with numbers above `since` that are at least `min_age` old. Events whose
    /// number is a multiple of `drop_interval` are left out; 0 leaves out none.
    pub(crate) fn events(&self, since: u64, min_age: Duration, drop_interval: u64) -> Vec<Value> {
        self.events
            .iter()
            .filter(|event| event.number > since && event.time.elapsed() >= min_age)
            .filter(|event| drop_interval == 0 || event.number % drop_interval != 0)
            .map(|event| {
                json!({"number": event.number, "kind": event.kind, "prefix": format!("{:016x}", event.prefix)})
            })
            .collect()
    }

    fn push_event(&mut self, kind: &'static str, prefix: u64) {
        self.events.push_back(CacheEvent {
            number: self.next_number,
            kind,
            prefix,
            time: Instant::now(),
        });
        self.next_number += 1;
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
