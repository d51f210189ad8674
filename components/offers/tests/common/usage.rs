//! Usage reports of the simulated network, their faults, and the check that no total counts usage
//! twice.

use std::collections::BTreeMap;

use units::{ClockTime, Incarnation, ServiceName};
use wire::{FlowId, FlowUsage, UsageReport, UsageTotals};

use super::network::{Event, SimulatedNetwork};
use super::nodes::{SERVICE, flow};
use super::settings::{EXCHANGE_OVERHEAD_BYTES, EXCHANGE_TIMEOUT_MS};

/// Report of an agent to one control node.
#[derive(Debug, Clone)]
pub struct ReportExchange {
    pub id: u64,
    pub agent: usize,
    pub incarnation: u64,
    pub control: usize,
    pub report: UsageReport,
}

impl SimulatedNetwork {
    /// Sends a round of reports if one is due, and schedules the next check.
    pub fn run_reporter(&mut self, agent: usize, incarnation: u64) {
        let now = self.clock_time();
        let node = &mut self.agents[agent];
        if node.incarnation != incarnation {
            return;
        }
        if node.pacer.next_round().is_none_or(|due| due <= now) {
            self.send_reports(agent);
        }
        let due = self.agents[agent]
            .pacer
            .next_round()
            .expect("a round is scheduled");
        let wait = due.since(now).as_millis() as u64;
        self.schedule(wait, Event::Report(agent, incarnation));
    }

    fn send_reports(&mut self, agent: usize) {
        let now = self.clock_time();
        let node = &mut self.agents[agent];
        node.pacer.begin_round(now);
        let mut by_home: BTreeMap<usize, Vec<FlowUsage>> = BTreeMap::new();
        for usage in node.table.take_report(now) {
            let Some(home) = node.homes.home(usage.flow, now) else {
                node.table.requeue_report(&[usage]);
                continue;
            };
            let mut controls = self.controls.iter();
            let index = controls.position(|control| control.address == home);
            by_home
                .entry(index.expect("the home is a known control node"))
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
        exchange.id = self.new_incarnation();
        let (agent, id) = (exchange.agent, exchange.id);
        let node = &mut self.agents[agent];
        let size = wire::encode(&exchange.report)
            .expect("the report can be encoded")
            .len() as u64;
        node.pacer.record_bytes(size + EXCHANGE_OVERHEAD_BYTES);
        node.exchanges.insert(id, exchange.clone());
        self.meter.report_bytes += size + EXCHANGE_OVERHEAD_BYTES;
        let timeout = Event::Timeout(agent, exchange.incarnation, id);
        self.schedule(EXCHANGE_TIMEOUT_MS, timeout);
        let delay = self.control_delay(agent, exchange.control);
        self.send_faulty(delay, &Event::ToHome(exchange.control, exchange));
    }

    /// Sends a report or an answer, which may be lost, delayed or repeated.
    fn send_faulty(&mut self, delay: u64, event: &Event) {
        let Some(faults) = self.settings.faults else {
            self.schedule(delay, event.clone());
            return;
        };
        let copies = 1 + u64::from(self.random_below(100) < faults.repeated_percent);
        for _ in 0..copies {
            let extra_delay = self.random_below(faults.max_delay_ms + 1);
            if self.random_below(100) >= faults.lost_percent {
                self.schedule(delay + extra_delay, event.clone());
            }
        }
    }

    pub fn handle_report(&mut self, control: usize, exchange: ReportExchange) {
        if !self.can_reach_home(exchange.agent, control) {
            return;
        }
        let now = self.clock_time();
        let home = &mut self.controls[control].home;
        let raises = exchange.report.flows.iter();
        let raises: Vec<(FlowId, u64, u64)> = raises
            .filter_map(|usage| {
                let before = home.total(usage.flow).map_or(0, |total| total.0);
                Some((usage.flow, before, usage.raise_to?.0))
            })
            .collect();
        let totals = home.apply_report(&exchange.report, now);
        for (flow, before, raise) in raises {
            let after = self.controls[control]
                .home
                .total(flow)
                .map_or(0, |total| total.0);
            let organisation = self.organisation_index(flow);
            self.raised[organisation] += raise.min(after).saturating_sub(before);
        }
        self.check_totals(control, &exchange.report);
        let delay = self.control_delay(exchange.agent, control);
        self.send_faulty(delay, &Event::Totals(control, exchange, totals));
    }

    /// Checks that no total exceeds the service that the flow has received plus its raises.
    fn check_totals(&self, control: usize, report: &UsageReport) {
        for usage in &report.flows {
            let organisation = self.organisation_index(usage.flow);
            let max_total = self.meter.service[organisation] + self.raised[organisation];
            let total = self.controls[control].home.total(usage.flow);
            assert!(
                total.is_some_and(|total| total.0 <= max_total),
                "organisation {organisation} has a total of {total:?} of at most {max_total} at {}",
                self.now
            );
        }
    }

    pub fn use_totals(&mut self, control: usize, exchange: ReportExchange, totals: &UsageTotals) {
        let agent = exchange.agent;
        let node = &mut self.agents[agent];
        if node.incarnation != exchange.incarnation || !self.can_reach_home(agent, control) {
            return;
        }
        let size = wire::encode(totals)
            .expect("the answer can be encoded")
            .len() as u64;
        self.meter.report_bytes += size;
        let node = &mut self.agents[agent];
        node.pacer.record_bytes(size);
        node.exchanges.remove(&exchange.id);
        node.table.apply_totals(&exchange.report.flows, totals);
    }

    /// Marks a control node as failed if it has not answered in time.
    pub fn handle_timeout(&mut self, agent: usize, incarnation: u64, id: u64) {
        let now = ClockTime(self.now);
        let node = &mut self.agents[agent];
        if node.incarnation != incarnation {
            return;
        }
        if let Some(exchange) = node.exchanges.remove(&id) {
            let address = self.controls[exchange.control].address;
            node.homes.mark_unreachable(address, now);
            node.table.requeue_report(&exchange.report.flows);
        }
    }

    fn can_reach_home(&self, agent: usize, control: usize) -> bool {
        self.partition.contains(&agent) == self.partition_controls.contains(&control)
    }

    fn organisation_index(&self, id: FlowId) -> usize {
        let mut organisations = 0..self.settings.weights.len();
        let index = organisations.find(|index| FlowId::of(&flow(*index)) == id);
        index.expect("the flow belongs to a simulated organisation")
    }

    /// Largest total of an organisation's flow at any control node.
    pub fn home_total(&self, organisation: usize) -> u64 {
        let id = FlowId::of(&flow(organisation));
        let totals = self.controls.iter().filter_map(|node| node.home.total(id));
        totals.map(|total| total.0).max().unwrap_or(0)
    }
}
