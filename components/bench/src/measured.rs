//! All measured series, by the name under which `capacity` uses them.

use eyre::Result;

use crate::fleet::FleetSize;
use crate::links::LinkCosts;
use crate::messages::MessageSizes;
use crate::slope::SlopeSeries;
use crate::{decisions, messages, meter, state};

/// Everything that one run has measured.
#[derive(Debug, Clone, PartialEq)]
pub struct MeasuredCosts {
    /// Time of the reference operation in nanoseconds.
    pub reference_ns: f64,
    /// Sizes of messages that do not grow.
    pub message_sizes: MessageSizes,
    /// Heartbeats over a real link.
    pub link: LinkCosts,
    /// A request at an agent, by offers held.
    pub agent_decision: SlopeSeries,
    /// A request at an entry, by waiting requests.
    pub entry_by_waiting: SlopeSeries,
    /// A request at an entry, by agents.
    pub entry_by_agents: SlopeSeries,
    /// A chunk charged, by flows.
    pub charge: SlopeSeries,
    /// A usage report made, by flows.
    pub make_report: SlopeSeries,
    /// A usage report taken, by flows.
    pub apply_report: SlopeSeries,
    /// Change of one organisation, by organisations.
    pub change_organisation: SlopeSeries,
    /// Comparison of two texts, by organisations.
    pub diff_services_text: SlopeSeries,
    /// A recorded call, by records.
    pub record_call: SlopeSeries,
    /// Memory of the services text, by organisations.
    pub services_text_memory: SlopeSeries,
    /// Memory of call records, by records.
    pub call_record_memory: SlopeSeries,
    /// Memory of counters, by flows.
    pub usage_ledger_memory: SlopeSeries,
    /// Memory of a usage home, by counts of a reporter for a flow.
    pub usage_home_memory: SlopeSeries,
    /// Memory of the directory, by nodes.
    pub directory_memory: SlopeSeries,
    /// Size of a usage report, by flows.
    pub usage_report_bytes: SlopeSeries,
    /// Size of the answer to a usage report, by flows.
    pub usage_totals_bytes: SlopeSeries,
    /// Size of the whole configuration, by organisations.
    pub configuration_bytes: SlopeSeries,
    /// Size of a directory change, by nodes.
    pub directory_change_bytes: SlopeSeries,
}

impl MeasuredCosts {
    /// Measures everything; takes about a minute.
    pub fn measure() -> Result<Self> {
        let [
            agent_decision,
            entry_by_waiting,
            entry_by_agents,
            charge,
            make_report,
            apply_report,
        ] = decisions::measure();
        let [change_organisation, diff_services_text, record_call] = state::times();
        let [
            services_text_memory,
            call_record_memory,
            usage_ledger_memory,
            usage_home_memory,
            directory_memory,
        ] = state::memory();
        let [
            usage_report_bytes,
            usage_totals_bytes,
            directory_change_bytes,
        ] = messages::measure();
        Ok(Self {
            reference_ns: meter::reference_time(),
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
            configuration_bytes: state::whole_configuration(),
            directory_change_bytes,
        })
    }

    /// All series in the order of the page.
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

    /// Time of one decision of an entry in nanoseconds.
    pub fn entry_decision(&self, size: &FleetSize, waiting: f64) -> f64 {
        let more_agents =
            self.entry_by_agents.cost_at(size.targets / 24.0) - self.entry_by_agents.cost_at(15.0);
        self.entry_by_waiting.cost_at(waiting) + more_agents.max(0.0)
    }

    /// Processor time of a message and its answer at both ends together, in nanoseconds.
    pub fn exchange_ns(&self) -> f64 {
        self.link.heartbeat_ns.fit.slope
    }

    /// Bytes of a heartbeat and its answer with all headers.
    pub fn heartbeat_bytes(&self) -> f64 {
        self.link.heartbeat_bytes.fit.slope
    }

    /// Bytes of headers, first frames and acknowledgements of a request to control and its reply.
    pub fn request_overhead_bytes(&self) -> f64 {
        self.link.request_bytes.fit.slope
    }

    /// Bytes of headers and acknowledgements of a message and its answer.
    pub fn overhead_bytes(&self) -> f64 {
        self.heartbeat_bytes() - 2.0 * self.message_sizes.ping
    }

    /// Bytes of a renewal and its answer without news, with all headers.
    pub fn renewal_bytes(&self) -> f64 {
        self.message_sizes.renew + self.message_sizes.renewed + self.request_overhead_bytes()
    }
}
