//! Computes the costs of each role at the size of a fleet from the measured slopes.

use entry::{LinkPurpose, PING_INTERVAL};

use crate::fleet::FleetSize;
use crate::measured::MeasuredCosts;

/// Interval at which a node renews its lease.
const RENEWAL_INTERVAL_MS: f64 = 500.0;

const RENEWALS_PER_S: f64 = 1000.0 / RENEWAL_INTERVAL_MS;

/// Maximum time to the first token. A run sends nothing until then.
const MAX_FIRST_TOKEN_S: f64 = 1.2;

/// Rate at which each target publishes changes of its state in the directory: one change of its
/// limit every 10 s.
const TARGET_CHANGES_PER_S: f64 = 0.1;

/// Time for which call records are kept.
const CALL_RECORD_RETENTION_S: f64 = 3_600.0;

/// One kind of control work of a role.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkRow {
    /// Description of the work, as the page shows it.
    pub work: &'static str,
    /// Messages or mechanism that cause the work, as the page shows them.
    pub mechanism: &'static str,
    /// How often the work is done, per second.
    pub rate_per_s: f64,
    /// Processor time in nanoseconds per second.
    pub cpu_ns_per_s: f64,
    /// Traffic in bytes per second, both directions.
    pub traffic_bytes_per_s: f64,
    /// Heap memory in bytes.
    pub memory_bytes: f64,
}

/// Control work of one role.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleCosts {
    /// Name of the role, as the page shows it.
    pub role: &'static str,
    /// Whether the budget of a node applies; hosts set aside for control have no budget.
    pub has_budget: bool,
    /// Kinds of control work of the role.
    pub rows: Vec<WorkRow>,
}

impl RoleCosts {
    /// Processor time of all rows in nanoseconds per second.
    pub fn cpu_ns_per_s(&self) -> f64 {
        self.rows.iter().map(|row| row.cpu_ns_per_s).sum()
    }

    /// Traffic of all rows in bytes per second, both directions.
    pub fn traffic_bytes_per_s(&self) -> f64 {
        self.rows.iter().map(|row| row.traffic_bytes_per_s).sum()
    }

    /// Heap memory of all rows in bytes.
    pub fn memory_bytes(&self) -> f64 {
        self.rows.iter().map(|row| row.memory_bytes).sum()
    }
}

/// Computes the costs of entries, agents and control hosts.
pub fn role_costs(size: &FleetSize, measured: &MeasuredCosts) -> Vec<RoleCosts> {
    vec![
        entry_costs(size, measured),
        agent_costs(size, measured),
        control_costs(size, measured),
    ]
}

fn entry_costs(size: &FleetSize, measured: &MeasuredCosts) -> RoleCosts {
    let requests_per_s = size.requests_per_s / size.entries();
    let waiting = size.waiting_requests() / size.entries();
    let rows = vec![
        late_binding_row(
            size,
            measured,
            requests_per_s,
            measured.entry_decision_ns(size, waiting),
        ),
        heartbeats_row(
            size,
            measured,
            size.running_requests() / size.entries(),
            size.connections_per_entry(),
        ),
        renewal_row(measured, size.targets * TARGET_CHANGES_PER_S),
        configuration_row(size, measured),
    ];
    RoleCosts {
        role: "entry",
        has_budget: true,
        rows,
    }
}

fn agent_costs(size: &FleetSize, measured: &MeasuredCosts) -> RoleCosts {
    let requests_per_s = size.requests_per_s / size.targets;
    let held = size.offers_per_agent();
    let rows = vec![
        late_binding_row(
            size,
            measured,
            requests_per_s,
            measured.agent_decision.cost_at(held),
        ),
        usage_reports_row(size, measured),
        heartbeats_row(
            size,
            measured,
            size.running_requests() / size.targets,
            size.connections_per_agent(),
        ),
        renewal_row(measured, 0.0),
        configuration_row(size, measured),
    ];
    RoleCosts {
        role: "agent",
        has_budget: true,
        rows,
    }
}

fn control_costs(size: &FleetSize, measured: &MeasuredCosts) -> RoleCosts {
    let nodes_per_host = (size.entries() + size.targets) / size.control_hosts;
    let directory_changes_per_s = size.targets * TARGET_CHANGES_PER_S;
    let renewals_per_s = nodes_per_host * RENEWALS_PER_S;
    let entries_per_host = size.entries() / size.control_hosts;
    let directory_bytes_per_s =
        measured.directory_change_bytes.fit.slope * directory_changes_per_s * entries_per_host;
    let calls_per_s = size.requests_per_s * size.recorded_fraction;
    let log_entry_bytes = 400.0;
    let rows = vec![
        WorkRow {
            work: "renewals of its share of the nodes",
            mechanism: "`Renew`, `Renewed`; directory changes only",
            rate_per_s: renewals_per_s,
            cpu_ns_per_s: renewals_per_s * measured.exchange_ns() / 2.0,
            traffic_bytes_per_s: renewals_per_s * measured.renewal_bytes() + directory_bytes_per_s,
            memory_bytes: measured
                .directory_memory
                .cost_at(size.entries() + size.targets),
        },
        usage_homes_row(size, measured),
        WorkRow {
            work: "records of calls that may not be repeated (leader)",
            mechanism: "replicated log, two entries for each call",
            rate_per_s: 2.0 * calls_per_s,
            cpu_ns_per_s: calls_per_s
                * measured
                    .record_call
                    .cost_at(calls_per_s * CALL_RECORD_RETENTION_S)
                + 2.0 * calls_per_s * (size.control_hosts - 1.0) * measured.exchange_ns() / 2.0,
            traffic_bytes_per_s: 2.0
                * calls_per_s
                * (size.control_hosts - 1.0)
                * (log_entry_bytes + measured.overhead_bytes()),
            memory_bytes: measured
                .call_record_memory
                .cost_at((calls_per_s * CALL_RECORD_RETENTION_S).min(200_000.0)),
        },
        WorkRow {
            work: "configuration changes (leader)",
            mechanism: "difference of the services text in the replicated log",
            rate_per_s: size.changes_per_day / 86_400.0,
            cpu_ns_per_s: size.changes_per_day / 86_400.0
                * (measured.change_organisation.cost_at(size.organisations)
                    + measured.diff_services_text.cost_at(size.organisations)),
            traffic_bytes_per_s: size.changes_per_day / 86_400.0
                * log_entry_bytes
                * (size.control_hosts - 1.0 + nodes_per_host),
            memory_bytes: measured.services_text_memory.cost_at(size.organisations),
        },
        WorkRow {
            work: "heartbeats of the replicated log (leader)",
            mechanism: "empty append each 100 ms to each member",
            rate_per_s: 10.0 * (size.control_hosts - 1.0),
            cpu_ns_per_s: 10.0 * (size.control_hosts - 1.0) * measured.exchange_ns() / 2.0,
            traffic_bytes_per_s: 10.0
                * (size.control_hosts - 1.0)
                * (120.0 + measured.overhead_bytes()),
            memory_bytes: 0.0,
        },
    ];
    RoleCosts {
        role: "control (set aside)",
        has_budget: false,
        rows,
    }
}

fn late_binding_row(
    size: &FleetSize,
    measured: &MeasuredCosts,
    requests_per_s: f64,
    decision_ns: f64,
) -> WorkRow {
    let messages = 2.0 * size.offers_per_request() + 1.0;
    let bytes = size.offers_per_request()
        * (measured.message_sizes.offer + measured.message_sizes.withdraw)
        + measured.message_sizes.withdraw
        + messages * measured.overhead_bytes() / 2.0;
    WorkRow {
        work: "find a target for each request",
        mechanism: "`Offer`, `Claim`, `Withdraw`",
        rate_per_s: requests_per_s,
        cpu_ns_per_s: requests_per_s * (decision_ns + messages * measured.exchange_ns() / 4.0),
        traffic_bytes_per_s: requests_per_s * bytes,
        memory_bytes: 0.0,
    }
}

/// Round of usage reports of one agent: one report to each control host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReportRound {
    /// Flows with offers at the agent, which every round reports.
    pub(crate) flows: f64,
    /// Bytes of the reports and replies of a round, including all headers.
    pub(crate) bytes: f64,
    /// Interval between two rounds, long enough that the report traffic does not exceed
    /// `fair::MAX_REPORT_BYTES_PER_S`.
    pub(crate) interval_s: f64,
}

impl ReportRound {
    /// Estimates a round at the size of a fleet.
    pub(crate) fn estimate(size: &FleetSize, measured: &MeasuredCosts) -> Self {
        // Runs of backlogged organisations add no flows: their waiting requests are offered to all
        // agents of the service, so these flows already have offers here.
        let flows = size.flows_per_agent();
        let other_runs = size.running_requests() / size.targets * (1.0 - size.backlogged_fraction);
        let flow_bytes =
            measured.usage_report_bytes.fit.slope + measured.usage_totals_bytes.fit.slope;
        let message_bytes = measured.usage_report_bytes.fit.base
            + measured.usage_totals_bytes.fit.base
            + measured.request_overhead_bytes();
        // The flows of the other runs are reported at a fixed interval, not in every round.
        let running_bytes_per_s = other_runs * measured.usage_report_bytes.fit.slope
            / fair::RUNNING_REPORT_INTERVAL.as_secs_f64();
        let bytes = flows * flow_bytes + size.control_hosts * message_bytes;
        let round_bytes_per_s = fair::MAX_REPORT_BYTES_PER_S as f64 - running_bytes_per_s;
        let interval_s = (bytes / round_bytes_per_s).max(fair::REPORT_INTERVAL.as_secs_f64());
        Self {
            flows,
            bytes: bytes + running_bytes_per_s * interval_s,
            interval_s,
        }
    }
}

fn usage_reports_row(size: &FleetSize, measured: &MeasuredCosts) -> WorkRow {
    let round = ReportRound::estimate(size, measured);
    let rounds_per_s = 1.0 / round.interval_s;
    let flows = size.flows_per_agent() + size.running_requests() / size.targets;
    let tokens = size.tokens_per_s / size.targets;
    WorkRow {
        work: "usage reports, and charges of tokens",
        mechanism: "`UsageReport`, `UsageTotals`, paced to 3 KB/s",
        rate_per_s: rounds_per_s * size.control_hosts,
        cpu_ns_per_s: rounds_per_s
            * (measured.make_report.cost_at(flows)
                + size.control_hosts * measured.exchange_ns() / 2.0)
            + tokens * measured.charge.cost_at(flows),
        traffic_bytes_per_s: rounds_per_s * round.bytes,
        memory_bytes: measured.usage_ledger_memory.cost_at(flows),
    }
}

fn usage_homes_row(size: &FleetSize, measured: &MeasuredCosts) -> WorkRow {
    let round = ReportRound::estimate(size, measured);
    // In each round every agent sends one report to every control host.
    let rate_per_s = size.targets / round.interval_s;
    let counts = size.targets * (size.flows_per_agent() + size.running_requests() / size.targets);
    WorkRow {
        work: "usage homes of its share of the flows",
        mechanism: "`UsageReport`, `UsageTotals`",
        rate_per_s,
        cpu_ns_per_s: rate_per_s
            * (measured
                .apply_report
                .cost_at(round.flows / size.control_hosts)
                + measured.exchange_ns() / 2.0),
        traffic_bytes_per_s: rate_per_s * round.bytes / size.control_hosts,
        memory_bytes: measured
            .usage_home_memory
            .cost_at(counts / size.control_hosts),
    }
}

fn heartbeats_row(
    size: &FleetSize,
    measured: &MeasuredCosts,
    running: f64,
    connections: f64,
) -> WorkRow {
    // Tokens show that a connection is alive, so only runs before their first token need pings.
    let duration_s = size.running_requests() / size.requests_per_s;
    let runs_without_token = running * (MAX_FIRST_TOKEN_S / duration_s).min(1.0);
    let paced_pings_per_s = connections
        / LinkPurpose::Offers {
            link_count: size.connections_per_entry() as usize,
        }
        .ping_interval()
        .expect("connections with offers have a ping interval")
        .as_secs_f64();
    let rate_per_s = runs_without_token / PING_INTERVAL.as_secs_f64() + paced_pings_per_s;
    WorkRow {
        work: "heartbeats on connections that are silent while requests run or wait",
        mechanism: "`Ping`, `Pong` (`PingPlan`)",
        rate_per_s,
        cpu_ns_per_s: rate_per_s * measured.exchange_ns() / 2.0,
        traffic_bytes_per_s: rate_per_s * measured.heartbeat_bytes(),
        memory_bytes: 0.0,
    }
}

fn renewal_row(measured: &MeasuredCosts, directory_changes_per_s: f64) -> WorkRow {
    WorkRow {
        work: "lease and directory",
        mechanism: "`Renew`, `Renewed` with changes only",
        rate_per_s: RENEWALS_PER_S,
        cpu_ns_per_s: RENEWALS_PER_S * measured.exchange_ns() / 2.0,
        traffic_bytes_per_s: RENEWALS_PER_S * measured.renewal_bytes()
            + directory_changes_per_s * measured.directory_change_bytes.fit.slope,
        memory_bytes: if directory_changes_per_s > 0.0 {
            measured.directory_memory.cost_at(1_003.0)
        } else {
            0.0
        },
    }
}

fn configuration_row(size: &FleetSize, measured: &MeasuredCosts) -> WorkRow {
    let rate_per_s = size.changes_per_day / 86_400.0;
    WorkRow {
        work: "configuration",
        mechanism: "changes since the node's version, in `Renewed`",
        rate_per_s,
        cpu_ns_per_s: rate_per_s * measured.change_organisation.cost_at(1.0),
        traffic_bytes_per_s: rate_per_s * 400.0,
        memory_bytes: measured.services_text_memory.cost_at(size.organisations),
    }
}
