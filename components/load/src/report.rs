//! What callers saw, as JSON and as a table.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{Answer, CallKind, Refusal};
use crate::gap::{GapPoint, ServiceHistory, ServiceIncrement, largest_gap};
use crate::profile::LoadProfile;
use crate::run::FinishedCall;
use crate::samples::UtilisationSample;

/// Longest time in a histogram, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;
/// Messages of bad answers that are kept.
const MAX_MESSAGES: usize = 10;

/// Everything that a report is computed from.
pub(crate) struct RunRecord<'a> {
    pub(crate) profile: &'a LoadProfile,
    pub(crate) start: Instant,
    pub(crate) finished: &'a [FinishedCall],
    pub(crate) not_sent: u64,
    pub(crate) samples: Vec<UtilisationSample>,
    pub(crate) bookings: Option<BTreeMap<String, u64>>,
    pub(crate) unread_services: u64,
}

/// Times at the usual shares of requests, in milliseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LatencySummary {
    /// Measured times.
    pub count: u64,
    /// Half of the times are at most this.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

/// Refusals of one kind.
#[derive(Debug, Clone, Serialize)]
pub struct RefusalCount {
    /// The kind.
    #[serde(flatten)]
    pub refusal: Refusal,
    /// How many.
    pub count: u64,
}

/// Bookings, checked against the counts of the plain services.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BookingReport {
    /// Booking ids asked for.
    pub asked: u64,
    /// Ids that were answered as booked.
    pub confirmed: u64,
    /// Ids that ran more than once.
    pub doubled: Vec<String>,
    /// Ids that were answered as booked but did not run.
    pub missing: Vec<String>,
    /// Ids that were refused as not run but ran.
    pub untrue_not_run: Vec<String>,
    /// Services whose counts could not be read, so that the lists above may lack entries.
    pub unread_services: u64,
}

/// Use of the engines while requests waited.
#[derive(Debug, Clone, Default, Serialize)]
pub struct UtilisationReport {
    /// Samples.
    pub samples: usize,
    /// Samples in which requests waited.
    pub waiting_samples: usize,
    /// Running requests over those that the engines carry, summed over the samples with waiting
    /// requests; none if there was no such sample.
    pub while_waiting: Option<f64>,
}

/// What one organisation got.
#[derive(Debug, Clone, Serialize)]
pub struct OrganisationReport {
    /// Name.
    pub name: String,
    /// Requests sent.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Tokens received.
    pub tokens: u64,
}

/// Result of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests sent, without resends.
    pub requests: u64,
    /// Planned requests that were not sent since too many were open.
    pub not_sent: u64,
    /// Resends.
    pub resent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Complete answers that are not the request's own.
    pub foreign: u64,
    /// Answers that ended early as if they were complete.
    pub cut: u64,
    /// Answers whose connection broke, after all resends.
    pub broken: u64,
    /// Requests without an answer.
    pub lost: u64,
    /// Refusals and stated failures.
    pub refused: Vec<RefusalCount>,
    /// Time to the first token of streamed answers.
    pub first_token: LatencySummary,
    /// Time between two tokens of streamed answers.
    pub between_tokens: LatencySummary,
    /// Bookings, if the services' counts were read.
    pub bookings: Option<BookingReport>,
    /// Use of the engines.
    pub utilisation: UtilisationReport,
    /// Largest gap of the run, in tokens over weight.
    pub largest_gap: f64,
    /// Gap over time.
    pub gap: Vec<GapPoint>,
    /// Organisations.
    pub organisations: Vec<OrganisationReport>,
    /// First messages of foreign, cut, broken and lost answers.
    pub messages: Vec<String>,
}

impl LoadReport {
    pub(crate) fn new(record: &RunRecord<'_>) -> Self {
        let mut report = Self {
            seed: record.profile.seed,
            not_sent: record.not_sent,
            ..Self::default()
        };
        report.count_answers(record.finished);
        report.measure_latency(record.finished);
        report.bookings = record
            .bookings
            .as_ref()
            .map(|counts| check_bookings(record.finished, counts, record.unread_services));
        report.utilisation = utilisation(&record.samples);
        report.organisations = organisations(record);
        let records = service_records(record, &report);
        let end = record
            .finished
            .iter()
            .map(|done| done.result.ended_at.duration_since(record.start))
            .max()
            .unwrap_or_default();
        report.gap = largest_gap(&records, end);
        report.largest_gap = report
            .gap
            .iter()
            .fold(0.0, |most, point| most.max(point.gap));
        report
    }

    /// Whether something happened that must never happen: a foreign or cut answer, a doubled or
    /// missing booking, or an untrue `not-run`.
    pub fn has_violation(&self) -> bool {
        let bookings = self.bookings.as_ref().is_some_and(|bookings| {
            !bookings.doubled.is_empty()
                || !bookings.missing.is_empty()
                || !bookings.untrue_not_run.is_empty()
        });
        self.foreign > 0 || self.cut > 0 || bookings
    }

    fn count_answers(&mut self, finished: &[FinishedCall]) {
        let mut refused: BTreeMap<&Refusal, u64> = BTreeMap::new();
        for done in finished {
            self.requests += 1;
            self.resent += u64::from(done.resent);
            let message = match &done.result.answer {
                Answer::Whole => {
                    self.whole += 1;
                    continue;
                }
                Answer::Refused(refusal) => {
                    *refused.entry(refusal).or_default() += 1;
                    continue;
                }
                Answer::Foreign(message) => {
                    self.foreign += 1;
                    format!("foreign: {message}")
                }
                Answer::Cut(message) => {
                    self.cut += 1;
                    format!("cut: {message}")
                }
                Answer::Broken(message) => {
                    self.broken += 1;
                    format!("broken: {message}")
                }
                Answer::Lost(message) => {
                    self.lost += 1;
                    format!("lost: {message}")
                }
            };
            if self.messages.len() < MAX_MESSAGES {
                self.messages.push(message);
            }
        }
        self.refused = refused
            .into_iter()
            .map(|(refusal, count)| RefusalCount {
                refusal: refusal.clone(),
                count,
            })
            .collect();
    }

    fn measure_latency(&mut self, finished: &[FinishedCall]) {
        let (mut first, mut between) = (histogram(), histogram());
        for done in finished.iter().filter(|done| is_streamed(done)) {
            let result = &done.result;
            if let Some(part) = result.part_times.first() {
                first.saturating_record(part.duration_since(result.sent_at).as_micros() as u64);
            }
            for pair in result.part_times.windows(2) {
                between.saturating_record(pair[1].duration_since(pair[0]).as_micros() as u64);
            }
        }
        self.first_token = summary(&first);
        self.between_tokens = summary(&between);
    }
}

fn is_streamed(done: &FinishedCall) -> bool {
    matches!(done.call.kind, CallKind::Chat { stream: true, .. })
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)
        .expect("the bounds of the histogram are valid")
}

fn summary(histogram: &Histogram<u64>) -> LatencySummary {
    let at = |share: f64| histogram.value_at_quantile(share) as f64 / 1000.0;
    LatencySummary {
        count: histogram.len(),
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
        max_ms: histogram.max() as f64 / 1000.0,
    }
}

fn check_bookings(
    finished: &[FinishedCall],
    counts: &BTreeMap<String, u64>,
    unread_services: u64,
) -> BookingReport {
    let mut report = BookingReport {
        unread_services,
        ..BookingReport::default()
    };
    for done in finished {
        let CallKind::Booking { id, .. } = &done.call.kind else {
            continue;
        };
        let ran = counts.get(id).copied().unwrap_or(0);
        report.asked += 1;
        if ran > 1 {
            report.doubled.push(id.clone());
        }
        match &done.result.answer {
            Answer::Whole => {
                report.confirmed += 1;
                if ran == 0 && unread_services == 0 {
                    report.missing.push(id.clone());
                }
            }
            Answer::Refused(refusal) if refusal.outcome == "not-run" && ran > 0 => {
                report.untrue_not_run.push(id.clone());
            }
            _ => {}
        }
    }
    report
}

fn utilisation(samples: &[UtilisationSample]) -> UtilisationReport {
    let waiting: Vec<_> = samples
        .iter()
        .filter(|s| s.has_waiting_requests())
        .collect();
    let running: usize = waiting.iter().map(|sample| sample.running).sum();
    let carried: usize = waiting.iter().map(|sample| sample.carried).sum();
    UtilisationReport {
        samples: samples.len(),
        waiting_samples: waiting.len(),
        while_waiting: (carried > 0).then(|| running as f64 / carried as f64),
    }
}

fn organisations(record: &RunRecord<'_>) -> Vec<OrganisationReport> {
    let mut reports: Vec<_> = record
        .profile
        .organisations
        .iter()
        .map(|organisation| OrganisationReport {
            name: organisation.name.clone(),
            requests: 0,
            whole: 0,
            tokens: 0,
        })
        .collect();
    for done in record.finished {
        let report = &mut reports[done.call.organisation];
        report.requests += 1;
        report.whole += u64::from(done.result.answer == Answer::Whole);
        if matches!(done.call.kind, CallKind::Chat { .. }) {
            report.tokens += done.result.tokens;
        }
    }
    reports
}

/// What each organisation waited for and received of the model service.
///
/// Callers do not see when a request starts. A streamed one is taken to wait until its first token
/// less the shortest time to a first token of the run, a whole one until its end less that time and
/// the median time of its tokens, over which its service is spread.
fn service_records(record: &RunRecord<'_>, report: &LoadReport) -> Vec<ServiceHistory> {
    let mut records: Vec<_> = record
        .profile
        .organisations
        .iter()
        .map(|organisation| ServiceHistory {
            weight: organisation.weight,
            ..ServiceHistory::default()
        })
        .collect();
    let prefill = shortest_first_token(record.finished);
    let token_time = Duration::from_secs_f64(report.between_tokens.p50_ms / 1000.0);
    for done in record.finished {
        if matches!(done.call.kind, CallKind::Chat { .. }) {
            let times = ServiceTimes::new(done, record.start, prefill, token_time);
            times.add_to(&mut records[done.call.organisation]);
        }
    }
    records
}

fn shortest_first_token(finished: &[FinishedCall]) -> Duration {
    finished
        .iter()
        .filter(|done| is_streamed(done))
        .filter_map(|done| {
            let first = done.result.part_times.first()?;
            Some(first.duration_since(done.result.sent_at))
        })
        .min()
        .unwrap_or_default()
}

/// When one request waited and was served.
struct ServiceTimes {
    sent: Duration,
    started: Duration,
    increments: Vec<ServiceIncrement>,
}

impl ServiceTimes {
    fn new(done: &FinishedCall, start: Instant, prefill: Duration, token_time: Duration) -> Self {
        let result = &done.result;
        let since = |time: Instant| time.duration_since(start);
        let sent = since(result.sent_at);
        let token_times: Vec<Duration> = if is_streamed(done) {
            result.part_times.iter().map(|part| since(*part)).collect()
        } else if result.part_times.is_empty() {
            Vec::new()
        } else {
            let end = since(result.ended_at);
            (0..result.tokens as u32)
                .rev()
                .map(|left| end.saturating_sub(token_time * left))
                .collect()
        };
        let started = match token_times.first() {
            Some(first) => first.saturating_sub(prefill).max(sent),
            None => since(result.ended_at),
        };
        let increments = token_times
            .into_iter()
            .map(|at| ServiceIncrement { at, units: 1.0 })
            .collect();
        Self {
            sent,
            started,
            increments,
        }
    }

    fn add_to(self, record: &mut ServiceHistory) {
        record.waits.push((self.sent, self.started));
        record.increments.extend(self.increments);
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(
            f,
            "requests      {:>8}   not sent {}   resent {}",
            self.requests, self.not_sent, self.resent
        )?;
        writeln!(
            f,
            "answers       {:>8} whole   {} foreign   {} cut   {} broken   {} lost",
            self.whole, self.foreign, self.cut, self.broken, self.lost
        )?;
        for RefusalCount { refusal, count } in &self.refused {
            let (status, code) = (refusal.status, &refusal.code);
            writeln!(
                f,
                "refused       {count:>8}   {status} {} {code}",
                refusal.outcome
            )?;
        }
        write_latency(f, "first token", &self.first_token)?;
        write_latency(f, "between", &self.between_tokens)?;
        if let Some(bookings) = &self.bookings {
            writeln!(
                f,
                "bookings      {:>8} asked   {} confirmed   {} doubled   {} missing   {} untrue not-run",
                bookings.asked,
                bookings.confirmed,
                bookings.doubled.len(),
                bookings.missing.len(),
                bookings.untrue_not_run.len()
            )?;
        }
        match self.utilisation.while_waiting {
            Some(share) => writeln!(
                f,
                "utilisation   {share:>8.3} while work waits ({} of {} samples)",
                self.utilisation.waiting_samples, self.utilisation.samples
            )?,
            None => writeln!(f, "utilisation   no sample with waiting work")?,
        }
        writeln!(
            f,
            "largest gap   {:>8.0} tokens over weight",
            self.largest_gap
        )?;
        writeln!(
            f,
            "{:<24} {:>8} {:>8} {:>8}",
            "organisation", "requests", "whole", "tokens"
        )?;
        for row in &self.organisations {
            writeln!(
                f,
                "{:<24} {:>8} {:>8} {:>8}",
                row.name, row.requests, row.whole, row.tokens
            )?;
        }
        for message in &self.messages {
            writeln!(f, "{message}")?;
        }
        Ok(())
    }
}

fn write_latency(f: &mut fmt::Formatter<'_>, name: &str, times: &LatencySummary) -> fmt::Result {
    writeln!(
        f,
        "{name:<13} {:>8} times   p50 {:.1} ms   p95 {:.1} ms   p99 {:.1} ms   max {:.1} ms",
        times.count, times.p50_ms, times.p95_ms, times.p99_ms, times.max_ms
    )
}
