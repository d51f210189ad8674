//! Keeps requests that crash targets away from them.
//!
//! Agents tell when a run ended because the process of its target ended. The entry records what ran
//! there and reports it to a control node, which finds the content that recurs in the crashes; the
//! entry then refuses requests with this content.

use cadence::prelude::*;
use client::ControlClient;
use fair::DEMAND_INTERVAL;
use quarantine::{BrokenRequest, EndedTarget, QuarantineVerdict};
use telemetry::{event, events};
use tokio::time::MissedTickBehavior;
use units::{ClockTime, CostUnits, Incarnation};
use wire::{DemandReport, EntryReport, FlowId, RequestTrait, stable_hash};

use crate::refusal::Refusal;
use crate::report::{IDLE_REPORT_INTERVAL, ReportSender, model_pool};
use crate::request::CheckedRequest;
use crate::serve::{OpenRequest, RETRY_AFTER, SlotGrant};
use crate::state::EntryShared;

/// Trait that requests share if they are repetitions of each other, also under another key.
pub(crate) fn content_trait(request: &CheckedRequest) -> RequestTrait {
    RequestTrait::Content(stable_hash(&[
        request.flow.organisation.as_str().as_bytes(),
        request.head.method.as_bytes(),
        request.head.path.as_bytes(),
        &request.body,
    ]))
}

/// Refuses a request whose content is quarantined. Returns whether the request is a trial, which
/// finds out whether the quarantine should end.
pub(crate) fn check_quarantine(
    shared: &EntryShared,
    request: &OpenRequest,
) -> Result<bool, Refusal> {
    let now = shared.now();
    let flow = &request.checked.flow;
    let verdict = shared.board.write_quietly(|state| {
        let traits = &[request.content];
        let flow_id = FlowId::of(flow);
        state
            .crashes
            .check_request(&flow.service, flow_id, traits, now)
    });
    let cause = match verdict {
        QuarantineVerdict::Admitted => return Ok(false),
        QuarantineVerdict::Trial => {
            event!(events::QUARANTINE_TRIAL, traits = request.content);
            return Ok(true);
        }
        QuarantineVerdict::Refused(cause) => cause,
    };
    let message = format!("Failed to accept the request: {cause}");
    let refusal = Refusal::not_run(503, "quarantined", message);
    Err(refusal.retry_after(cause.wait().max(RETRY_AFTER)))
}

/// Whether a request may be the cause of earlier crashes.
pub(crate) fn is_suspected(shared: &EntryShared, request: &OpenRequest) -> bool {
    let service = &request.checked.flow.service;
    shared
        .board
        .read(|state| state.crashes.is_suspected(service, &[request.content]))
}

/// Records that the process of a target ended while it ran a request.
pub(crate) fn record_crash(
    shared: &EntryShared,
    request: &OpenRequest,
    grant: &SlotGrant,
    target: Incarnation,
    sent_at: ClockTime,
) {
    let now = shared.now();
    let flow = &request.checked.flow;
    let target = EndedTarget {
        name: grant.agent.clone(),
        incarnation: target,
    };
    let broken = BrokenRequest {
        flow: FlowId::of(flow),
        sent_at,
        is_retry: grant.is_retry,
        traits: vec![request.content],
    };
    let requests = shared.board.write_quietly(|state| {
        let crashes = &mut state.crashes;
        crashes.record_failure(&target, &flow.service, broken, now);
        crashes.record_end(&target, now);
        crashes.failed_count(&target)
    });
    if requests == 1 {
        let _ = shared.metrics.incr("target-crashes");
    }
    event!(
        events::TARGET_CRASHED,
        target = target.name,
        incarnation = target.incarnation,
        service = flow.service,
        requests = requests,
        traits = request.content
    );
}

/// Records a complete response, which shows that the target survived the request.
pub(crate) fn record_success(shared: &EntryShared, request: &OpenRequest) {
    let now = shared.now();
    let service = &request.checked.flow.service;
    shared.board.write_quietly(|state| {
        state
            .crashes
            .record_success(service, &[request.content], now);
    });
}

/// Reports crashes and applies the quarantine in the replies; never returns.
pub(crate) async fn report_crashes(shared: EntryShared, client: ControlClient) {
    let name = &shared.settings.name;
    tokio::time::sleep(ReportSender::start_delay(name)).await;
    let mut sender = ReportSender::new(client);
    let mut last_report: Option<ClockTime> = None;
    let mut interval = tokio::time::interval(DEMAND_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = shared.now();
        let is_recent = last_report.is_some_and(|last| now.since(last) < IDLE_REPORT_INTERVAL);
        if is_recent && !shared.board.read(|state| state.crashes.is_urgent()) {
            continue;
        }
        last_report = Some(now);
        let Some(home) = sender.home(now) else {
            continue;
        };
        let report = EntryReport {
            demand: no_demand(&shared),
            crashes: shared
                .board
                .write_quietly(|state| state.crashes.take_report(now)),
            config: shared.view.read(|view| view.config.version),
            rollouts: Vec::new(),
            loads: None,
        };
        if let Some(reply) = sender.send(home, &report, now).await {
            let now = shared.now();
            shared.board.write_quietly(|state| {
                let crashes = &mut state.crashes;
                crashes.apply_reply(&report.crashes, &reply.quarantine, now);
            });
        }
    }
}

/// Report without demand. Agents choose requests by the service that their flows have received, so
/// an entry has no shares.
fn no_demand(shared: &EntryShared) -> DemandReport {
    DemandReport {
        reporter: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        service: model_pool(),
        interval_ms: DEMAND_INTERVAL.as_millis() as u64,
        flows: Vec::new(),
        granted: CostUnits(0),
        served: CostUnits(0),
        answers: 0,
        lateness_permille: 0,
        known_capacity: None,
    }
}
