//! Published plan as stored in the log and sent between control nodes.

use routes::PublishedPlan;
use thiserror::Error;

use crate::compression::{CompressionError, compress, decompress};

/// Maximum size of a plan with its source text before compression, in bytes. A text of several thousand
/// routes has under 2 MiB.
const MAX_PLAN_BYTES: usize = 16 << 20;

units::data! {
    /// A published plan and its source text, compressed.
    #[serde(transparent)]
    pub struct PackedPlan(Vec<u8>);
}

/// Reason why a plan could not be packed or unpacked.
#[derive(Debug, Error)]
pub enum PackError {
    /// The plan is too large, or its compressed form is damaged.
    #[error(transparent)]
    Compression(#[from] CompressionError),
    /// The plan cannot be encoded or decoded.
    #[error("Failed to encode or decode a plan")]
    Malformed(#[from] postcard::Error),
}

impl PackedPlan {
    /// Compresses a plan with its source text.
    pub fn pack(plan: &PublishedPlan, text: &str) -> Result<Self, PackError> {
        let data = postcard::to_stdvec(&(plan, text))?;
        let (size, limit) = (data.len(), MAX_PLAN_BYTES);
        if size > limit {
            return Err(CompressionError::TooLarge { size, limit }.into());
        }
        Ok(Self(compress(&data)))
    }

    /// Returns the plan and its source text.
    pub fn unpack(&self) -> Result<(PublishedPlan, String), PackError> {
        let data = decompress(&self.0, MAX_PLAN_BYTES)?;
        Ok(postcard::from_bytes(&data)?)
    }

    /// Compressed form, as sent between control nodes.
    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}

impl From<Vec<u8>> for PackedPlan {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }
}
