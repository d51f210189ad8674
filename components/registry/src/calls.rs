//! Records of calls that may not be repeated.

use std::collections::{BTreeMap, BTreeSet};

use units::{Incarnation, NodeName, RequestId};
use wire::{BeginCall, BeginOutcome, CallKey, CallOutcome, EndCall};

use crate::command::WallTime;
use crate::state::RegistryLimits;

/// Largest body of a response that is kept, in bytes.
pub const MAX_STORED_BODY: usize = 8 << 10;

/// Bytes of all kept responses together. Beyond it only the outcome of a call is kept, so that
/// 200,000 records do not need 1.6 GB of memory and snapshot.
pub const MAX_STORED_TOTAL: usize = 64 << 20;

/// Spent attempts of a key that are remembered. A command would have to be more attempts late than
/// this to be taken for a new one.
const MAX_SPENT: usize = 64;

units::data! {
    /// Record of a call.
    pub struct CallRecord {
        /// SHA-256 of method, path and body.
        pub body_hash: [u8; 32],
        /// The attempt that holds the key.
        pub request: RequestId,
        /// The one agent that may run it.
        pub agent: NodeName,
        /// Start of the agent's process.
        pub incarnation: Incarnation,
        /// Outcome, once it has ended.
        pub outcome: Option<CallOutcome>,
        /// Earlier attempts that ended as not run, oldest first. They are never granted again.
        pub spent: Vec<RequestId>,
        /// Time of the last change; the record is kept for the retention from then on.
        pub changed: WallTime,
    }

    /// All records.
    #[derive(Default)]
    pub(crate) struct CallTable {
        records: BTreeMap<CallKey, CallRecord>,
        /// Records by their last change. Rebuilt from `records` when a snapshot is restored.
        #[serde(skip)]
        ages: BTreeSet<(WallTime, CallKey)>,
        stored: usize,
    }
}

impl CallTable {
    /// Rebuilds what a snapshot does not contain.
    pub(crate) fn rebuild(&mut self) {
        let ages = self.records.iter();
        self.ages = ages
            .map(|(key, record)| (record.changed, key.clone()))
            .collect();
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn get(&self, key: &CallKey) -> Option<&CallRecord> {
        self.records.get(key)
    }

    /// Forgets the records whose retention is over.
    pub(crate) fn expire(&mut self, now: WallTime, limits: &RegistryLimits) {
        let horizon = now.0.saturating_sub(limits.retention_ms);
        while let Some((changed, key)) = self.ages.first()
            && changed.0 < horizon
        {
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// Gives the key to an attempt, or tells who has it.
    pub(crate) fn begin(
        &mut self,
        begin: &BeginCall,
        now: WallTime,
        limits: &RegistryLimits,
    ) -> BeginOutcome {
        if let Some(record) = self.records.get(&begin.call)
            && let Some(outcome) = held(record, begin)
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
            spent: self.spent(&begin.call),
            changed: now,
        };
        self.insert(begin.call.clone(), record);
        BeginOutcome::Granted
    }

    /// The attempts of a key that have ended as not run, the last one included.
    fn spent(&self, key: &CallKey) -> Vec<RequestId> {
        let Some(record) = self.records.get(key) else {
            return Vec::new();
        };
        let mut spent = record.spent.clone();
        spent.push(record.request);
        if spent.len() > MAX_SPENT {
            spent.remove(0);
        }
        spent
    }

    /// Records the outcome of an attempt. The first outcome stays, but for `Unknown`, which a later
    /// report of the agent may resolve.
    pub(crate) fn end(&mut self, end: &EndCall, now: WallTime) {
        let Some(record) = self.records.get(&end.call) else {
            return;
        };
        let open = matches!(record.outcome, None | Some(CallOutcome::Unknown));
        if record.request != end.request || !open {
            return;
        }
        let outcome = self.kept(&end.outcome);
        let record = CallRecord {
            outcome: Some(outcome),
            changed: now,
            ..record.clone()
        };
        self.insert(end.call.clone(), record);
    }

    /// The outcome without a response that is too large to keep.
    fn kept(&self, outcome: &CallOutcome) -> CallOutcome {
        let size = stored_size(outcome);
        let fits = match outcome {
            CallOutcome::Ran(Some(response)) => response.body.len() <= MAX_STORED_BODY,
            _ => true,
        };
        if fits && self.stored + size <= MAX_STORED_TOTAL {
            outcome.clone()
        } else {
            CallOutcome::Ran(None)
        }
    }

    fn insert(&mut self, key: CallKey, record: CallRecord) {
        self.remove(&key);
        self.stored += record.outcome.as_ref().map_or(0, stored_size);
        self.ages.insert((record.changed, key.clone()));
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &CallKey) {
        if let Some(record) = self.records.remove(key) {
            self.stored -= record.outcome.as_ref().map_or(0, stored_size);
            self.ages.remove(&(record.changed, key.clone()));
        }
    }
}

/// Reply to an attempt whose key has a record; none if the attempt may take the key over.
fn held(record: &CallRecord, begin: &BeginCall) -> Option<BeginOutcome> {
    let same_attempt = record.request == begin.request;
    let not_run = record.outcome == Some(CallOutcome::NotRun);
    if record.spent.contains(&begin.request) || (not_run && same_attempt) {
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

/// Bytes of the response in an outcome.
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
