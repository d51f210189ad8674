//! Reporters and homes that lose, delay, repeat and reorder messages.

#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::time::Duration;

use fair::{UsageHome, UsageLedger};
use units::{ClockTime, CostUnits, Incarnation, NodeName, OrganisationName, ServiceName};
use wire::{FlowKey, UsageReport, UsageTotals};

pub const REPORTERS: usize = 3;

pub fn flow() -> FlowKey {
    FlowKey {
        organisation: OrganisationName::from("mlyn-hora"),
        service: ServiceName::from("stone-advice"),
    }
}

pub fn report(
    reporter: usize,
    incarnation: u64,
    ledger: &mut UsageLedger,
    now: ClockTime,
) -> UsageReport {
    UsageReport {
        reporter: NodeName::from(reporter.to_string().as_str()),
        incarnation: Incarnation(incarnation),
        interval_ms: 500,
        service: flow().service,
        virtual_time: 0,
        flows: ledger.take_report(now, |_| true),
    }
}

/// Reporters, their home and the exact counts.
pub struct ReportWorld {
    pub now: ClockTime,
    /// The first one is the home when all agents reach all control nodes again.
    pub homes: Vec<UsageHome>,
    pub ledgers: Vec<UsageLedger>,
    pub incarnations: Vec<u64>,
    /// Messages on their way; a message that is delivered stays here to be repeated.
    pub reports: Vec<UsageReport>,
    pub answers: Vec<(UsageReport, UsageTotals)>,
    /// Everything that was ever charged.
    pub charged: u64,
    /// Largest count of each incarnation that has reached the home.
    pub arrived: BTreeMap<(usize, u64), u64>,
}

impl ReportWorld {
    pub fn new() -> Self {
        Self {
            now: ClockTime(1000),
            homes: vec![UsageHome::new(), UsageHome::new()],
            ledgers: (0..REPORTERS).map(|_| UsageLedger::new()).collect(),
            incarnations: vec![1; REPORTERS],
            reports: Vec::new(),
            answers: Vec::new(),
            charged: 0,
            arrived: BTreeMap::new(),
        }
    }

    pub fn charge(&mut self, reporter: usize, cost: u64) {
        self.ledgers[reporter].charge(&flow(), CostUnits(cost), self.now);
        self.charged += cost;
    }

    pub fn send_report(&mut self, reporter: usize) {
        let incarnation = self.incarnations[reporter];
        let ledger = &mut self.ledgers[reporter];
        self.reports
            .push(report(reporter, incarnation, ledger, self.now));
    }

    pub fn deliver_report(&mut self, index: usize) {
        self.deliver_to(0, index);
    }

    pub fn deliver_to(&mut self, home: usize, index: usize) {
        let Some(report) = self.reports.get(index).cloned() else {
            return;
        };
        let reporter: usize = report.reporter.as_str().parse().expect("an index");
        let key = (reporter, report.incarnation.0);
        for usage in report.flows.iter().filter(|_| home == 0) {
            let count = self.arrived.entry(key).or_default();
            *count = (*count).max(usage.count.0);
        }
        let totals = self.homes[home].apply_report(&report, self.now);
        for total in &totals.totals {
            assert!(
                total.total.0 <= self.charged,
                "counted more than was charged"
            );
        }
        self.answers.push((report, totals));
    }

    pub fn deliver_answer(&mut self, index: usize) {
        let Some((report, totals)) = self.answers.get(index).cloned() else {
            return;
        };
        let reporter: usize = report.reporter.as_str().parse().expect("an index");
        if self.incarnations[reporter] != report.incarnation.0 {
            return;
        }
        let before = self.ledgers[reporter].total(&flow());
        self.ledgers[reporter].apply_answer(&report.flows, &totals.totals);
        assert!(self.ledgers[reporter].total(&flow()) >= before, "went back");
    }

    /// Reports of all in each interval of some time, without service.
    pub fn idle(&mut self, intervals: u64) {
        for _ in 0..intervals {
            self.reports.clear();
            self.answers.clear();
            self.now = self.now + fair::REPORT_INTERVAL;
            for reporter in 0..REPORTERS {
                self.send_report(reporter);
                self.deliver_report(reporter);
                self.deliver_answer(reporter);
            }
        }
    }

    pub fn known(&self) -> u64 {
        let totals = self.ledgers.iter().map(|ledger| ledger.total(&flow()).0);
        totals.max().unwrap_or(0)
    }

    /// Reports of all without loss; returns the last total.
    pub fn round(&mut self) -> u64 {
        self.reports.clear();
        self.answers.clear();
        self.now = self.now + Duration::from_millis(500);
        let mut total = 0;
        for reporter in 0..REPORTERS {
            // A charge of nothing keeps the flow active.
            self.charge(reporter, 0);
            self.send_report(reporter);
            self.deliver_report(reporter);
            total = self.answers[reporter].1.totals[0].total.0;
            self.deliver_answer(reporter);
        }
        total
    }
}
