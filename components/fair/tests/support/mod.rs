//! Simulates reporters and homes whose messages are lost, delayed, repeated and reordered.

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

/// Reporters, homes, the messages between them, and the exact counts.
pub struct ReportNetwork {
    pub now: ClockTime,
    /// The first one is the home while all agents reach all control nodes.
    pub homes: Vec<UsageHome>,
    pub ledgers: Vec<UsageLedger>,
    pub incarnations: Vec<u64>,
    /// Sent messages. A delivered message is kept, so that it can be delivered again.
    pub reports: Vec<UsageReport>,
    pub answers: Vec<(UsageReport, UsageTotals)>,
    /// Sum of all charges.
    pub charged: u64,
    /// Largest count that the home has received, by reporter and incarnation.
    pub counts_at_home: BTreeMap<(usize, u64), u64>,
}

impl ReportNetwork {
    pub fn new() -> Self {
        Self {
            now: ClockTime(1000),
            homes: vec![UsageHome::new(), UsageHome::new()],
            ledgers: (0..REPORTERS).map(|_| UsageLedger::new()).collect(),
            incarnations: vec![1; REPORTERS],
            reports: Vec::new(),
            answers: Vec::new(),
            charged: 0,
            counts_at_home: BTreeMap::new(),
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
        self.deliver_report_to(0, index);
    }

    pub fn deliver_report_to(&mut self, home: usize, index: usize) {
        let Some(report) = self.reports.get(index).cloned() else {
            return;
        };
        let reporter: usize = report
            .reporter
            .as_str()
            .parse()
            .expect("reporter name is an index");
        let key = (reporter, report.incarnation.0);
        for usage in report.flows.iter().filter(|_| home == 0) {
            let count = self.counts_at_home.entry(key).or_default();
            *count = (*count).max(usage.count.0);
        }
        let totals = self.homes[home].apply_report(&report, self.now);
        for total in &totals.totals {
            assert!(
                total.total.0 <= self.charged,
                "home counted more than was charged"
            );
        }
        self.answers.push((report, totals));
    }

    pub fn deliver_answer(&mut self, index: usize) {
        let Some((report, totals)) = self.answers.get(index).cloned() else {
            return;
        };
        let reporter: usize = report
            .reporter
            .as_str()
            .parse()
            .expect("reporter name is an index");
        if self.incarnations[reporter] != report.incarnation.0 {
            return;
        }
        let before = self.ledgers[reporter].total(&flow());
        self.ledgers[reporter].apply_totals(&report.flows, &totals.totals);
        assert!(
            self.ledgers[reporter].total(&flow()) >= before,
            "total of the ledger decreased"
        );
    }

    /// Runs rounds in which all reporters report without a charge.
    pub fn run_idle_rounds(&mut self, rounds: u64) {
        for _ in 0..rounds {
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

    pub fn max_known_total(&self) -> u64 {
        let totals = self.ledgers.iter().map(|ledger| ledger.total(&flow()).0);
        totals.max().unwrap_or(0)
    }

    /// Runs a round in which all reporters report and no message is lost. Returns the last total.
    pub fn run_round(&mut self) -> u64 {
        self.reports.clear();
        self.answers.clear();
        self.now = self.now + Duration::from_millis(500);
        let mut total = 0;
        for reporter in 0..REPORTERS {
            // A charge of 0 keeps the flow active.
            self.charge(reporter, 0);
            self.send_report(reporter);
            self.deliver_report(reporter);
            total = self.answers[reporter].1.totals[0].total.0;
            self.deliver_answer(reporter);
        }
        total
    }
}
