//! All measured series, by the name under which `capacity` uses them.

use eyre::Result;

use crate::fleet::FleetSize;
use crate::links::LinkCosts;
use crate::messages::MessageSizes;
use crate::slope::SlopeSeries;
use crate::{decisions, messages, meter, state};

/// Everything that one run has measured.
#[derive(Debug, Clone, PartialEq)]
pub struct Measured {
    /// Time of the reference operation in nanoseconds.
    pub reference_ns: f64,
    /// Sizes of messages that do not grow.
    pub sizes: MessageSizes,
    /// Heartbeats over a real link.
    pub link: LinkCosts,
    /// A request at an agent, by offers held.
    pub agent_decision: SlopeSeries,
    /// A request at an entry, by waiting requests.
    pub by_waiting: SlopeSeries,
    /// A request at an entry, by agents.
    pub by_agents: SlopeSeries,
    /// A chunk charged, by flows.
    pub charge: SlopeSeries,
    /// A usage report made, by flows.
    pub make_report: SlopeSeries,
    /// A usage report taken, by flows.
    pub take_report: SlopeSeries,
    /// Change of one organisation, by organisations.
    pub change: SlopeSeries,
    /// Comparison of two texts, by organisations.
    pub compare: SlopeSeries,
    /// A recorded call, by records.
    pub record_call: SlopeSeries,
    /// Memory of the services text, by organisations.
    pub text_memory: SlopeSeries,
    /// Memory of call records, by records.
    pub call_memory: SlopeSeries,
    /// Memory of counters, by flows.
    pub flow_memory: SlopeSeries,
    /// Memory of a usage home, by counts of a reporter for a flow.
    pub home_memory: SlopeSeries,
    /// Memory of the directory, by nodes.
    pub node_memory: SlopeSeries,
    /// Size of a usage report, by flows.
    pub report: SlopeSeries,
    /// Size of the answer to a usage report, by flows.
    pub totals_reply: SlopeSeries,
    /// Size of the whole configuration, by organisations.
    pub whole_configuration: SlopeSeries,
    /// Size of a directory change, by nodes.
    pub directory: SlopeSeries,
}

impl Measured {
    /// Measures everything; takes about a minute.
    pub fn measure() -> Result<Self> {
        let [
            agent_decision,
            by_waiting,
            by_agents,
            charge,
            make_report,
            take_report,
        ] = decisions::measure();
        let [change, compare, record_call] = state::times();
        let [
            text_memory,
            call_memory,
            flow_memory,
            home_memory,
            node_memory,
        ] = state::memory();
        let [report, totals_reply, directory] = messages::measure();
        Ok(Self {
            reference_ns: meter::reference_time(),
            sizes: MessageSizes::measure(),
            link: LinkCosts::measure()?,
            agent_decision,
            by_waiting,
            by_agents,
            charge,
            make_report,
            take_report,
            change,
            compare,
            record_call,
            text_memory,
            call_memory,
            flow_memory,
            home_memory,
            node_memory,
            report,
            totals_reply,
            whole_configuration: state::whole_configuration(),
            directory,
        })
    }

    /// All series in the order of the page.
    pub fn series(&self) -> Vec<&SlopeSeries> {
        vec![
            &self.agent_decision,
            &self.by_waiting,
            &self.by_agents,
            &self.charge,
            &self.make_report,
            &self.take_report,
            &self.change,
            &self.compare,
            &self.record_call,
            &self.link.time,
            &self.link.bytes,
            &self.link.batch_bytes,
            &self.link.request_bytes,
            &self.report,
            &self.totals_reply,
            &self.directory,
            &self.whole_configuration,
            &self.text_memory,
            &self.call_memory,
            &self.flow_memory,
            &self.home_memory,
            &self.node_memory,
        ]
    }

    /// Time of one decision of an entry in nanoseconds.
    pub fn entry_decision(&self, size: &FleetSize, waiting: f64) -> f64 {
        let more_agents = self.by_agents.at(size.targets / 24.0) - self.by_agents.at(15.0);
        self.by_waiting.at(waiting) + more_agents.max(0.0)
    }

    /// Processor time of a message and its answer at both ends together, in nanoseconds.
    pub fn exchange_ns(&self) -> f64 {
        self.link.time.fit.slope
    }

    /// Bytes of a heartbeat and its answer with all headers.
    pub fn heartbeat_bytes(&self) -> f64 {
        self.link.bytes.fit.slope
    }

    /// Bytes of headers, first frames and acknowledgements of a request to control and its reply.
    pub fn request_overhead_bytes(&self) -> f64 {
        self.link.request_bytes.fit.slope
    }

    /// Bytes of headers and acknowledgements of a message and its answer.
    pub fn overhead_bytes(&self) -> f64 {
        self.heartbeat_bytes() - 2.0 * self.sizes.ping
    }

    /// Bytes of a renewal and its answer without news, with all headers.
    pub fn renewal_bytes(&self) -> f64 {
        self.sizes.renew + self.sizes.renewed + self.request_overhead_bytes()
    }
}
