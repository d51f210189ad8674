//! Single cases of reports: raises, restarts, returns from another home and the times of reports.

mod support;

use std::time::Duration;

use fair::{UsageHome, UsageLedger};
use support::{REPORTERS, ReportWorld, flow, report};
use units::{ClockTime, CostUnits, FlowWeight};
use wire::{FlowActivity, FlowId};

/// Guards against a raise at one agent of a flow that is busy at another one: requests that are
/// spread over many agents would be raised again and again.
#[test]
fn flow_that_is_busy_elsewhere_is_not_raised() {
    let mut world = ReportWorld::new();
    let service = flow().service;
    for _ in 0..8 {
        world.charge(0, 10);
        world.round();
    }
    let before = world.ledgers[0].total(&flow());
    world.ledgers[1] = UsageLedger::new();
    world.incarnations[1] = 2;
    world.ledgers[1].merge_virtual_time(&service, 1_000_000);

    world.ledgers[1].mark_backlogged(&flow(), FlowWeight(1000), world.now);
    let provisional = world.ledgers[1].counter(&flow(), FlowWeight(1000));
    world.round();
    world.round();

    assert_eq!(provisional, 1_000_000);
    assert_eq!(world.ledgers[1].total(&flow()), before);
    assert_eq!(
        world.ledgers[1].counter(&flow(), FlowWeight(1000)),
        before.0
    );
}

/// Guards against credit for idle time: a flow that was idle in the whole fleet, be it for the idle
/// span and one report interval only, is raised to the virtual time at every agent.
#[test]
fn flow_that_was_idle_everywhere_is_raised() {
    let mut world = ReportWorld::new();
    world.charge(0, 10);
    // Longer than a new flow accepts proposals.
    for _ in 0..6 {
        world.round();
    }
    world.idle(3);
    world.ledgers[1].merge_virtual_time(&flow().service, 25);

    world.ledgers[1].mark_backlogged(&flow(), FlowWeight(2000), world.now);
    // A counter of 25 at weight 2 is a total of 50 units, of which 10 were charged.
    world.charged += 40;
    world.round();
    world.round();

    for ledger in &world.ledgers {
        assert_eq!(ledger.counter(&flow(), FlowWeight(2000)), 25);
    }
}

/// Guards against credit for idle time when the answer to a report from before the return of a flow
/// arrives after it.
#[test]
fn late_answer_does_not_end_a_raise() {
    let mut world = ReportWorld::new();
    world.charge(0, 10);
    world.round();
    let late = world.answers[0].clone();
    world.now = world.now + Duration::from_secs(5);
    world.ledgers[0].merge_virtual_time(&flow().service, 50_000);
    // A counter of 50000 at weight 1 is a total of 50000 units, of which 10 were charged.
    world.charged += 49_990;

    world.ledgers[0].mark_backlogged(&flow(), FlowWeight(1000), world.now);
    world.answers = vec![late];
    world.deliver_answer(0);
    let provisional = world.ledgers[0].counter(&flow(), FlowWeight(1000));
    world.round();

    assert_eq!(provisional, 50_000);
    assert_eq!(world.ledgers[0].total(&flow()), CostUnits(50_000));
}

/// Guards against memory that grows with every flow that was ever seen.
#[test]
fn idle_flows_are_forgotten() {
    let mut world = ReportWorld::new();
    world.charge(0, 10);
    world.round();
    let later = world.now + fair::LEDGER_RETENTION;

    world.ledgers[0].forget_idle(later);
    let empty = report(0, 1, &mut UsageLedger::new(), later);
    assert!(empty.flows.is_empty());
    world.homes[0].apply_report(&empty, later);

    assert!(world.ledgers[0].is_empty());
    assert!(world.homes[0].is_empty());
}

/// Guards against a report from before a restart of the home that arrives after it: the growth since
/// that report is part of the total that the home has taken over.
#[test]
fn late_report_after_a_restart_counts_nothing_twice() {
    let mut world = ReportWorld::new();
    world.charge(1, 10);
    world.send_report(1);
    let late = world.reports[0].clone();
    world.charge(1, 10);
    world.round();
    world.round();

    world.homes[0] = UsageHome::new();
    world.charge(0, 0);
    world.send_report(0);
    world.deliver_report(world.reports.len() - 1);
    world.reports.push(late);
    world.deliver_report(world.reports.len() - 1);
    let total = world.round();

    assert_eq!(total, 20);
}

/// Guards against a restarted home that loses what its first reporter has charged since the last
/// answer.
#[test]
fn restarted_home_counts_what_the_known_total_lacks() {
    let mut world = ReportWorld::new();
    world.charge(0, 10);
    world.round();
    world.charge(0, 7);

    world.homes[0] = UsageHome::new();
    let total = world.round();

    assert_eq!(total, 17);
}

/// Guards against counts that are lost when a reporter turns to another home for a while and back:
/// both homes have counted on meanwhile.
#[test]
fn detour_over_another_home_loses_no_count() {
    let mut world = ReportWorld::new();
    for reporter in 0..REPORTERS {
        world.charge(reporter, 10);
    }
    world.round();
    world.round();
    for _ in 0..3 {
        world.charge(0, 5);
        world.send_report(0);
        world.deliver_to(1, world.reports.len() - 1);
        world.deliver_answer(world.answers.len() - 1);
        world.charge(1, 20);
        world.send_report(1);
        world.deliver_to(0, world.reports.len() - 1);
        world.deliver_answer(world.answers.len() - 1);
    }

    let total = world.round();

    assert_eq!(total, 30 + 15 + 60);
}

/// Guards against the traffic of reports that nobody needs, against totals that are four seconds old
/// for a flow that is backlogged elsewhere, and against a last count that comes late.
#[test]
fn running_flow_is_reported_rarely_unless_it_is_backlogged_elsewhere() {
    let mut home = UsageHome::new();
    let (mut here, mut there) = (UsageLedger::new(), UsageLedger::new());
    let mut reports = Vec::new();
    here.open_flow(&flow(), ClockTime(0));

    for round in 0..40 {
        let now = ClockTime(500 * round);
        here.charge(&flow(), CostUnits(1), now);
        if (20..30).contains(&round) {
            there.charge(&flow(), CostUnits(1), now);
            home.apply_report(&report(1, 1, &mut there, now), now);
        }
        if round == 36 {
            here.close_flow(&flow(), now);
        }
        let mut own = report(0, 1, &mut UsageLedger::new(), now);
        own.flows = here.take_report(now, |_| false);
        if !own.flows.is_empty() {
            reports.push((round, own.flows[0].activity));
        }
        let totals = home.apply_report(&own, now);
        here.apply_answer(&own.flows, &totals.totals);
    }

    let rounds: Vec<u64> = reports.iter().map(|(round, _)| *round).collect();
    // Every 8 rounds; in each round from the first report after the backlog began up to the first
    // one after it ended; and once at the end.
    let expected = [0, 8, 16, 24, 25, 26, 27, 28, 29, 30, 31, 36];
    assert_eq!(rounds[..expected.len()], expected);
    assert_eq!(reports[expected.len() - 1].1, FlowActivity::Idle);
}

/// Guards against a flow that is taken as idle, and raised, since it only runs and is reported rarely.
#[test]
fn flow_that_only_runs_elsewhere_is_not_raised() {
    let mut home = UsageHome::new();
    let (mut here, mut there) = (UsageLedger::new(), UsageLedger::new());
    here.open_flow(&flow(), ClockTime(0));
    here.charge(&flow(), CostUnits(5), ClockTime(0));
    let mut running = report(0, 1, &mut UsageLedger::new(), ClockTime(0));
    running.flows = here.take_report(ClockTime(0), |_| false);
    home.apply_report(&running, ClockTime(0));
    there.merge_virtual_time(&flow().service, 1_000_000);

    let now = ClockTime(3_500);
    there.mark_backlogged(&flow(), FlowWeight(1000), now);
    there.open_flow(&flow(), now);
    home.apply_report(&report(1, 1, &mut there, now), now);

    assert_eq!(home.total(FlowId::of(&flow())), Some(CostUnits(5)));
}

/// Guards against a report that is lost and with it the last count of a flow.
#[test]
fn unanswered_report_is_repeated() {
    let mut ledger = UsageLedger::new();
    ledger.charge(&flow(), CostUnits(5), ClockTime(0));
    let lost = ledger.take_report(ClockTime(0), |_| false);

    ledger.requeue_report(&lost);
    let repeated = ledger.take_report(ClockTime(500), |_| false);

    assert_eq!(repeated, lost);
    assert!(ledger.take_report(ClockTime(1000), |_| false).is_empty());
}

/// Guards against a total that is replaced by that of another home when reporters that were cut off
/// return one after the other: their own counts explain its growth.
#[test]
fn sums_of_two_homes_are_joined_when_reporters_return() {
    let mut world = ReportWorld::new();
    for reporter in 0..REPORTERS {
        world.charge(reporter, 10);
    }
    world.round();
    world.round();
    for _ in 0..8 {
        world.now = world.now + fair::REPORT_INTERVAL;
        for reporter in 0..REPORTERS {
            world.charge(reporter, 5 * (reporter as u64 + 1));
            world.send_report(reporter);
            world.deliver_to(usize::from(reporter != 1), world.reports.len() - 1);
            world.deliver_answer(world.answers.len() - 1);
        }
    }

    let total = world.round();

    assert_eq!(total, 30 + 8 * (5 + 10 + 15));
}

/// Guards against counts that are lost for ever since their reporter ended after it had reported them
/// to another home.
#[test]
fn count_of_an_ended_reporter_is_taken_over_from_another_home() {
    let mut world = ReportWorld::new();
    world.charge(0, 10);
    world.round();
    for _ in 0..10 {
        world.round();
    }
    world.charge(2, 70);
    for reporter in [2, 0] {
        world.charge(reporter, 0);
        world.send_report(reporter);
        world.deliver_to(1, world.reports.len() - 1);
        world.deliver_answer(world.answers.len() - 1);
    }
    world.ledgers[2] = UsageLedger::new();
    world.incarnations[2] += 1;

    let soon = world.round();
    let mut later = soon;
    for _ in 0..9 {
        later = world.round();
    }

    assert_eq!(soon, 10, "the reporter might still return");
    assert_eq!(later, 80);
}

/// Guards against service that is lost when a home is lost and another reporter than the one that
/// gave the service reports to the next home first.
#[test]
fn service_after_the_last_answer_of_a_lost_home_is_counted() {
    let mut world = ReportWorld::new();
    world.charge(0, 100);
    world.charge(1, 50);
    world.round();
    world.round();
    world.charge(0, 10);
    world.homes[0] = UsageHome::new();
    world.now = world.now + fair::REPORT_INTERVAL;

    for reporter in [1, 0] {
        world.charge(reporter, 0);
        world.send_report(reporter);
        world.deliver_report(world.reports.len() - 1);
    }

    assert_eq!(world.round(), 160);
}
