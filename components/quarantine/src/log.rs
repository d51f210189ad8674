//! Crashes that an entry has observed.

use std::collections::BTreeMap;

use units::{ClockTime, Incarnation, NodeName};
use wire::{FlowId, RequestTrait};

use crate::CRASH_RETENTION;

/// Maximum number of crashes that an entry keeps.
const MAX_CRASHES: usize = 64;

/// Maximum number of suspects of one crash.
const MAX_SUSPECTS: usize = 64;

/// Process of a target whose connections broke.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndedTarget {
    /// Name of the target.
    pub name: NodeName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Request whose connection broke before its response was complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRequest {
    /// Organisation and service of the request.
    pub flow: FlowId,
    /// Time at which the request was sent to the target.
    pub sent_at: ClockTime,
    /// Traits of the request.
    pub traits: Vec<RequestTrait>,
}

/// Broken requests of one process of a target.
#[derive(Debug, Clone)]
struct BreakRecord {
    at: ClockTime,
    suspects: Vec<BrokenRequest>,
}

/// Crashes of targets that one entry has observed.
#[derive(Debug, Clone, Default)]
pub struct CrashLog {
    breaks: BTreeMap<EndedTarget, BreakRecord>,
}

impl CrashLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request whose connection broke. Returns whether it is the first one at this
    /// process of the target; the caller then finds out whether the process has ended.
    pub fn record_break(
        &mut self,
        target: &EndedTarget,
        request: BrokenRequest,
        now: ClockTime,
    ) -> bool {
        self.breaks
            .retain(|_, record| now.since(record.at) < CRASH_RETENTION);
        if let Some(record) = self.breaks.get_mut(target) {
            if record.suspects.len() < MAX_SUSPECTS {
                record.suspects.push(request);
            }
            return false;
        }
        if self.breaks.len() >= MAX_CRASHES {
            let oldest = self.breaks.iter().min_by_key(|(_, record)| record.at);
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                self.breaks.remove(&oldest);
            }
        }
        let record = BreakRecord {
            at: now,
            suspects: vec![request],
        };
        self.breaks.insert(target.clone(), record);
        true
    }

    /// Records whether the process of a target has ended. Broken requests of a process that still
    /// runs are no evidence. Returns the suspects of a crash.
    pub fn resolve_break(&mut self, target: &EndedTarget, has_ended: bool) -> &[BrokenRequest] {
        if !has_ended {
            self.breaks.remove(target);
        }
        let record = self.breaks.get(target);
        record.map_or(&[], |record| &record.suspects)
    }
}
