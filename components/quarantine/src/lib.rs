//! Requests that crash targets.
//!
//! A target that crashes breaks off all of its requests, of which one may be the cause. Each entry
//! records its requests at a target that crashed in a [`CrashLog`].

mod log;

pub use log::{BrokenRequest, CrashLog, EndedTarget};

use std::time::Duration;

/// Time for which a crash is evidence.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
