//! Encoding and decoding of length-prefixed frames.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Maximum size of a frame body, in bytes.
pub const MAX_FRAME: usize = 1 << 20;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Error of encoding or decoding a frame.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame body is larger than [`MAX_FRAME`].
    #[error("Failed to transfer a frame of {size} bytes: the limit is {MAX_FRAME} bytes")]
    TooLarge {
        /// Size of the body in bytes.
        size: usize,
    },
    /// The message cannot be encoded, or the body cannot be decoded to the expected type.
    #[error("Failed to encode or decode a frame of type {message}")]
    Malformed {
        /// Type name of the message.
        message: &'static str,
        /// Error of the codec.
        source: postcard::Error,
    },
    /// Bytes follow the end of the message.
    #[error("Failed to decode a frame of type {message}: {extra} trailing bytes")]
    Trailing {
        /// Type name of the message.
        message: &'static str,
        /// Number of bytes after the end.
        extra: usize,
    },
}

/// Encodes a message as a frame, including the length prefix.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let mut frame = postcard::to_extend(message, vec![0; LENGTH_BYTES]).map_err(|source| {
        CodecError::Malformed {
            message: std::any::type_name::<T>(),
            source,
        }
    })?;
    let size = frame.len() - LENGTH_BYTES;
    if size > MAX_FRAME {
        return Err(CodecError::TooLarge { size });
    }
    frame[..LENGTH_BYTES].copy_from_slice(&(size as u32).to_le_bytes());
    Ok(frame)
}

/// Decodes a frame body, which excludes the length prefix.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    if body.len() > MAX_FRAME {
        return Err(CodecError::TooLarge { size: body.len() });
    }
    let message = std::any::type_name::<T>();
    let (value, rest) = postcard::take_from_bytes(body)
        .map_err(|source| CodecError::Malformed { message, source })?;
    if !rest.is_empty() {
        return Err(CodecError::Trailing {
            message,
            extra: rest.len(),
        });
    }
    Ok(value)
}
