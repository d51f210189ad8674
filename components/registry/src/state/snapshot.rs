//! Snapshots of the replicated state.

use thiserror::Error;

use super::RegistryState;
use crate::compression::{CompressionError, compress, decompress};

/// Begins a compressed snapshot. An older, uncompressed one begins with a number of 64 bits, whose
/// encoding never has ten such bytes.
const COMPRESSED_MARKER: [u8; 10] = [0xff; 10];

/// Maximum size of a snapshot that is compressed, in bytes. Most of a larger one is call records, and
/// compressing it would keep the node from its heartbeats.
const MAX_COMPRESSED_BYTES: usize = 8 << 20;

/// Reason why a snapshot could not be restored.
#[derive(Debug, Error)]
pub enum RegistryError {
    /// The snapshot cannot be decoded.
    #[error("Failed to restore a snapshot of {size} bytes")]
    Malformed {
        /// Size of the snapshot in bytes.
        size: usize,
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The snapshot cannot be decompressed.
    #[error("Failed to restore a snapshot of {size} bytes")]
    Compressed {
        /// Size of the snapshot in bytes.
        size: usize,
        /// Error of the decompression.
        source: CompressionError,
    },
}

impl RegistryState {
    /// Encodes the complete state, compressed unless it is large.
    pub fn snapshot(&self) -> Vec<u8> {
        let encoded = self.encode();
        if encoded.len() > MAX_COMPRESSED_BYTES {
            return encoded;
        }
        [&COMPRESSED_MARKER[..], &compress(&encoded)].concat()
    }

    /// Encodes the complete state without compression, as older processes do in a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).expect("the state encodes into memory");
        let versions = postcard::to_stdvec(&self.versions);
        bytes.extend(versions.expect("the versions encode into memory"));
        let departures = postcard::to_stdvec(&self.departures);
        bytes.extend(departures.expect("the departures encode into memory"));
        let rollouts = postcard::to_stdvec(&self.config.rollouts);
        bytes.extend(rollouts.expect("the roll-outs encode into memory"));
        let returns = postcard::to_stdvec(&self.config.returns);
        bytes.extend(returns.expect("the versions encode into memory"));
        bytes
    }

    /// Decodes a state from a snapshot of this or an older process.
    pub fn restore(snapshot: &[u8]) -> Result<Self, RegistryError> {
        let size = snapshot.len();
        match snapshot.strip_prefix(&COMPRESSED_MARKER) {
            Some(compressed) => match decompress(compressed, MAX_COMPRESSED_BYTES) {
                Ok(encoded) => Self::decode(&encoded),
                Err(source) => Err(RegistryError::Compressed { size, source }),
            },
            None => Self::decode(snapshot),
        }
    }

    fn decode(encoded: &[u8]) -> Result<Self, RegistryError> {
        let size = encoded.len();
        let to_error = |source| RegistryError::Malformed { size, source };
        let (mut state, rest): (Self, _) = postcard::take_from_bytes(encoded).map_err(to_error)?;
        let mut rest: &[u8] = rest;
        if !rest.is_empty() {
            (state.versions, rest) = postcard::take_from_bytes(rest).map_err(to_error)?;
        }
        if !rest.is_empty() {
            (state.departures, rest) = postcard::take_from_bytes(rest).map_err(to_error)?;
        }
        if !rest.is_empty() {
            (state.config.rollouts, rest) = postcard::take_from_bytes(rest).map_err(to_error)?;
        }
        if !rest.is_empty() {
            state.config.returns = postcard::from_bytes(rest).map_err(to_error)?;
        }
        state.calls.rebuild();
        Ok(state)
    }
}
