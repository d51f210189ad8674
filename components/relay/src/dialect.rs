//! Border towards callers and targets: how they write what a request means.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, request, response};
use manifest::KeyHash;
use thiserror::Error;
use units::{NodeName, OrganisationName};

/// What a caller's request says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the attempt, which targets repeat in their answers.
    pub attempt_id: String,
    /// Host that the caller names.
    pub host: String,
    /// Hash of the caller's key, if it shows one.
    pub key: Option<KeyHash>,
    /// Time for which the caller waits, if it says so.
    pub remaining: Option<Duration>,
    /// What the request asks of a model, if it says so.
    pub model_usage: Option<ModelUsage>,
}

/// What a request asks of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
    /// Parts of the prompt in order. Requests share parts; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

/// Part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

impl ModelUsage {
    /// The last part that other requests share: requests of one session have the same.
    pub fn session(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].id)
    }
}

/// What a target is told with a request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardMetadata<'a> {
    /// The target that may run the request; any other refuses it.
    pub target: &'a NodeName,
    /// The organisation that calls, if it is known.
    pub organisation: Option<&'a OrganisationName>,
    /// Time after which nobody waits for the answer.
    pub remaining: Duration,
}

/// What the head of an answer means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// It answers the request.
    Valid,
    /// The target says that it has not run the request and will not.
    NotRun,
    /// It belongs to another request, or is none that a sound target gives.
    Invalid,
}

/// Fault of a request's own words.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct MetadataError(pub String);

/// How callers and targets write what a request means.
pub trait CallerDialect: Send + Sync {
    /// Reads the head of a request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestMetadata, MetadataError>;

    /// Headers of the request for a target, from those of the caller.
    fn target_headers(&self, headers: &HeaderMap, terms: &ForwardMetadata<'_>) -> HeaderMap;

    /// Judges the head of an answer to an attempt.
    fn classify_response(&self, attempt: &str, head: &response::Parts) -> ResponseVerdict;

    /// Value of `Retry-After` for a wait.
    fn retry_after(&self, wait: Duration) -> HeaderValue;
}
