//! End of an event stream whose response has neither a length nor chunks.

/// Number of bytes at the end of a stream that tell whether its last event is complete.
const TAIL_LEN: usize = 3;

/// Last bytes of an event stream so far.
///
/// Without a length or chunks, only the blank line after its last event shows that a stream is
/// complete.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventTail([u8; TAIL_LEN]);

impl EventTail {
    /// Adds the next bytes of the stream.
    pub fn record(&mut self, bytes: &[u8]) {
        let kept = bytes.len().min(TAIL_LEN);
        self.0.rotate_left(kept);
        self.0[TAIL_LEN - kept..].copy_from_slice(&bytes[bytes.len() - kept..]);
    }

    /// Whether a part of the stream has arrived.
    pub fn has_bytes(&self) -> bool {
        self.0 != [0; TAIL_LEN]
    }

    /// Whether the stream so far ends after an event.
    pub fn is_after_event(&self) -> bool {
        let ends: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
        ends.iter().any(|end| self.0.ends_with(end))
    }
}
