//! Reports and totals while entries, home or links fail.

use balance::{LoadCandidate, LoadHome, LoadLog, LoadView, ServiceLoad};
use units::{ClockTime, Incarnation, NodeName};
use wire::{HomeId, LoadReply, LoadReport, TargetLoad};

struct Entry {
    name: NodeName,
    incarnation: Incarnation,
    log: LoadLog,
    view: LoadView,
}

impl Entry {
    fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation: Incarnation(incarnation),
            log: LoadLog::new(),
            view: LoadView::new(),
        }
    }

    fn take_report(&mut self, running: u32) -> LoadReport {
        let load = TargetLoad {
            target: 1,
            running,
            held_tokens: u64::from(running) * 10_000,
            common_tokens: 3_000,
        };
        self.log.take_report([load])
    }

    fn send(&self, home: &mut LoadHome, report: &LoadReport, now: u64) -> LoadReply {
        home.apply_report(&self.name, self.incarnation, report, 2, ClockTime(now))
    }

    /// Reports to a home of two entries, and takes over the reply.
    fn report(&mut self, home: &mut LoadHome, running: u32, now: u64) {
        let report = self.take_report(running);
        let reply = self.send(home, &report, now);
        let own = self.log.apply_reply(&reply).expect("a reply in time");
        self.view.apply_reply(&reply, own, ClockTime(now));
    }
}

/// Guards against totals of a new home that lack entries and are taken for free targets.
#[test]
fn totals_of_a_restarted_home_are_used_once_all_entries_have_reported() {
    let (mut one, mut other) = (Entry::new("one", 1), Entry::new("other", 1));
    let mut home = LoadHome::new(HomeId(1));
    one.report(&mut home, 5, 0);
    assert_eq!(one.view.age(ClockTime(10)), None);
    other.report(&mut home, 7, 20);
    one.report(&mut home, 5, 250);
    assert_eq!(one.view.others(1).map(|load| load.running), Some(7));
    assert!(one.view.age(ClockTime(260)).is_some());

    let mut restarted = LoadHome::new(HomeId(2));
    one.report(&mut restarted, 5, 500);
    assert_eq!(one.view.age(ClockTime(510)), None);
    // The first reports listed only changes, which the new home cannot use.
    other.report(&mut restarted, 7, 520);
    one.report(&mut restarted, 5, 750);
    other.report(&mut restarted, 7, 770);
    one.report(&mut restarted, 5, 1_000);
    assert_eq!(one.view.others(1).map(|load| load.running), Some(7));
    assert!(one.view.age(ClockTime(1_010)).is_some());
    assert_eq!(restarted.total(1).running, 12);
}

/// Guards against load that stays in the totals after its entry has gone, and against old views.
#[test]
fn silent_entry_and_old_view_are_left_out() {
    let (mut one, mut other) = (Entry::new("one", 1), Entry::new("other", 1));
    let mut home = LoadHome::new(HomeId(1));
    one.report(&mut home, 5, 0);
    other.report(&mut home, 7, 0);
    one.report(&mut home, 5, 1_599);
    assert_eq!(home.total(1).running, 12);
    one.report(&mut home, 5, 1_600);
    assert_eq!(home.total(1).running, 5);
    assert!(one.view.age(ClockTime(3_599)).is_some());
    assert_eq!(one.view.age(ClockTime(3_600)), None);
    let targets = [LoadCandidate::default()];
    assert!(ServiceLoad::new(&one.view, targets.into_iter(), ClockTime(3_600)).is_none());
}

/// Guards against counting load twice or not at all when reports are lost, late or out of order, or an
/// entry restarts empty.
#[test]
fn late_reports_and_restarts_leave_the_totals_right() {
    let mut entry = Entry::new("one", 1);
    let mut home = LoadHome::new(HomeId(1));
    entry.report(&mut home, 5, 0);
    let late = entry.take_report(9);
    let newer = entry.take_report(5);
    // The lost reply may have been that of a report that counted, so the load is listed again.
    assert_eq!(newer.loads.len(), 1);
    entry.send(&mut home, &newer, 250);
    let reply = entry.send(&mut home, &late, 260);
    assert_eq!(entry.log.apply_reply(&reply), None);
    assert_eq!(home.total(1).running, 5);

    let mut restarted = Entry::new("one", 2);
    restarted.report(&mut home, 1, 500);
    entry.send(&mut home, &late, 510);
    assert_eq!(home.total(1).running, 1);
    assert_eq!(home.total(1).held_tokens, 10_000);
}

/// Guards against messages that grow with entries times targets.
#[test]
fn messages_of_large_fleets_stay_small() {
    let mut home = LoadHome::new(HomeId(1));
    let mut largest = 0;
    for number in 0..300_u64 {
        let mut entry = Entry::new(&format!("entry-{number}"), 1);
        let loads = (0..3_000_u64).map(|target| TargetLoad {
            target: u64::MAX - target,
            running: 1 + (target % 7) as u32,
            held_tokens: 90_000,
            common_tokens: 6_000,
        });
        let report = entry.log.take_report(loads);
        let reply = entry.send(&mut home, &report, number);
        for frame in [wire::encode(&report), wire::encode(&reply)] {
            largest = largest.max(frame.expect("a small frame").len());
        }
    }
    assert!(largest < 16 << 10, "{largest} bytes");
}
