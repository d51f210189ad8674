//! Plans, gaps and a whole run against a stand-in engine.

use std::time::Duration;

use load::{
    Answer, CallKind, CallRequest, Caller, LoadAddresses, LoadProfile, ServiceHistory,
    ServiceIncrement, largest_gap, plan_calls, plot_gap, run_load,
};
use rstest::rstest;
use standin::{EngineFaults, EngineSettings, RunningStandin, start_engine};

const PROFILES: [&str; 2] = [
    include_str!("../../../examples/kamenny-zub/load.toml"),
    include_str!("../../../examples/kandy/load.toml"),
];

async fn quick_engine(faults: EngineFaults) -> RunningStandin {
    let settings = EngineSettings {
        token_time: Duration::from_millis(1),
        prefill_time: Duration::from_millis(2),
        cold_limit: 8,
        faults,
        ..EngineSettings::default()
    };
    start_engine(settings).await.unwrap()
}

fn question(stream: bool) -> CallRequest {
    CallRequest {
        key: "key".into(),
        kind: CallKind::Chat {
            service: "advice".into(),
            prompt: "which stone?".into(),
            max_tokens: 20,
            stream,
        },
    }
}

fn record(waits: &[(u64, u64)], increments: &[(u64, f64)]) -> ServiceHistory {
    let at = Duration::from_millis;
    ServiceHistory {
        weight: 1.0,
        waits: waits.iter().map(|(a, b)| (at(*a), at(*b))).collect(),
        increments: increments
            .iter()
            .map(|(time, units)| ServiceIncrement {
                at: at(*time),
                units: *units,
            })
            .collect(),
    }
}

/// Guards against a run that cannot be repeated.
#[test]
fn plan_depends_on_the_seed_only() {
    let mut profile = LoadProfile::parse(PROFILES[0]).unwrap();

    let (first, second) = (plan_calls(&profile), plan_calls(&profile));
    profile.seed += 1;
    let other = plan_calls(&profile);

    assert_eq!(first, second);
    assert_ne!(first, other);
}

/// Guards against a plan that ignores the mix, the sizes of organisations or the bounds.
#[rstest]
fn plan_follows_the_profile(#[values(0, 1)] index: usize) {
    let profile = LoadProfile::parse(PROFILES[index]).unwrap();

    let calls = plan_calls(&profile);

    let chats = calls
        .iter()
        .filter(|c| matches!(c.kind, CallKind::Chat { .. }))
        .count();
    let large = calls.iter().filter(|c| c.organisation < 4).count();
    assert!(calls.len() as u64 <= profile.max_requests);
    assert!(
        calls
            .iter()
            .all(|call| call.at.as_secs() < profile.duration_s)
    );
    assert!((0.6..0.8).contains(&(chats as f64 / calls.len() as f64)));
    assert!((0.65..0.85).contains(&(large as f64 / calls.len() as f64)));
}

/// Guards against a profile that runs without bounds.
#[test]
fn profile_out_of_bounds_lists_every_fault() {
    let text = PROFILES[0]
        .replace("duration_s = 30", "duration_s = 0")
        .replace("resends = 2", "resends = 99");

    let error = LoadProfile::parse(&text).unwrap_err().to_string();

    assert!(error.contains("duration_s = 0"), "{error}");
    assert!(error.contains("resends = 99"), "{error}");
}

/// Guards against a gap that counts organisations which wait for nothing.
#[test]
fn gap_counts_only_organisations_that_wait_together() {
    let busy = record(&[(0, 2000)], &[(100, 10.0), (1100, 10.0)]);
    let starved = record(&[(0, 2000)], &[]);
    let idle = record(&[], &[(100, 500.0)]);

    let points = largest_gap(&[busy, starved, idle], Duration::from_secs(2));

    let gaps: Vec<f64> = points.iter().map(|point| point.gap).collect();
    assert_eq!(gaps, [10.0, 10.0, 10.0, 10.0, 20.0, 20.0, 20.0, 20.0]);
    assert!(points.iter().all(|point| point.backlogged == 2));
}

/// Guards against a gap that is carried over a time without backlog.
#[test]
fn gap_starts_again_after_a_break() {
    let busy = record(&[(0, 500), (1000, 1500)], &[(100, 10.0), (1100, 3.0)]);
    let starved = record(&[(0, 1500)], &[]);

    let points = largest_gap(&[busy, starved], Duration::from_millis(1500));

    let gaps: Vec<f64> = points.iter().map(|point| point.gap).collect();
    assert_eq!(gaps, [10.0, 10.0, 0.0, 0.0, 3.0, 3.0]);
}

/// Guards against a checker that takes every answer for whole.
#[rstest]
#[tokio::test]
async fn whole_answers_are_told_from_cut_ones(#[values(true, false)] stream: bool) {
    let engine = quick_engine(EngineFaults {
        crash_marker: Some("stone".into()),
        ..EngineFaults::default()
    })
    .await;
    let good = quick_engine(EngineFaults::default()).await;
    let timeout = Duration::from_secs(5);

    let broken = Caller::new(vec![engine.address()], timeout).unwrap();
    let whole = Caller::new(vec![good.address()], timeout).unwrap();

    let lost = broken.send(&question(stream), 0).await.answer;
    assert!(
        matches!(lost, Answer::Lost(_) | Answer::Broken(_)),
        "{lost:?}"
    );
    assert_eq!(whole.send(&question(stream), 0).await.answer, Answer::Whole);
}

/// Guards against a broken stream that passes as whole.
#[tokio::test]
async fn broken_stream_is_reported() {
    let engine = quick_engine(EngineFaults {
        cut_streams: 1,
        cut_after: 2,
        ..EngineFaults::default()
    })
    .await;
    let caller = Caller::new(vec![engine.address()], Duration::from_secs(5)).unwrap();

    let answer = caller.send(&question(true), 0).await.answer;

    assert!(matches!(answer, Answer::Broken(_)), "{answer:?}");
}

/// Guards against load that leaves the machine.
#[test]
fn only_loopback_addresses_are_accepted() {
    let address = "192.0.2.1:80".parse().unwrap();

    assert!(Caller::new(vec![address], Duration::from_secs(1)).is_err());
}

/// Guards against a run that loses answers between caller and report.
#[tokio::test]
async fn run_reports_every_request() {
    let engine = quick_engine(EngineFaults::default()).await;
    let mut profile = LoadProfile::parse(PROFILES[1]).unwrap();
    profile.mix.chat = 1.0;
    profile.mix.bookings = 0.0;
    profile.duration_s = 1;
    profile.requests_per_s = 60.0;
    let planned = plan_calls(&profile).len() as u64;
    let targets = LoadAddresses {
        entries: vec![engine.address()],
        engines: vec![engine.address()],
        services: Vec::new(),
    };

    let report = run_load(&profile, &targets).await.unwrap();

    assert_eq!(report.requests, planned, "{report}");
    assert_eq!(report.whole, planned, "{report}");
    assert!(!report.has_violation());
    assert!(report.utilisation.samples > 0);
    let path = std::env::temp_dir().join(format!("load-plot-{}.svg", std::process::id()));
    plot_gap(&report, &path).unwrap();
    let svg = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(svg.starts_with("<svg"));
}
