//! Reads request bodies within the memory budget of the process.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes};
use intake::{
    BodyBudget, BodyKey, BodyStatus, MemoryLimits, SMALL_BODY_BYTES, SMALL_TICK, SmallPool,
    SmallProgress,
};
use salvo::http::ReqBody;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;
use units::{ClockSource, SystemClock};

/// Interval between two checks of a large body, and of one that waits.
const LARGE_TICK: Duration = Duration::from_millis(250);

/// Failure to read a body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("the limit is {0} bytes")]
    TooLarge(u64),
    /// The process has no memory for the body.
    #[error("there is no memory for it now")]
    NoMemory,
    /// The caller stopped sending, or sends too slowly while others wait.
    #[error("it makes no progress")]
    Stalled,
    /// The body was not complete at the deadline.
    #[error("it was not complete in time")]
    Late,
    /// The connection or the framing broke.
    #[error("{0}")]
    Broken(std::io::Error),
}

/// Memory budget for the bodies of a process; clones share it.
#[derive(Clone)]
pub struct BodyGate {
    inner: Arc<GateState>,
}

struct GateState {
    small: SmallPool,
    large: Mutex<BodyBudget>,
    /// Notified when a waiting body is admitted.
    admitted: Notify,
    clock: SystemClock,
}

/// A body that was read completely, and the reservation of a small one. The memory of a large one is
/// released with the last reference to its bytes.
#[derive(Debug, Default)]
pub struct HeldBody {
    /// Content of the body.
    pub bytes: Bytes,
    _small: Option<SmallHold>,
}

struct SmallHold {
    gate: BodyGate,
    bytes: u64,
}

impl std::fmt::Debug for SmallHold {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SmallHold")
            .field("bytes", &self.bytes)
            .finish()
    }
}

impl SmallHold {
    /// Releases what a body of unknown length did not need.
    fn shrink(mut self, bytes: u64) -> Self {
        self.gate.inner.small.release(self.bytes - bytes);
        self.bytes = bytes;
        self
    }
}

impl Drop for SmallHold {
    fn drop(&mut self) {
        self.gate.inner.small.release(self.bytes);
    }
}

struct LargeHold {
    gate: BodyGate,
    key: BodyKey,
}

impl Drop for LargeHold {
    fn drop(&mut self) {
        let now = self.gate.inner.clock.now();
        if self.gate.large().release(self.key, now) {
            self.gate.inner.admitted.notify_waiters();
        }
    }
}

/// Content of a large body together with its reservation.
struct LargeBytes {
    buf: Vec<u8>,
    _hold: LargeHold,
}

impl AsRef<[u8]> for LargeBytes {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

enum Hold {
    None,
    Small(SmallHold, SmallProgress),
    Large(LargeHold),
}

/// A body that is being read.
struct BodyReader<'a> {
    gate: &'a BodyGate,
    body: &'a mut ReqBody,
    hold: Hold,
    /// Number of bytes that are reserved.
    capacity: u64,
    received: u64,
    /// Content of the first frame, which is kept as it is if it is the whole body.
    first: Bytes,
    /// Content, if there is more than one frame.
    buf: Vec<u8>,
    deadline: Instant,
    next_check: Instant,
}

impl BodyGate {
    /// Creates a budget for a process with these limits.
    pub fn new(limits: &MemoryLimits) -> Self {
        Self {
            inner: Arc::new(GateState {
                small: SmallPool::new(limits.small_bytes()),
                large: Mutex::new(BodyBudget::new(limits.large_bytes())),
                admitted: Notify::new(),
                clock: SystemClock::start(),
            }),
        }
    }

    /// Number of bytes that are reserved for bodies.
    pub fn used(&self) -> u64 {
        self.inner.small.used() + self.large().used()
    }

    /// Reads a body of at most `max_bytes`. Nothing is read unless its memory is reserved.
    pub async fn read(
        &self,
        body: &mut ReqBody,
        max_bytes: u64,
        deadline: Instant,
    ) -> Result<HeldBody, BodyError> {
        let announced = body.size_hint().exact();
        match announced {
            Some(0) => return Ok(HeldBody::default()),
            Some(length) if length > max_bytes => return Err(BodyError::TooLarge(max_bytes)),
            _ => {}
        }
        let mut reader = BodyReader {
            gate: self,
            body,
            hold: Hold::None,
            capacity: 0,
            received: 0,
            first: Bytes::new(),
            buf: Vec::new(),
            deadline,
            next_check: Instant::now() + SMALL_TICK,
        };
        reader
            .reserve(announced.unwrap_or(SMALL_BODY_BYTES.min(max_bytes)))
            .await?;
        while let Some(data) = reader.next_data().await? {
            reader.received += data.len() as u64;
            if reader.received > max_bytes {
                return Err(BodyError::TooLarge(max_bytes));
            }
            if reader.received > reader.capacity {
                let doubled = (reader.capacity * 2).max(4 * SMALL_BODY_BYTES);
                reader.reserve(doubled.min(max_bytes)).await?;
            }
            reader.append(data);
        }
        Ok(reader.finish())
    }

    fn large(&self) -> MutexGuard<'_, BodyBudget> {
        self.inner
            .large
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl BodyReader<'_> {
    /// Reserves memory for `capacity` bytes in all.
    async fn reserve(&mut self, capacity: u64) -> Result<(), BodyError> {
        let gate = self.gate;
        if capacity <= SMALL_BODY_BYTES && gate.inner.small.try_reserve(capacity) {
            let hold = SmallHold {
                gate: gate.clone(),
                bytes: capacity,
            };
            self.hold = Hold::Small(hold, SmallProgress::default());
            self.capacity = capacity;
            return Ok(());
        }
        let now = gate.inner.clock.now();
        let key = match &self.hold {
            Hold::Large(hold) => {
                gate.large().grow(hold.key, capacity - self.capacity, now);
                hold.key
            }
            Hold::None | Hold::Small(..) => {
                let admitted = gate.large().admit(capacity, now);
                let key = admitted.ok_or(BodyError::NoMemory)?;
                // Dropped with the old reservation if the body is refused below.
                let hold = LargeHold {
                    gate: gate.clone(),
                    key,
                };
                let _small = std::mem::replace(&mut self.hold, Hold::Large(hold));
                return self.wait_for_memory(key, capacity).await;
            }
        };
        self.wait_for_memory(key, capacity).await
    }

    /// Waits until the body is admitted.
    async fn wait_for_memory(&mut self, key: BodyKey, capacity: u64) -> Result<(), BodyError> {
        let state = &self.gate.inner;
        loop {
            let admitted = state.admitted.notified();
            tokio::pin!(admitted);
            admitted.as_mut().enable();
            let status = self
                .gate
                .large()
                .check(key, self.received, state.clock.now());
            match status {
                BodyStatus::Reading => break,
                BodyStatus::Waiting if Instant::now() < self.deadline => {}
                _ => return Err(BodyError::NoMemory),
            }
            let _ = tokio::time::timeout(LARGE_TICK, admitted).await;
        }
        self.capacity = capacity;
        self.next_check = Instant::now() + LARGE_TICK;
        let additional = capacity as usize - self.buf.len();
        self.buf.reserve_exact(additional);
        Ok(())
    }

    /// Returns the content of the next frame; `None` at the end of the body.
    async fn next_data(&mut self) -> Result<Option<Bytes>, BodyError> {
        loop {
            let wake_at = self.deadline.min(self.next_check);
            let waiting = tokio::time::timeout_at(wake_at, self.body.frame()).await;
            let data = match waiting {
                Ok(Some(Ok(frame))) => frame.into_data().ok(),
                Ok(Some(Err(error))) => return Err(BodyError::Broken(error)),
                Ok(None) => return Ok(None),
                Err(_) => None,
            };
            let now = Instant::now();
            if now >= self.deadline {
                return Err(BodyError::Late);
            }
            if now >= self.next_check {
                let received = self.received + data.as_ref().map_or(0, Bytes::len) as u64;
                self.check_progress(received, now)?;
            }
            // Trailers are not forwarded.
            if data.is_some() {
                return Ok(data);
            }
        }
    }

    fn check_progress(&mut self, received: u64, now: Instant) -> Result<(), BodyError> {
        let state = &self.gate.inner;
        let (tick, is_stalled) = match &mut self.hold {
            Hold::None => return Ok(()),
            Hold::Small(_, progress) => (SMALL_TICK, progress.record_tick(received, &state.small)),
            Hold::Large(hold) => {
                let status = self
                    .gate
                    .large()
                    .check(hold.key, received, state.clock.now());
                (LARGE_TICK, status != BodyStatus::Reading)
            }
        };
        self.next_check = now + tick;
        match is_stalled {
            true => Err(BodyError::Stalled),
            false => Ok(()),
        }
    }

    /// Appends content. A frame may be one byte and refer to a buffer of 32 KiB, so several are
    /// copied into one buffer.
    fn append(&mut self, data: Bytes) {
        if self.received == data.len() as u64 && matches!(self.hold, Hold::Small(..)) {
            self.first = data;
            return;
        }
        if self.buf.is_empty() {
            self.buf.reserve_exact(self.capacity as usize);
            self.buf.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.buf.extend_from_slice(&data);
    }

    fn finish(mut self) -> HeldBody {
        match std::mem::replace(&mut self.hold, Hold::None) {
            Hold::None => HeldBody::default(),
            Hold::Small(hold, _) => HeldBody {
                bytes: match self.buf.is_empty() {
                    true => self.first,
                    false => self.buf.into(),
                },
                _small: Some(hold.shrink(self.received)),
            },
            Hold::Large(hold) => {
                self.gate.large().complete(hold.key);
                HeldBody {
                    bytes: Bytes::from_owner(LargeBytes {
                        buf: self.buf,
                        _hold: hold,
                    }),
                    _small: None,
                }
            }
        }
    }
}

/// Reads and discards at most `max_bytes` of a refused body, for at most `timeout`. Closing a
/// connection with unread data resets it, and the caller may lose the response.
pub async fn discard_body(body: &mut ReqBody, max_bytes: u64, timeout: Duration) {
    let discarding = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len) as u64;
            if discarded > max_bytes {
                return;
            }
        }
    };
    // On a timeout, the caller still gets the response before its connection is closed.
    let _ = tokio::time::timeout(timeout, discarding).await;
}
