//! Shared state of a daemon with change notification, after the blackboard pattern.
//!
//! The tasks of a daemon, called controllers, do one job each and communicate only through the
//! board. A write wakes the controllers that are waiting for a change, so that none of them polls.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;

/// Shared state with change notification; clones share the same state.
#[derive(Debug)]
pub struct StateBoard<T> {
    state: Arc<Mutex<T>>,
    changes: Arc<watch::Sender<u64>>,
}

impl<T> Clone for StateBoard<T> {
    fn clone(&self) -> Self {
        Self {
            state: self.state.clone(),
            changes: self.changes.clone(),
        }
    }
}

impl<T> StateBoard<T> {
    /// Creates a board with an initial state.
    pub fn new(state: T) -> Self {
        Self {
            state: Arc::new(Mutex::new(state)),
            changes: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Calls `read` with the state, which stays locked meanwhile.
    pub fn read<R>(&self, read: impl FnOnce(&T) -> R) -> R {
        read(&self.lock())
    }

    /// Calls `write` with the state and then wakes all tasks that are waiting for a change.
    pub fn write<R>(&self, write: impl FnOnce(&mut T) -> R) -> R {
        let result = write(&mut self.lock());
        self.notify();
        result
    }

    /// Wakes all tasks that are waiting for a change.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Calls `write` with the state without waking any task, for changes that none waits for.
    pub fn write_quietly<R>(&self, write: impl FnOnce(&mut T) -> R) -> R {
        write(&mut self.lock())
    }

    /// Subscribes to later changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits until `check` returns a value, calling it now and after each change.
    pub async fn wait_for<R>(&self, mut check: impl FnMut(&mut T) -> Option<R>) -> R {
        let mut changes = self.changes();
        loop {
            if let Some(result) = check(&mut self.lock()) {
                return result;
            }
            changes
                .changed()
                .await
                .expect("the board keeps the sender alive");
        }
    }

    fn lock(&self) -> MutexGuard<'_, T> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
