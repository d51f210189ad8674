//! Service before, while and after a data centre leaves and returns, against a baseline that stops
//! the data centre's agents at once.

use std::time::Duration;

use bilberrycrank::dev::{DevFleet, DevSettings};
use load::{LoadAddresses, LoadProfile, LoadReport, run_load};
use manifest::ServiceKind;
use standin::EngineSettings;
use units::ConfigVersion;
use wire::OperatorOrder;

const TEXT: &str = include_str!("../examples/kamenny-zub/services.toml");
const LOAD: &str = include_str!("../examples/kamenny-zub/load.toml");
const KEY: &str = "example-key-mlyn-hora";
const DATA_CENTRE: &str = "brno-2";
/// Seconds of each phase; the phase that begins with the order covers its 3 s.
const PHASE_S: u64 = 4;
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
        ..DevSettings::new(TEXT, KEY)
    };
    DevFleet::start(settings).await.unwrap()
}

fn load_targets(fleet: &DevFleet) -> LoadAddresses {
    let of_kind = |kind: ServiceKind| {
        let targets = fleet.targets.iter().filter(|target| target.kind == kind);
        targets.map(|target| target.standin.address()).collect()
    };
    LoadAddresses {
        entries: fleet.entries.iter().map(|entry| entry.http()).collect(),
        engines: of_kind(ServiceKind::Model),
        services: of_kind(ServiceKind::Plain),
    }
}

/// Runs the load of one phase; each has bookings of its own.
async fn phase(targets: &LoadAddresses, number: u64) -> LoadReport {
    let mut profile = LoadProfile::parse(LOAD).unwrap();
    profile.seed = SEED + number;
    profile.duration_s = PHASE_S;
    profile.requests_per_s = 40.0;
    run_load(&profile, targets).await.unwrap()
}

async fn order(fleet: &DevFleet, expected: u64, out: bool) {
    let order = OperatorOrder::DataCentre {
        order: format!("{DATA_CENTRE}-{out}").as_str().into(),
        expected: ConfigVersion(expected),
        data_centre: DATA_CENTRE.into(),
        out,
    };
    fleet.order(order).await.unwrap();
}

fn refused(report: &LoadReport) -> u64 {
    report.refused.iter().map(|refusal| refusal.count).sum()
}

/// Prints a row; times are ratios to the phase before.
fn print_row(way: &str, phase: &str, report: &LoadReport, before: &LoadReport) {
    let (first, base) = (&report.first_token, &before.first_token);
    let use_text = report
        .utilisation
        .while_waiting
        .map_or("-".into(), |part| format!("{part:.2}"));
    println!(
        "| {way} | {phase} | {} | {} | {} | {} | {:.2} | {:.2} | {use_text} |",
        report.requests,
        report.whole,
        refused(report),
        report.resent,
        first.p50_ms / base.p50_ms,
        first.p95_ms / base.p95_ms,
    );
}

/// Guards against requests that are lost, cut or refused while a data centre leaves and returns in
/// the planned way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_change_loses_no_request() {
    let fleet = start_fleet().await;
    let targets = load_targets(&fleet);

    let before = phase(&targets, 0).await;
    order(&fleet, 1, true).await;
    let leaving = phase(&targets, 1).await;
    order(&fleet, 2, false).await;
    let returned = phase(&targets, 2).await;
    drop(fleet);
    let mut killed_fleet = start_fleet().await;
    let killed_targets = load_targets(&killed_fleet);
    let killed_before = phase(&killed_targets, 0).await;
    let killing = tokio::spawn(async move { phase(&killed_targets, 1).await });
    let mut index = 0;
    while index < killed_fleet.targets.len() {
        if killed_fleet.targets[index].data_centre.as_str() == DATA_CENTRE {
            killed_fleet.targets.remove(index).agent.kill().await;
        } else {
            index += 1;
        }
    }
    let killed = killing.await.unwrap();

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
