//! What the measured slopes come to for each role at the size of the fleet.

use entry::{LinkPurpose, PING_INTERVAL};

use crate::fleet::FleetSize;
use crate::measured::Measured;

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
    pub rate: f64,
    /// Processor time in nanoseconds each second.
    pub time_ns: f64,
    /// Traffic in bytes each second, both directions.
    pub traffic: f64,
    /// Memory in bytes.
    pub memory: f64,
}

/// Control work of one role.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleCosts {
    /// Name of the role.
    pub role: &'static str,
    /// Whether the budget of a node binds it; hosts set aside for control have none.
    pub is_budgeted: bool,
    /// Kinds of work.
    pub rows: Vec<WorkRow>,
}

impl RoleCosts {
    /// Processor time in nanoseconds each second.
    pub fn time_ns(&self) -> f64 {
        self.rows.iter().map(|row| row.time_ns).sum()
    }

    /// Traffic in bytes each second.
    pub fn traffic(&self) -> f64 {
        self.rows.iter().map(|row| row.traffic).sum()
    }

    /// Memory in bytes.
    pub fn memory(&self) -> f64 {
        self.rows.iter().map(|row| row.memory).sum()
    }
}

/// Works out the costs of all roles.
pub fn roles(size: &FleetSize, measured: &Measured) -> Vec<RoleCosts> {
    vec![
        entry(size, measured),
        agent(size, measured),
        control(size, measured),
    ]
}

fn entry(size: &FleetSize, measured: &Measured) -> RoleCosts {
    let requests = size.requests / size.entries();
    let waiting = size.waiting() / size.entries();
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
            size.running() / size.entries(),
            size.entry_connections(),
        ),
        renewal(measured, size.targets * TARGET_CHANGES),
        configuration(size, measured),
    ];
    RoleCosts {
        role: "entry",
        is_budgeted: true,
        rows,
    }
}

fn agent(size: &FleetSize, measured: &Measured) -> RoleCosts {
    let requests = size.requests / size.targets;
    let held = size.offers_held();
    let rows = vec![
        late_binding(size, measured, requests, measured.agent_decision.at(held)),
        usage(size, measured),
        heartbeats(
            size,
            measured,
            size.running() / size.targets,
            size.agent_connections(),
        ),
        renewal(measured, 0.0),
        configuration(size, measured),
    ];
    RoleCosts {
        role: "agent",
        is_budgeted: true,
        rows,
    }
}

fn control(size: &FleetSize, measured: &Measured) -> RoleCosts {
    let nodes = (size.entries() + size.targets) / size.controls;
    let changes = size.targets * TARGET_CHANGES;
    let renewals = nodes * ROUNDS;
    let entries = size.entries() / size.controls;
    let news = measured.directory.fit.slope * changes * entries;
    let calls = size.requests * size.recorded_share;
    let entry_bytes = 400.0;
    let rows = vec![
        WorkRow {
            work: "renewals of its share of the nodes",
            mechanism: "`Renew`, `Renewed`; directory changes only",
            rate: renewals,
            time_ns: renewals * measured.exchange_ns() / 2.0,
            traffic: renewals * measured.renewal_bytes() + news,
            memory: measured.node_memory.at(size.entries() + size.targets),
        },
        homes(size, measured),
        WorkRow {
            work: "records of calls that may not be repeated (leader)",
            mechanism: "replicated log, two entries for each call",
            rate: 2.0 * calls,
            time_ns: calls * measured.record_call.at(calls * RECORD_SECONDS)
                + 2.0 * calls * (size.controls - 1.0) * measured.exchange_ns() / 2.0,
            traffic: 2.0
                * calls
                * (size.controls - 1.0)
                * (entry_bytes + measured.overhead_bytes()),
            memory: measured
                .call_memory
                .at((calls * RECORD_SECONDS).min(200_000.0)),
        },
        WorkRow {
            work: "configuration changes (leader)",
            mechanism: "difference of the services text in the replicated log",
            rate: size.changes / 86_400.0,
            time_ns: size.changes / 86_400.0
                * (measured.change.at(size.organisations)
                    + measured.compare.at(size.organisations)),
            traffic: size.changes / 86_400.0 * entry_bytes * (size.controls - 1.0 + nodes),
            memory: measured.text_memory.at(size.organisations),
        },
        WorkRow {
            work: "heartbeats of the replicated log (leader)",
            mechanism: "empty append each 100 ms to each member",
            rate: 10.0 * (size.controls - 1.0),
            time_ns: 10.0 * (size.controls - 1.0) * measured.exchange_ns() / 2.0,
            traffic: 10.0 * (size.controls - 1.0) * (120.0 + measured.overhead_bytes()),
            memory: 0.0,
        },
    ];
    RoleCosts {
        role: "control (set aside)",
        is_budgeted: false,
        rows,
    }
}

fn late_binding(size: &FleetSize, measured: &Measured, requests: f64, decision: f64) -> WorkRow {
    let messages = 2.0 * size.offers_each() + 1.0;
    let bytes = size.offers_each() * (measured.sizes.offer + measured.sizes.withdraw)
        + measured.sizes.withdraw
        + messages * measured.overhead_bytes() / 2.0;
    WorkRow {
        work: "find a target for each request",
        mechanism: "`Offer`, `Claim`, `Withdraw`",
        rate: requests,
        time_ns: requests * (decision + messages * measured.exchange_ns() / 4.0),
        traffic: requests * bytes,
        memory: 0.0,
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
    pub(crate) fn of(size: &FleetSize, measured: &Measured) -> Self {
        // A run of a backlogged organisation belongs to one of the flows with offers: waiting
        // requests are offered to all agents of the service.
        let flows = size.flows_held();
        let others = size.running() / size.targets * (1.0 - size.backlogged_runs);
        let flow_bytes = measured.report.fit.slope + measured.totals_reply.fit.slope;
        let message_bytes = measured.report.fit.base
            + measured.totals_reply.fit.base
            + measured.request_overhead_bytes();
        // The other runs are reported by time, whatever the interval of rounds.
        let slow = others * measured.report.fit.slope / fair::RUNNING_REPORT_INTERVAL.as_secs_f64();
        let bytes = flows * flow_bytes + size.controls * message_bytes;
        let rate = fair::MAX_REPORT_BYTES_PER_S as f64 - slow;
        let interval_s = (bytes / rate).max(fair::REPORT_INTERVAL.as_secs_f64());
        Self {
            flows,
            bytes: bytes + slow * interval_s,
            interval_s,
        }
    }
}

fn usage(size: &FleetSize, measured: &Measured) -> WorkRow {
    let round = ReportRound::of(size, measured);
    let rate = 1.0 / round.interval_s;
    let flows = size.flows_held() + size.running() / size.targets;
    let tokens = size.tokens / size.targets;
    WorkRow {
        work: "usage reports, and charges of tokens",
        mechanism: "`UsageReport`, `UsageTotals`, paced to 3 KB/s",
        rate: rate * size.controls,
        time_ns: rate
            * (measured.make_report.at(flows) + size.controls * measured.exchange_ns() / 2.0)
            + tokens * measured.charge.at(flows),
        traffic: rate * round.bytes,
        memory: measured.flow_memory.at(flows),
    }
}

fn homes(size: &FleetSize, measured: &Measured) -> WorkRow {
    let round = ReportRound::of(size, measured);
    // Each agent asks each control node in each round.
    let rate = size.targets / round.interval_s;
    let counts = size.targets * (size.flows_held() + size.running() / size.targets);
    WorkRow {
        work: "usage homes of its share of the flows",
        mechanism: "`UsageReport`, `UsageTotals`",
        rate,
        time_ns: rate
            * (measured.take_report.at(round.flows / size.controls) + measured.exchange_ns() / 2.0),
        traffic: rate * round.bytes / size.controls,
        memory: measured.home_memory.at(counts / size.controls),
    }
}

fn heartbeats(size: &FleetSize, measured: &Measured, running: f64, connections: f64) -> WorkRow {
    // Tokens prove a connection alive, so that only requests before their first token need pings.
    let duration_s = size.running() / size.requests;
    let silent = running * (FIRST_TOKEN_SECONDS / duration_s).min(1.0);
    let paced = connections
        / LinkPurpose::Offers {
            link_count: size.entry_connections() as usize,
        }
        .ping_interval()
        .expect("connections with offers are pinged")
        .as_secs_f64();
    let rate = silent / PING_INTERVAL.as_secs_f64() + paced;
    WorkRow {
        work: "heartbeats on connections that are silent while requests run or wait",
        mechanism: "`Ping`, `Pong` (`PingPlan`)",
        rate,
        time_ns: rate * measured.exchange_ns() / 2.0,
        traffic: rate * measured.heartbeat_bytes(),
        memory: 0.0,
    }
}

fn renewal(measured: &Measured, directory_changes: f64) -> WorkRow {
    WorkRow {
        work: "lease and directory",
        mechanism: "`Renew`, `Renewed` with changes only",
        rate: ROUNDS,
        time_ns: ROUNDS * measured.exchange_ns() / 2.0,
        traffic: ROUNDS * measured.renewal_bytes()
            + directory_changes * measured.directory.fit.slope,
        memory: if directory_changes > 0.0 {
            measured.node_memory.at(1_003.0)
        } else {
            0.0
        },
    }
}

fn configuration(size: &FleetSize, measured: &Measured) -> WorkRow {
    let rate = size.changes / 86_400.0;
    WorkRow {
        work: "configuration",
        mechanism: "changes since the node's version, in `Renewed`",
        rate,
        time_ns: rate * measured.change.at(1.0),
        traffic: rate * 400.0,
        memory: measured.text_memory.at(size.organisations),
    }
}
