//! Interface for the HTTP headers that callers and targets use.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, request, response};
use place::{RequestMemory, TargetStatement};
use routes::StatedKey;
use thiserror::Error;
use units::{NodeName, OrganisationName};

/// Metadata in the head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id of the attempt, which targets repeat in their responses.
    pub attempt_id: String,
    /// Host to which the request is addressed.
    pub host: String,
    /// Key of the caller.
    pub key: StatedKey,
    /// Time for which the caller will wait for the response, if stated.
    pub remaining: Option<Duration>,
    /// Expected usage of a model, if stated.
    pub model_usage: Option<ModelUsage>,
    /// Stream that the request continues, if it does.
    pub continuation: Option<StreamContinuation>,
}

/// Stream of which a caller has received the first events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamContinuation {
    /// Id of the attempt that brought the first event, if stated.
    pub first_attempt: Option<String>,
}

/// Model usage that a request is expected to cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelUsage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: u64,
    /// Caller's estimate of the number of tokens in the response, if stated. It is right at the median
    /// and often far off.
    pub output_hint: Option<u64>,
    /// Parts of the prompt in order. Requests may share all parts; the last belongs to the request or
    /// its session.
    pub parts: Vec<PromptPart>,
}

/// Part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u64,
}

/// Bound on the token counts that a caller states, above the memory of any engine. Sums over the requests of
/// a fleet, in thousandths of a token, stay within 64 bits.
const MAX_STATED_TOKENS: u64 = 1 << 32;

impl ModelUsage {
    /// This usage with all counts bounded, so that sums of them cannot overflow.
    pub(crate) fn bounded(self) -> Self {
        let bound = |tokens: u64| tokens.min(MAX_STATED_TOKENS);
        let parts = self.parts.into_iter();
        Self {
            prompt_tokens: bound(self.prompt_tokens),
            max_output_tokens: bound(self.max_output_tokens),
            output_hint: self.output_hint.map(bound),
            parts: parts
                .map(|part| PromptPart {
                    tokens: bound(part.tokens),
                    ..part
                })
                .collect(),
        }
    }

    /// Id of the last shared part, which is the same for all requests of a session; `None` if the
    /// prompt has fewer than two parts.
    pub fn session(&self) -> Option<u64> {
        let last_shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[last_shared].id)
    }

    /// Memory that the request needs at a target.
    pub(crate) fn memory(&self) -> RequestMemory {
        let shared_count = self.parts.len().saturating_sub(1);
        let shared = self.parts[..shared_count].iter();
        RequestMemory::new(
            self.prompt_tokens,
            shared.map(|part| (part.id, part.tokens)),
            self.output_hint,
            self.max_output_tokens,
        )
    }
}

/// Metadata that is forwarded to a target with a request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardMetadata<'a> {
    /// Target that may run the request; any other target must refuse it.
    pub target: &'a NodeName,
    /// Organisation of the caller, if known.
    pub organisation: Option<&'a OrganisationName>,
    /// Time for which the caller will still wait for the response.
    pub remaining: Duration,
}

/// Classification of a response by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// The response belongs to the request.
    Valid,
    /// The target states that it has not run the request and will not.
    NotRun,
    /// The response belongs to another request, or a correct target would not send it.
    Invalid,
}

/// Missing or malformed metadata in a request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct MetadataError(pub String);

/// Conversion between request metadata and the HTTP headers of callers and targets.
pub trait CallerDialect: Send + Sync {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestMetadata, MetadataError>;

    /// Builds the headers of the request to a target from those of the caller's request.
    fn target_headers(&self, headers: &HeaderMap, metadata: &ForwardMetadata<'_>) -> HeaderMap;

    /// Classifies the head of a target's response to an attempt.
    fn classify_response(&self, attempt_id: &str, head: &response::Parts) -> ResponseVerdict;

    /// What the target states about itself in its response to an attempt. A response to another
    /// attempt, or one from another target, states nothing.
    fn target_statement(&self, attempt_id: &str, head: &response::Parts) -> TargetStatement;

    /// Whether a header is meant for the recipient of a message, so that its sender cannot have it
    /// removed on the way.
    fn is_end_to_end(&self, name: &HeaderName) -> bool;

    /// Value of the `Retry-After` header for a wait.
    fn retry_after(&self, wait: Duration) -> HeaderValue;
}
