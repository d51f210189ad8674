//! Who gets room that has become free.

use std::time::Duration;

use place::{
    ListedTarget, PlacementOutcome, PlacementRequest, PlacementSettings, PlacementTable,
    QueuedRequest, WaitQueue,
};
use units::{ClockTime, Incarnation, SlotCount};
use wire::FlowKey;

fn target(slots: u32) -> ListedTarget {
    ListedTarget {
        name: "target".into(),
        incarnation: Incarnation(1),
        sequence: 1,
        address: ([10, 0, 0, 1], 8080).into(),
        service: "advice".into(),
        data_centre: "praha-1".into(),
        region: None,
        slots: SlotCount(slots),
        is_serving: true,
        cold_ms: 0,
        cold_rate: None,
    }
}

fn table(slots: u32) -> PlacementTable {
    let mut table = PlacementTable::new(PlacementSettings {
        region: None,
        avoid_time: Duration::from_secs(1),
    });
    table.sync(vec![target(slots)], 1, ClockTime(0));
    table
}

fn flow(organisation: &str) -> FlowKey {
    FlowKey {
        organisation: organisation.into(),
        service: "advice".into(),
    }
}

fn request() -> PlacementRequest {
    PlacementRequest {
        service: "advice".into(),
        affinity: None,
        work: 10,
        cost: None,
        objective: Duration::from_millis(300),
        regions: Vec::new(),
        tried: Vec::new(),
    }
}

fn waiting(organisation: &str) -> QueuedRequest {
    QueuedRequest {
        flow: flow(organisation),
        request: request(),
    }
}

/// Guards against an organisation that floods the queue and holds up the others.
#[test]
fn flood_of_one_organisation_holds_up_no_other() {
    let (mut table, mut queue) = (table(1), WaitQueue::new());
    let PlacementOutcome::Run(first) = table.place(&request(), ClockTime(0)) else {
        panic!("the target is free");
    };
    queue.charge(&flow("large"), 10, ClockTime(0));
    let flood: Vec<_> = (0..20)
        .map(|_| queue.push(waiting("large"), ClockTime(1)))
        .collect();
    let small = queue.push(waiting("small"), ClockTime(2));

    table.end_run(first);
    let placed = queue.drain(&mut table, ClockTime(3));

    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].key, small);
    assert!(!flood.contains(&placed[0].key));
}

/// Guards against requests that wait for a service whose last target is gone.
#[test]
fn requests_without_any_target_are_given_up() {
    let (mut table, mut queue) = (table(0), WaitQueue::new());
    let key = queue.push(waiting("small"), ClockTime(0));
    assert!(queue.drain(&mut table, ClockTime(1)).is_empty());

    table.sync(Vec::new(), 1, ClockTime(2));
    let ended = queue.drain(&mut table, ClockTime(2));

    assert_eq!(ended.len(), 1);
    assert_eq!((ended[0].key, ended[0].run), (key, None));
    assert!(queue.is_empty());
}

/// Guards against a place for a request that waits no more.
#[test]
fn removed_request_gets_no_place() {
    let (mut table, mut queue) = (table(1), WaitQueue::new());
    let gone = queue.push(waiting("small"), ClockTime(0));
    let stays = queue.push(waiting("small"), ClockTime(0));

    queue.remove(gone);
    let placed = queue.drain(&mut table, ClockTime(1));

    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].key, stays);
}
