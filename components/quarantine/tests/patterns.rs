//! Load patterns of a fleet whose targets crash.

mod common;

use std::time::Duration;

use common::{SimFleet, SimRequest, flow, part};
use quarantine::CrashLog;
use rstest::rstest;
use wire::CrashReport;

/// Part that crashes targets.
const CRASHING: u64 = 666;

/// First part of all requests.
const FIRST: u64 = 1;

/// Time after the fifth crash within which the cause must be known, and number of further requests
/// that may reach targets afterwards.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
const MAX_LATE_SENDS: usize = 3;

/// Sound requests: 30 in a hundred steps have the first part only, the others one of 300 sessions.
fn sound_load(fleet: &mut SimFleet) -> Vec<SimRequest> {
    let count = 3 + fleet.draw(2);
    (0..count)
        .map(|_| SimRequest {
            organisation: fleet.draw(16),
            parts: vec![
                FIRST,
                1_000 + fleet.draw(300),
                1_000_000 + fleet.draw(1 << 40),
            ],
        })
        .collect()
}

/// Sound requests, and about eight requests a second with the crashing part, from any organisation.
fn crashing_load(fleet: &mut SimFleet) -> Vec<SimRequest> {
    let mut load = sound_load(fleet);
    if fleet.draw(12) == 0 {
        load.push(SimRequest {
            organisation: fleet.draw(16),
            parts: vec![FIRST, CRASHING, 1_000_000 + fleet.draw(1 << 40)],
        });
    }
    load
}

/// Number of sends of the watched part after the fifth crash and the contact window.
fn late_sends(fleet: &SimFleet) -> usize {
    let Some(fifth_crash) = fleet.record.crashes.get(4) else {
        return 0;
    };
    let tolerated_until = *fifth_crash + CONTACT_WINDOW;
    let sends = fleet.record.watched_sends.iter();
    sends.filter(|sent| **sent > tolerated_until).count()
}

fn crashing_fleet(entries: usize, targets: usize) -> SimFleet {
    let rule = |request: &SimRequest, _: usize| request.parts.contains(&CRASHING);
    let mut fleet = SimFleet::new(entries, targets, Box::new(rule));
    fleet.watched = CRASHING;
    fleet
}

/// Guards against a crashing part that is not found among the sound ones beside it, and against
/// sound parts that are held responsible.
#[rstest]
#[case::few_entries(7, 12)]
#[case::many_entries(100, 60)]
#[case::few_targets(7, 4)]
fn crashing_part_among_sound_ones_is_quarantined(
    #[case] entries: usize,
    #[case] targets: usize,
    #[values(1, 1_000_000, 2_000_000)] seed: u64,
) {
    let mut fleet = crashing_fleet(entries, targets);
    fleet.seed = seed;
    fleet.run(Duration::from_secs(5), sound_load);

    fleet.run(Duration::from_secs(40), crashing_load);

    println!(
        "{:?} {:?}",
        fleet.quarantined(),
        fleet.home.quarantined(fleet.now)
    );
    assert!(late_sends(&fleet) <= MAX_LATE_SENDS, "{:?}", fleet.record);
    assert_eq!(fleet.quarantined(), [part(CRASHING)]);
    assert!(
        fleet.record.crashes.len() < 40,
        "{:?}",
        fleet.record.crashes
    );
}

/// Guards against sound requests that are refused because targets were lost together, as with a data
/// centre or a bad release.
#[rstest]
#[case::a_third_at_once(3, Duration::ZERO)]
#[case::all_at_once(1, Duration::ZERO)]
#[case::one_after_the_other(1, Duration::from_millis(100))]
fn mass_crash_without_a_crashing_part_quarantines_nothing(
    #[case] divisor: usize,
    #[case] gap: Duration,
    #[values(1, 1_000_000, 2_000_000)] seed: u64,
) {
    let mut fleet = SimFleet::new(7, 12, Box::new(|_, _| false));
    fleet.seed = seed;
    fleet.run(Duration::from_secs(5), sound_load);

    for _ in 0..4 {
        for index in (0..12).step_by(divisor) {
            fleet.crash(index);
            fleet.run(gap, sound_load);
        }
        fleet.run(Duration::from_secs(6), sound_load);
    }

    assert_eq!(fleet.quarantined(), []);
    assert_eq!(fleet.record.refused, 0);
}

/// Guards against a part that is refused although most requests with it are answered: only one
/// target in ten crashes.
#[test]
fn part_that_is_mostly_answered_is_not_quarantined() {
    let rule =
        |request: &SimRequest, target: usize| target == 0 && request.parts.contains(&CRASHING);
    let mut fleet = SimFleet::new(7, 10, Box::new(rule));

    fleet.run(Duration::from_secs(30), crashing_load);

    assert!(
        fleet.record.crashes.len() >= 5,
        "{:?}",
        fleet.record.crashes
    );
    assert_eq!(fleet.quarantined(), []);
}

/// Guards against an organisation that gets parts of another one refused, by requests of its own
/// that crash targets and contain these parts.
#[test]
fn organisation_cannot_get_parts_of_others_refused() {
    let shared = 2_000;
    let rule = |request: &SimRequest, _: usize| request.organisation == 99;
    let mut fleet = SimFleet::new(7, 12, Box::new(rule));
    fleet.shared = shared;
    let attack_load = |fleet: &mut SimFleet| {
        let mut load = sound_load(fleet);
        if fleet.draw(12) == 0 {
            load.push(SimRequest {
                organisation: 99,
                parts: vec![FIRST, shared, 1_000_000 + fleet.draw(1 << 40)],
            });
        }
        load
    };
    fleet.run(Duration::from_secs(10), attack_load);
    let attackers_refused = fleet.record.shared_refused;

    let mut log = CrashLog::new();
    let report = log.take_report(fleet.now);
    let (reply, _) = fleet.home.apply_report(&report, fleet.now);
    log.apply_reply(&report, &reply, fleet.now);

    let mut verdict = |organisation| {
        let traits = [part(shared).request_trait];
        let flow = flow(organisation);
        log.check_request(&common::service(), flow, &traits, fleet.now)
    };
    assert!(attackers_refused > 0);
    assert!(matches!(
        verdict(99),
        quarantine::QuarantineVerdict::Refused(_)
    ));
    assert_eq!(verdict(7), quarantine::QuarantineVerdict::Admitted);
}

/// Guards against a crashing part that is not found because targets crash far more often for other
/// reasons: with one request in five seconds, and a crash without it every two seconds.
#[test]
fn rare_crashing_part_is_found_among_other_crashes() {
    let mut fleet = crashing_fleet(7, 12);
    fleet.run(Duration::from_secs(5), sound_load);
    let rare_load = |fleet: &mut SimFleet| {
        let mut load = sound_load(fleet);
        if fleet.now.0.is_multiple_of(5_000) {
            load.push(SimRequest {
                organisation: fleet.draw(16),
                parts: vec![FIRST, CRASHING, 1_000_000 + fleet.draw(1 << 40)],
            });
        }
        load
    };

    for round in 0..45 {
        fleet.run(Duration::from_secs(2), rare_load);
        fleet.crash(round % 12);
    }

    let sends = fleet.record.watched_sends.len();
    assert!(
        sends <= 5 + 1 + MAX_LATE_SENDS,
        "{sends} requests with the part"
    );
    assert_eq!(fleet.quarantined(), [part(CRASHING)]);
}

/// Guards against a quarantine that stays with the organisation that had the crashing part first, while
/// the targets crash under requests of another one.
#[test]
fn quarantine_extends_to_other_organisations() {
    let mut fleet = crashing_fleet(7, 12);
    let load_of = |organisation: u64| {
        move |fleet: &mut SimFleet| {
            let mut load = sound_load(fleet);
            if fleet.draw(12) == 0 {
                load.push(SimRequest {
                    organisation,
                    parts: vec![FIRST, CRASHING, 1_000_000 + fleet.draw(1 << 40)],
                });
            }
            load
        }
    };
    fleet.run(Duration::from_secs(20), load_of(3));
    let crashes_before = fleet.record.crashes.len();

    fleet.run(Duration::from_secs(20), load_of(4));

    let crashes = fleet.record.crashes.len() - crashes_before;
    assert!((1..12).contains(&crashes), "{crashes} crashes");
    assert!(
        late_sends(&fleet) <= crashes + MAX_LATE_SENDS,
        "{:?}",
        fleet.record
    );
    assert_eq!(fleet.home.quarantined(fleet.now)[0].flows, []);
}

/// Guards against a quarantine that is lost when its home restarts with empty memory, also before
/// the cause was known.
#[rstest]
#[case::before_the_cause_is_known(Duration::from_millis(600))]
#[case::afterwards(Duration::from_secs(8))]
fn restarted_home_learns_the_quarantine(#[case] time: Duration) {
    let mut fleet = crashing_fleet(7, 12);
    fleet.run(Duration::from_secs(5), sound_load);
    fleet.run(time, crashing_load);

    fleet.restart_home();
    fleet.run(Duration::from_secs(20), crashing_load);

    assert!(late_sends(&fleet) <= MAX_LATE_SENDS, "{:?}", fleet.record);
    assert_eq!(fleet.quarantined(), [part(CRASHING)]);
}

/// Guards against a quarantine without an end: after a repair, a trial ends it. Before, trials must
/// become rarer.
#[test]
fn trials_end_the_quarantine_after_a_repair() {
    let mut fleet = crashing_fleet(7, 12);
    fleet.run(Duration::from_secs(5), sound_load);
    fleet.run(Duration::from_secs(200), crashing_load);
    let late_sends_before_repair = late_sends(&fleet);

    fleet.rule = Box::new(|_, _| false);
    fleet.run(Duration::from_secs(300), crashing_load);

    assert!(
        (1..=MAX_LATE_SENDS).contains(&late_sends_before_repair),
        "{late_sends_before_repair}"
    );
    assert_eq!(fleet.quarantined(), []);
}

/// Guards against a trait that stays refused, or is refused again, after an operator has lifted it.
#[test]
fn lifted_trait_is_admitted() {
    let mut fleet = crashing_fleet(7, 12);
    fleet.run(Duration::from_secs(5), sound_load);
    fleet.run(Duration::from_secs(10), crashing_load);
    fleet.rule = Box::new(|_, _| false);
    let sends = fleet.record.watched_sends.len();

    let was_in_force = fleet.home.lift(&part(CRASHING), fleet.now);
    fleet.run(Duration::from_secs(5), crashing_load);

    assert!(was_in_force);
    assert_eq!(fleet.quarantined(), []);
    assert!(fleet.record.watched_sends.len() > sends + 20);
}

/// Guards against memory that grows with parts that are new each time.
#[test]
fn report_of_ever_new_parts_is_bounded() {
    let mut fleet = SimFleet::new(3, 6, Box::new(|_, _| false));
    let report_bytes = |report: &CrashReport| wire::encode(report).unwrap().len();
    for round in 0..400 {
        fleet.run(Duration::from_millis(300), sound_load);
        fleet.crash(round % 6);
    }

    let report = CrashLog::new().take_report(fleet.now);
    let (reply, _) = fleet.home.apply_report(&report, fleet.now);

    assert!(report_bytes(&report) < 64);
    assert!(reply.suspected.len() <= 256);
    assert_eq!(reply.quarantine, []);
}
