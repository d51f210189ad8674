//! A lease never outlasts what a quorum has confirmed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use board::StateBoard;
use client::{
    ControlClient, ControlTransport, FleetView, LEASE_TIME, LeaseState, ReplyFuture, keep_lease,
};
use link::LinkError;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use registry::{RegistryAction, RegistryCommand, RegistryState, WallTime};
use units::{ClockTime, ConfigVersion, Incarnation, ManualClock};
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

/// A registry with so many versions.
fn registry(versions: u64) -> RegistryState {
    let mut state = RegistryState::default();
    for version in 0..versions {
        state.apply(&RegistryCommand {
            at: WallTime(1),
            action: RegistryAction::Target {
                order: format!("order-{version}").as_str().into(),
                expected: ConfigVersion(version),
                target: format!("target-{version}").as_str().into(),
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

/// Guards against a lease that is counted from the arrival of the reply, or without its age.
#[test]
fn lease_counts_from_the_sending_less_the_age() {
    let mut view = FleetView::default();

    let grew = view
        .apply_renewal(ClockTime(10_000), reply(400, 1, 0))
        .unwrap();

    assert!(grew);
    assert_eq!(view.lease_end, ClockTime(12_100));
    assert!(view.has_lease(ClockTime(12_099)));
    assert!(!view.has_lease(ClockTime(12_100)));
}

/// Guards against a lease near the start of the clock that is longer than its confirmation.
#[test]
fn age_is_not_cut_off_at_the_start_of_the_clock() {
    let mut lease = LeaseState::default();
    let age = Duration::from_millis(2_400);

    lease.apply_renewal(ClockTime(50), age, ConfigVersion(0), ConfigVersion(0));

    assert_eq!(lease.end(), ClockTime(150));
}

/// Guards against late, repeated and reordered replies that extend the lease or take it back.
#[test]
fn late_and_repeated_replies_do_not_extend_the_lease() {
    let mut view = FleetView::default();
    let newer = reply(100, 2, 0);
    let older = reply(0, 1, 0);
    view.apply_renewal(ClockTime(10_000), newer.clone())
        .unwrap();
    let end = view.lease_end;

    let repeated = view.apply_renewal(ClockTime(10_000), newer).unwrap();
    let late = view.apply_renewal(ClockTime(9_000), older).unwrap();

    assert_eq!((repeated, late), (false, false));
    assert_eq!(view.lease_end, end);
    assert_eq!(view.config.version, ConfigVersion(2));
}

/// Guards against new work under a configuration that was not installed.
#[test]
fn lease_needs_the_configuration_of_the_reply() {
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
    let grew = view.apply_renewal(ClockTime(10_000), missing).unwrap();

    assert_eq!(results, [true, true]);
    assert!(!grew);
    assert_eq!(view.lease_end, ClockTime(0));
}

/// One renewal: time from sending to processing, age of the confirmation, versions at the node and
/// in the reply, and when the reply arrives among the others.
#[derive(Debug, Clone)]
struct GeneratedRenewal {
    transit: u64,
    age: u64,
    version: u64,
    arrival: u64,
    repeated: bool,
}

fn renewals() -> impl Strategy<Value = Vec<GeneratedRenewal>> {
    let one = (
        0..3_000u64,
        0..2_500u64,
        0..4u64,
        0..9_000u64,
        any::<bool>(),
    );
    let one = one.prop_map(
        |(transit, age, version, arrival, repeated)| GeneratedRenewal {
            transit,
            age,
            version,
            arrival,
            repeated,
        },
    );
    prop::collection::vec(one, 1..20)
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(0x6c65_6173),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a lease that ends later than 2.5 s after the newest confirmation whose
    /// configuration is installed, or that moves back.
    #[test]
    fn lease_ends_within_its_confirmation(renewals in renewals()) {
        let mut arrivals = Vec::new();
        for (number, renewal) in renewals.iter().enumerate() {
            let sent = 500 * number as u64;
            let first = sent + renewal.transit + renewal.arrival;
            arrivals.push((first, sent, renewal));
            if renewal.repeated {
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
            // Every other update cannot be installed.
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

/// One answer of the fake transport: how long it takes, and the reply or a loss.
type ScriptedAnswer = (u64, Option<RenewReply>);

/// Transport that answers from a script and moves the clock by the time an answer takes.
struct ScriptedTransport {
    clock: ManualClock,
    answers: Mutex<VecDeque<ScriptedAnswer>>,
    asked: StateBoard<Vec<SocketAddr>>,
}

impl ControlTransport for ScriptedTransport {
    fn exchange<'a>(
        &'a self,
        address: SocketAddr,
        _request: &'a ControlRequest,
    ) -> ReplyFuture<'a> {
        Box::pin(async move {
            let answer = self.answers.lock().unwrap().pop_front();
            self.asked.write(|asked| asked.push(address));
            let Some((transit, reply)) = answer else {
                return std::future::pending().await;
            };
            self.clock.advance(Duration::from_millis(transit));
            match reply {
                Some(reply) => Ok(ControlReply::Renewed(reply)),
                None => Err(LinkError::Stream("lost".into())),
            }
        })
    }
}

/// Guards against a loop that stays with a control node that does not answer, counts the lease
/// from the arrival of the reply, or ends after a failure.
#[tokio::test(start_paused = true)]
async fn loop_renews_at_the_next_node_after_a_failure() {
    let clock = ManualClock::default();
    clock.advance(Duration::from_secs(10));
    let asked = StateBoard::new(Vec::new());
    let answers = [
        (300, None),
        (200, Some(reply(100, 1, 0))),
        (400, Some(reply(50, 1, 1))),
    ];
    let transport = ScriptedTransport {
        clock: clock.clone(),
        answers: Mutex::new(answers.into()),
        asked: asked.clone(),
    };
    let controls = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let client = ControlClient::with_transport(Arc::new(transport), controls.into());
    let board = StateBoard::new(FleetView::default());

    let renewing = keep_lease(client, board.clone(), Arc::new(clock), node, false);
    let task = tokio::spawn(renewing);
    let asked = asked
        .wait_for(|asked| (asked.len() >= 4).then(|| asked.clone()))
        .await;
    task.abort();

    assert_eq!(
        asked[..4],
        [controls[0], controls[1], controls[1], controls[1]]
    );
    let view = board.read(FleetView::clone);
    // The third renewal was sent at 10,500 ms and confirmed 50 ms before.
    assert_eq!(view.lease_end, ClockTime(10_500 - 50 + 2_500));
    assert_eq!(view.config.version, ConfigVersion(1));
}
