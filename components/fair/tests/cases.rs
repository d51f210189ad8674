//! Usage reports in specific cases: raises, restarts, changes of the home, and the times of
//! reports.

mod support;

use std::time::Duration;

use fair::{UsageHome, UsageLedger};
use support::{REPORTERS, ReportNetwork, flow, report};
use units::{ClockTime, CostUnits, FlowWeight};
use wire::{FlowActivity, FlowId};

/// Guards against a raise at one agent of a flow that is busy at another. A flow whose requests
/// are spread over many agents would be raised repeatedly.
#[test]
fn flow_that_is_busy_elsewhere_is_not_raised() {
    let mut network = ReportNetwork::new();
    let service = flow().service;
    for _ in 0..8 {
        network.charge(0, 10);
        network.run_round();
    }
    let before = network.ledgers[0].total(&flow());
    network.ledgers[1] = UsageLedger::new();
    network.incarnations[1] = 2;
    network.ledgers[1].merge_virtual_time(&service, 1_000_000);

    network.ledgers[1].mark_backlogged(&flow(), FlowWeight(1000), network.now);
    let provisional = network.ledgers[1].counter(&flow(), FlowWeight(1000));
    network.run_round();
    network.run_round();

    assert_eq!(provisional, 1_000_000);
    assert_eq!(network.ledgers[1].total(&flow()), before);
    assert_eq!(
        network.ledgers[1].counter(&flow(), FlowWeight(1000)),
        before.0
    );
}

/// Guards against credit for idle time: a flow that was idle in the whole fleet is raised to the
/// virtual time at every agent. The idle period here is only the idle timeout plus one report
/// interval.
#[test]
fn flow_that_was_idle_everywhere_is_raised() {
    let mut network = ReportNetwork::new();
    network.charge(0, 10);
    // More rounds than those in which proposals for a new flow are accepted.
    for _ in 0..6 {
        network.run_round();
    }
    network.run_idle_rounds(3);
    network.ledgers[1].merge_virtual_time(&flow().service, 25);

    network.ledgers[1].mark_backlogged(&flow(), FlowWeight(2000), network.now);
    // A counter of 25 at weight 2 is a total of 50 units, of which 10 were charged.
    network.charged += 40;
    network.run_round();
    network.run_round();

    for ledger in &network.ledgers {
        assert_eq!(ledger.counter(&flow(), FlowWeight(2000)), 25);
    }
}

/// Guards against credit for idle time when the answer to an earlier report arrives after the flow
/// has become busy again.
#[test]
fn late_answer_does_not_end_a_raise() {
    let mut network = ReportNetwork::new();
    network.charge(0, 10);
    network.run_round();
    let late = network.answers[0].clone();
    network.now = network.now + Duration::from_secs(5);
    network.ledgers[0].merge_virtual_time(&flow().service, 50_000);
    // A counter of 50000 at weight 1 is a total of 50000 units, of which 10 were charged.
    network.charged += 49_990;

    network.ledgers[0].mark_backlogged(&flow(), FlowWeight(1000), network.now);
    network.answers = vec![late];
    network.deliver_answer(0);
    let provisional = network.ledgers[0].counter(&flow(), FlowWeight(1000));
    network.run_round();

    assert_eq!(provisional, 50_000);
    assert_eq!(network.ledgers[0].total(&flow()), CostUnits(50_000));
}

/// Guards against memory that grows with every flow that was ever used.
#[test]
fn idle_flows_are_evicted() {
    let mut network = ReportNetwork::new();
    network.charge(0, 10);
    network.run_round();
    let later = network.now + fair::LEDGER_RETENTION;

    network.ledgers[0].evict_idle(later);
    let empty = report(0, 1, &mut UsageLedger::new(), later);
    assert!(empty.flows.is_empty());
    network.homes[0].apply_report(&empty, later);

    assert!(network.ledgers[0].is_empty());
    assert!(network.homes[0].is_empty());
}

/// Guards against counting growth twice when a report from before a restart of the home arrives
/// after it. The growth since that report is part of the total that the home has adopted.
#[test]
fn late_report_after_a_restart_counts_nothing_twice() {
    let mut network = ReportNetwork::new();
    network.charge(1, 10);
    network.send_report(1);
    let late = network.reports[0].clone();
    network.charge(1, 10);
    network.run_round();
    network.run_round();

    network.homes[0] = UsageHome::new();
    network.charge(0, 0);
    network.send_report(0);
    network.deliver_report(network.reports.len() - 1);
    network.reports.push(late);
    network.deliver_report(network.reports.len() - 1);
    let total = network.run_round();

    assert_eq!(total, 20);
}

/// Guards against a restarted home that loses the charges of its first reporter since the last
/// answer.
#[test]
fn restarted_home_counts_what_the_known_total_lacks() {
    let mut network = ReportNetwork::new();
    network.charge(0, 10);
    network.run_round();
    network.charge(0, 7);

    network.homes[0] = UsageHome::new();
    let total = network.run_round();

    assert_eq!(total, 17);
}

/// Guards against lost counts when a reporter changes to another home for a while and back. Both
/// homes have counted in the meantime.
#[test]
fn temporary_change_of_home_loses_no_count() {
    let mut network = ReportNetwork::new();
    for reporter in 0..REPORTERS {
        network.charge(reporter, 10);
    }
    network.run_round();
    network.run_round();
    for _ in 0..3 {
        network.charge(0, 5);
        network.send_report(0);
        network.deliver_report_to(1, network.reports.len() - 1);
        network.deliver_answer(network.answers.len() - 1);
        network.charge(1, 20);
        network.send_report(1);
        network.deliver_report_to(0, network.reports.len() - 1);
        network.deliver_answer(network.answers.len() - 1);
    }

    let total = network.run_round();

    assert_eq!(total, 30 + 15 + 60);
}

/// Guards against unneeded reports, against totals that are four seconds old for a flow that is
/// backlogged elsewhere, and against a late report of the last count.
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
        here.apply_totals(&own.flows, &totals.totals);
    }

    let rounds: Vec<u64> = reports.iter().map(|(round, _)| *round).collect();
    // Every 8 rounds; in each round from the first report after the backlog began up to the first
    // one after it ended; and once at the end.
    let expected = [0, 8, 16, 24, 25, 26, 27, 28, 29, 30, 31, 36];
    assert_eq!(rounds[..expected.len()], expected);
    assert_eq!(reports[expected.len() - 1].1, FlowActivity::Idle);
}

/// Guards against a raise of a flow that is taken for idle because it only runs elsewhere and is
/// therefore reported rarely.
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

/// Guards against a lost report that contains the last count of a flow.
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

/// Guards against a home that replaces its total by that of another home when reporters that lost
/// contact return one after the other. The counts of the reporters explain the growth of the
/// other total.
#[test]
fn sums_of_two_homes_are_merged_when_reporters_return() {
    let mut network = ReportNetwork::new();
    for reporter in 0..REPORTERS {
        network.charge(reporter, 10);
    }
    network.run_round();
    network.run_round();
    for _ in 0..8 {
        network.now = network.now + fair::REPORT_INTERVAL;
        for reporter in 0..REPORTERS {
            network.charge(reporter, 5 * (reporter as u64 + 1));
            network.send_report(reporter);
            network.deliver_report_to(usize::from(reporter != 1), network.reports.len() - 1);
            network.deliver_answer(network.answers.len() - 1);
        }
    }

    let total = network.run_round();

    assert_eq!(total, 30 + 8 * (5 + 10 + 15));
}

/// Guards against the permanent loss of counts whose reporter ended after it had reported them to
/// another home.
#[test]
fn count_of_an_ended_reporter_is_adopted_from_another_home() {
    let mut network = ReportNetwork::new();
    network.charge(0, 10);
    network.run_round();
    for _ in 0..10 {
        network.run_round();
    }
    network.charge(2, 70);
    for reporter in [2, 0] {
        network.charge(reporter, 0);
        network.send_report(reporter);
        network.deliver_report_to(1, network.reports.len() - 1);
        network.deliver_answer(network.answers.len() - 1);
    }
    network.ledgers[2] = UsageLedger::new();
    network.incarnations[2] += 1;

    let total_before_adoption = network.run_round();
    let mut total_after_adoption = total_before_adoption;
    for _ in 0..9 {
        total_after_adoption = network.run_round();
    }

    assert_eq!(total_before_adoption, 10, "the reporter might still return");
    assert_eq!(total_after_adoption, 80);
}

/// Guards against lost charges when a home is lost and the first report to the next home comes
/// from a reporter without these charges.
#[test]
fn service_after_the_last_answer_of_a_lost_home_is_counted() {
    let mut network = ReportNetwork::new();
    network.charge(0, 100);
    network.charge(1, 50);
    network.run_round();
    network.run_round();
    network.charge(0, 10);
    network.homes[0] = UsageHome::new();
    network.now = network.now + fair::REPORT_INTERVAL;

    for reporter in [1, 0] {
        network.charge(reporter, 0);
        network.send_report(reporter);
        network.deliver_report(network.reports.len() - 1);
    }

    assert_eq!(network.run_round(), 160);
}
