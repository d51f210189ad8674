//! Connections of a process: their number, and the time-outs for heads and idle connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use salvo::conn::ConnCtrl;
use telemetry::{event, events};
use tokio::time::Instant;

/// Phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Phase {
    /// No byte of a request has arrived, or the last byte written belongs to a response, which may
    /// be complete.
    Idle,
    /// Part of the head of a request has arrived.
    Head,
    /// The head is complete and nothing of the response is written.
    Busy,
}

const PHASES: [Phase; 3] = [Phase::Idle, Phase::Head, Phase::Busy];

/// Factor on the bound of connections that those which end after their response may reach together
/// with the others.
const MAX_CLOSING_FACTOR: usize = 2;

/// State of a connection, shared with its stream.
#[derive(Debug)]
struct Connection {
    ctrl: ConnCtrl,
    phase: AtomicU8,
    /// Begin of the phase, or time of the last write, in milliseconds after the start of the table.
    since_ms: AtomicU64,
    /// Whether it was closed because of the bound, and may still send a response.
    is_closing: AtomicBool,
}

#[derive(Debug)]
struct TableState {
    max: usize,
    started_at: Instant,
    next_id: AtomicU64,
    connections: Mutex<HashMap<u64, Arc<Connection>>>,
    /// Number of connections that were closed or not accepted because of the bound.
    closed: AtomicU64,
}

/// Open connections of a listener; clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    state: Arc<TableState>,
}

/// Entry of a connection in the table, removed when it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    table: ConnectionTable,
    id: u64,
    connection: Arc<Connection>,
}

impl ConnectionTable {
    /// Creates a table of at most `max` connections.
    pub fn new(max: u64) -> Self {
        Self {
            state: Arc::new(TableState {
                max: max as usize,
                started_at: Instant::now(),
                next_id: AtomicU64::new(0),
                connections: Mutex::default(),
                closed: AtomicU64::new(0),
            }),
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of connections that were closed or not accepted because of the bound.
    pub fn closed_by_bound(&self) -> u64 {
        self.state.closed.load(Ordering::Relaxed)
    }

    /// Closes connections whose head is not complete in `header_timeout`, and those without a request
    /// for `idle_timeout`. The latter end after their response if one is still being sent.
    pub fn close_expired(&self, header_timeout: Duration, idle_timeout: Duration) {
        let now_ms = self.now_ms();
        for connection in self.lock().values() {
            let age = connection.age(now_ms);
            match connection.phase() {
                Phase::Head if age >= header_timeout => connection.ctrl.abort(),
                Phase::Idle if age >= idle_timeout => connection.ctrl.graceful_shutdown(),
                _ => {}
            }
        }
    }

    /// Adds a connection. Beyond the bound, the oldest idle one is closed instead; `None` if there is
    /// none, and the new one must be closed.
    pub(crate) fn add(&self, ctrl: &ConnCtrl) -> Option<ConnectionEntry> {
        let mut connections = self.lock();
        if connections.len() >= self.state.max {
            self.state.closed.fetch_add(1, Ordering::Relaxed);
            let has_room = connections.len() < MAX_CLOSING_FACTOR * self.state.max;
            let idle = connections
                .values()
                .filter(|connection| connection.is_idle());
            let oldest = idle.min_by_key(|connection| connection.since_ms());
            let oldest = oldest.filter(|_| has_room);
            event!(
                events::CONNECTION_BOUND,
                max = self.state.max,
                is_accepted = oldest.is_some()
            );
            let oldest = oldest?;
            oldest.is_closing.store(true, Ordering::Relaxed);
            oldest.ctrl.graceful_shutdown();
        }
        let id = self.state.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection {
            ctrl: ctrl.clone(),
            phase: AtomicU8::new(Phase::Idle as u8),
            since_ms: AtomicU64::new(self.now_ms()),
            is_closing: AtomicBool::new(false),
        });
        connections.insert(id, connection.clone());
        Some(ConnectionEntry {
            table: self.clone(),
            id,
            connection,
        })
    }

    fn now_ms(&self) -> u64 {
        self.state.started_at.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        self.state
            .connections
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl Connection {
    fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(Ordering::Relaxed))]
    }

    /// Whether it may be closed to make room for another one.
    fn is_idle(&self) -> bool {
        self.phase() == Phase::Idle && !self.is_closing.load(Ordering::Relaxed)
    }

    fn since_ms(&self) -> u64 {
        self.since_ms.load(Ordering::Relaxed)
    }

    fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.since_ms()))
    }
}

impl ConnectionEntry {
    pub(crate) fn phase(&self) -> Phase {
        self.connection.phase()
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        let now_ms = self.table.now_ms();
        self.connection.since_ms.store(now_ms, Ordering::Relaxed);
        self.connection.phase.store(phase as u8, Ordering::Relaxed);
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.table.lock().remove(&self.id);
    }
}
