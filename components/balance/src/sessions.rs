//! Targets that last got a request of each session.

use std::collections::HashMap;

/// Number of sessions in one generation. Two generations take about 100 KB.
const GENERATION_SIZE: usize = 2_048;

/// Targets to which this entry last sent the most recent sessions.
#[derive(Debug, Clone, Default)]
pub struct SessionTargets {
    recent: HashMap<u64, u64>,
    older: HashMap<u64, u64>,
}

impl SessionTargets {
    /// Hash of the target that last got a request of a session; `None` if the session is not among the
    /// most recent ones.
    pub fn get(&self, session: u64) -> Option<u64> {
        let target = self.recent.get(&session);
        target.or_else(|| self.older.get(&session)).copied()
    }

    /// Records that a target gets a request of a session.
    pub fn record(&mut self, session: u64, target: u64) {
        if self.recent.len() >= GENERATION_SIZE && !self.recent.contains_key(&session) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(session, target);
    }
}
