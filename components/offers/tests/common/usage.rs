//! Usage reports of the fake network.

use std::collections::BTreeMap;

use fair::home_of;
use units::NodeName;
use wire::{UsageReport, UsageTotals};

use super::network::{Event, FakeNetwork};
use super::settings::REPORT_MS;

impl FakeNetwork {
    pub fn report(&mut self, entry: usize) {
        let node = &self.entries[entry];
        let names: Vec<NodeName> = self.entries.iter().map(|node| node.name.clone()).collect();
        let mut reports: BTreeMap<usize, UsageReport> = BTreeMap::new();
        for usage in node.ledger.report(self.time()) {
            let name = home_of(&usage.flow, names.iter()).expect("an entry");
            let home = names.iter().position(|other| other == name);
            let report = reports
                .entry(home.expect("the home"))
                .or_insert_with(|| UsageReport {
                    reporter: node.name.clone(),
                    incarnation: node.incarnation(),
                    flows: Vec::new(),
                    virtual_times: node.ledger.virtual_times(),
                });
            report.flows.push(usage);
        }
        for (home, report) in reports {
            if self.partition.contains(&entry) == self.partition.contains(&home) {
                let delay = self.entry_delay(entry, home);
                self.after(delay, Event::ToHome(entry, home, report));
            }
        }
        self.after(REPORT_MS, Event::Report(entry));
    }

    pub fn at_home(&mut self, from: usize, home: usize, report: &UsageReport) {
        let now = self.time();
        let totals = self.entries[home].home.report(report, now);
        let delay = self.entry_delay(from, home);
        self.after(delay, Event::Totals(from, report.incarnation.0, totals));
    }

    pub fn totals(&mut self, entry: usize, incarnation: u64, totals: &UsageTotals) {
        let node = &mut self.entries[entry];
        if node.incarnation != incarnation {
            return;
        }
        for total in &totals.totals {
            node.ledger.merge(total);
        }
        for (service, time) in &totals.virtual_times {
            node.ledger.merge_virtual_time(service, *time);
        }
        let actions = node.book.totals(&totals.totals, &totals.virtual_times);
        self.book_actions(entry, actions);
    }
}
