//! The load profile, read from TOML.

use eyre::{Result, WrapErr, bail};
use serde::Deserialize;

/// Longest run, in seconds.
const MAX_DURATION_S: u64 = 600;
/// Most requests of a run.
const MAX_REQUESTS: u64 = 100_000;
/// Most resends of a request.
const MAX_RESENDS: u32 = 10;

/// What is sent, by whom and how fast.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadProfile {
    /// Seed of arrivals, organisations and contents.
    pub seed: u64,
    /// Time in which requests are sent, in seconds.
    pub duration_s: u64,
    /// Mean rate of arrivals over all organisations.
    pub requests_per_s: f64,
    /// Requests after which the run ends.
    pub max_requests: u64,
    /// Times that a request is sent again after its answer was lost.
    pub resends: u32,
    /// Time after which an answer counts as lost, in seconds.
    pub request_timeout_s: u64,
    /// One-way delays of the deployment.
    pub delays: DelayProfile,
    /// Shares of the kinds of requests.
    pub mix: RequestMix,
    /// Names of the services.
    pub services: ServiceNames,
    /// Bounds of `max_tokens`.
    pub tokens: TokenRange,
    /// The organisations that send requests.
    #[serde(rename = "organisation")]
    pub organisations: Vec<OrganisationLoad>,
}

/// One-way delays, in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DelayProfile {
    /// Between a caller and an entry; the load tool adds it to each request.
    pub clients_ms: f64,
    /// Between data centres of a region.
    pub data_centres_ms: f64,
    /// Between regions.
    pub regions_ms: f64,
}

/// Shares of the kinds of requests; the rest are reads of records.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestMix {
    /// Share of chat completions.
    pub chat: f64,
    /// Share of bookings.
    pub bookings: f64,
    /// Share of the chat completions that are streamed.
    pub streamed: f64,
}

/// Names of the services that requests go to.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceNames {
    /// Model service of the chat completions.
    pub model: String,
    /// Plain service with the records.
    pub records: String,
    /// Plain service that takes bookings.
    pub bookings: String,
}

/// Bounds of `max_tokens`, both included.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRange {
    /// Least.
    pub least: u64,
    /// Greatest.
    pub most: u64,
}

/// One organisation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLoad {
    /// Name, as in the services text.
    pub name: String,
    /// Bearer key.
    pub key: String,
    /// Share of the requests, relative to the other organisations.
    pub share: f64,
    /// Weight, as in the services text.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

impl LoadProfile {
    /// Reads and checks a profile.
    pub fn parse(text: &str) -> Result<Self> {
        let profile: Self = toml::from_str(text).wrap_err("Failed to read the load profile")?;
        let faults = profile.faults();
        if !faults.is_empty() {
            bail!("{}", faults.join("\n"));
        }
        Ok(profile)
    }

    /// Every value that is out of its bounds.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut check = |good: bool, name: &str, value: String, want: String| {
            if !good {
                faults.push(format!("Failed to use {name} = {value}: want {want}"));
            }
        };
        let share = |value: f64| (0.0..=1.0).contains(&value);
        let (duration, count) = (self.duration_s, self.max_requests);
        check(
            (1..=MAX_DURATION_S).contains(&duration),
            "duration_s",
            duration.to_string(),
            format!("1 to {MAX_DURATION_S}"),
        );
        check(
            (1..=MAX_REQUESTS).contains(&count),
            "max_requests",
            count.to_string(),
            format!("1 to {MAX_REQUESTS}"),
        );
        check(
            self.requests_per_s > 0.0 && self.requests_per_s <= 10_000.0,
            "requests_per_s",
            self.requests_per_s.to_string(),
            "more than 0 and at most 10000".into(),
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
            share(mix.chat) && share(mix.bookings) && mix.chat + mix.bookings <= 1.0,
            "mix",
            format!("{} chat, {} bookings", mix.chat, mix.bookings),
            "shares that add up to at most 1".into(),
        );
        check(
            share(mix.streamed),
            "mix.streamed",
            mix.streamed.to_string(),
            "0 to 1".into(),
        );
        check(
            (1..=self.tokens.most).contains(&self.tokens.least),
            "tokens",
            format!("{} to {}", self.tokens.least, self.tokens.most),
            "at least 1, the least first".into(),
        );
        check(
            !self.organisations.is_empty()
                && self
                    .organisations
                    .iter()
                    .all(|o| o.share > 0.0 && o.weight > 0.0),
            "organisation",
            self.organisations.len().to_string(),
            "at least one, each share and weight above 0".into(),
        );
        faults
    }
}
