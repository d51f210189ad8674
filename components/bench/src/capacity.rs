//! What the measured slopes come to for each role at the size of the fleet.

use entry::{LinkDuty, PING_INTERVAL};

use crate::fleet::FleetSize;
use crate::measured::MeasuredCosts;

/// Interval of renewals, in milliseconds.
const CONTROL_INTERVAL_MS: f64 = 500.0;

/// Renewals each second.
const ROUNDS: f64 = 1000.0 / CONTROL_INTERVAL_MS;

/// Longest time to the first token, in which a run may be silent.
const FIRST_TOKEN_SECONDS: f64 = 1.2;

/// Changes of a target's state that are worth a line in the directory, for each target each second:
/// a change of the limit each 10 s.
const TARGET_CHANGES: f64 = 0.1;

/// Seconds that call records are kept.
const RECORD_SECONDS: f64 = 3_600.0;

/// One kind of control work of a role.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkRow {
    /// What is done.
    pub work: &'static str,
    /// Mechanism that carries it.
    pub mechanism: &'static str,
    /// Times each second.
    pub rate_per_s: f64,
    /// Processor time in nanoseconds each second.
    pub cpu_ns_per_s: f64,
    /// Traffic in bytes each second, both directions.
    pub traffic_bytes_per_s: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
}

/// Control work of one role.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleCosts {
    /// Name of the role.
    pub role: &'static str,
    /// Whether the budget of a node binds it; hosts set aside for control have none.
    pub has_budget: bool,
    /// Kinds of work.
    pub rows: Vec<WorkRow>,
}

impl RoleCosts {
    /// Processor time in nanoseconds each second.
    pub fn cpu_ns_per_s(&self) -> f64 {
        self.rows.iter().map(|row| row.cpu_ns_per_s).sum()
    }

    /// Traffic in bytes each second.
    pub fn traffic_bytes_per_s(&self) -> f64 {
        self.rows.iter().map(|row| row.traffic_bytes_per_s).sum()
    }

    /// Memory in bytes.
    pub fn memory_bytes(&self) -> f64 {
        self.rows.iter().map(|row| row.memory_bytes).sum()
    }
}

/// Works out the costs of all roles.
pub fn role_costs(size: &FleetSize, measured: &MeasuredCosts) -> Vec<RoleCosts> {
    vec![
        entry(size, measured),
        agent(size, measured),
        control(size, measured),
    ]
}

fn entry(size: &FleetSize, measured: &MeasuredCosts) -> RoleCosts {
    let requests = size.requests_per_s / size.entries();
    let waiting = size.waiting_requests() / size.entries();
    let rows = vec![
        late_binding(
            size,
            measured,
            requests,
            measured.entry_decision(size, waiting),
        ),
        heartbeats(
            size,
            measured,
            size.running_requests() / size.entries(),
            size.connections_per_entry(),
        ),
        renewal(measured, size.targets * TARGET_CHANGES),
        configuration(size, measured),
    ];
    RoleCosts {
        role: "entry",
        has_budget: true,
        rows,
    }
}

fn agent(size: &FleetSize, measured: &MeasuredCosts) -> RoleCosts {
    let requests = size.requests_per_s / size.targets;
    let held = size.offers_per_agent();
    let rows = vec![
        late_binding(
            size,
            measured,
            requests,
            measured.agent_decision.cost_at(held),
        ),
        usage(size, measured),
        heartbeats(
            size,
            measured,
            size.running_requests() / size.targets,
            size.connections_per_agent(),
        ),
        renewal(measured, 0.0),
        configuration(size, measured),
    ];
    RoleCosts {
        role: "agent",
        has_budget: true,
        rows,
    }
}

fn control(size: &FleetSize, measured: &MeasuredCosts) -> RoleCosts {
    let nodes = (size.entries() + size.targets) / size.control_hosts;
    let changes = size.targets * TARGET_CHANGES;
    let renewals = nodes * ROUNDS;
    let entries = size.entries() / size.control_hosts;
    let news = measured.directory_change_bytes.fit.slope * changes * entries;
    let calls = size.requests_per_s * size.recorded_fraction;
    let entry_bytes = 400.0;
    let rows = vec![
        WorkRow {
            work: "renewals of its share of the nodes",
            mechanism: "`Renew`, `Renewed`; directory changes only",
            rate_per_s: renewals,
            cpu_ns_per_s: renewals * measured.exchange_ns() / 2.0,
            traffic_bytes_per_s: renewals * measured.renewal_bytes() + news,
            memory_bytes: measured
                .directory_memory
                .cost_at(size.entries() + size.targets),
        },
        homes(size, measured),
        WorkRow {
            work: "records of calls that may not be repeated (leader)",
            mechanism: "replicated log, two entries for each call",
            rate_per_s: 2.0 * calls,
            cpu_ns_per_s: calls * measured.record_call.cost_at(calls * RECORD_SECONDS)
                + 2.0 * calls * (size.control_hosts - 1.0) * measured.exchange_ns() / 2.0,
            traffic_bytes_per_s: 2.0
                * calls
                * (size.control_hosts - 1.0)
                * (entry_bytes + measured.overhead_bytes()),
            memory_bytes: measured
                .call_record_memory
                .cost_at((calls * RECORD_SECONDS).min(200_000.0)),
        },
        WorkRow {
            work: "configuration changes (leader)",
            mechanism: "difference of the services text in the replicated log",
            rate_per_s: size.changes_per_day / 86_400.0,
            cpu_ns_per_s: size.changes_per_day / 86_400.0
                * (measured.change_organisation.cost_at(size.organisations)
                    + measured.diff_services_text.cost_at(size.organisations)),
            traffic_bytes_per_s: size.changes_per_day / 86_400.0
                * entry_bytes
                * (size.control_hosts - 1.0 + nodes),
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

fn late_binding(
    size: &FleetSize,
    measured: &MeasuredCosts,
    requests: f64,
    decision: f64,
) -> WorkRow {
    let messages = 2.0 * size.offers_per_request() + 1.0;
    let bytes = size.offers_per_request()
        * (measured.message_sizes.offer + measured.message_sizes.withdraw)
        + measured.message_sizes.withdraw
        + messages * measured.overhead_bytes() / 2.0;
    WorkRow {
        work: "find a target for each request",
        mechanism: "`Offer`, `Claim`, `Withdraw`",
        rate_per_s: requests,
        cpu_ns_per_s: requests * (decision + messages * measured.exchange_ns() / 4.0),
        traffic_bytes_per_s: requests * bytes,
        memory_bytes: 0.0,
    }
}

/// Usage reports of one agent, without the pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReportRound {
    /// Flows in each round.
    pub(crate) flows: f64,
    /// Bytes of the reports and answers of a round, with all headers.
    pub(crate) bytes: f64,
    /// Seconds between two rounds.
    pub(crate) interval_s: f64,
}

impl ReportRound {
    /// Works out a round at the size of the fleet.
    pub(crate) fn of(size: &FleetSize, measured: &MeasuredCosts) -> Self {
        // A run of a backlogged organisation belongs to one of the flows with offers: waiting
        // requests are offered to all agents of the service.
        let flows = size.flows_per_agent();
        let others = size.running_requests() / size.targets * (1.0 - size.backlogged_fraction);
        let flow_bytes =
            measured.usage_report_bytes.fit.slope + measured.usage_totals_bytes.fit.slope;
        let message_bytes = measured.usage_report_bytes.fit.base
            + measured.usage_totals_bytes.fit.base
            + measured.request_overhead_bytes();
        // The other runs are reported by time, whatever the interval of rounds.
        let slow = others * measured.usage_report_bytes.fit.slope
            / fair::RUNNING_REPORT_INTERVAL.as_secs_f64();
        let bytes = flows * flow_bytes + size.control_hosts * message_bytes;
        let rate = fair::MAX_REPORT_BYTES_PER_S as f64 - slow;
        let interval_s = (bytes / rate).max(fair::REPORT_INTERVAL.as_secs_f64());
        Self {
            flows,
            bytes: bytes + slow * interval_s,
            interval_s,
        }
    }
}

fn usage(size: &FleetSize, measured: &MeasuredCosts) -> WorkRow {
    let round = ReportRound::of(size, measured);
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

fn homes(size: &FleetSize, measured: &MeasuredCosts) -> WorkRow {
    let round = ReportRound::of(size, measured);
    // Each agent asks each control node in each round.
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

fn heartbeats(
    size: &FleetSize,
    measured: &MeasuredCosts,
    running: f64,
    connections: f64,
) -> WorkRow {
    // Tokens prove a connection alive, so that only requests before their first token need pings.
    let duration_s = size.running_requests() / size.requests_per_s;
    let silent = running * (FIRST_TOKEN_SECONDS / duration_s).min(1.0);
    let paced = connections
        / LinkDuty::Offers {
            links: size.connections_per_entry() as usize,
        }
        .interval()
        .expect("connections with offers are pinged")
        .as_secs_f64();
    let rate_per_s = silent / PING_INTERVAL.as_secs_f64() + paced;
    WorkRow {
        work: "heartbeats on connections that are silent while requests run or wait",
        mechanism: "`Ping`, `Pong` (`PingPlan`)",
        rate_per_s,
        cpu_ns_per_s: rate_per_s * measured.exchange_ns() / 2.0,
        traffic_bytes_per_s: rate_per_s * measured.heartbeat_bytes(),
        memory_bytes: 0.0,
    }
}

fn renewal(measured: &MeasuredCosts, directory_changes: f64) -> WorkRow {
    WorkRow {
        work: "lease and directory",
        mechanism: "`Renew`, `Renewed` with changes only",
        rate_per_s: ROUNDS,
        cpu_ns_per_s: ROUNDS * measured.exchange_ns() / 2.0,
        traffic_bytes_per_s: ROUNDS * measured.renewal_bytes()
            + directory_changes * measured.directory_change_bytes.fit.slope,
        memory_bytes: if directory_changes > 0.0 {
            measured.directory_memory.cost_at(1_003.0)
        } else {
            0.0
        },
    }
}

fn configuration(size: &FleetSize, measured: &MeasuredCosts) -> WorkRow {
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
