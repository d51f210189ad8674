//! Processor time of operations on the replicated state, and heap memory of the state of each role.

use std::collections::BTreeMap;

use registry::{RegistryAction, RegistryCommand, RegistryState, WallTime};
use units::{ConfigVersion, IdempotencyKey, Incarnation, NodeName, OrderId, RequestId};
use wire::{BeginCall, CallKey, CallOutcome, DirectoryEntry, EndCall};

use crate::meter::{cpu_ns_per_event, heap_bytes_of};
use crate::slope::{CostUnit, SlopeSeries};
use crate::{decisions, fixtures};

/// Numbers of organisations in the services text.
const ORGANISATION_COUNTS: [u64; 4] = [2_375, 9_500, 19_000, 38_000];

/// Numbers of stored records of calls that may not be repeated.
const CALL_COUNTS: [u64; 4] = [12_500, 50_000, 100_000, 200_000];

/// Events in one measurement.
const EVENTS: u32 = 1_000;

/// Measures the processor time of operations on the replicated state.
pub(crate) fn measure_times() -> [SlopeSeries; 3] {
    [
        SlopeSeries::measure(
            "control: change one organisation",
            "organisations",
            CostUnit::Nanoseconds,
            &ORGANISATION_COUNTS,
            measure_change_organisation,
        ),
        SlopeSeries::measure(
            "control: compare a new text with the old one",
            "organisations",
            CostUnit::Nanoseconds,
            &ORGANISATION_COUNTS,
            measure_diff_manifest,
        ),
        SlopeSeries::measure(
            "control: begin and end a recorded call",
            "records",
            CostUnit::Nanoseconds,
            &CALL_COUNTS,
            measure_record_call,
        ),
    ]
}

/// Measures the heap memory of the state that entries, agents and control keep.
pub(crate) fn measure_memory() -> [SlopeSeries; 5] {
    [
        SlopeSeries::measure(
            "memory of the services text",
            "organisations",
            CostUnit::Bytes,
            &ORGANISATION_COUNTS,
            |size| heap_bytes_of(|| fixtures::fleet_manifest(size)),
        ),
        SlopeSeries::measure(
            "memory of call records",
            "records",
            CostUnit::Bytes,
            &CALL_COUNTS,
            |size| heap_bytes_of(|| registry_with_calls(size)),
        ),
        SlopeSeries::measure(
            "memory of usage counters",
            "flows",
            CostUnit::Bytes,
            &[64, 256, 1024, 4096],
            |size| heap_bytes_of(|| decisions::usage_ledger(size)),
        ),
        SlopeSeries::measure(
            "memory of a usage home, 20 reporters for each flow",
            "counts of a reporter",
            CostUnit::Bytes,
            &[1_280, 5_120, 20_480, 40_960],
            |size| heap_bytes_of(|| decisions::usage_home(20, size / 20)),
        ),
        SlopeSeries::measure(
            "memory of the node directory",
            "nodes",
            CostUnit::Bytes,
            &[128, 256, 512, 1024],
            |size| heap_bytes_of(|| directory_map(size)),
        ),
    ]
}

/// Measures the size of the configuration sent to a node that has none yet.
pub(crate) fn measure_configuration_bytes() -> SlopeSeries {
    SlopeSeries::measure(
        "whole configuration in a renewal",
        "organisations",
        CostUnit::Bytes,
        &ORGANISATION_COUNTS,
        |size| {
            let state = registry_with_organisations(size);
            state.changes_since(ConfigVersion(0)).len() as f64
        },
    )
}

fn registry_with_organisations(organisations: u64) -> RegistryState {
    let empty = fixtures::fleet_manifest(0);
    let changes = empty.diff(&fixtures::fleet_manifest(organisations));
    let mut state = RegistryState::default();
    state.apply(&registry_command(RegistryAction::Apply {
        order: OrderId::from("first"),
        expected: ConfigVersion(0),
        base: ConfigVersion(0),
        staged: None,
        changes,
    }));
    state
}

fn registry_command(action: RegistryAction) -> RegistryCommand {
    RegistryCommand {
        at: WallTime(1_700_000_000_000),
        action,
    }
}

fn measure_change_organisation(organisations: u64) -> f64 {
    let mut old = fixtures::fleet_manifest(1);
    let mut new = old.clone();
    new.organisations.insert(
        fixtures::organisation_name(0),
        fixtures::organisation_spec(0, 2000),
    );
    cpu_ns_per_event(
        EVENTS,
        || registry_with_organisations(organisations),
        |state| {
            for number in 0..EVENTS {
                let expected = state.config().version;
                let changes = old.diff(&new);
                std::mem::swap(&mut old, &mut new);
                state.apply(&registry_command(RegistryAction::Apply {
                    order: OrderId::from(format!("order-{number}").as_str()),
                    expected,
                    base: expected,
                    staged: None,
                    changes,
                }));
            }
        },
    )
}

fn measure_diff_manifest(organisations: u64) -> f64 {
    let old = fixtures::fleet_manifest(organisations);
    let mut new = old.clone();
    new.organisations.insert(
        fixtures::organisation_name(0),
        fixtures::organisation_spec(0, 2000),
    );
    cpu_ns_per_event(
        1,
        || (),
        |()| {
            std::hint::black_box(old.diff(&new));
        },
    )
}

fn begin_call(number: u64) -> RegistryAction {
    RegistryAction::Begin(BeginCall {
        call: call_key(number),
        body_hash: [7; 32],
        request: RequestId(u128::from(number)),
        agent: fixtures::agent_name(1),
        incarnation: Incarnation(1),
    })
}

fn end_call(number: u64) -> RegistryAction {
    RegistryAction::End(EndCall {
        call: call_key(number),
        request: RequestId(u128::from(number)),
        outcome: CallOutcome::Ran(None),
    })
}

fn call_key(number: u64) -> CallKey {
    let flow = fixtures::flow_key(number % 38_000);
    CallKey {
        organisation: flow.organisation,
        service: flow.service,
        key: IdempotencyKey::from(format!("{number:032x}").as_str()),
    }
}

fn registry_with_calls(calls: u64) -> RegistryState {
    let mut state = RegistryState::default();
    for number in 0..calls {
        state.apply(&registry_command(begin_call(number)));
        state.apply(&registry_command(end_call(number)));
    }
    state
}

fn measure_record_call(calls: u64) -> f64 {
    let existing = calls - u64::from(EVENTS);
    cpu_ns_per_event(
        EVENTS,
        || registry_with_calls(existing),
        |state| {
            for number in 0..u64::from(EVENTS) {
                state.apply(&registry_command(begin_call(existing + number)));
                state.apply(&registry_command(end_call(existing + number)));
            }
        },
    )
}

/// Directory of nodes in the form in which an entry stores it.
fn directory_map(nodes: u64) -> BTreeMap<NodeName, DirectoryEntry> {
    (0..nodes)
        .map(|number| fixtures::directory_entry(number, 8))
        .map(|node| (node.name.clone(), node))
        .collect()
}
