//! Record of what was sent, answered and run.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record of a case; clones share it.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line with the current time.
    pub fn note(&self, text: &str) {
        self.note_at(self.now(), text);
    }

    /// Adds a line with an earlier time.
    pub fn note_at(&self, at: f64, text: &str) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Writes all lines, ordered by time.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:9.3} {line}");
        }
        std::fs::write(path, text)
    }
}
