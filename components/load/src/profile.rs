//! The load profile, read from TOML.

use eyre::{Result, WrapErr, bail};
use serde::Deserialize;

/// Upper bound of `duration_s` and `request_timeout_s`.
const MAX_DURATION_S: u64 = 600;
/// Upper bound of `max_requests`.
const MAX_REQUESTS: u64 = 100_000;
/// Upper bound of `resends`.
const MAX_RESENDS: u32 = 10;

/// Requests, senders and rate of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadProfile {
    /// Seed of the random arrivals, organisations and contents.
    pub seed: u64,
    /// Length of the sending phase, in seconds.
    pub duration_s: u64,
    /// Mean arrival rate of all organisations together.
    pub requests_per_s: f64,
    /// Number of requests after which sending stops.
    pub max_requests: u64,
    /// Maximum number of times that a request is sent again after a lost or broken answer.
    pub resends: u32,
    /// Timeout of each attempt, in seconds; an answer that takes longer counts as lost.
    pub request_timeout_s: u64,
    /// One-way delays of the deployment.
    pub delays: DelayProfile,
    /// Fractions of the kinds of requests.
    pub mix: RequestMix,
    /// Names of the services.
    pub services: ServiceNames,
    /// Range from which `max_tokens` is drawn.
    pub tokens: TokenRange,
    /// The organisations that send requests.
    #[serde(rename = "organisation")]
    pub organisations: Vec<OrganisationLoad>,
}

/// One-way delays, in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayProfile {
    /// Between a caller and an entry; the load tool waits this long before and after each request.
    pub clients_ms: f64,
    /// Between data centres of a region.
    pub data_centres_ms: f64,
    /// Between regions.
    pub regions_ms: f64,
}

/// Fractions of the kinds of requests, from 0 to 1; the remainder are reads of records.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMix {
    /// Fraction of chat completions.
    pub chat: f64,
    /// Fraction of bookings.
    pub bookings: f64,
    /// Fraction of the chat completions that are streamed.
    pub streamed: f64,
}

/// Names of the services that requests go to.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceNames {
    /// Model service for chat completions.
    pub model: String,
    /// Plain service that serves records.
    pub records: String,
    /// Plain service that takes bookings.
    pub bookings: String,
}

/// Inclusive range of `max_tokens`.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRange {
    /// Lower bound, at least 1.
    pub least: u64,
    /// Upper bound.
    pub most: u64,
}

/// Load of one organisation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLoad {
    /// Name in the services text.
    pub name: String,
    /// Bearer key.
    pub key: String,
    /// Share of the requests, relative to the shares of the other organisations.
    pub share: f64,
    /// Weight in the services text.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

impl LoadProfile {
    /// Parses a profile. Fails with one line for each invalid value.
    pub fn parse(text: &str) -> Result<Self> {
        let profile: Self = toml::from_str(text).wrap_err("Failed to read the load profile")?;
        let faults = profile.faults();
        if !faults.is_empty() {
            bail!("{}", faults.join("\n"));
        }
        Ok(profile)
    }

    /// Returns a message for each value that is out of its bounds.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut check = |is_valid: bool, name: &str, value: String, expected: String| {
            if !is_valid {
                faults.push(format!(
                    "Failed to use {name} = {value}: expected {expected}"
                ));
            }
        };
        let is_fraction = |value: f64| (0.0..=1.0).contains(&value);
        let (duration_s, max_requests) = (self.duration_s, self.max_requests);
        check(
            (1..=MAX_DURATION_S).contains(&duration_s),
            "duration_s",
            duration_s.to_string(),
            format!("1 to {MAX_DURATION_S}"),
        );
        check(
            (1..=MAX_REQUESTS).contains(&max_requests),
            "max_requests",
            max_requests.to_string(),
            format!("1 to {MAX_REQUESTS}"),
        );
        check(
            self.requests_per_s > 0.0 && self.requests_per_s <= 10_000.0,
            "requests_per_s",
            self.requests_per_s.to_string(),
            "a number above 0 and at most 10000".into(),
        );
        check(
            self.resends <= MAX_RESENDS,
            "resends",
            self.resends.to_string(),
            format!("at most {MAX_RESENDS}"),
        );
        check(
            (1..=MAX_DURATION_S).contains(&self.request_timeout_s),
            "request_timeout_s",
            self.request_timeout_s.to_string(),
            format!("1 to {MAX_DURATION_S}"),
        );
        let mix = &self.mix;
        check(
            is_fraction(mix.chat) && is_fraction(mix.bookings) && mix.chat + mix.bookings <= 1.0,
            "mix",
            format!("{} chat, {} bookings", mix.chat, mix.bookings),
            "fractions with a sum of at most 1".into(),
        );
        check(
            is_fraction(mix.streamed),
            "mix.streamed",
            mix.streamed.to_string(),
            "0 to 1".into(),
        );
        check(
            (1..=self.tokens.most).contains(&self.tokens.least),
            "tokens",
            format!("{} to {}", self.tokens.least, self.tokens.most),
            "1 <= least <= most".into(),
        );
        check(
            !self.organisations.is_empty()
                && self
                    .organisations
                    .iter()
                    .all(|o| o.share > 0.0 && o.weight > 0.0),
            "organisation",
            self.organisations.len().to_string(),
            "at least one organisation, each with a positive share and weight".into(),
        );
        faults
    }
}
