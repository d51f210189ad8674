//! Validation and parsing of callers' requests, as pure functions.

use sha2::{Digest, Sha256};
use units::{CostUnits, IdempotencyKey, PrefixHash, ServiceName};
use wire::{FlowKey, RequestHead};

use crate::refusal::Refusal;

/// Path of the chat completions of model services.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Cost, in tokens, that is assumed for a chat completion without a token limit.
const DEFAULT_COST_TOKENS: u64 = 256;

/// Maximum length of an `Idempotency-Key`.
const MAX_KEY_BYTES: usize = 255;

/// Bytes at the start of the prompt that are hashed to find a target with a cached prefix.
const MAX_PREFIX_BYTES: usize = 512;

/// Request that passed validation and may be queued for a target.
#[derive(Debug, Clone)]
pub struct CheckedRequest {
    /// Flow of the request: its organisation and service.
    pub flow: FlowKey,
    /// Head of the request that is sent to the target.
    pub head: RequestHead,
    /// Body of the request that is sent to the target.
    pub body: Vec<u8>,
    /// Estimated cost.
    pub cost_estimate: CostUnits,
    /// Hash of the start of the prompt.
    pub prefix: PrefixHash,
    /// Key of a call that may not be repeated; `None` for a repeatable request.
    pub idempotency_key: Option<IdempotencyKey>,
}

impl CheckedRequest {
    /// SHA-256 hash of method, path and body.
    pub fn body_hash(&self) -> [u8; 32] {
        let mut hash = Sha256::new();
        for part in [self.head.method.as_bytes(), self.head.path.as_bytes()] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(&self.body);
        hash.finalize().into()
    }
}

/// SHA-256 hash of the bearer key in an `Authorization` header; `None` without a bearer key.
pub(crate) fn hash_bearer_key(authorization: &str) -> Option<[u8; 32]> {
    let (scheme, key) = authorization.split_once(' ')?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return None;
    }
    Some(Sha256::digest(key.as_bytes()).into())
}

/// Fields of the body of a chat completion that the entry uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatBody {
    /// Service, named by the field `model`.
    pub service: ServiceName,
    /// Estimated cost: the token limit of the request, or a default.
    pub cost_estimate: CostUnits,
    /// Whether the request states a token limit.
    pub has_token_limit: bool,
    /// Hash of the start of the prompt.
    pub prefix: PrefixHash,
}

impl ChatBody {
    /// Parses the body of a chat completion. Fails unless it is JSON with a field `model`.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let bad_request = |message: String| Refusal::not_run(400, "bad-request", message);
        let value: serde_json::Value = serde_json::from_slice(body)
            .map_err(|error| bad_request(format!("Failed to read the body as JSON: {error}")))?;
        let model = value["model"]
            .as_str()
            .ok_or_else(|| bad_request("Failed to read the body: it names no model".into()))?;
        let token_limit = value["max_completion_tokens"]
            .as_u64()
            .or_else(|| value["max_tokens"].as_u64());
        let prompt = value["messages"].to_string();
        let prefix = &prompt.as_bytes()[..prompt.len().min(MAX_PREFIX_BYTES)];
        Ok(Self {
            service: ServiceName::from(model),
            cost_estimate: CostUnits(token_limit.unwrap_or(DEFAULT_COST_TOKENS)),
            has_token_limit: token_limit.is_some(),
            prefix: hash_prefix(prefix),
        })
    }
}

/// Splits `/services/NAME/REST` into the service and the path at the target, which starts with a
/// slash.
pub fn split_service_path(path: &str) -> Option<(ServiceName, String)> {
    let rest = path.strip_prefix(SERVICES_PREFIX)?;
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    (!name.is_empty()).then(|| (ServiceName::from(name), format!("/{rest}")))
}

/// Whether a path is in canonical form, without an equivalent simpler form.
///
/// Rules for calls that may not be repeated compare paths as text. A target may treat `//orders`,
/// `/./orders` or `/%6frders` as `/orders`, so a path that is not canonical would bypass the rules.
pub fn is_canonical_path(path: &str) -> bool {
    let has_plain_segments = path
        .strip_prefix('/')
        .is_some_and(|rest| rest.split('/').rev().skip(1).all(|part| !part.is_empty()));
    let has_dot_segments = path.split('/').any(|part| part == "." || part == "..");
    has_plain_segments
        && !has_dot_segments
        && !path.contains(['\\', ';'])
        && has_only_required_escapes(path)
}

/// Whether all percent escapes are valid and encode bytes that cannot appear literally in a path.
fn has_only_required_escapes(path: &str) -> bool {
    path.split('%').skip(1).all(|rest| {
        let byte = rest
            .get(..2)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        byte.is_some_and(|byte| {
            !byte.is_ascii_alphanumeric() && !b"-._~/\\;%".contains(&byte) && byte >= 0x20
        })
    })
}

/// Parses the `Idempotency-Key` of a call that may not be repeated.
pub fn parse_idempotency_key(header: Option<&[u8]>) -> Result<IdempotencyKey, Refusal> {
    let refuse = |message: &str| Refusal::not_run(400, "idempotency-key", message);
    let value = header.ok_or_else(|| {
        refuse("Failed to accept the call: it may not be repeated and needs an Idempotency-Key")
    })?;
    let key = std::str::from_utf8(value)
        .map_err(|_| refuse("Failed to read the Idempotency-Key: it is not text"))?;
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(refuse(
            "Failed to use the Idempotency-Key: it needs 1 to 255 bytes",
        ));
    }
    Ok(IdempotencyKey::from(key))
}

fn hash_prefix(bytes: &[u8]) -> PrefixHash {
    let digest = Sha256::digest(bytes);
    let mut hash = [0; 8];
    hash.copy_from_slice(&digest[..8]);
    PrefixHash(u64::from_le_bytes(hash))
}
