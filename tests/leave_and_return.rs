//! Load before, while and after a data centre leaves and returns, compared with a baseline that
//! kills the agents of the data centre.

use std::time::Duration;

use bilberrycrank::dev::{DevFleet, DevSettings};
use load::{LoadAddresses, LoadProfile, LoadReport, run_load};
use manifest::ServiceKind;
use standin::EngineSettings;
use units::ConfigVersion;
use wire::OperatorOrder;

const SERVICES_TEXT: &str = include_str!("../examples/kamenny-zub/services.toml");
const LOAD_PROFILE: &str = include_str!("../examples/kamenny-zub/load.toml");
const BEARER_KEY: &str = "example-key-mlyn-hora";
const DATA_CENTRE: &str = "brno-2";
/// Duration of a phase. The phase that begins with the order to leave covers the 3 s within which
/// the data centre stops receiving new requests.
const PHASE_DURATION_S: u64 = 4;
const SEED: u64 = 20_261_204;

async fn start_fleet() -> DevFleet {
    let settings = DevSettings {
        entries: 2,
        engines: 6,
        services: 2,
        engine: EngineSettings {
            token_time: Duration::from_millis(3),
            prefill_time: Duration::from_millis(10),
            ..EngineSettings::default()
        },
        ..DevSettings::new(SERVICES_TEXT, BEARER_KEY)
    };
    DevFleet::start(settings).await.unwrap()
}

fn load_addresses(fleet: &DevFleet) -> LoadAddresses {
    let addresses_of = |kind: ServiceKind| {
        let targets = fleet.targets.iter().filter(|target| target.kind == kind);
        targets.map(|target| target.standin.address()).collect()
    };
    LoadAddresses {
        entries: fleet.entries.iter().map(|entry| entry.http()).collect(),
        engines: addresses_of(ServiceKind::Model),
        services: addresses_of(ServiceKind::Plain),
    }
}

/// Runs the load of one phase. Each phase has its own seed, so its bookings differ.
async fn run_phase(addresses: &LoadAddresses, number: u64) -> LoadReport {
    let mut profile = LoadProfile::parse(LOAD_PROFILE).unwrap();
    profile.seed = SEED + number;
    profile.duration_s = PHASE_DURATION_S;
    profile.requests_per_s = 40.0;
    run_load(&profile, addresses).await.unwrap()
}

async fn send_order(fleet: &DevFleet, expected: u64, out: bool) {
    let order = OperatorOrder::DataCentre {
        order: format!("{DATA_CENTRE}-{out}").as_str().into(),
        expected: ConfigVersion(expected),
        data_centre: DATA_CENTRE.into(),
        out,
    };
    fleet.order(order).await.unwrap();
}

fn count_refusals(report: &LoadReport) -> u64 {
    report.refused.iter().map(|refusal| refusal.count).sum()
}

/// Prints a table row. Times are ratios to those of the phase `before`.
fn print_row(method: &str, phase: &str, report: &LoadReport, before: &LoadReport) {
    let (latency, baseline) = (&report.first_token, &before.first_token);
    let utilisation = report
        .utilisation
        .while_waiting
        .map_or("-".into(), |fraction| format!("{fraction:.2}"));
    println!(
        "| {method} | {phase} | {} | {} | {} | {} | {:.2} | {:.2} | {utilisation} |",
        report.requests,
        report.whole,
        count_refusals(report),
        report.resent,
        latency.p50_ms / baseline.p50_ms,
        latency.p95_ms / baseline.p95_ms,
    );
}

/// Guards against requests that are lost, interrupted or refused while a data centre leaves and
/// returns by order.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_change_loses_no_request() {
    let fleet = start_fleet().await;
    let addresses = load_addresses(&fleet);

    let before = run_phase(&addresses, 0).await;
    send_order(&fleet, 1, true).await;
    let leaving = run_phase(&addresses, 1).await;
    send_order(&fleet, 2, false).await;
    let returned = run_phase(&addresses, 2).await;
    drop(fleet);
    let mut killed_fleet = start_fleet().await;
    let killed_addresses = load_addresses(&killed_fleet);
    let killed_before = run_phase(&killed_addresses, 0).await;
    let killed_phase = tokio::spawn(async move { run_phase(&killed_addresses, 1).await });
    let mut index = 0;
    while index < killed_fleet.targets.len() {
        if killed_fleet.targets[index].data_centre.as_str() == DATA_CENTRE {
            killed_fleet.targets.remove(index).agent.kill().await;
        } else {
            index += 1;
        }
    }
    let killed = killed_phase.await.unwrap();

    print_row("order", "before", &before, &before);
    print_row("order", "leaving", &leaving, &before);
    print_row("order", "returned", &returned, &before);
    print_row("kill", "before", &killed_before, &killed_before);
    print_row("kill", "killed", &killed, &killed_before);
    for report in [&before, &leaving, &returned] {
        assert_eq!(report.whole, report.requests, "{report}");
        assert!(!report.has_violation(), "{report}");
    }
}
