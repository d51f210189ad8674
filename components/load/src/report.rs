//! Report of a run from the callers' point of view, as JSON and as a table.

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

/// Upper bound of the histograms; longer times are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Precision of the histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum number of messages of failed answers in a report.
const MAX_MESSAGES: usize = 10;

/// Data that a report is computed from.
pub(crate) struct ReportInput<'a> {
    pub(crate) profile: &'a LoadProfile,
    pub(crate) start: Instant,
    pub(crate) finished: &'a [FinishedCall],
    pub(crate) not_sent: u64,
    pub(crate) samples: Vec<UtilisationSample>,
    pub(crate) bookings: Option<BTreeMap<String, u64>>,
    pub(crate) unread_services: u64,
}

/// Percentiles of a latency.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LatencySummary {
    /// Number of measurements.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Maximum, in milliseconds.
    pub max_ms: f64,
}

/// Count of the refusals that have the same status, outcome and code.
#[derive(Debug, Clone, Serialize)]
pub struct RefusalCount {
    /// Status, outcome and code.
    #[serde(flatten)]
    pub refusal: Refusal,
    /// Number of refusals.
    pub count: u64,
}

/// Comparison of the answers to bookings with the counts of the plain services.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BookingReport {
    /// Number of bookings requested.
    pub asked: u64,
    /// Number of bookings with a whole answer.
    pub confirmed: u64,
    /// Ids that ran more than once.
    pub doubled: Vec<String>,
    /// Ids that did not run although their answer was whole. Stays empty if the counts of a
    /// service could not be read.
    pub missing: Vec<String>,
    /// Ids that ran although they were refused with the outcome `not-run`.
    pub untrue_not_run: Vec<String>,
    /// Number of services whose counts could not be read; the lists above may then be incomplete.
    pub unread_services: u64,
}

/// Utilisation of the engines while requests waited.
#[derive(Debug, Clone, Default, Serialize)]
pub struct UtilisationReport {
    /// Number of samples.
    pub samples: usize,
    /// Number of samples in which requests waited.
    pub waiting_samples: usize,
    /// Ratio of running requests to those that the engines can run, each summed over the samples
    /// with waiting requests; `None` without such a sample.
    pub while_waiting: Option<f64>,
}

/// Results of one organisation.
#[derive(Debug, Clone, Serialize)]
pub struct OrganisationReport {
    /// Name in the profile.
    pub name: String,
    /// Requests sent.
    pub requests: u64,
    /// Complete answers with the expected content.
    pub whole: u64,
    /// Tokens received in chat completions.
    pub tokens: u64,
}

/// Result of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests sent, without resends.
    pub requests: u64,
    /// Planned requests that were not sent because too many were open.
    pub not_sent: u64,
    /// Total number of resends.
    pub resent: u64,
    /// Complete answers with the expected content.
    pub whole: u64,
    /// Complete answers with other content than expected.
    pub foreign: u64,
    /// Answers that were truncated without an error.
    pub cut: u64,
    /// Answers whose connection broke, after all resends.
    pub broken: u64,
    /// Requests without a complete answer before the timeout, after all resends.
    pub lost: u64,
    /// Error responses, by status, outcome and code.
    pub refused: Vec<RefusalCount>,
    /// Time to first token of streamed answers.
    pub first_token: LatencySummary,
    /// Inter-token latency of streamed answers.
    pub between_tokens: LatencySummary,
    /// Check of the bookings; `None` if the run was given no plain services.
    pub bookings: Option<BookingReport>,
    /// Utilisation of the engines.
    pub utilisation: UtilisationReport,
    /// Largest gap of the run, in tokens divided by weight.
    pub largest_gap: f64,
    /// Largest gap of each time step.
    pub gap: Vec<GapPoint>,
    /// Results by organisation, in the order of the profile.
    pub organisations: Vec<OrganisationReport>,
    /// Messages of the first foreign, cut, broken and lost answers.
    pub messages: Vec<String>,
}

impl LoadReport {
    pub(crate) fn new(input: &ReportInput<'_>) -> Self {
        let mut report = Self {
            seed: input.profile.seed,
            not_sent: input.not_sent,
            ..Self::default()
        };
        report.count_answers(input.finished);
        report.measure_latency(input.finished);
        report.bookings = input
            .bookings
            .as_ref()
            .map(|counts| check_bookings(input.finished, counts, input.unread_services));
        report.utilisation = summarise_utilisation(&input.samples);
        report.organisations = count_by_organisation(input);
        let histories = estimate_service_histories(input, &report);
        let end = input
            .finished
            .iter()
            .map(|done| done.result.ended_at.duration_since(input.start))
            .max()
            .unwrap_or_default();
        report.gap = largest_gap(&histories, end);
        report.largest_gap = report
            .gap
            .iter()
            .fold(0.0, |max_gap, point| max_gap.max(point.gap));
        report
    }

    /// Whether a guarantee was violated: an answer was foreign or cut, a booking ran twice or was
    /// confirmed without a run, or the outcome `not-run` was given for a booking that ran.
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
        let (mut first_token, mut between_tokens) = (new_histogram(), new_histogram());
        for done in finished.iter().filter(|done| is_streamed(done)) {
            let result = &done.result;
            if let Some(part) = result.part_times.first() {
                first_token
                    .saturating_record(part.duration_since(result.sent_at).as_micros() as u64);
            }
            for pair in result.part_times.windows(2) {
                between_tokens
                    .saturating_record(pair[1].duration_since(pair[0]).as_micros() as u64);
            }
        }
        self.first_token = summarise_latency(&first_token);
        self.between_tokens = summarise_latency(&between_tokens);
    }
}

fn is_streamed(done: &FinishedCall) -> bool {
    matches!(done.call.kind, CallKind::Chat { stream: true, .. })
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds and precision of the histogram are valid")
}

fn summarise_latency(histogram: &Histogram<u64>) -> LatencySummary {
    let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencySummary {
        count: histogram.len(),
        p50_ms: quantile_ms(0.5),
        p95_ms: quantile_ms(0.95),
        p99_ms: quantile_ms(0.99),
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
        let run_count = counts.get(id).copied().unwrap_or(0);
        report.asked += 1;
        if run_count > 1 {
            report.doubled.push(id.clone());
        }
        match &done.result.answer {
            Answer::Whole => {
                report.confirmed += 1;
                if run_count == 0 && unread_services == 0 {
                    report.missing.push(id.clone());
                }
            }
            Answer::Refused(refusal) if refusal.outcome == "not-run" && run_count > 0 => {
                report.untrue_not_run.push(id.clone());
            }
            _ => {}
        }
    }
    report
}

fn summarise_utilisation(samples: &[UtilisationSample]) -> UtilisationReport {
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

fn count_by_organisation(input: &ReportInput<'_>) -> Vec<OrganisationReport> {
    let mut reports: Vec<_> = input
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
    for done in input.finished {
        let report = &mut reports[done.call.organisation];
        report.requests += 1;
        report.whole += u64::from(done.result.answer == Answer::Whole);
        if matches!(done.call.kind, CallKind::Chat { .. }) {
            report.tokens += done.result.tokens;
        }
    }
    reports
}

/// Estimates how long the requests of each organisation waited and when it received its tokens.
///
/// Callers cannot observe when an engine starts a request, so the start is estimated as the time of
/// the first token minus the shortest time to first token of the run. The tokens of an answer that
/// is not streamed are assumed to be produced at the median inter-token latency up to its end.
fn estimate_service_histories(input: &ReportInput<'_>, report: &LoadReport) -> Vec<ServiceHistory> {
    let mut histories: Vec<_> = input
        .profile
        .organisations
        .iter()
        .map(|organisation| ServiceHistory {
            weight: organisation.weight,
            ..ServiceHistory::default()
        })
        .collect();
    let prefill_time = min_first_token_time(input.finished);
    let token_time = Duration::from_secs_f64(report.between_tokens.p50_ms / 1000.0);
    for done in input.finished {
        if matches!(done.call.kind, CallKind::Chat { .. }) {
            let times = ServiceTimes::new(done, input.start, prefill_time, token_time);
            times.add_to(&mut histories[done.call.organisation]);
        }
    }
    histories
}

fn min_first_token_time(finished: &[FinishedCall]) -> Duration {
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

/// Estimated waiting time and token times of one request, since the start of the run.
struct ServiceTimes {
    sent_at: Duration,
    started_at: Duration,
    increments: Vec<ServiceIncrement>,
}

impl ServiceTimes {
    fn new(
        done: &FinishedCall,
        start: Instant,
        prefill_time: Duration,
        token_time: Duration,
    ) -> Self {
        let result = &done.result;
        let since_start = |time: Instant| time.duration_since(start);
        let sent_at = since_start(result.sent_at);
        let token_times: Vec<Duration> = if is_streamed(done) {
            result
                .part_times
                .iter()
                .map(|part| since_start(*part))
                .collect()
        } else if result.part_times.is_empty() {
            Vec::new()
        } else {
            let end = since_start(result.ended_at);
            (0..result.tokens as u32)
                .rev()
                .map(|remaining| end.saturating_sub(token_time * remaining))
                .collect()
        };
        let started_at = match token_times.first() {
            Some(first_token) => first_token.saturating_sub(prefill_time).max(sent_at),
            None => since_start(result.ended_at),
        };
        let increments = token_times
            .into_iter()
            .map(|at| ServiceIncrement { at, units: 1.0 })
            .collect();
        Self {
            sent_at,
            started_at,
            increments,
        }
    }

    fn add_to(self, history: &mut ServiceHistory) {
        history.waits.push((self.sent_at, self.started_at));
        history.increments.extend(self.increments);
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
                "utilisation   {share:>8.3} while requests wait ({} of {} samples)",
                self.utilisation.waiting_samples, self.utilisation.samples
            )?,
            None => writeln!(f, "utilisation   no sample with waiting requests")?,
        }
        writeln!(
            f,
            "largest gap   {:>8.0} tokens divided by weight",
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
