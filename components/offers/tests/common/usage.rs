//! Usage reports of the fake network, their faults, and the rule that no count enters a total twice.

use std::collections::BTreeMap;

use units::{ClockTime, Incarnation, ServiceName};
use wire::{FlowId, FlowUsage, UsageReport, UsageTotals};

use super::network::{Event, FakeNetwork};
use super::nodes::{SERVICE, flow};
use super::settings::{EXCHANGE_MS, OVERHEAD_BYTES};

/// Report of an agent to one control node.
#[derive(Debug, Clone)]
pub struct ReportExchange {
    pub id: u64,
    pub agent: usize,
    pub incarnation: u64,
    pub control: usize,
    pub report: UsageReport,
}

impl FakeNetwork {
    /// A round of reports, or a look whether one is due.
    pub fn report(&mut self, agent: usize, incarnation: u64) {
        let now = self.time();
        let node = &mut self.agents[agent];
        if node.incarnation != incarnation {
            return;
        }
        if node.pacer.next_round().is_none_or(|due| due <= now) {
            self.round(agent);
        }
        let due = self.agents[agent].pacer.next_round().expect("a round");
        let wait = due.since(now).as_millis() as u64;
        self.after(wait, Event::Report(agent, incarnation));
    }

    fn round(&mut self, agent: usize) {
        let now = self.time();
        let node = &mut self.agents[agent];
        node.pacer.begin(now);
        let mut by_home: BTreeMap<usize, Vec<FlowUsage>> = BTreeMap::new();
        for usage in node.table.report(now) {
            let Some(home) = node.homes.home(usage.flow, now) else {
                node.table.mark_unanswered(&[usage]);
                continue;
            };
            let mut controls = self.controls.iter();
            let index = controls.position(|control| control.address == home);
            by_home
                .entry(index.expect("a control node"))
                .or_default()
                .push(usage);
        }
        for (control, flows) in by_home {
            let node = &self.agents[agent];
            let exchange = ReportExchange {
                id: 0,
                agent,
                incarnation: node.incarnation,
                control,
                report: UsageReport {
                    reporter: node.name.clone(),
                    incarnation: Incarnation(node.incarnation),
                    interval_ms: node.pacer.interval().as_millis() as u64,
                    service: ServiceName::from(SERVICE),
                    virtual_time: node.table.virtual_time(),
                    flows,
                },
            };
            self.send_report(exchange);
        }
    }

    fn send_report(&mut self, mut exchange: ReportExchange) {
        exchange.id = self.incarnation();
        let (agent, id) = (exchange.agent, exchange.id);
        let node = &mut self.agents[agent];
        let size = wire::encode(&exchange.report).expect("a report").len() as u64;
        node.pacer.spend(size + OVERHEAD_BYTES);
        node.exchanges.insert(id, exchange.clone());
        self.meter.report_bytes += size + OVERHEAD_BYTES;
        let timeout = Event::Timeout(agent, exchange.incarnation, id);
        self.after(EXCHANGE_MS, timeout);
        let delay = self.control_delay(agent, exchange.control);
        self.send_faulty(delay, &Event::ToHome(exchange.control, exchange));
    }

    /// Sends a report or an answer that may be lost, late or repeated.
    fn send_faulty(&mut self, delay: u64, event: &Event) {
        let Some(faults) = self.settings.faults else {
            self.after(delay, event.clone());
            return;
        };
        let copies = 1 + u64::from(self.draw(100) < faults.repeated);
        for _ in 0..copies {
            let late = self.draw(faults.late_ms + 1);
            if self.draw(100) >= faults.lost {
                self.after(delay + late, event.clone());
            }
        }
    }

    pub fn at_home(&mut self, control: usize, exchange: ReportExchange) {
        if !self.reaches_home(exchange.agent, control) {
            return;
        }
        let now = self.time();
        let home = &mut self.controls[control].home;
        let raises = exchange.report.flows.iter();
        let raises: Vec<(FlowId, u64, u64)> = raises
            .filter_map(|usage| {
                let before = home.total(usage.flow).map_or(0, |total| total.0);
                Some((usage.flow, before, usage.raise?.0))
            })
            .collect();
        let totals = home.report(&exchange.report, now);
        for (flow, before, raise) in raises {
            let after = self.controls[control]
                .home
                .total(flow)
                .map_or(0, |total| total.0);
            let organisation = self.organisation(flow);
            self.raised[organisation] += raise.min(after).saturating_sub(before);
        }
        self.check_totals(control, &exchange.report);
        let delay = self.control_delay(exchange.agent, control);
        self.send_faulty(delay, &Event::Totals(control, exchange, totals));
    }

    /// No total exceeds the service that the flow has received, but for the raises.
    fn check_totals(&self, control: usize, report: &UsageReport) {
        for usage in &report.flows {
            let organisation = self.organisation(usage.flow);
            let most = self.meter.service[organisation] + self.raised[organisation];
            let total = self.controls[control].home.total(usage.flow);
            assert!(
                total.is_some_and(|total| total.0 <= most),
                "organisation {organisation} has {total:?} of at most {most} at {}",
                self.now
            );
        }
    }

    pub fn totals(&mut self, control: usize, exchange: ReportExchange, totals: &UsageTotals) {
        let agent = exchange.agent;
        let node = &mut self.agents[agent];
        if node.incarnation != exchange.incarnation || !self.reaches_home(agent, control) {
            return;
        }
        let size = wire::encode(totals).expect("an answer").len() as u64;
        self.meter.report_bytes += size;
        let node = &mut self.agents[agent];
        node.pacer.spend(size);
        node.exchanges.remove(&exchange.id);
        node.table.apply_totals(&exchange.report.flows, totals);
    }

    /// Passes a control node over that has not answered in time.
    pub fn timeout(&mut self, agent: usize, incarnation: u64, id: u64) {
        let now = ClockTime(self.now);
        let node = &mut self.agents[agent];
        if node.incarnation != incarnation {
            return;
        }
        if let Some(exchange) = node.exchanges.remove(&id) {
            let address = self.controls[exchange.control].address;
            node.homes.failed(address, now);
            node.table.mark_unanswered(&exchange.report.flows);
        }
    }

    fn reaches_home(&self, agent: usize, control: usize) -> bool {
        self.partition.contains(&agent) == self.partition_controls.contains(&control)
    }

    fn organisation(&self, id: FlowId) -> usize {
        let mut organisations = 0..self.settings.weights.len();
        let index = organisations.find(|index| FlowId::of(&flow(*index)) == id);
        index.expect("a flow of the load")
    }

    /// Largest total of an organisation's flow at any home.
    pub fn home_total(&self, organisation: usize) -> u64 {
        let id = FlowId::of(&flow(organisation));
        let totals = self.controls.iter().filter_map(|node| node.home.total(id));
        totals.map(|total| total.0).max().unwrap_or(0)
    }
}
