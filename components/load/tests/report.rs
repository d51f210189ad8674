//! Schedules, the fairness gap, the classification of answers, and a run against an engine
//! stand-in.

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

async fn start_fast_engine(faults: EngineFaults) -> RunningStandin {
    let settings = EngineSettings {
        token_time: Duration::from_millis(1),
        prefill_time: Duration::from_millis(2),
        cold_limit: 8,
        faults,
        ..EngineSettings::default()
    };
    start_engine(settings).await.unwrap()
}

fn chat_request(stream: bool) -> CallRequest {
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

fn service_history(waits: &[(u64, u64)], increments: &[(u64, f64)]) -> ServiceHistory {
    let millis = Duration::from_millis;
    ServiceHistory {
        weight: 1.0,
        waits: waits
            .iter()
            .map(|(start, end)| (millis(*start), millis(*end)))
            .collect(),
        increments: increments
            .iter()
            .map(|(at_ms, units)| ServiceIncrement {
                at: millis(*at_ms),
                units: *units,
            })
            .collect(),
    }
}

/// Guards against runs that cannot be reproduced from their seed.
#[test]
fn plan_is_determined_by_the_profile_and_its_seed() {
    let mut profile = LoadProfile::parse(PROFILES[0]).unwrap();

    let (first, second) = (plan_calls(&profile), plan_calls(&profile));
    profile.seed += 1;
    let other = plan_calls(&profile);

    assert_eq!(first, second);
    assert_ne!(first, other);
}

/// Guards against a schedule that ignores the request mix, the organisations' shares or the limits.
#[rstest]
fn plan_follows_mix_shares_and_bounds(#[values(0, 1)] index: usize) {
    let profile = LoadProfile::parse(PROFILES[index]).unwrap();

    let calls = plan_calls(&profile);

    let chat_calls = calls
        .iter()
        .filter(|call| matches!(call.kind, CallKind::Chat { .. }))
        .count();
    let large_organisation_calls = calls.iter().filter(|call| call.organisation < 4).count();
    assert!(calls.len() as u64 <= profile.max_requests);
    assert!(
        calls
            .iter()
            .all(|call| call.at.as_secs() < profile.duration_s)
    );
    assert!((0.6..0.8).contains(&(chat_calls as f64 / calls.len() as f64)));
    assert!((0.65..0.85).contains(&(large_organisation_calls as f64 / calls.len() as f64)));
}

/// Guards against runs with settings out of bounds, and against errors that name only one of them.
#[test]
fn profile_error_lists_every_invalid_value() {
    let text = PROFILES[0]
        .replace("duration_s = 30", "duration_s = 0")
        .replace("resends = 2", "resends = 99");

    let error = LoadProfile::parse(&text).unwrap_err().to_string();

    assert!(error.contains("duration_s = 0"), "{error}");
    assert!(error.contains("resends = 99"), "{error}");
}

/// Guards against a gap that includes the service of an organisation without waiting requests.
#[test]
fn gap_ignores_organisations_that_are_not_backlogged() {
    let served = service_history(&[(0, 2000)], &[(100, 10.0), (1100, 10.0)]);
    let starved = service_history(&[(0, 2000)], &[]);
    let idle = service_history(&[], &[(100, 500.0)]);

    let points = largest_gap(&[served, starved, idle], Duration::from_secs(2));

    let gaps: Vec<f64> = points.iter().map(|point| point.gap).collect();
    assert_eq!(gaps, [10.0, 10.0, 10.0, 10.0, 20.0, 20.0, 20.0, 20.0]);
    assert!(points.iter().all(|point| point.backlogged == 2));
}

/// Guards against a difference that is carried over from an earlier backlog to the next one.
#[test]
fn gap_is_reset_when_a_backlog_ends() {
    let served = service_history(&[(0, 500), (1000, 1500)], &[(100, 10.0), (1100, 3.0)]);
    let starved = service_history(&[(0, 1500)], &[]);

    let points = largest_gap(&[served, starved], Duration::from_millis(1500));

    let gaps: Vec<f64> = points.iter().map(|point| point.gap).collect();
    assert_eq!(gaps, [10.0, 10.0, 0.0, 0.0, 3.0, 3.0]);
}

/// Guards against a check that accepts every answer: an engine that crashes on a request must not
/// yield a whole answer, while a healthy one must.
#[rstest]
#[tokio::test]
async fn crashed_engine_gives_no_whole_answer(#[values(true, false)] stream: bool) {
    let crashing = start_fast_engine(EngineFaults {
        crash_marker: Some("stone".into()),
        ..EngineFaults::default()
    })
    .await;
    let healthy = start_fast_engine(EngineFaults::default()).await;
    let timeout = Duration::from_secs(5);

    let crashing_caller = Caller::new(vec![crashing.address()], timeout).unwrap();
    let healthy_caller = Caller::new(vec![healthy.address()], timeout).unwrap();

    let lost = crashing_caller.send(&chat_request(stream), 0).await.answer;
    assert!(
        matches!(lost, Answer::Lost(_) | Answer::Broken(_)),
        "{lost:?}"
    );
    assert_eq!(
        healthy_caller.send(&chat_request(stream), 0).await.answer,
        Answer::Whole
    );
}

/// Guards against a stream that is cut after two tokens but counted as whole.
#[tokio::test]
async fn cut_stream_is_reported_as_broken() {
    let engine = start_fast_engine(EngineFaults {
        cut_streams: 1,
        cut_after: 2,
        ..EngineFaults::default()
    })
    .await;
    let caller = Caller::new(vec![engine.address()], Duration::from_secs(5)).unwrap();

    let answer = caller.send(&chat_request(true), 0).await.answer;

    assert!(matches!(answer, Answer::Broken(_)), "{answer:?}");
}

/// Guards against load on other hosts.
#[test]
fn only_loopback_addresses_are_accepted() {
    let address = "192.0.2.1:80".parse().unwrap();

    assert!(Caller::new(vec![address], Duration::from_secs(1)).is_err());
}

/// Guards against answers that are received but missing in the report.
#[tokio::test]
async fn run_reports_every_request() {
    let engine = start_fast_engine(EngineFaults::default()).await;
    let mut profile = LoadProfile::parse(PROFILES[1]).unwrap();
    profile.mix.chat = 1.0;
    profile.mix.bookings = 0.0;
    profile.duration_s = 1;
    profile.requests_per_s = 60.0;
    let planned = plan_calls(&profile).len() as u64;
    let addresses = LoadAddresses {
        entries: vec![engine.address()],
        engines: vec![engine.address()],
        services: Vec::new(),
    };

    let report = run_load(&profile, &addresses).await.unwrap();

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
