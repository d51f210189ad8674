//! Order of the chunks of a response across connections.

use thiserror::Error;

/// Action for a chunk that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// The chunk is the next one and must be forwarded.
    Next,
    /// The chunk was forwarded before and must be dropped.
    Repeated,
}

/// Error for chunks of a response that are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("Failed to continue a response: got chunk {got} and need {needed}")]
pub struct ChunkGap {
    /// Number of the chunk that arrived or, at the end, the total that the agent reported.
    pub got: u64,
    /// Number of the next chunk in order.
    pub needed: u64,
}

/// Position in the chunks of one response.
#[derive(Debug, Default)]
pub struct ChunkSequence {
    next: u64,
}

impl ChunkSequence {
    /// Checks the number of a chunk and advances the position if the chunk is the next one.
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

    /// Checks that all chunks have arrived, given the total that the agent reported.
    pub fn check_end(&self, total: u64) -> Result<(), ChunkGap> {
        if total == self.next {
            Ok(())
        } else {
            Err(self.gap(total))
        }
    }

    /// Number of the first chunk that has not arrived yet.
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
