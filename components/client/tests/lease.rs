//! Leases never last longer than a quorum has confirmed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use board::StateBoard;
use client::{
    ControlClient, ControlTransport, FleetView, LEASE_TIME, LeaseState, ReplyFuture, ReplyProgress,
    keep_lease,
};
use link::LinkError;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use registry::{RegistryAction, RegistryCommand, RegistryState, WallTime};
use units::{ClockSource, ClockTime, ConfigVersion, Incarnation, ManualClock};
use wire::{ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeState, RenewReply};

fn node() -> DirectoryEntry {
    DirectoryEntry {
        name: "entry-1".into(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "praha-1".into(),
        state: NodeState::Serving,
        config: ConfigVersion(0),
        kind: NodeKind::Entry,
    }
}

/// Registry whose configuration has the given version.
fn registry(version: u64) -> RegistryState {
    let mut state = RegistryState::default();
    for earlier in 0..version {
        state.apply(&RegistryCommand {
            at: WallTime(1),
            action: RegistryAction::Target {
                order: format!("order-{earlier}").as_str().into(),
                expected: ConfigVersion(earlier),
                target: format!("target-{earlier}").as_str().into(),
                out: true,
            },
        });
    }
    state
}

fn reply(age_ms: u64, version: u64, installed: u64) -> RenewReply {
    RenewReply {
        age_ms,
        version: ConfigVersion(version),
        changes: registry(version).changes_since(ConfigVersion(installed)),
        directory: None,
        controls: Vec::new(),
    }
}

/// Guards against a lease that starts when the reply arrives, or that ignores the age of the
/// confirmation.
#[test]
fn lease_starts_at_the_send_time_minus_the_age() {
    let mut view = FleetView::default();

    let is_extended = view
        .apply_renewal(ClockTime(10_000), reply(400, 1, 0))
        .unwrap();

    assert!(is_extended);
    assert_eq!(view.lease_end, ClockTime(12_100));
    assert!(view.has_lease(ClockTime(12_099)));
    assert!(!view.has_lease(ClockTime(12_100)));
}

/// Guards against a lease that is too long near the start of the clock, where subtracting the age
/// from the send time would saturate at zero.
#[test]
fn age_does_not_saturate_at_the_start_of_the_clock() {
    let mut lease = LeaseState::default();
    let age = Duration::from_millis(2_400);

    lease.apply_renewal(ClockTime(50), age, ConfigVersion(0), ConfigVersion(0));

    assert_eq!(lease.end(), ClockTime(150));
}

/// Guards against late, duplicate and reordered replies that extend or shorten the lease.
#[test]
fn late_and_duplicate_replies_do_not_change_the_lease() {
    let mut view = FleetView::default();
    let newer = reply(100, 2, 0);
    let older = reply(0, 1, 0);
    view.apply_renewal(ClockTime(10_000), newer.clone())
        .unwrap();
    let end = view.lease_end;

    let duplicate = view.apply_renewal(ClockTime(10_000), newer).unwrap();
    let late = view.apply_renewal(ClockTime(9_000), older).unwrap();

    assert_eq!((duplicate, late), (false, false));
    assert_eq!(view.lease_end, end);
    assert_eq!(view.config.version, ConfigVersion(2));
}

/// Guards against new work while the configuration of the reply is not installed.
#[test]
fn lease_is_not_extended_without_the_configuration_of_the_reply() {
    let mut view = FleetView::default();
    let gap = reply(0, 5, 3);
    let damaged = RenewReply {
        changes: vec![9, 9, 9],
        ..reply(0, 1, 0)
    };
    let missing = RenewReply {
        changes: Vec::new(),
        ..reply(0, 1, 0)
    };

    let results = [gap, damaged].map(|reply| view.apply_renewal(ClockTime(10_000), reply).is_err());
    let is_extended = view.apply_renewal(ClockTime(10_000), missing).unwrap();

    assert_eq!(results, [true, true]);
    assert!(!is_extended);
    assert_eq!(view.lease_end, ClockTime(0));
}

/// Guards against a node that keeps an older configuration although the control nodes that it reaches
/// have applied a newer one, and against a lease from nodes without a quorum.
#[tokio::test(start_paused = true)]
async fn configuration_without_a_quorum_is_installed_without_a_lease() {
    let clock = ManualClock::default();
    clock.advance(Duration::from_secs(10));
    let controls = vec![SocketAddr::from(([127, 0, 0, 1], 1))];
    let client = ControlClient::with_transport(Arc::new(NoQuorumTransport), controls);
    let board = StateBoard::new(FleetView::default());

    let renewals = keep_lease(client, board.clone(), Arc::new(clock.clone()), node, false);
    let task = tokio::spawn(renewals);
    let installed = board.wait_for(|view| (view.config.version > ConfigVersion(0)).then_some(()));
    let installed = tokio::time::timeout(Duration::from_secs(5), installed).await;
    task.abort();

    assert!(installed.is_ok());
    let now = clock.now();
    let view = board.read(FleetView::clone);
    assert_eq!(view.config.version, ConfigVersion(3));
    assert!(!view.has_lease(now));
    assert_eq!(view.age(now), Duration::MAX);
}

/// Guards against an age that starts with the clock of the process, when the confirmation is older.
#[test]
fn age_counts_from_the_confirmation() {
    let mut view = FleetView::with_lease_time(Duration::from_secs(60));
    view.apply_renewal(ClockTime(100), reply(2_000, 1, 0))
        .unwrap();

    assert_eq!(view.age(ClockTime(300)), Duration::from_millis(2_200));
}

/// A renewal: time from sending the request to processing it at the control node (`transit`), age
/// of the confirmation, configuration version of the reply, delay of the reply, and whether the
/// reply arrives twice. Times are in milliseconds.
#[derive(Debug, Clone)]
struct GeneratedRenewal {
    transit: u64,
    age: u64,
    version: u64,
    delay: u64,
    is_duplicated: bool,
}

fn renewals() -> impl Strategy<Value = Vec<GeneratedRenewal>> {
    let fields = (
        0..3_000u64,
        0..2_500u64,
        0..4u64,
        0..9_000u64,
        any::<bool>(),
    );
    let renewal =
        fields.prop_map(
            |(transit, age, version, delay, is_duplicated)| GeneratedRenewal {
                transit,
                age,
                version,
                delay,
                is_duplicated,
            },
        );
    prop::collection::vec(renewal, 1..20)
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(0x6c65_6173),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a lease that ends later than 2.5 s after the newest confirmation whose
    /// configuration is installed, or whose end moves back.
    #[test]
    fn lease_never_outlasts_the_newest_confirmation(renewals in renewals()) {
        let mut arrivals = Vec::new();
        for (number, renewal) in renewals.iter().enumerate() {
            let sent = 500 * number as u64;
            let first = sent + renewal.transit + renewal.delay;
            arrivals.push((first, sent, renewal));
            if renewal.is_duplicated {
                arrivals.push((first + 700, sent, renewal));
            }
        }
        arrivals.sort_by_key(|(arrival, _, _)| *arrival);
        let mut lease = LeaseState::default();
        let mut installed = ConfigVersion(0);
        let mut bound = 0;
        for (_, sent, renewal) in arrivals {
            let before = lease.end();
            let version = ConfigVersion(renewal.version);
            // The test treats changes to odd versions as impossible to install.
            if renewal.version % 2 == 0 {
                installed = installed.max(version);
            }
            if installed >= version {
                let processed = sent + renewal.transit;
                let end = (processed + LEASE_TIME.as_millis() as u64).saturating_sub(renewal.age);
                bound = bound.max(end);
            }
            let age = Duration::from_millis(renewal.age);
            lease.apply_renewal(ClockTime(sent), age, version, installed);
            prop_assert!(lease.end() >= before);
            prop_assert!(lease.end().0 <= bound, "{} > {bound}", lease.end());
        }
    }
}

/// Answer of the scripted transport: its duration in milliseconds, and the reply, or none if it is
/// lost.
type ScriptedAnswer = (u64, Option<RenewReply>);

/// Transport that gives prepared answers, advances the clock by their durations, and then stops
/// answering.
struct ScriptedTransport {
    clock: ManualClock,
    answers: Mutex<VecDeque<ScriptedAnswer>>,
    attempts: StateBoard<Vec<SocketAddr>>,
}

impl ControlTransport for ScriptedTransport {
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        _request: &'a ControlRequest,
        _progress: &'a ReplyProgress,
    ) -> ReplyFuture<'a> {
        Box::pin(async move {
            let answer = self.answers.lock().unwrap().pop_front();
            self.attempts.write(|attempts| attempts.push(address));
            let Some((duration_ms, reply)) = answer else {
                return std::future::pending().await;
            };
            self.clock.advance(Duration::from_millis(duration_ms));
            match reply {
                Some(reply) => Ok(ControlReply::Renewed(reply)),
                None => Err(LinkError::Stream("lost".into())),
            }
        })
    }
}

/// Control nodes that have applied version 3 and have no quorum.
struct NoQuorumTransport;

impl ControlTransport for NoQuorumTransport {
    fn exchange<'a>(
        &'a self,
        _address: SocketAddr,
        request: &'a ControlRequest,
        _progress: &'a ReplyProgress,
    ) -> ReplyFuture<'a> {
        Box::pin(async move {
            let ControlRequest::Renew(renewal) = request else {
                return Err(LinkError::Stream("unexpected request".into()));
            };
            Ok(ControlReply::NoQuorum {
                leader: None,
                changes: registry(3).changes_since(renewal.config),
            })
        })
    }
}

/// Guards against a renewal loop that keeps using a control node that does not answer, counts the
/// lease from the arrival of the reply, or ends after a failure.
#[tokio::test(start_paused = true)]
async fn renewal_fails_over_to_the_next_node() {
    let clock = ManualClock::default();
    clock.advance(Duration::from_secs(10));
    let attempts = StateBoard::new(Vec::new());
    let answers = [
        (300, None),
        (200, Some(reply(100, 1, 0))),
        (400, Some(reply(50, 1, 1))),
    ];
    let transport = ScriptedTransport {
        clock: clock.clone(),
        answers: Mutex::new(answers.into()),
        attempts: attempts.clone(),
    };
    let controls = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let client = ControlClient::with_transport(Arc::new(transport), controls.into());
    let board = StateBoard::new(FleetView::default());

    let renewals = keep_lease(client, board.clone(), Arc::new(clock), node, false);
    let task = tokio::spawn(renewals);
    let attempts = attempts
        .wait_for(|attempts| (attempts.len() >= 4).then(|| attempts.clone()))
        .await;
    task.abort();

    assert_eq!(
        attempts[..4],
        [controls[0], controls[1], controls[1], controls[1]]
    );
    let view = board.read(FleetView::clone);
    // The third renewal was sent at 10,500 ms, and its confirmation was 50 ms old.
    assert_eq!(view.lease_end, ClockTime(10_500 - 50 + 2_500));
    assert_eq!(view.config.version, ConfigVersion(1));
}
