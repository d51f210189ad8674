//! Two agents report to a home that restarts empty and recovers the sum from their reports.

use std::net::SocketAddr;

use fair::{UsageHome, UsageLedger};
use units::ServiceName;
use units::{ClockTime, CostUnits, FlowWeight, Incarnation, NodeName, OrganisationName};
use wire::{FlowId, FlowKey, UsageReport};

fn main() {
    let flow = FlowKey {
        organisation: OrganisationName::from("mlyn-hora"),
        service: ServiceName::from("stone-advice"),
    };
    let names = ["agent-1", "agent-2"].map(NodeName::from);
    let controls = [1, 2, 3].map(|host| SocketAddr::from(([10, 0, 0, host], 7400)));
    println!(
        "home: {}",
        fair::home_of(FlowId::of(&flow), controls).expect("a control node")
    );

    let mut home = UsageHome::new();
    let mut ledgers = [UsageLedger::new(), UsageLedger::new()];
    for round in 1..=4 {
        let now = ClockTime(round * 500);
        if round == 3 {
            home = UsageHome::new();
        }
        for (ledger, name) in ledgers.iter_mut().zip(&names) {
            ledger.charge(&flow, CostUnits(100), now);
            let report = UsageReport {
                reporter: name.clone(),
                incarnation: Incarnation(1),
                interval_ms: 500,
                service: flow.service.clone(),
                virtual_time: ledger.virtual_time(&flow.service),
                flows: ledger.take_report(now, |_| true),
            };
            let answer = home.apply_report(&report, now);
            ledger.apply_totals(&report.flows, &answer.totals);
        }
        let counter = ledgers[1].counter(&flow, FlowWeight(2000));
        println!("round {round}: counter at weight 2 is {counter}");
    }
}
