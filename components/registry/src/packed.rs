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
    /// The plan with its source text is too large.
    #[error(
        "Failed to pack a plan of {size} bytes with its source text: the limit is {limit} bytes"
    )]
    TooLarge {
        /// Size before compression in bytes.
        size: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The compressed form is damaged, or that of a plan that is too large.
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
            return Err(PackError::TooLarge { size, limit });
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
