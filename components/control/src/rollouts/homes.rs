//! Roll-outs that this node judges, from the reports of entries and its directory.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use directory::NodeDirectory;
use registry::FleetConfig;
use rollout::{
    RolloutBounds, RolloutFleet, RolloutHome, RolloutNumber, RolloutPhase, RolloutRecord,
    RolloutStep, RolloutTable,
};
use units::{
    ClockTime, ConfigVersion, DataCentreName, Incarnation, NodeName, ServiceName, SoftwareVersion,
};
use wire::{EntryReport, NodeKind, NodeState, RolloutCounts};

/// Time after which a node that got no report is not the home of the entries. Entries report every
/// 250 ms while a roll-out is in progress, and give an unreachable home up after a second.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_600);

/// Time without reports after which a node starts empty. Counts are cumulative, so a shorter gap, for
/// example of a process that did not run, loses nothing; after a longer one the step may have been
/// judged elsewhere, and its time here would count although no request was judged.
const MAX_HOME_GAP: Duration = Duration::from_secs(5);

/// Time added to that for which entries act on an unconfirmed configuration, for requests and reports
/// in transit and inaccurate clocks.
const PLAN_TIME_MARGIN: Duration = Duration::from_millis(500);

/// Roll-out in progress, as the configuration that this node has applied shows it.
#[derive(Debug, Clone)]
pub(crate) struct ActiveRollout {
    record: RolloutRecord,
    /// Version of the configuration that contains the record.
    config: ConfigVersion,
    has_service: bool,
}

impl ActiveRollout {
    /// Roll-outs in progress of a configuration.
    pub(crate) fn all_of(config: &FleetConfig) -> Vec<Self> {
        let records = config.rollouts.iter();
        let pools = config.published.as_ref().map(|plan| &plan.plan.pools);
        let has_service = |service| pools.is_some_and(|pools| pools.contains_key(service));
        records
            .filter(|record| !record.phase.is_final())
            .map(|record| Self {
                record: record.clone(),
                config: config.version,
                has_service: has_service(&record.order.service),
            })
            .collect()
    }
}

/// What the directory of this node shows of entries and targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetNodes {
    entries: Vec<(NodeName, Incarnation, ConfigVersion)>,
    /// Last known configuration of entries that fell silent, and the time since.
    silent_entries: Vec<(ConfigVersion, Duration)>,
    /// Number of targets of each version that get requests.
    targets: BTreeMap<(ServiceName, SoftwareVersion), usize>,
}

impl FleetNodes {
    /// Reads the directory. Targets in the data centres that are out do not count.
    pub(crate) fn of(
        nodes: &NodeDirectory,
        out_data_centres: &BTreeSet<DataCentreName>,
        now: ClockTime,
    ) -> Self {
        let mut fleet = Self::default();
        for node in nodes.entries() {
            match &node.kind {
                NodeKind::Entry => {
                    let entry = (node.name.clone(), node.incarnation, node.config);
                    fleet.entries.push(entry);
                }
                NodeKind::Target(target) => {
                    let is_serving = node.state == NodeState::Serving
                        && !out_data_centres.contains(&node.data_centre);
                    if let (true, Some(version)) = (is_serving, &target.version) {
                        let key = (target.service.clone(), version.clone());
                        *fleet.targets.entry(key).or_default() += 1;
                    }
                }
                NodeKind::Agent(_) => {}
            }
        }
        let silent = nodes.missing(now);
        let silent = silent.filter(|(node, _)| node.kind == NodeKind::Entry);
        fleet.silent_entries = silent
            .map(|(node, silence)| (node.config, silence))
            .collect();
        fleet
    }

    fn serving(
        &self,
        service: &ServiceName,
        is_counted: impl Fn(&SoftwareVersion) -> bool,
    ) -> usize {
        let targets = self.targets.iter();
        targets
            .filter(|((of, version), _)| of == service && is_counted(version))
            .map(|(_, count)| count)
            .sum()
    }
}

/// State of this node in the control group.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GroupState {
    /// Whether a quorum has confirmed this node recently.
    pub(crate) is_confirmed: bool,
    pub(crate) is_leader: bool,
}

/// Step to propose, with what it is based on.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RolloutJudgement {
    pub(crate) step: RolloutStep,
    /// Evidence against the new version, as the negative logarithm of a probability.
    pub(crate) evidence: f64,
    /// Counts of the route with the highest number of bad responses of the new version.
    pub(crate) worst_route: Option<RouteTotals>,
}

/// Sums of what the entries have counted on one route since they first heard of the roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RouteTotals {
    /// Hash of the route's name.
    pub(crate) route: u64,
    pub(crate) new_sent: u64,
    pub(crate) new_failed: u64,
    pub(crate) new_slow: u64,
    pub(crate) old_sent: u64,
    pub(crate) old_failed: u64,
    pub(crate) old_slow: u64,
}

/// Last report of an entry.
#[derive(Debug)]
struct LastReport {
    incarnation: Incarnation,
    config: ConfigVersion,
    rollouts: Vec<RolloutCounts>,
    received_at: ClockTime,
}

/// Judgement of one service's roll-out.
#[derive(Debug)]
struct ServiceHome {
    home: RolloutHome,
    number: RolloutNumber,
    phase: RolloutPhase,
    /// Version of the configuration with which this node first saw the phase. An entry that has
    /// installed it knows the phase.
    config: ConfigVersion,
    seen_at: ClockTime,
}

/// Roll-outs in progress at this node.
///
/// Soft state: a node that becomes the home starts empty.
#[derive(Debug, Default)]
pub(crate) struct RolloutHomes {
    homes: BTreeMap<ServiceName, ServiceHome>,
    reports: BTreeMap<NodeName, LastReport>,
    last_report_at: Option<ClockTime>,
    /// Time since which a quorum has confirmed this node without a gap.
    confirmed_since: Option<ClockTime>,
}

impl RolloutHomes {
    /// Adds the report of an entry, and returns whether a step may be due.
    pub(crate) fn apply_report(
        &mut self,
        report: &EntryReport,
        table: &RolloutTable,
        bounds: &RolloutBounds,
        now: ClockTime,
    ) -> bool {
        let last = self.last_report_at;
        if last.is_none_or(|last| now.since(last) >= MAX_HOME_GAP) {
            self.homes.clear();
        }
        self.last_report_at = Some(now);
        let (reporter, incarnation) = (&report.demand.reporter, report.demand.incarnation);
        for counts in &report.rollouts {
            let record = table.get(&counts.service);
            if let Some(record) = record.filter(|record| !record.phase.is_final()) {
                let service = self.homes.get_mut(&counts.service);
                // The home of a service is created by the next round, with the phase that it sees.
                if let Some(service) = service.filter(|home| home.number == record.number) {
                    let home = &mut service.home;
                    home.apply_report(reporter, incarnation, counts, record, bounds, now);
                }
            }
        }
        let last = LastReport {
            incarnation,
            config: report.config,
            rollouts: report.rollouts.clone(),
            received_at: now,
        };
        self.reports.insert(reporter.clone(), last);
        !report.rollouts.is_empty()
    }

    /// Whether entries report to this node.
    fn is_home(&self, now: ClockTime) -> bool {
        let last = self.last_report_at;
        last.is_some_and(|last| now.since(last) < MAX_REPORT_AGE)
    }

    /// Returns the steps that are due.
    ///
    /// If no entries report here, only a leader that has none in its directory decides, and only what
    /// needs no judgement of the new version: another node may get the reports.
    pub(crate) fn next_steps(
        &mut self,
        active: &[ActiveRollout],
        nodes: &FleetNodes,
        group: GroupState,
        bounds: &RolloutBounds,
        plan_time: Duration,
        now: ClockTime,
    ) -> Vec<RolloutJudgement> {
        let is_active = |service: &ServiceName| {
            let mut active = active.iter();
            active.any(|rollout| rollout.record.order.service == *service)
        };
        self.homes.retain(|service, _| is_active(service));
        self.reports
            .retain(|_, report| now.since(report.received_at) < MAX_REPORT_AGE);
        for rollout in active {
            self.follow(rollout, now);
        }
        self.confirmed_since = group
            .is_confirmed
            .then(|| self.confirmed_since.unwrap_or(now));
        let is_home = self.is_home(now);
        if !group.is_confirmed || !(is_home || (group.is_leader && nodes.entries.is_empty())) {
            return Vec::new();
        }
        let mut judgements = Vec::new();
        for rollout in active {
            let fleet = self.fleet(rollout, nodes, plan_time, now);
            let Some(service) = self.homes.get_mut(&rollout.record.order.service) else {
                continue;
            };
            let step = service.home.next_step(&rollout.record, &fleet, bounds, now);
            let Some(step) = step.filter(|step| is_home || step.phase.is_final()) else {
                continue;
            };
            judgements.push(RolloutJudgement {
                evidence: service.home.evidence(),
                worst_route: self.worst_route(&rollout.record),
                step,
            });
        }
        judgements
    }

    /// Highest evidence against a new version.
    pub(crate) fn highest_evidence(&self) -> f64 {
        let evidence = self.homes.values().map(|service| service.home.evidence());
        evidence.fold(0.0, f64::max)
    }

    /// Notes the phase of a roll-out when this node first sees it.
    fn follow(&mut self, rollout: &ActiveRollout, now: ClockTime) {
        let record = &rollout.record;
        let known = self.homes.remove(&record.order.service);
        let known = known.filter(|known| known.number == record.number);
        let service = match known {
            Some(known) if known.phase == record.phase => known,
            known => ServiceHome {
                home: known.map_or_else(RolloutHome::new, |known| known.home),
                number: record.number,
                phase: record.phase.clone(),
                config: rollout.config,
                seen_at: now,
            },
        };
        self.homes.insert(record.order.service.clone(), service);
    }

    /// What this node knows of the fleet, for one roll-out.
    fn fleet(
        &self,
        rollout: &ActiveRollout,
        nodes: &FleetNodes,
        plan_time: Duration,
        now: ClockTime,
    ) -> RolloutFleet {
        let record = &rollout.record;
        let live_entries = nodes
            .entries
            .iter()
            .map(|(name, ..)| name.clone())
            .collect();
        let silence_time = plan_time + PLAN_TIME_MARGIN;
        let since = |at: Option<ClockTime>| at.map_or(Duration::ZERO, |at| now.since(at));
        // Without a quorum entries cannot renew their leases and vanish from the directory. They are
        // listed again soon after one has confirmed this node.
        if since(self.confirmed_since) < silence_time {
            return RolloutFleet {
                is_installed: false,
                is_lease_passed: false,
                live_entries,
                new_serving: 1,
                old_serving: 1,
                has_service: true,
            };
        }
        let service = self.homes.get(&record.order.service);
        let is_installed = service.is_some_and(|service| {
            let lacks_phase = |config: ConfigVersion| config < service.config;
            let mut entries = nodes.entries.iter();
            let mut silent = nodes.silent_entries.iter();
            !entries.any(|(name, incarnation, config)| {
                lacks_phase(self.installed(name, *incarnation).max(*config))
            }) && !silent.any(|(config, silence)| lacks_phase(*config) && *silence < silence_time)
        });
        let seen_at = service.map(|service| service.seen_at);
        let of = &record.order.service;
        RolloutFleet {
            is_installed,
            is_lease_passed: is_installed && since(seen_at) >= silence_time,
            live_entries,
            new_serving: nodes.serving(of, |version| *version == record.order.to),
            old_serving: nodes.serving(of, |version| record.old.contains(version)),
            has_service: rollout.has_service,
        }
    }

    /// Configuration that an entry has installed according to its last report.
    fn installed(&self, name: &NodeName, incarnation: Incarnation) -> ConfigVersion {
        let report = self.reports.get(name);
        let report = report.filter(|report| report.incarnation == incarnation);
        report.map_or(ConfigVersion(0), |report| report.config)
    }

    /// Route with the highest number of bad responses of the new version, if there are any.
    fn worst_route(&self, record: &RolloutRecord) -> Option<RouteTotals> {
        let mut routes: BTreeMap<u64, RouteTotals> = BTreeMap::new();
        let reported = self.reports.values().flat_map(|report| &report.rollouts);
        let counts = reported.filter(|counts| {
            counts.service == record.order.service && counts.number == record.number.0
        });
        for count in counts.flat_map(|counts| &counts.counts) {
            let totals = routes.entry(count.route).or_default();
            totals.route = count.route;
            if count.version == record.order.to {
                totals.new_sent += count.sent;
                totals.new_failed += count.failed;
                totals.new_slow += count.slow;
            } else if record.old.contains(&count.version) {
                totals.old_sent += count.sent;
                totals.old_failed += count.failed;
                totals.old_slow += count.slow;
            }
        }
        let bad = |totals: &RouteTotals| totals.new_failed + totals.new_slow;
        routes
            .into_values()
            .filter(|totals| bad(totals) > 0)
            .max_by_key(bad)
    }
}
