//! Buffer of one run's response, from which a lost stream resumes.

use std::collections::VecDeque;
use std::sync::Arc;

use thiserror::Error;
use units::ByteSize;

/// Bytes of a response that are buffered.
pub const BUFFER_SIZE: ByteSize = ByteSize(1 << 20);

/// A chunk that can be sent again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedChunk {
    /// Number of the chunk, from 0.
    pub number: u64,
    /// Bytes of the response body.
    pub bytes: Arc<[u8]>,
}

/// The chunk asked for was dropped.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("Failed to send chunk {wanted}: the buffer begins at {first}")]
pub struct BufferLost {
    /// Number of the chunk asked for.
    pub wanted: u64,
    /// First number in the buffer.
    pub first: u64,
}

/// The last chunks of one run.
///
/// A chunk that the entry lacks is never dropped: the reader of the target waits for room instead.
#[derive(Debug)]
pub struct RunBuffer {
    chunks: VecDeque<BufferedChunk>,
    first: u64,
    acknowledged: u64,
    size: usize,
    unacknowledged: usize,
    keeps_acknowledged: bool,
}

impl RunBuffer {
    /// Creates an empty buffer. With `keeps_acknowledged`, chunks that the entry has are dropped
    /// only to make room, so that another entry can read a short response from the beginning.
    pub fn new(keeps_acknowledged: bool) -> Self {
        Self {
            chunks: VecDeque::new(),
            first: 0,
            acknowledged: 0,
            size: 0,
            unacknowledged: 0,
            keeps_acknowledged,
        }
    }

    /// Whether another chunk may be pushed.
    pub fn has_room(&self) -> bool {
        self.unacknowledged < BUFFER_SIZE.0 as usize
    }

    /// Appends a chunk and returns its number.
    pub fn push(&mut self, bytes: &[u8]) -> u64 {
        let number = self.next_number();
        self.size += bytes.len();
        self.unacknowledged += bytes.len();
        self.chunks.push_back(BufferedChunk {
            number,
            bytes: bytes.into(),
        });
        self.drop_acknowledged();
        number
    }

    /// Notes that the entry has all chunks before `next`.
    pub fn acknowledge(&mut self, next: u64) {
        let next = next.min(self.next_number());
        while self.acknowledged < next {
            if let Some(chunk) = self.at(self.acknowledged) {
                self.unacknowledged -= chunk.bytes.len();
            }
            self.acknowledged += 1;
        }
        self.drop_acknowledged();
    }

    /// The chunk of this number; `None` if it has not been produced yet.
    pub fn get(&self, number: u64) -> Result<Option<&BufferedChunk>, BufferLost> {
        if number < self.first {
            return Err(BufferLost {
                wanted: number,
                first: self.first,
            });
        }
        Ok(self.at(number))
    }

    /// Number of the next chunk to be pushed, which is the count of chunks so far.
    pub fn next_number(&self) -> u64 {
        self.first + self.chunks.len() as u64
    }

    /// Whether the entry has all chunks.
    pub fn is_acknowledged(&self) -> bool {
        self.acknowledged == self.next_number()
    }

    /// Buffered bytes.
    pub fn size(&self) -> ByteSize {
        ByteSize(self.size as u64)
    }

    fn at(&self, number: u64) -> Option<&BufferedChunk> {
        let index = number.checked_sub(self.first)?;
        self.chunks.get(index as usize)
    }

    fn drop_acknowledged(&mut self) {
        while self.first < self.acknowledged && self.is_dropping() {
            if let Some(chunk) = self.chunks.pop_front() {
                self.size -= chunk.bytes.len();
            }
            self.first += 1;
        }
    }

    fn is_dropping(&self) -> bool {
        !self.keeps_acknowledged || self.size > BUFFER_SIZE.0 as usize
    }
}
