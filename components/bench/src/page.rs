//! Markdown of the measured part of `docs/CAPACITY.md`.

use std::fmt::{Result, Write};

use crate::capacity::{ReportRound, RoleCosts, WorkRow, role_costs};
use crate::fleet::{FleetSize, NodeBudget};
use crate::measured::MeasuredCosts;
use crate::slope::SlopeSeries;

/// Line that ends the measured part of the page. The text below it is written by hand and kept.
pub const END_MARK: &str = "<!-- end of the measured part -->";

/// Renders the measured part of the page, up to and including [`END_MARK`].
pub fn capacity_page(size: &FleetSize, measured: &MeasuredCosts) -> String {
    let mut page = String::new();
    write_page(&mut page, size, measured).expect("writing to a String does not fail");
    page
}

fn write_page(page: &mut String, size: &FleetSize, measured: &MeasuredCosts) -> Result {
    writeln!(page, "# Capacity at the size to build towards\n")?;
    writeln!(
        page,
        "Source: `cargo run --release --bin bilberry-bench -- --write docs/CAPACITY.md`"
    )?;
    writeln!(
        page,
        "measures everything again and rewrites this page up to the mark below. Sizes of"
    )?;
    writeln!(
        page,
        "messages and memory are counts. Processor times hold for one machine and one run; the"
    )?;
    writeln!(
        page,
        "reference operation (SHA-256 of 1 KiB) took {:.0} ns in it.\n",
        measured.reference_ns
    )?;
    write_size(page, size, measured)?;
    let budget = NodeBudget::GOAL;
    writeln!(page, "## Costs for each role\n")?;
    writeln!(
        page,
        "Budget of a node for control: {:.1}% of a core, {:.0} MB, {:.0} KB/s. Hosts set",
        budget.cpu_ns_per_s / 1e7,
        budget.memory_bytes / 1e6,
        budget.traffic_bytes_per_s / 1e3
    )?;
    writeln!(
        page,
        "aside for control ({:.0}) have no budget. Traffic counts both directions with all headers.\n",
        size.control_hosts
    )?;
    for role in role_costs(size, measured) {
        write_role(page, &role, &budget)?;
    }
    write_slopes(page, measured)?;
    writeln!(page, "{END_MARK}")
}

fn write_size(page: &mut String, size: &FleetSize, measured: &MeasuredCosts) -> Result {
    let round = ReportRound::estimate(size, measured);
    writeln!(page, "## Size\n")?;
    writeln!(page, "| Quantity | Value | Source |\n|---|---|---|")?;
    let rows = [
        ("nodes before the targets", size.nodes, "goal"),
        ("of these set aside for control", size.control_hosts, "goal"),
        ("targets", size.targets, "goal"),
        ("requests/s", size.requests_per_s, "goal"),
        ("tokens/s", size.tokens_per_s, "goal"),
        ("ms between tokens", size.token_interval_ms, "goal"),
        ("organisations", size.organisations, "goal"),
        (
            "backlogged organisations",
            size.backlogged_organisations,
            "goal",
        ),
        ("configuration changes a day", size.changes_per_day, "goal"),
        (
            "running requests",
            size.running_requests(),
            "tokens/s times time between tokens",
        ),
        (
            "waiting requests of a backlogged organisation",
            size.waiting_per_organisation,
            "assumed",
        ),
        (
            "share of requests that may not be repeated",
            size.recorded_fraction,
            "assumed",
        ),
        ("services", size.services, "goal (models)"),
        (
            "agents that a request is offered to if it is claimed at once",
            size.wave_size,
            "wave size",
        ),
        (
            "agents that a waiting request is offered to",
            size.agents_per_service(),
            "all of its service, a wave each 20 ms",
        ),
        (
            "connections of an entry with open requests",
            size.connections_per_entry(),
            "running and offered requests at random agents",
        ),
        (
            "share of the requests whose organisations are backlogged",
            size.backlogged_fraction,
            "assumed",
        ),
        (
            "flows in a report round of an agent",
            round.flows,
            "one for each backlogged organisation of the service",
        ),
        (
            "bytes of a report round of an agent",
            round.bytes,
            "measured slopes",
        ),
        (
            "seconds between two report rounds of an agent",
            round.interval_s,
            "pace of 3 KB/s",
        ),
    ];
    for (name, value, source) in rows {
        writeln!(page, "| {name} | {} | {source} |", format_number(value))?;
    }
    writeln!(page)
}

fn write_role(page: &mut String, role: &RoleCosts, budget: &NodeBudget) -> Result {
    writeln!(page, "### {}\n", role.role)?;
    writeln!(
        page,
        "| Work | Mechanism | Rate (1/s) | Core (%) | Traffic (B/s) | Memory (kB) |"
    )?;
    writeln!(page, "|---|---|---|---|---|---|")?;
    for row in &role.rows {
        write_work_row(page, row)?;
    }
    let total = [
        role.cpu_ns_per_s() / 1e7,
        role.traffic_bytes_per_s(),
        role.memory_bytes() / 1e3,
    ];
    writeln!(
        page,
        "| **Total** | | | **{:.3}** | **{:.0}** | **{:.0}** |",
        total[0], total[1], total[2]
    )?;
    if role.has_budget {
        let shares = [
            role.cpu_ns_per_s() / budget.cpu_ns_per_s,
            role.traffic_bytes_per_s() / budget.traffic_bytes_per_s,
            role.memory_bytes() / budget.memory_bytes,
        ];
        let [time, traffic, memory] = shares.map(format_budget_share);
        writeln!(
            page,
            "| Share of the budget | | | {time} | {traffic} | {memory} |"
        )?;
    }
    writeln!(page)
}

fn format_budget_share(share: f64) -> String {
    let mark = if share > 1.0 { " **over**" } else { "" };
    format!("{:.0}%{mark}", share * 100.0)
}

fn write_work_row(page: &mut String, row: &WorkRow) -> Result {
    writeln!(
        page,
        "| {} | {} | {} | {:.3} | {:.0} | {:.0} |",
        row.work,
        row.mechanism,
        format_number(row.rate_per_s),
        row.cpu_ns_per_s / 1e7,
        row.traffic_bytes_per_s,
        row.memory_bytes / 1e3
    )
}

fn write_slopes(page: &mut String, measured: &MeasuredCosts) -> Result {
    writeln!(page, "## Measured slopes\n")?;
    writeln!(
        page,
        "`cost = base + slope * size`; fit is the share of the variance that the line explains.\n"
    )?;
    writeln!(
        page,
        "| Operation | Size | Costs at sizes | Base | Slope | Fit |\n|---|---|---|---|---|---|"
    )?;
    for series in measured.series() {
        write_series(page, series)?;
    }
    let sizes = measured.message_sizes;
    writeln!(
        page,
        "\nMessages that do not grow, in bytes: offer {}, withdrawal or claim {}, heartbeat {}, renewal {}, answer to it without news {}.\n",
        sizes.offer, sizes.withdraw, sizes.ping, sizes.renew, sizes.renewed
    )
}

fn write_series(page: &mut String, series: &SlopeSeries) -> Result {
    let points: Vec<String> = series
        .points
        .iter()
        .map(|point| format!("{}: {:.0}", point.size, point.cost))
        .collect();
    writeln!(
        page,
        "| {} | {} | {} | {:.0} {unit} | {:.3} {unit} | {:.2} |",
        series.name,
        series.size_name,
        points.join(", "),
        series.fit.base,
        series.fit.slope,
        series.fit.r_squared,
        unit = series.unit
    )
}

fn format_number(value: f64) -> String {
    if value >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
