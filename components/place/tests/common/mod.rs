//! Targets, requests and tables that the tests of placement have in common.

use std::time::Duration;

use place::{
    EntryPosition, ListedTarget, PlacementRequest, PlacementSettings, PlacementTable, VersionRule,
};
use units::{ClockTime, Incarnation, SlotCount};

/// A warm target with eight slots and no region.
pub(crate) fn target(number: u8) -> ListedTarget {
    ListedTarget {
        name: format!("target-{number}").as_str().into(),
        incarnation: Incarnation(1),
        sequence: 1,
        address: ([10, 0, 0, number], 8080).into(),
        service: "advice".into(),
        version: Some("v1".into()),
        data_centre: "praha-1".into(),
        region: None,
        slots: SlotCount(8),
        is_serving: true,
        cold_ms: 0,
        is_unconfirmed: false,
        cold_rate: None,
    }
}

/// A request that any target may run.
pub(crate) fn request(affinity: Option<u64>) -> PlacementRequest {
    PlacementRequest {
        service: "advice".into(),
        version: VersionRule::default(),
        affinity,
        work: 10,
        cost: None,
        objective: Duration::from_millis(300),
        regions: Vec::new(),
        tried: Vec::new(),
        has_precedence: false,
        memory: None,
    }
}

/// The table of an entry in Bohemia.
pub(crate) fn table(targets: Vec<ListedTarget>, position: EntryPosition) -> PlacementTable {
    let mut table = PlacementTable::new(PlacementSettings {
        region: Some("bohemia".into()),
        avoid_duration: Duration::from_secs(1),
        announcement_time: Duration::from_secs(2),
    });
    table.sync(targets, position, ClockTime(0));
    table
}
