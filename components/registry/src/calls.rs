//! Records of the calls that may not be repeated.

use std::collections::{BTreeMap, BTreeSet};

use units::{Incarnation, NodeName, RequestId};
use wire::{BeginCall, BeginOutcome, CallKey, CallOutcome, EndCall};

use crate::command::WallTime;
use crate::state::RegistryLimits;

/// Maximum size of a response body that is stored.
pub const MAX_STORED_BODY_BYTES: usize = 8 << 10;

/// Maximum size of all stored responses together. Beyond it, outcomes are stored without their
/// responses; otherwise 200,000 records would need 1.6 GB in memory and in each snapshot.
pub const MAX_STORED_TOTAL_BYTES: usize = 64 << 20;

/// Maximum number of attempts stored for each key that ended as not run. A late command is mistaken
/// for a new attempt only if more attempts than this have ended in the meantime.
const MAX_NOT_RUN_ATTEMPTS: usize = 64;

units::data! {
    /// Record of a call.
    pub struct CallRecord {
        /// SHA-256 of method, path and body.
        pub body_hash: [u8; 32],
        /// Current attempt of the call.
        pub request: RequestId,
        /// Only agent that may run the attempt.
        pub agent: NodeName,
        /// Incarnation of that agent's process.
        pub incarnation: Incarnation,
        /// Outcome of the attempt; `None` until it has ended.
        pub outcome: Option<CallOutcome>,
        /// Earlier attempts that ended as not run, oldest first. They are never granted again.
        pub not_run_attempts: Vec<RequestId>,
        /// Time of the last change, at which the retention time starts.
        pub changed_at: WallTime,
    }

    /// All call records.
    #[derive(Default)]
    pub(crate) struct CallTable {
        records: BTreeMap<CallKey, CallRecord>,
        /// Keys by the time of their last change; rebuilt from `records` after a snapshot is
        /// restored.
        #[serde(skip)]
        by_change_time: BTreeSet<(WallTime, CallKey)>,
        stored_bytes: usize,
    }
}

impl CallTable {
    /// Rebuilds the index by change time, which snapshots do not contain.
    pub(crate) fn rebuild(&mut self) {
        let records = self.records.iter();
        self.by_change_time = records
            .map(|(key, record)| (record.changed_at, key.clone()))
            .collect();
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn get(&self, key: &CallKey) -> Option<&CallRecord> {
        self.records.get(key)
    }

    /// Removes the records that have not changed for the retention time.
    pub(crate) fn expire(&mut self, now: WallTime, limits: &RegistryLimits) {
        let cutoff = now.0.saturating_sub(limits.retention_ms);
        while let Some((changed_at, key)) = self.by_change_time.first()
            && changed_at.0 < cutoff
        {
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// Grants the key to an attempt, or returns the reason why it may not run.
    pub(crate) fn begin(
        &mut self,
        begin: &BeginCall,
        now: WallTime,
        limits: &RegistryLimits,
    ) -> BeginOutcome {
        if let Some(record) = self.records.get(&begin.call)
            && let Some(outcome) = existing_outcome(record, begin)
        {
            return outcome;
        }
        if !self.records.contains_key(&begin.call) && self.records.len() >= limits.max_calls {
            return BeginOutcome::Full;
        }
        let record = CallRecord {
            body_hash: begin.body_hash,
            request: begin.request,
            agent: begin.agent.clone(),
            incarnation: begin.incarnation,
            outcome: None,
            not_run_attempts: self.not_run_attempts(&begin.call),
            changed_at: now,
        };
        self.insert(begin.call.clone(), record);
        BeginOutcome::Granted
    }

    /// Attempts of a key that ended as not run, including the current one of its record.
    fn not_run_attempts(&self, key: &CallKey) -> Vec<RequestId> {
        let Some(record) = self.records.get(key) else {
            return Vec::new();
        };
        let mut not_run_attempts = record.not_run_attempts.clone();
        not_run_attempts.push(record.request);
        if not_run_attempts.len() > MAX_NOT_RUN_ATTEMPTS {
            not_run_attempts.remove(0);
        }
        not_run_attempts
    }

    /// Records the outcome of an attempt. The first outcome is final, except for `Unknown`, which a
    /// later report of the agent may replace.
    pub(crate) fn end(&mut self, end: &EndCall, now: WallTime) {
        let Some(record) = self.records.get(&end.call) else {
            return;
        };
        let is_open = matches!(record.outcome, None | Some(CallOutcome::Unknown));
        if record.request != end.request || !is_open {
            return;
        }
        let outcome = self.storable_outcome(&end.outcome);
        let record = CallRecord {
            outcome: Some(outcome),
            changed_at: now,
            ..record.clone()
        };
        self.insert(end.call.clone(), record);
    }

    /// Outcome to store, without its response if that is too large to store.
    fn storable_outcome(&self, outcome: &CallOutcome) -> CallOutcome {
        let size = stored_size(outcome);
        let is_small_enough = match outcome {
            CallOutcome::Ran(Some(response)) => response.body.len() <= MAX_STORED_BODY_BYTES,
            _ => true,
        };
        if is_small_enough && self.stored_bytes + size <= MAX_STORED_TOTAL_BYTES {
            outcome.clone()
        } else {
            CallOutcome::Ran(None)
        }
    }

    fn insert(&mut self, key: CallKey, record: CallRecord) {
        self.remove(&key);
        self.stored_bytes += record.outcome.as_ref().map_or(0, stored_size);
        self.by_change_time.insert((record.changed_at, key.clone()));
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &CallKey) {
        if let Some(record) = self.records.remove(key) {
            self.stored_bytes -= record.outcome.as_ref().map_or(0, stored_size);
            self.by_change_time
                .remove(&(record.changed_at, key.clone()));
        }
    }
}

/// Reply to an attempt whose key already has a record; `None` if the attempt may replace it.
fn existing_outcome(record: &CallRecord, begin: &BeginCall) -> Option<BeginOutcome> {
    let same_attempt = record.request == begin.request;
    let not_run = record.outcome == Some(CallOutcome::NotRun);
    if record.not_run_attempts.contains(&begin.request) || (not_run && same_attempt) {
        return Some(BeginOutcome::Ended(CallOutcome::NotRun));
    }
    if not_run {
        return None;
    }
    if record.body_hash != begin.body_hash {
        return Some(BeginOutcome::Mismatch);
    }
    if let Some(outcome) = &record.outcome {
        return Some(BeginOutcome::Ended(outcome.clone()));
    }
    let same_agent = record.agent == begin.agent && record.incarnation == begin.incarnation;
    if same_attempt && same_agent {
        return Some(BeginOutcome::Granted);
    }
    Some(BeginOutcome::InProgress {
        request: record.request,
        agent: record.agent.clone(),
        incarnation: record.incarnation,
    })
}

/// Size of the headers and the body of the response in an outcome, in bytes.
fn stored_size(outcome: &CallOutcome) -> usize {
    let CallOutcome::Ran(Some(response)) = outcome else {
        return 0;
    };
    let headers = response.head.headers.iter();
    let head: usize = headers
        .map(|field| field.name.len() + field.value.len())
        .sum();
    head + response.body.len()
}
