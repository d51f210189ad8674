//! Encoding and decoding of frames.

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Largest body of a frame, in bytes.
pub const MAX_FRAME: usize = 1 << 20;

/// Bytes of the length in front of a frame.
const LENGTH_BYTES: usize = 4;

/// Fault of a frame.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame is larger than [`MAX_FRAME`].
    #[error("Failed to handle a frame of {size} bytes: the limit is {MAX_FRAME}")]
    TooLarge {
        /// Size of the body in bytes.
        size: usize,
    },
    /// The body does not decode to the expected message.
    #[error("Failed to decode a {message}")]
    Malformed {
        /// Type of the expected message.
        message: &'static str,
        /// Fault that the codec found.
        source: postcard::Error,
    },
    /// The body has bytes after the message.
    #[error("Failed to decode a {message}: {extra} bytes left over")]
    Trailing {
        /// Type of the expected message.
        message: &'static str,
        /// Bytes after the message.
        extra: usize,
    },
}

/// Encodes a message as a frame with its length in front.
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

/// Decodes the body of a frame, without its length.
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
