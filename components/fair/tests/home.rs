//! Usage reports against an exact global count, with lost, late, repeated and reordered messages and
//! with restarts.

mod support;

use std::time::Duration;

use fair::{UsageHome, UsageLedger};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use support::{REPORTERS, ReportWorld};

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
        let known = world.ledgers.iter_mut().flat_map(|ledger| ledger.take_report(now, |_| true));
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
