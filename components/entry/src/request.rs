//! What an entry reads from a caller's request: pure checks and conversions.

use sha2::{Digest, Sha256};
use units::{CostUnits, IdempotencyKey, PrefixHash, ServiceName};
use wire::{FlowKey, RequestHead};

use crate::refusal::Refusal;

/// Path of the model interface.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Cost that is assumed of a model request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 256;

/// Longest `Idempotency-Key`, in bytes.
const MAX_KEY: usize = 255;

/// Bytes of the prompt that are hashed to find a target that has its prefix cached.
const PREFIX_BYTES: usize = 512;

/// A request that passed the checks and may wait for a target.
#[derive(Debug, Clone)]
pub struct CheckedRequest {
    /// Organisation and service.
    pub flow: FlowKey,
    /// Head for the target.
    pub head: RequestHead,
    /// Body for the target.
    pub body: Vec<u8>,
    /// Rough cost.
    pub cost_estimate: CostUnits,
    /// Hash of the start of the prompt.
    pub prefix: PrefixHash,
    /// Key of a call that may not be repeated; `None` for a request that may.
    pub idempotency_key: Option<IdempotencyKey>,
}

impl CheckedRequest {
    /// SHA-256 of method, path and body.
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

/// SHA-256 of a bearer key, from the `Authorization` header.
pub(crate) fn key_hash(authorization: &str) -> Option<[u8; 32]> {
    let (scheme, key) = authorization.split_once(' ')?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return None;
    }
    Some(Sha256::digest(key.as_bytes()).into())
}

/// What the body of a chat completion says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatBody {
    /// The model, which is the name of a service.
    pub service: ServiceName,
    /// Rough cost.
    pub cost_estimate: CostUnits,
    /// Whether the cost is the caller's own bound.
    pub has_token_limit: bool,
    /// Hash of the start of the prompt.
    pub prefix: PrefixHash,
}

impl ChatBody {
    /// Reads the body of a chat completion.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        let bad = |message: String| Refusal::not_run(400, "bad-request", message);
        let value: serde_json::Value = serde_json::from_slice(body)
            .map_err(|error| bad(format!("Failed to read the body as JSON: {error}")))?;
        let model = value["model"]
            .as_str()
            .ok_or_else(|| bad("Failed to read the body: it names no model".into()))?;
        let bound = value["max_completion_tokens"]
            .as_u64()
            .or_else(|| value["max_tokens"].as_u64());
        let prompt = value["messages"].to_string();
        let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        Ok(Self {
            service: ServiceName::from(model),
            cost_estimate: CostUnits(bound.unwrap_or(DEFAULT_TOKENS)),
            has_token_limit: bound.is_some(),
            prefix: hash_prefix(start),
        })
    }
}

/// Splits `/services/NAME/REST` into the service and the path at the target, which begins with a
/// slash.
pub fn split_service_path(path: &str) -> Option<(ServiceName, String)> {
    let rest = path.strip_prefix(SERVICES_PREFIX)?;
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    (!name.is_empty()).then(|| (ServiceName::from(name), format!("/{rest}")))
}

/// Whether a path has only one spelling.
///
/// Rules for calls that may not be repeated compare paths as text. A target may take `//orders`,
/// `/./orders` or `/%6frders` for `/orders`, so a path with a second spelling would evade them.
pub fn is_canonical_path(path: &str) -> bool {
    let segments_plain = path
        .strip_prefix('/')
        .is_some_and(|rest| rest.split('/').rev().skip(1).all(|part| !part.is_empty()));
    let dots = path.split('/').any(|part| part == "." || part == "..");
    segments_plain && !dots && !path.contains(['\\', ';']) && escapes_needed(path)
}

/// Whether percent escapes stand only for bytes that cannot be written plainly.
fn escapes_needed(path: &str) -> bool {
    path.split('%').skip(1).all(|rest| {
        let byte = rest
            .get(..2)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        byte.is_some_and(|byte| {
            !byte.is_ascii_alphanumeric() && !b"-._~/\\;%".contains(&byte) && byte >= 0x20
        })
    })
}

/// Reads the key of a call that may not be repeated.
pub fn parse_idempotency_key(header: Option<&[u8]>) -> Result<IdempotencyKey, Refusal> {
    let refuse = |message: &str| Refusal::not_run(400, "idempotency-key", message);
    let value = header.ok_or_else(|| {
        refuse("Failed to accept the call: it may not be repeated and needs an Idempotency-Key")
    })?;
    let key = std::str::from_utf8(value)
        .map_err(|_| refuse("Failed to read the Idempotency-Key: it is not text"))?;
    if key.is_empty() || key.len() > MAX_KEY {
        return Err(refuse(
            "Failed to use the Idempotency-Key: it needs 1 to 255 bytes",
        ));
    }
    Ok(IdempotencyKey::from(key))
}

fn hash_prefix(bytes: &[u8]) -> PrefixHash {
    let digest = Sha256::digest(bytes);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    PrefixHash(u64::from_le_bytes(first))
}
