//! Retry budgets of flows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use units::ClockTime;
use wire::FlowKey;

/// Number of requests that allow one retry, so that retries stay within 10% of the requests.
const REQUESTS_PER_RETRY: u32 = 10;

/// Maximum credit of a flow, in requests. It bounds the burst of retries after a quiet period.
const MAX_CREDIT: u32 = 100;

/// Credit of a new flow, in requests. A flow with little traffic may retry once.
const INITIAL_CREDIT: u32 = 10;

/// Time after which a flow without requests is evicted.
pub const RETRY_RETENTION: Duration = Duration::from_secs(60);

/// Credit of one flow.
#[derive(Debug, Clone)]
struct FlowCredit {
    /// Credit in requests.
    requests: u32,
    last_used: ClockTime,
}

/// Bounds the retries of each flow to a tenth of its requests.
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

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, flow: &FlowKey, now: ClockTime) {
        let credit = self.touch(flow, now);
        credit.requests = (credit.requests + 1).min(MAX_CREDIT);
    }

    /// Deducts one retry from the budget; returns false if none is left.
    pub fn try_retry(&mut self, flow: &FlowKey, now: ClockTime) -> bool {
        let credit = self.touch(flow, now);
        if credit.requests < REQUESTS_PER_RETRY {
            return false;
        }
        credit.requests -= REQUESTS_PER_RETRY;
        true
    }

    /// Number of flows in the budget.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether the budget has no flows.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    fn touch(&mut self, flow: &FlowKey, now: ClockTime) -> &mut FlowCredit {
        self.evict_unused(now);
        let credit = self.flows.entry(flow.clone()).or_insert(FlowCredit {
            requests: INITIAL_CREDIT,
            last_used: now,
        });
        self.by_use.remove(&(credit.last_used, flow.clone()));
        credit.last_used = credit.last_used.max(now);
        self.by_use.insert((credit.last_used, flow.clone()));
        credit
    }

    fn evict_unused(&mut self, now: ClockTime) {
        while let Some((last_used, flow)) = self.by_use.first().cloned() {
            if now.since(last_used) < RETRY_RETENTION {
                break;
            }
            self.by_use.pop_first();
            self.flows.remove(&flow);
        }
    }
}
