//! Results of all measurements of one run; `capacity` computes the costs of the roles from them.

use eyre::Result;

use crate::fleet::FleetSize;
use crate::links::LinkCosts;
use crate::messages::MessageSizes;
use crate::slope::SlopeSeries;
use crate::{decisions, messages, meter, state};

/// Costs measured in one run.
#[derive(Debug, Clone, PartialEq)]
pub struct MeasuredCosts {
    /// Processor time of the reference operation, in nanoseconds.
    pub reference_ns: f64,
    /// Sizes of the messages of constant size.
    pub message_sizes: MessageSizes,
    /// Costs of messages over a real link.
    pub link: LinkCosts,
    /// Processor time of a request at an agent, by number of offers held.
    pub agent_decision: SlopeSeries,
    /// Processor time of a request at an entry, by number of waiting requests.
    pub entry_by_waiting: SlopeSeries,
    /// Processor time of a request at an entry, by number of agents.
    pub entry_by_agents: SlopeSeries,
    /// Processor time of charging a chunk to a flow, by number of flows.
    pub charge: SlopeSeries,
    /// Processor time of building a usage report, by number of flows.
    pub make_report: SlopeSeries,
    /// Processor time of applying a usage report, by number of flows.
    pub apply_report: SlopeSeries,
    /// Processor time of changing one organisation, by number of organisations.
    pub change_organisation: SlopeSeries,
    /// Processor time of comparing two services texts, by number of organisations.
    pub diff_services_text: SlopeSeries,
    /// Processor time of beginning and ending a recorded call, by number of records.
    pub record_call: SlopeSeries,
    /// Heap memory of the services text, by number of organisations.
    pub services_text_memory: SlopeSeries,
    /// Heap memory of call records, by number of records.
    pub call_record_memory: SlopeSeries,
    /// Heap memory of the usage counters of an agent, by number of flows.
    pub usage_ledger_memory: SlopeSeries,
    /// Heap memory of a usage home, by number of counts; each pair of reporter and flow has one.
    pub usage_home_memory: SlopeSeries,
    /// Heap memory of the directory, by number of nodes.
    pub directory_memory: SlopeSeries,
    /// Size of a usage report, by number of flows.
    pub usage_report_bytes: SlopeSeries,
    /// Size of the reply to a usage report, by number of flows.
    pub usage_totals_bytes: SlopeSeries,
    /// Size of the whole configuration, by number of organisations.
    pub configuration_bytes: SlopeSeries,
    /// Size of a renewal reply with directory changes, by number of changed nodes.
    pub directory_change_bytes: SlopeSeries,
}

impl MeasuredCosts {
    /// Runs all measurements, which takes about a minute.
    ///
    /// # Errors
    ///
    /// Fails if [`LinkCosts::measure`] fails.
    pub fn measure() -> Result<Self> {
        let [
            agent_decision,
            entry_by_waiting,
            entry_by_agents,
            charge,
            make_report,
            apply_report,
        ] = decisions::measure();
        let [change_organisation, diff_services_text, record_call] = state::measure_times();
        let [
            services_text_memory,
            call_record_memory,
            usage_ledger_memory,
            usage_home_memory,
            directory_memory,
        ] = state::measure_memory();
        let [
            usage_report_bytes,
            usage_totals_bytes,
            directory_change_bytes,
        ] = messages::measure();
        Ok(Self {
            reference_ns: meter::measure_reference_ns(),
            message_sizes: MessageSizes::measure(),
            link: LinkCosts::measure()?,
            agent_decision,
            entry_by_waiting,
            entry_by_agents,
            charge,
            make_report,
            apply_report,
            change_organisation,
            diff_services_text,
            record_call,
            services_text_memory,
            call_record_memory,
            usage_ledger_memory,
            usage_home_memory,
            directory_memory,
            usage_report_bytes,
            usage_totals_bytes,
            configuration_bytes: state::measure_configuration_bytes(),
            directory_change_bytes,
        })
    }

    /// All series, in the order of their rows on the page.
    pub fn series(&self) -> Vec<&SlopeSeries> {
        vec![
            &self.agent_decision,
            &self.entry_by_waiting,
            &self.entry_by_agents,
            &self.charge,
            &self.make_report,
            &self.apply_report,
            &self.change_organisation,
            &self.diff_services_text,
            &self.record_call,
            &self.link.heartbeat_ns,
            &self.link.heartbeat_bytes,
            &self.link.batched_heartbeat_bytes,
            &self.link.request_bytes,
            &self.usage_report_bytes,
            &self.usage_totals_bytes,
            &self.directory_change_bytes,
            &self.configuration_bytes,
            &self.services_text_memory,
            &self.call_record_memory,
            &self.usage_ledger_memory,
            &self.usage_home_memory,
            &self.directory_memory,
        ]
    }

    /// Processor time of one request at an entry with `waiting` waiting requests.
    ///
    /// The series by waiting requests is measured with 15 agents, so the time of further agents is
    /// added.
    pub fn entry_decision_ns(&self, size: &FleetSize, waiting: f64) -> f64 {
        let extra_ns =
            self.entry_by_agents.cost_at(size.targets / 24.0) - self.entry_by_agents.cost_at(15.0);
        self.entry_by_waiting.cost_at(waiting) + extra_ns.max(0.0)
    }

    /// Processor time of a message and its answer, for both ends together, in nanoseconds.
    pub fn exchange_ns(&self) -> f64 {
        self.link.heartbeat_ns.fit.slope
    }

    /// Bytes of a heartbeat and its answer, including all headers.
    pub fn heartbeat_bytes(&self) -> f64 {
        self.link.heartbeat_bytes.fit.slope
    }

    /// Bytes that a request to control and its reply add to their bodies: headers, stream setup and
    /// acknowledgements.
    pub fn request_overhead_bytes(&self) -> f64 {
        self.link.request_bytes.fit.slope
    }

    /// Bytes of the headers and acknowledgements of a message and its answer.
    pub fn overhead_bytes(&self) -> f64 {
        self.heartbeat_bytes() - 2.0 * self.message_sizes.ping
    }

    /// Bytes of a renewal and of a reply without changes, including all headers.
    pub fn renewal_bytes(&self) -> f64 {
        self.message_sizes.renew + self.message_sizes.renewed + self.request_overhead_bytes()
    }
}
