//! Blackboard: the shared state of a daemon, which controllers read and write.
//!
//! Each controller does one job and knows only the board. A write wakes the controllers that wait
//! for a change, so none of them polls.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::watch;

/// Shared state with change notification.
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

    /// Reads the state.
    pub fn read<R>(&self, read: impl FnOnce(&T) -> R) -> R {
        read(&self.lock())
    }

    /// Changes the state and wakes everyone who waits for a change.
    pub fn write<R>(&self, write: impl FnOnce(&mut T) -> R) -> R {
        let result = write(&mut self.lock());
        self.changes.send_modify(|count| *count += 1);
        result
    }

    /// Changes the state without waking anyone, for changes that no controller waits for.
    pub fn write_quietly<R>(&self, write: impl FnOnce(&mut T) -> R) -> R {
        write(&mut self.lock())
    }

    /// Subscribes to changes; those before the call count as seen.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits until `check` returns a value.
    pub async fn wait_for<R>(&self, mut check: impl FnMut(&mut T) -> Option<R>) -> R {
        let mut changes = self.changes();
        loop {
            if let Some(result) = check(&mut self.lock()) {
                return result;
            }
            changes
                .changed()
                .await
                .expect("the board holds its own sender");
        }
    }

    fn lock(&self) -> MutexGuard<'_, T> {
        self.state
            .lock()
            .expect("no controller panics while it holds the board")
    }
}
