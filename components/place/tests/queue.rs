//! Tests of the order in which waiting requests get released capacity.

mod common;

use common::request;
use place::{
    EntryPosition, ListedTarget, PlacementOutcome, PlacementTable, QueuedRequest, WaitQueue,
};
use units::{ClockTime, SlotCount};
use wire::FlowKey;

fn table(slots: u32) -> PlacementTable {
    let target = ListedTarget {
        slots: SlotCount(slots),
        ..common::target(1)
    };
    common::table(vec![target], EntryPosition::SINGLE)
}

fn flow(organisation: &str) -> FlowKey {
    FlowKey {
        organisation: organisation.into(),
        service: "advice".into(),
    }
}

fn waiting(organisation: &str) -> QueuedRequest {
    QueuedRequest {
        flow: flow(organisation),
        request: request(None),
    }
}

/// Guards against a burst of one organisation that delays the requests of others.
#[test]
fn burst_of_one_organisation_does_not_delay_others() {
    let (mut table, mut queue) = (table(1), WaitQueue::new());
    let PlacementOutcome::Run(first) = table.place(&request(None), ClockTime(0)) else {
        panic!("the target is free");
    };
    queue.charge(&flow("large"), 10, ClockTime(0));
    let burst: Vec<_> = (0..20)
        .map(|_| queue.push(waiting("large"), ClockTime(1)))
        .collect();
    let small = queue.push(waiting("small"), ClockTime(2));

    table.end_run(first);
    let dequeued = queue.drain(&mut table, ClockTime(3));

    assert_eq!(dequeued.len(), 1);
    assert_eq!(dequeued[0].key, small);
    assert!(!burst.contains(&dequeued[0].key));
}

/// Guards against a continued stream that waits behind new ones for the few targets of its version,
/// while new ones may begin at the targets of another.
#[test]
fn continued_stream_gets_released_capacity_first() {
    let (mut table, mut queue) = (table(1), WaitQueue::new());
    let PlacementOutcome::Run(first) = table.place(&request(None), ClockTime(0)) else {
        panic!("the target is free");
    };
    for organisation in ["large", "small"] {
        queue.push(waiting(organisation), ClockTime(1));
    }
    let mut continued = waiting("large");
    continued.request.has_precedence = true;
    let continued = queue.push(continued, ClockTime(2));

    table.end_run(first);
    let dequeued = queue.drain(&mut table, ClockTime(3));

    assert_eq!(dequeued.len(), 1);
    assert_eq!(dequeued[0].key, continued);
}

/// Guards against requests that keep waiting after the last target of their service is removed.
#[test]
fn requests_without_a_target_are_dropped() {
    let (mut table, mut queue) = (table(0), WaitQueue::new());
    let key = queue.push(waiting("small"), ClockTime(0));
    assert!(queue.drain(&mut table, ClockTime(1)).is_empty());

    table.sync(Vec::new(), EntryPosition::SINGLE, ClockTime(2));
    let dequeued = queue.drain(&mut table, ClockTime(2));

    assert_eq!(dequeued.len(), 1);
    assert_eq!((dequeued[0].key, dequeued[0].run), (key, None));
    assert!(queue.is_empty());
}

/// Guards against a run for a request that was removed from the queue.
#[test]
fn removed_request_is_not_placed() {
    let (mut table, mut queue) = (table(1), WaitQueue::new());
    let removed = queue.push(waiting("small"), ClockTime(0));
    let remaining = queue.push(waiting("small"), ClockTime(0));

    queue.remove(removed);
    let dequeued = queue.drain(&mut table, ClockTime(1));

    assert_eq!(dequeued.len(), 1);
    assert_eq!(dequeued[0].key, remaining);
}
