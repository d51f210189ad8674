//! Order of the chunks of one response.

use thiserror::Error;

/// What to do with a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// It is the next one: pass it on.
    Next,
    /// It was passed on before: drop it.
    Repeated,
}

/// Chunks are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("Failed to continue a response: got chunk {got} and need {needed}")]
pub struct ChunkGap {
    /// Number of the chunk that arrived, or count of chunks that the agent stated.
    pub got: u64,
    /// Number of the chunk that is next.
    pub needed: u64,
}

/// Position in the chunks of one response.
#[derive(Debug, Default)]
pub struct ChunkSequence {
    next: u64,
}

impl ChunkSequence {
    /// Takes the next chunk that arrived.
    pub fn accept(&mut self, number: u64) -> Result<ChunkVerdict, ChunkGap> {
        if number < self.next {
            return Ok(ChunkVerdict::Repeated);
        }
        if number > self.next {
            return Err(self.gap(number));
        }
        self.next += 1;
        Ok(ChunkVerdict::Next)
    }

    /// Checks the end of the response against the count of chunks.
    pub fn check_end(&self, chunks: u64) -> Result<(), ChunkGap> {
        if chunks == self.next {
            Ok(())
        } else {
            Err(self.gap(chunks))
        }
    }

    /// Number of the first chunk that has not arrived.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    fn gap(&self, got: u64) -> ChunkGap {
        ChunkGap {
            got,
            needed: self.next,
        }
    }
}
