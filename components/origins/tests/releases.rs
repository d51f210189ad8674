//! Continued streams during a rolling release, while entries are killed and streams are cut.

use std::collections::VecDeque;
use std::time::Duration;

use origins::{OriginLog, OriginTable, report_interval};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use units::{ClockTime, NodeName};
use wire::{OriginAnswer, OriginBatch, StreamId, StreamOrigin};

/// Time for which the release lasts, in milliseconds.
const RELEASE_MS: u64 = 20_000;

/// Time in which an entry's report reaches the control nodes, in milliseconds.
const TRANSIT_MS: u64 = 10;

/// Time from the break of a stream to the search for its origin, in milliseconds.
const REPEAT_MS: u64 = 20;

/// A stream that has begun and is broken later.
struct BegunStream {
    stream: StreamId,
    entry: usize,
    version: &'static str,
    breaks_at: u64,
    is_killed: bool,
}

/// Outcomes of the continuations; `found` and `unknown` count streams of killed entries only.
#[derive(Debug, Default)]
struct ContinuationCounts {
    found: u32,
    unknown: u32,
    wrong: u32,
}

/// A fleet of entries and one control node, which holds what all control nodes get.
struct SimulatedFleet {
    random: StdRng,
    entries: Vec<OriginLog>,
    control: OriginTable,
    /// Reports on their way to the control node, with the times of their arrival.
    in_transit: VecDeque<(u64, Vec<OriginBatch>)>,
    open: Vec<BegunStream>,
    counts: ContinuationCounts,
}

impl SimulatedFleet {
    fn new(entries: usize, seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            entries: (0..entries).map(|_| OriginLog::new()).collect(),
            control: OriginTable::default(),
            in_transit: VecDeque::new(),
            open: Vec::new(),
            counts: ContinuationCounts::default(),
        }
    }

    /// Begins a stream at a random entry, at the newer version as often as the release has got on.
    fn begin_stream(&mut self, now: u64) {
        let is_newer = self.random.random_range(0..RELEASE_MS) < now;
        let version = if is_newer { "v2" } else { "v1" };
        let entry = self.random.random_range(0..self.entries.len());
        let stream = StreamId(self.random.random());
        let origin = StreamOrigin {
            service: "advice".into(),
            version: version.into(),
        };
        let remaining = Duration::from_secs(3);
        let target = NodeName::from(format!("target-{version}").as_str());
        self.entries[entry].record(stream, &target, origin, remaining, ClockTime(now));
        self.open.push(BegunStream {
            stream,
            entry,
            version,
            breaks_at: now + self.random.random_range(1..1_000),
            is_killed: false,
        });
    }

    fn report(&mut self, now: u64) {
        for log in &mut self.entries {
            if log.has_report() {
                let report = log.take_report(ClockTime(now));
                self.in_transit.push_back((now + TRANSIT_MS, report));
            }
        }
    }

    fn deliver_reports(&mut self, now: u64) {
        while self.in_transit.front().is_some_and(|(at, _)| *at <= now) {
            let (_, report) = self.in_transit.pop_front().unwrap();
            for batch in report {
                for (stream, lifetime_ms) in batch.streams {
                    let expires_at = ClockTime(now + u64::from(lifetime_ms));
                    self.control
                        .record(stream, &batch.origin, expires_at, ClockTime(now));
                }
            }
        }
    }

    /// Kills an entry, which breaks its streams and loses its origins.
    fn kill_entry(&mut self, now: u64) {
        let killed = self.random.random_range(0..self.entries.len());
        self.entries[killed] = OriginLog::new();
        for stream in &mut self.open {
            if stream.entry == killed {
                stream.breaks_at = now;
                stream.is_killed = true;
            }
        }
    }

    /// Continues the streams that broke a while ago at random entries.
    fn continue_streams(&mut self, now: u64) {
        let is_due = |stream: &BegunStream| stream.breaks_at + REPEAT_MS <= now;
        let open = std::mem::take(&mut self.open);
        let (due, open): (Vec<_>, Vec<_>) = open.into_iter().partition(is_due);
        self.open = open;
        for stream in due {
            let entry = self.random.random_range(0..self.entries.len());
            let answer = match self.entries[entry].find(stream.stream, ClockTime(now)) {
                OriginAnswer::Unknown => self.control.find(stream.stream, ClockTime(now)),
                own => own,
            };
            match answer {
                OriginAnswer::Known { origin, .. } if origin.version.as_str() == stream.version => {
                    self.counts.found += u32::from(stream.is_killed);
                }
                OriginAnswer::Unknown => self.counts.unknown += u32::from(stream.is_killed),
                _ => self.counts.wrong += 1,
            }
        }
    }
}

/// Guards against streams that go on at another version than their own, and against a fleet whose
/// entries report so seldom that less than half of the streams of killed entries can be continued.
#[rstest]
#[case::small_fleet(7, 130, 400)]
#[case::large_fleet(100, 1_300, 30)]
fn most_streams_are_found_during_a_release_under_kills(
    #[case] entries: usize,
    #[case] streams_per_s: u64,
    #[case] kill_interval_ms: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = SimulatedFleet::new(entries, seed);
    let interval = report_interval(entries as u32).as_millis() as u64;

    for now in 0..RELEASE_MS {
        let streams = streams_per_s * (now + 1) / 1_000 - streams_per_s * now / 1_000;
        (0..streams).for_each(|_| fleet.begin_stream(now));
        if now % interval == 0 {
            fleet.report(now);
        }
        fleet.deliver_reports(now);
        if now % kill_interval_ms == 0 {
            fleet.kill_entry(now);
        }
        fleet.continue_streams(now);
    }

    let counts = &fleet.counts;
    assert_eq!(counts.wrong, 0, "{counts:?}");
    assert!(
        counts.found > 0 && counts.unknown < counts.found,
        "{counts:?}"
    );
}
