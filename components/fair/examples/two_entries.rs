//! Two entries report to a home, which restarts empty and goes on from what they know.

use fair::{UsageHome, UsageLedger};
use units::ServiceName;
use units::{ClockTime, CostUnits, FlowWeight, Incarnation, NodeName, OrganisationName};
use wire::{FlowKey, UsageReport};

fn main() {
    let flow = FlowKey {
        organisation: OrganisationName::from("mlyn-hora"),
        service: ServiceName::from("stone-advice"),
    };
    let names = ["entry-1", "entry-2"].map(NodeName::from);
    println!(
        "home: {}",
        fair::home_of(&flow, names.iter()).expect("an entry")
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
                flows: ledger.report(now),
                virtual_times: ledger.virtual_times(),
            };
            let answer = home.report(&report, now);
            ledger.merge(&answer.totals[0]);
        }
        let counter = ledgers[1].counter(&flow, FlowWeight(2000));
        println!("round {round}: counter at weight 2 is {counter}");
    }
}
