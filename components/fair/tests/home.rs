//! Usage reports against an exact global count. Messages are lost, delayed, repeated and
//! reordered, and reporters and homes restart.

mod support;

use std::time::Duration;

use fair::{UsageHome, UsageLedger};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use support::{REPORTERS, ReportNetwork};

#[derive(Debug, Clone)]
enum NetworkStep {
    Charge(usize, u64),
    Report(usize),
    DeliverReport(usize),
    /// Delivers to another control node, which some reporters take for the home because the home
    /// does not answer them.
    DeliverElsewhere(usize),
    DeliverAnswer(usize),
    LoseReport(usize),
    LoseAnswer(usize),
    Wait(u64),
    RestartReporter(usize),
    RestartHome,
}

fn network_step() -> impl Strategy<Value = NetworkStep> {
    let reporter = 0..REPORTERS;
    prop_oneof![
        4 => (reporter.clone(), 1u64..50)
            .prop_map(|(reporter, cost)| NetworkStep::Charge(reporter, cost)),
        4 => reporter.clone().prop_map(NetworkStep::Report),
        4 => (0usize..6).prop_map(NetworkStep::DeliverReport),
        2 => (0usize..6).prop_map(NetworkStep::DeliverElsewhere),
        4 => (0usize..6).prop_map(NetworkStep::DeliverAnswer),
        1 => (0usize..6).prop_map(NetworkStep::LoseReport),
        1 => (0usize..6).prop_map(NetworkStep::LoseAnswer),
        2 => (1u64..800).prop_map(NetworkStep::Wait),
        1 => reporter.prop_map(NetworkStep::RestartReporter),
        1 => Just(NetworkStep::RestartHome),
    ]
}

/// Runs all steps and returns the largest total that was published.
fn run_steps(network: &mut ReportNetwork, steps: Vec<NetworkStep>) -> u64 {
    let mut published = 0;
    for step in steps {
        match step {
            NetworkStep::Charge(reporter, cost) => network.charge(reporter, cost),
            NetworkStep::Report(reporter) => network.send_report(reporter),
            NetworkStep::DeliverReport(index) => network.deliver_report(index),
            NetworkStep::DeliverElsewhere(index) => network.deliver_report_to(1, index),
            NetworkStep::DeliverAnswer(index) => network.deliver_answer(index),
            NetworkStep::LoseReport(index) if index < network.reports.len() => {
                network.reports.remove(index);
            }
            NetworkStep::LoseAnswer(index) if index < network.answers.len() => {
                network.answers.remove(index);
            }
            NetworkStep::LoseReport(_) | NetworkStep::LoseAnswer(_) => {}
            NetworkStep::Wait(ms) => network.now = network.now + Duration::from_millis(ms),
            NetworkStep::RestartReporter(reporter) => {
                network.ledgers[reporter] = UsageLedger::new();
                network.incarnations[reporter] += 1;
            }
            NetworkStep::RestartHome => {
                network.homes[0] = UsageHome::new();
                network.counts_at_home.clear();
            }
        }
        let answers = network.answers.iter().flat_map(|answer| &answer.1.totals);
        published = answers.map(|total| total.total.0).fold(published, u64::max);
        assert!(
            network.max_known_total() <= network.charged,
            "a ledger has a larger total than was charged"
        );
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

    /// Guards against counts that are lost or doubled when messages are lost, delayed, repeated
    /// or reordered and reporters restart. The sum is exact as long as the home does not restart.
    #[test]
    fn sum_is_exact_without_a_restart_of_the_home(
        steps in prop::collection::vec(network_step(), 1..120),
    ) {
        let mut network = ReportNetwork::new();
        let steps = steps.into_iter().filter(|step| {
            !matches!(step, NetworkStep::RestartHome | NetworkStep::DeliverElsewhere(_))
        });

        let published = run_steps(&mut network, steps.collect());
        let total = network.run_round();

        prop_assert!(total >= published);
        prop_assert_eq!(total, network.counts_at_home.values().sum::<u64>());
    }

    /// Guards against a restarted home that starts from zero, counts twice what a known total
    /// includes, or misses charges after the restart.
    #[test]
    fn restarted_home_continues_from_the_largest_known_total(
        steps in prop::collection::vec(network_step(), 1..120),
        charges in prop::collection::vec((0..REPORTERS, 1u64..50), 1..10),
    ) {
        let mut network = ReportNetwork::new();

        run_steps(&mut network, steps);
        // A charge of 0 makes a report due.
        (0..REPORTERS).for_each(|reporter| network.charge(reporter, 0));
        let now = network.now;
        let known = network.ledgers.iter_mut().flat_map(|ledger| ledger.take_report(now, |_| true));
        let known = known.map(|usage| usage.known_total.0).max().unwrap_or(0);
        network.run_round();
        network.run_round();
        let before = network.run_round();
        let mut added = 0;
        for (reporter, cost) in charges {
            network.charge(reporter, cost);
            added += cost;
        }
        let after = network.run_round();

        prop_assert!(before >= known, "total {} is below the known total {}", before, known);
        prop_assert_eq!(after, before + added);
    }
}
