//! Response contents, computed from the request so that a client can check them.

use serde_json::Value;
use sha2::{Digest, Sha256};

/// Default of `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u64 = 64;

/// Hash of a model name and messages, from which the answer is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptHash(u64);

/// Hashes all inputs that determine the answer's text: the model's name and the messages.
pub fn prompt_hash(model: &str, messages: &Value) -> PromptHash {
    let mut hasher = Sha256::new();
    hasher.update(model);
    hasher.update([0]);
    hasher.update(messages.to_string());
    PromptHash(finish_u64(hasher))
}

/// Number of tokens in the answer: a quarter of `max_tokens` to all of it, at least one.
pub fn answer_token_count(hash: PromptHash, max_tokens: u64) -> u64 {
    let min_tokens = (max_tokens / 4).max(1);
    min_tokens + hash.0 % (max_tokens.max(1) - min_tokens + 1)
}

/// Text of the token with this index, starting at 0: eight hexadecimal digits and a space.
pub fn token(hash: PromptHash, index: u64) -> String {
    let mut hasher = Sha256::new();
    hasher.update(hash.0.to_le_bytes());
    hasher.update(index.to_le_bytes());
    format!("{:08x} ", finish_u64(hasher) as u32)
}

/// Text of a complete answer.
pub fn answer(model: &str, messages: &Value, max_tokens: u64) -> String {
    let hash = prompt_hash(model, messages);
    (0..answer_token_count(hash, max_tokens))
        .map(|index| token(hash, index))
        .collect()
}

/// Text that the plain service returns for a record's path or a booking's id.
pub fn record(path: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(path);
    format!("{:016x}", finish_u64(hasher))
}

fn finish_u64(hasher: Sha256) -> u64 {
    let digest = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(bytes)
}
