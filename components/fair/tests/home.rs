//! Usage reports against an exact global count, with lost, late, repeated and reordered messages and
//! with restarts.

use std::collections::BTreeMap;
use std::time::Duration;

use fair::{UsageHome, UsageLedger};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::ServiceName;
use units::{ClockTime, CostUnits, FlowWeight, Incarnation, NodeName, OrganisationName};
use wire::{FlowActivity, FlowId, FlowKey, UsageReport, UsageTotals};

const REPORTERS: usize = 3;

fn flow() -> FlowKey {
    FlowKey {
        organisation: OrganisationName::from("mlyn-hora"),
        service: ServiceName::from("stone-advice"),
    }
}

fn report(
    reporter: usize,
    incarnation: u64,
    ledger: &mut UsageLedger,
    now: ClockTime,
) -> UsageReport {
    UsageReport {
        reporter: NodeName::from(reporter.to_string().as_str()),
        incarnation: Incarnation(incarnation),
        interval_ms: 500,
        service: flow().service,
        virtual_time: 0,
        flows: ledger.report(now, |_| true),
    }
}

/// Reporters, their home and the exact counts.
struct ReportWorld {
    now: ClockTime,
    /// The first one is the home when all agents reach all control nodes again.
    homes: Vec<UsageHome>,
    ledgers: Vec<UsageLedger>,
    incarnations: Vec<u64>,
    /// Messages on their way; a message that is delivered stays here to be repeated.
    reports: Vec<UsageReport>,
    answers: Vec<(UsageReport, UsageTotals)>,
    /// Everything that was ever charged.
    charged: u64,
    /// Largest count of each incarnation that has reached the home.
    arrived: BTreeMap<(usize, u64), u64>,
}

impl ReportWorld {
    fn new() -> Self {
        Self {
            now: ClockTime(1000),
            homes: vec![UsageHome::new(), UsageHome::new()],
            ledgers: (0..REPORTERS).map(|_| UsageLedger::new()).collect(),
            incarnations: vec![1; REPORTERS],
            reports: Vec::new(),
            answers: Vec::new(),
            charged: 0,
            arrived: BTreeMap::new(),
        }
    }

    fn charge(&mut self, reporter: usize, cost: u64) {
        self.ledgers[reporter].charge(&flow(), CostUnits(cost), self.now);
        self.charged += cost;
    }

    fn send_report(&mut self, reporter: usize) {
        let incarnation = self.incarnations[reporter];
        let ledger = &mut self.ledgers[reporter];
        self.reports
            .push(report(reporter, incarnation, ledger, self.now));
    }

    fn deliver_report(&mut self, index: usize) {
        self.deliver_to(0, index);
    }

    fn deliver_to(&mut self, home: usize, index: usize) {
        let Some(report) = self.reports.get(index).cloned() else {
            return;
        };
        let reporter: usize = report.reporter.as_str().parse().expect("an index");
        let key = (reporter, report.incarnation.0);
        for usage in report.flows.iter().filter(|_| home == 0) {
            let count = self.arrived.entry(key).or_default();
            *count = (*count).max(usage.count.0);
        }
        let totals = self.homes[home].report(&report, self.now);
        for total in &totals.totals {
            assert!(
                total.total.0 <= self.charged,
                "counted more than was charged"
            );
        }
        self.answers.push((report, totals));
    }

    fn deliver_answer(&mut self, index: usize) {
        let Some((report, totals)) = self.answers.get(index).cloned() else {
            return;
        };
        let reporter: usize = report.reporter.as_str().parse().expect("an index");
        if self.incarnations[reporter] != report.incarnation.0 {
            return;
        }
        let before = self.ledgers[reporter].total(&flow());
        self.ledgers[reporter].answered(&report.flows, &totals.totals);
        assert!(self.ledgers[reporter].total(&flow()) >= before, "went back");
    }

    /// Reports of all in each interval of some time, without service.
    fn idle(&mut self, intervals: u64) {
        for _ in 0..intervals {
            self.reports.clear();
            self.answers.clear();
            self.now = self.now + fair::REPORT_INTERVAL;
            for reporter in 0..REPORTERS {
                self.send_report(reporter);
                self.deliver_report(reporter);
                self.deliver_answer(reporter);
            }
        }
    }

    fn known(&self) -> u64 {
        let totals = self.ledgers.iter().map(|ledger| ledger.total(&flow()).0);
        totals.max().unwrap_or(0)
    }

    /// Reports of all without loss; returns the last total.
    fn round(&mut self) -> u64 {
        self.reports.clear();
        self.answers.clear();
        self.now = self.now + Duration::from_millis(500);
        let mut total = 0;
        for reporter in 0..REPORTERS {
            // A charge of nothing keeps the flow active.
            self.charge(reporter, 0);
            self.send_report(reporter);
            self.deliver_report(reporter);
            total = self.answers[reporter].1.totals[0].total.0;
            self.deliver_answer(reporter);
        }
        total
    }
}

#[derive(Debug, Clone)]
enum Step {
    Charge(usize, u64),
    Report(usize),
    DeliverReport(usize),
    /// Delivers to a control node that some take for the home while others do not answer them.
    DeliverElsewhere(usize),
    DeliverAnswer(usize),
    LoseReport(usize),
    LoseAnswer(usize),
    Wait(u64),
    RestartReporter(usize),
    RestartHome,
}

fn step() -> impl Strategy<Value = Step> {
    let reporter = 0..REPORTERS;
    prop_oneof![
        4 => (reporter.clone(), 1u64..50).prop_map(|(reporter, cost)| Step::Charge(reporter, cost)),
        4 => reporter.clone().prop_map(Step::Report),
        4 => (0usize..6).prop_map(Step::DeliverReport),
        2 => (0usize..6).prop_map(Step::DeliverElsewhere),
        4 => (0usize..6).prop_map(Step::DeliverAnswer),
        1 => (0usize..6).prop_map(Step::LoseReport),
        1 => (0usize..6).prop_map(Step::LoseAnswer),
        2 => (1u64..800).prop_map(Step::Wait),
        1 => reporter.prop_map(Step::RestartReporter),
        1 => Just(Step::RestartHome),
    ]
}

/// Runs a history and returns the largest total that was ever published.
fn run(world: &mut ReportWorld, steps: Vec<Step>) -> u64 {
    let mut published = 0;
    for step in steps {
        match step {
            Step::Charge(reporter, cost) => world.charge(reporter, cost),
            Step::Report(reporter) => world.send_report(reporter),
            Step::DeliverReport(index) => world.deliver_report(index),
            Step::DeliverElsewhere(index) => world.deliver_to(1, index),
            Step::DeliverAnswer(index) => world.deliver_answer(index),
            Step::LoseReport(index) if index < world.reports.len() => {
                world.reports.remove(index);
            }
            Step::LoseAnswer(index) if index < world.answers.len() => {
                world.answers.remove(index);
            }
            Step::LoseReport(_) | Step::LoseAnswer(_) => {}
            Step::Wait(ms) => world.now = world.now + Duration::from_millis(ms),
            Step::RestartReporter(reporter) => {
                world.ledgers[reporter] = UsageLedger::new();
                world.incarnations[reporter] += 1;
            }
            Step::RestartHome => {
                world.homes[0] = UsageHome::new();
                world.arrived.clear();
            }
        }
        let answers = world.answers.iter().flat_map(|answer| &answer.1.totals);
        published = answers.map(|total| total.total.0).fold(published, u64::max);
        assert!(world.known() <= world.charged, "a ledger knows too much");
    }
    published
}

fn config() -> Config {
    Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(23),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against counts that are lost or doubled when messages are lost, late, repeated or
    /// reordered and reporters restart: without a restart of the home the sum is exact.
    #[test]
    fn sum_is_exact_while_the_home_lives(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = ReportWorld::new();
        let steps = steps.into_iter().filter(|step| {
            !matches!(step, Step::RestartHome | Step::DeliverElsewhere(_))
        });

        let published = run(&mut world, steps.collect());
        let total = world.round();

        prop_assert!(total >= published);
        prop_assert_eq!(total, world.arrived.values().sum::<u64>());
    }

    /// Guards against a restarted home that starts from nothing, counts twice what a known total
    /// contains, or misses what is charged after the restart.
    #[test]
    fn restarted_home_goes_on_from_the_largest_known_total(
        steps in prop::collection::vec(step(), 1..120),
        charges in prop::collection::vec((0..REPORTERS, 1u64..50), 1..10),
    ) {
        let mut world = ReportWorld::new();

        run(&mut world, steps);
        // A charge of nothing makes a report due.
        (0..REPORTERS).for_each(|reporter| world.charge(reporter, 0));
        let now = world.now;
        let known = world.ledgers.iter_mut().flat_map(|ledger| ledger.report(now, |_| true));
        let known = known.map(|usage| usage.known_total.0).max().unwrap_or(0);
        world.round();
        world.round();
        let before = world.round();
        let mut added = 0;
        for (reporter, cost) in charges {
            world.charge(reporter, cost);
            added += cost;
        }
        let after = world.round();

        prop_assert!(before >= known, "{} after {} was known", before, known);
        prop_assert_eq!(after, before + added);
    }
}

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

    world.ledgers[1].backlogged(&flow(), FlowWeight(1000), world.now);
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

    world.ledgers[1].backlogged(&flow(), FlowWeight(2000), world.now);
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

    world.ledgers[0].backlogged(&flow(), FlowWeight(1000), world.now);
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
    let later = world.now + fair::LEDGER_MEMORY;

    world.ledgers[0].forget_idle(later);
    let empty = report(0, 1, &mut UsageLedger::new(), later);
    assert!(empty.flows.is_empty());
    world.homes[0].report(&empty, later);

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
    here.opened(&flow(), ClockTime(0));

    for round in 0..40 {
        let now = ClockTime(500 * round);
        here.charge(&flow(), CostUnits(1), now);
        if (20..30).contains(&round) {
            there.charge(&flow(), CostUnits(1), now);
            home.report(&report(1, 1, &mut there, now), now);
        }
        if round == 36 {
            here.closed(&flow(), now);
        }
        let mut own = report(0, 1, &mut UsageLedger::new(), now);
        own.flows = here.report(now, |_| false);
        if !own.flows.is_empty() {
            reports.push((round, own.flows[0].activity));
        }
        let totals = home.report(&own, now);
        here.answered(&own.flows, &totals.totals);
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
    here.opened(&flow(), ClockTime(0));
    here.charge(&flow(), CostUnits(5), ClockTime(0));
    let mut running = report(0, 1, &mut UsageLedger::new(), ClockTime(0));
    running.flows = here.report(ClockTime(0), |_| false);
    home.report(&running, ClockTime(0));
    there.merge_virtual_time(&flow().service, 1_000_000);

    let now = ClockTime(3_500);
    there.backlogged(&flow(), FlowWeight(1000), now);
    there.opened(&flow(), now);
    home.report(&report(1, 1, &mut there, now), now);

    assert_eq!(home.total(FlowId::of(&flow())), Some(CostUnits(5)));
}

/// Guards against a report that is lost and with it the last count of a flow.
#[test]
fn unanswered_report_is_repeated() {
    let mut ledger = UsageLedger::new();
    ledger.charge(&flow(), CostUnits(5), ClockTime(0));
    let lost = ledger.report(ClockTime(0), |_| false);

    ledger.unanswered(&lost);
    let repeated = ledger.report(ClockTime(500), |_| false);

    assert_eq!(repeated, lost);
    assert!(ledger.report(ClockTime(1000), |_| false).is_empty());
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
            world.charge(reporter, 5);
            world.send_report(reporter);
            world.deliver_to(usize::from(reporter != 1), world.reports.len() - 1);
            world.deliver_answer(world.answers.len() - 1);
        }
    }

    let total = world.round();

    assert_eq!(total, 30 + 8 * 5 * 3);
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
