//! Framing of messages on a QUIC stream.

use quinn::{RecvStream, SendStream, VarInt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use units::error_chain;
use wire::{CodecError, MAX_FRAME};

use crate::error::LinkError;

/// Sending half of a stream of framed messages.
#[derive(Debug)]
pub struct FrameWriter {
    stream: SendStream,
}

impl FrameWriter {
    pub(crate) fn new(stream: SendStream) -> Self {
        Self { stream }
    }

    /// Sets the priority among the streams of a connection; those with a higher one are sent first.
    pub fn set_priority(&mut self, priority: i32) {
        // An error means that the stream is already closed.
        let _ = self.stream.set_priority(priority);
    }

    /// Sends one message; fails if it exceeds [`MAX_FRAME`] or the stream is closed.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), LinkError> {
        let frame = wire::encode(message)?;
        self.stream
            .write_all(&frame)
            .await
            .map_err(|error| LinkError::Stream(error_chain(&error)))
    }

    /// Closes the stream after all sent messages have been delivered.
    pub fn finish(&mut self) {
        // An error means that the stream is already closed.
        let _ = self.stream.finish();
    }

    /// Closes the stream and discards messages that have not been delivered.
    pub fn reset(&mut self) {
        let _ = self.stream.reset(VarInt::from_u32(0));
    }
}

/// Receiving half of a stream of framed messages.
#[derive(Debug)]
pub struct FrameReader {
    stream: RecvStream,
}

impl FrameReader {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { stream }
    }

    /// Receives one message; `None` at the end of the stream.
    ///
    /// Not cancel-safe: dropping the future may lose part of a frame. Callers that await several
    /// events should receive in a separate task.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<T>, LinkError> {
        let Some(size) = self.receive_size().await? else {
            return Ok(None);
        };
        if size > MAX_FRAME {
            return Err(CodecError::TooLarge { size }.into());
        }
        let mut body = vec![0; size];
        self.stream
            .read_exact(&mut body)
            .await
            .map_err(|error| LinkError::Stream(error_chain(&error)))?;
        Ok(Some(wire::decode(&body)?))
    }

    async fn receive_size(&mut self) -> Result<Option<usize>, LinkError> {
        let mut length = [0; 4];
        match self.stream.read_exact(&mut length).await {
            Ok(()) => Ok(Some(u32::from_le_bytes(length) as usize)),
            Err(quinn::ReadExactError::FinishedEarly(0)) => Ok(None),
            Err(error) => Err(LinkError::Stream(error_chain(&error))),
        }
    }
}
