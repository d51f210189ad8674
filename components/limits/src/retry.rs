//! Retry budgets of flows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::ClockTime;
use wire::FlowKey;

/// Requests that pay for one retry: retries stay at 10% of the requests.
const REQUESTS_FOR_RETRY: u32 = 10;

/// Largest credit of a flow, in requests, so that a quiet time saves up no burst of retries.
const MOST_CREDIT: u32 = 100;

/// Credit of a flow that is new, in requests: a flow with little traffic may retry once.
const FIRST_CREDIT: u32 = 10;

/// Time after which a flow without requests is forgotten.
pub const RETRY_RETENTION: Duration = Duration::from_secs(60);

/// Credit of one flow.
#[derive(Debug, Clone)]
struct FlowCredit {
    /// Credit in requests.
    credit: u32,
    used: ClockTime,
}

/// Bounds retries to a tenth of the requests of each flow.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    flows: BTreeMap<FlowKey, FlowCredit>,
    by_use: BTreeSet<(ClockTime, FlowKey)>,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a first attempt of a request.
    pub fn record_request(&mut self, flow: &FlowKey, now: ClockTime) {
        let record = self.touch(flow, now);
        record.credit = (record.credit + 1).min(MOST_CREDIT);
    }

    /// Takes one retry from the budget; false if there is none left.
    pub fn try_retry(&mut self, flow: &FlowKey, now: ClockTime) -> bool {
        let record = self.touch(flow, now);
        if record.credit < REQUESTS_FOR_RETRY {
            return false;
        }
        record.credit -= REQUESTS_FOR_RETRY;
        true
    }

    /// Number of flows that are remembered.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow is remembered.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    fn touch(&mut self, flow: &FlowKey, now: ClockTime) -> &mut FlowCredit {
        self.forget_unused(now);
        let record = self.flows.entry(flow.clone()).or_insert(FlowCredit {
            credit: FIRST_CREDIT,
            used: now,
        });
        self.by_use.remove(&(record.used, flow.clone()));
        record.used = record.used.max(now);
        self.by_use.insert((record.used, flow.clone()));
        record
    }

    fn forget_unused(&mut self, now: ClockTime) {
        while let Some((used, flow)) = self.by_use.first().cloned() {
            if now.since(used) < RETRY_RETENTION {
                break;
            }
            self.by_use.pop_first();
            self.flows.remove(&flow);
        }
    }
}
