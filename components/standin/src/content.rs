//! Content that is computed from the request.

use serde_json::Value;
use sha2::{Digest, Sha256};

/// Tokens of an answer if the request sets no `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u64 = 64;

/// Hash of a prompt, from which the answer is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptHash(u64);

/// Hashes what the answer depends on: the model's name and the messages.
pub fn prompt_hash(model: &str, messages: &Value) -> PromptHash {
    let mut hasher = Sha256::new();
    hasher.update(model);
    hasher.update([0]);
    hasher.update(messages.to_string());
    PromptHash(first_bytes(hasher))
}

/// Number of tokens in the answer: a quarter of `max_tokens` to all of it, at least one.
pub fn answer_token_count(hash: PromptHash, max_tokens: u64) -> u64 {
    let least = (max_tokens / 4).max(1);
    least + hash.0 % (max_tokens.max(1) - least + 1)
}

/// The token with this number, from 0: eight hexadecimal digits and a space.
pub fn token(hash: PromptHash, number: u64) -> String {
    let mut hasher = Sha256::new();
    hasher.update(hash.0.to_le_bytes());
    hasher.update(number.to_le_bytes());
    format!("{:08x} ", first_bytes(hasher) as u32)
}

/// The text of a whole answer.
pub fn answer(model: &str, messages: &Value, max_tokens: u64) -> String {
    let hash = prompt_hash(model, messages);
    (0..answer_token_count(hash, max_tokens))
        .map(|number| token(hash, number))
        .collect()
}

/// The text of a record that the plain service returns for a path.
pub fn record(path: &str) -> String {
    let mut hasher = Sha256::new();
    hasher.update(path);
    format!("{:016x}", first_bytes(hasher))
}

fn first_bytes(hasher: Sha256) -> u64 {
    let digest = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(bytes)
}
