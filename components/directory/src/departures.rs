//! Departures that control nodes have acknowledged to targets.
//!
//! A departure belongs to the process of a target. It holds for the incarnation that it names and
//! for all earlier ones under the same name, also if no control node has heard of them: an
//! announcement that is sent before the departure may arrive after it.

use std::collections::BTreeMap;

use units::{Incarnation, NodeName};

/// Maximum number of departures. Beyond it the oldest one is dropped.
///
/// With hundreds of targets replaced a day, this covers more than a week. An announcement under way
/// for that long is not expected.
const MAX_DEPARTURES: usize = 4_096;

units::number!(
    /// Number of a departure, which increases with each one that is recorded.
    DepartureNumber(u64)
);

units::data! {
    /// Departure of a process.
    #[derive(Copy)]
    pub struct DepartureRecord {
        /// Latest incarnation that has left.
        pub incarnation: Incarnation,
        /// Number of the departure.
        pub number: DepartureNumber,
    }

    /// Newest departure of each target.
    #[derive(Default)]
    pub struct DepartureTable {
        records: BTreeMap<NodeName, DepartureRecord>,
        by_number: BTreeMap<DepartureNumber, NodeName>,
        last_number: DepartureNumber,
    }
}

impl DepartureTable {
    /// Whether this incarnation of a target has left.
    pub fn contains(&self, name: &NodeName, incarnation: Incarnation) -> bool {
        let record = self.records.get(name);
        record.is_some_and(|record| incarnation <= record.incarnation)
    }

    /// Records a departure, unless it is known already.
    pub fn record(&mut self, name: &NodeName, incarnation: Incarnation) {
        if self.contains(name, incarnation) {
            return;
        }
        let number = DepartureNumber(self.last_number.0 + 1);
        self.insert(
            name,
            DepartureRecord {
                incarnation,
                number,
            },
        );
    }

    /// Departures that were recorded after the one with this number, oldest first.
    pub fn since(
        &self,
        number: DepartureNumber,
    ) -> impl Iterator<Item = (&NodeName, DepartureRecord)> {
        let first = DepartureNumber(number.0 + 1);
        let names = self.by_number.range(first..).map(|(_, name)| name);
        names.map(|name| (name, self.records[name]))
    }

    /// Number of the newest departure.
    pub fn last_number(&self) -> DepartureNumber {
        self.last_number
    }

    /// Inserts a departure of another table.
    pub(crate) fn insert(&mut self, name: &NodeName, record: DepartureRecord) {
        if let Some(old) = self.records.insert(name.clone(), record) {
            self.by_number.remove(&old.number);
        }
        self.by_number.insert(record.number, name.clone());
        self.last_number = self.last_number.max(record.number);
        if self.records.len() > MAX_DEPARTURES
            && let Some((_, oldest)) = self.by_number.pop_first()
        {
            self.records.remove(&oldest);
        }
    }
}
