//! Processor time of the replicated state, and heap memory of every role's state.

use std::collections::BTreeMap;

use registry::{RegistryAction, RegistryCommand, RegistryState, WallTime};
use units::{ConfigVersion, IdempotencyKey, Incarnation, NodeName, OrderId, RequestId};
use wire::{BeginCall, CallKey, CallOutcome, DirectoryEntry, EndCall};

use crate::meter::{memory_of, time_of};
use crate::slope::{CostUnit, SlopeSeries};
use crate::{decisions, fixtures};

/// Organisations in the services text.
const ORGANISATIONS: [u64; 4] = [2_375, 9_500, 19_000, 38_000];

/// Records of calls that may not be repeated.
const CALLS: [u64; 4] = [12_500, 50_000, 100_000, 200_000];

const EVENTS: u32 = 1_000;

/// Measures the decisions of the replicated state.
pub(crate) fn times() -> [SlopeSeries; 3] {
    [
        SlopeSeries::measure(
            "control: change one organisation",
            "organisations",
            CostUnit::Nanoseconds,
            &ORGANISATIONS,
            change_organisation,
        ),
        SlopeSeries::measure(
            "control: compare a new text with the old one",
            "organisations",
            CostUnit::Nanoseconds,
            &ORGANISATIONS,
            compare_manifest,
        ),
        SlopeSeries::measure(
            "control: begin and end a recorded call",
            "records",
            CostUnit::Nanoseconds,
            &CALLS,
            record_call,
        ),
    ]
}

/// Measures the memory of the state of all roles.
pub(crate) fn memory() -> [SlopeSeries; 5] {
    [
        SlopeSeries::measure(
            "memory of the services text",
            "organisations",
            CostUnit::Bytes,
            &ORGANISATIONS,
            |size| memory_of(|| fixtures::manifest(size)),
        ),
        SlopeSeries::measure(
            "memory of call records",
            "records",
            CostUnit::Bytes,
            &CALLS,
            |size| memory_of(|| registry_with_calls(size)),
        ),
        SlopeSeries::measure(
            "memory of usage counters",
            "flows",
            CostUnit::Bytes,
            &[64, 256, 1024, 4096],
            |size| memory_of(|| decisions::ledger(size)),
        ),
        SlopeSeries::measure(
            "memory of a usage home, 20 reporters for each flow",
            "counts of a reporter",
            CostUnit::Bytes,
            &[1_280, 5_120, 20_480, 40_960],
            |size| memory_of(|| decisions::home(20, size / 20)),
        ),
        SlopeSeries::measure(
            "memory of the node directory",
            "nodes",
            CostUnit::Bytes,
            &[128, 256, 512, 1024],
            |size| memory_of(|| node_map(size)),
        ),
    ]
}

/// Measures the whole configuration as a node gets it that has none.
pub(crate) fn whole_configuration() -> SlopeSeries {
    SlopeSeries::measure(
        "whole configuration in a renewal",
        "organisations",
        CostUnit::Bytes,
        &ORGANISATIONS,
        |size| {
            let state = registry_with_organisations(size);
            state.changes_since(ConfigVersion(0)).len() as f64
        },
    )
}

fn registry_with_organisations(organisations: u64) -> RegistryState {
    let empty = fixtures::manifest(0);
    let changes = empty.diff(&fixtures::manifest(organisations));
    let mut state = RegistryState::default();
    state.apply(&command(RegistryAction::Apply {
        order: OrderId::from("first"),
        expected: ConfigVersion(0),
        base: ConfigVersion(0),
        staged: None,
        changes,
    }));
    state
}

fn command(action: RegistryAction) -> RegistryCommand {
    RegistryCommand {
        at: WallTime(1_700_000_000_000),
        action,
    }
}

fn change_organisation(organisations: u64) -> f64 {
    let mut old = fixtures::manifest(1);
    let mut new = old.clone();
    new.organisations.insert(
        fixtures::organisation(0),
        fixtures::organisation_spec(0, 2000),
    );
    time_of(
        EVENTS,
        || registry_with_organisations(organisations),
        |state| {
            for number in 0..EVENTS {
                let expected = state.config().version;
                let changes = old.diff(&new);
                std::mem::swap(&mut old, &mut new);
                state.apply(&command(RegistryAction::Apply {
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

fn compare_manifest(organisations: u64) -> f64 {
    let old = fixtures::manifest(organisations);
    let mut new = old.clone();
    new.organisations.insert(
        fixtures::organisation(0),
        fixtures::organisation_spec(0, 2000),
    );
    time_of(
        1,
        || (),
        |()| {
            std::hint::black_box(old.diff(&new));
        },
    )
}

fn begin(number: u64) -> RegistryAction {
    RegistryAction::Begin(BeginCall {
        call: call_key(number),
        body_hash: [7; 32],
        request: RequestId(u128::from(number)),
        agent: fixtures::agent(1),
        incarnation: Incarnation(1),
    })
}

fn end(number: u64) -> RegistryAction {
    RegistryAction::End(EndCall {
        call: call_key(number),
        request: RequestId(u128::from(number)),
        outcome: CallOutcome::Ran(None),
    })
}

fn call_key(number: u64) -> CallKey {
    let flow = fixtures::flow(number % 38_000);
    CallKey {
        organisation: flow.organisation,
        service: flow.service,
        key: IdempotencyKey::from(format!("{number:032x}").as_str()),
    }
}

fn registry_with_calls(calls: u64) -> RegistryState {
    let mut state = RegistryState::default();
    for number in 0..calls {
        state.apply(&command(begin(number)));
        state.apply(&command(end(number)));
    }
    state
}

fn record_call(calls: u64) -> f64 {
    let full = calls - u64::from(EVENTS);
    time_of(
        EVENTS,
        || registry_with_calls(full),
        |state| {
            for number in 0..u64::from(EVENTS) {
                state.apply(&command(begin(full + number)));
                state.apply(&command(end(full + number)));
            }
        },
    )
}

/// Directory as an entry keeps it.
fn node_map(nodes: u64) -> BTreeMap<NodeName, DirectoryEntry> {
    (0..nodes)
        .map(|number| fixtures::directory_entry(number, 8))
        .map(|node| (node.name.clone(), node))
        .collect()
}
