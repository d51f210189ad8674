//! Buffer for the response of one run, from which an entry resumes after a lost connection.

use std::collections::VecDeque;
use std::sync::Arc;

use thiserror::Error;
use units::ByteSize;

/// Size limit of the buffer of one run.
///
/// A chunk may be added while the unacknowledged chunks are smaller than this, so the buffer can
/// exceed the limit by at most one chunk.
pub const BUFFER_SIZE: ByteSize = ByteSize(1 << 20);

/// Chunk of a response that can be sent again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedChunk {
    /// Number of the chunk in the response, from 0.
    pub number: u64,
    /// Bytes of the response body.
    pub bytes: Arc<[u8]>,
}

/// Error for a requested chunk that is no longer buffered.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("Failed to send chunk {wanted}: the buffer begins at {first}")]
pub struct BufferLost {
    /// Number of the requested chunk.
    pub wanted: u64,
    /// Number of the first buffered chunk.
    pub first: u64,
}

/// Most recent chunks of the response of one run.
///
/// A chunk that the entry has not acknowledged is never evicted. If the buffer is full, the task
/// that receives the response waits for an acknowledgement.
#[derive(Debug)]
pub struct RunBuffer {
    chunks: VecDeque<BufferedChunk>,
    first: u64,
    acknowledged: u64,
    buffered_bytes: usize,
    unacknowledged_bytes: usize,
    keeps_acknowledged: bool,
}

impl RunBuffer {
    /// Creates an empty buffer.
    ///
    /// With `keeps_acknowledged`, acknowledged chunks are evicted only while the buffer exceeds
    /// [`BUFFER_SIZE`], so that another entry can read a short response from the beginning.
    pub fn new(keeps_acknowledged: bool) -> Self {
        Self {
            chunks: VecDeque::new(),
            first: 0,
            acknowledged: 0,
            buffered_bytes: 0,
            unacknowledged_bytes: 0,
            keeps_acknowledged,
        }
    }

    /// Whether another chunk may be added.
    pub fn has_room(&self) -> bool {
        self.unacknowledged_bytes < BUFFER_SIZE.0 as usize
    }

    /// Appends a chunk and returns its number.
    pub fn push(&mut self, bytes: &[u8]) -> u64 {
        let number = self.next_number();
        self.buffered_bytes += bytes.len();
        self.unacknowledged_bytes += bytes.len();
        self.chunks.push_back(BufferedChunk {
            number,
            bytes: bytes.into(),
        });
        self.evict_acknowledged();
        number
    }

    /// Records that the entry has received all chunks before `next_chunk`.
    pub fn acknowledge(&mut self, next_chunk: u64) {
        let next_chunk = next_chunk.min(self.next_number());
        while self.acknowledged < next_chunk {
            if let Some(chunk) = self.chunk_at(self.acknowledged) {
                self.unacknowledged_bytes -= chunk.bytes.len();
            }
            self.acknowledged += 1;
        }
        self.evict_acknowledged();
    }

    /// Returns a chunk by its number; `None` if it has not been produced yet. Fails if it has been
    /// evicted.
    pub fn get(&self, number: u64) -> Result<Option<&BufferedChunk>, BufferLost> {
        if number < self.first {
            return Err(BufferLost {
                wanted: number,
                first: self.first,
            });
        }
        Ok(self.chunk_at(number))
    }

    /// Number of the next chunk to be added, which equals the number of chunks added so far.
    pub fn next_number(&self) -> u64 {
        self.first + self.chunks.len() as u64
    }

    /// Whether the entry has acknowledged all chunks.
    pub fn is_acknowledged(&self) -> bool {
        self.acknowledged == self.next_number()
    }

    /// Total size of the buffered chunks.
    pub fn size(&self) -> ByteSize {
        ByteSize(self.buffered_bytes as u64)
    }

    fn chunk_at(&self, number: u64) -> Option<&BufferedChunk> {
        let index = number.checked_sub(self.first)?;
        self.chunks.get(index as usize)
    }

    fn evict_acknowledged(&mut self) {
        while self.first < self.acknowledged && self.is_eviction_due() {
            if let Some(chunk) = self.chunks.pop_front() {
                self.buffered_bytes -= chunk.bytes.len();
            }
            self.first += 1;
        }
    }

    fn is_eviction_due(&self) -> bool {
        !self.keeps_acknowledged || self.buffered_bytes > BUFFER_SIZE.0 as usize
    }
}
