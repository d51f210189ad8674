//! Shows how the limit of a target grows and drops to cold, and how a retry budget is used up.

use std::time::Duration;

use limits::{RetryBudget, RunSample, TargetLimit};
use units::{ClockTime, OrganisationName, ServiceName, SlotCount};
use wire::FlowKey;

fn main() {
    let now = ClockTime(0);
    let mut limit = TargetLimit::new(SlotCount(1), SlotCount(16));
    for _ in 0..20 {
        let sample = RunSample {
            started_at: now,
            running: limit.limit(),
            latency: Duration::from_millis(40),
            tokens: 1,
            succeeded: true,
        };
        limit.record_run(sample, now);
    }
    println!("limit after 20 runs at full use: {}", limit.limit());
    limit.record_refusal(now);
    println!("limit after a refusal: {}", limit.limit());

    let flow = FlowKey {
        organisation: OrganisationName::from("mlyn-hora"),
        service: ServiceName::from("stone-advice"),
    };
    let mut budget = RetryBudget::new();
    for _ in 0..10 {
        budget.record_request(&flow, now);
    }
    let retries = (0..5).filter(|_| budget.try_retry(&flow, now)).count();
    println!("retries allowed for 10 requests: {retries}");
}
