//! Finds the requests that crash targets, and keeps them away from targets.
//!
//! A target that crashes leaves all of its requests without a response, and one of them may be the
//! cause. Each entry records its requests at a target that crashed in a [`CrashLog`] and reports
//! them to the [`QuarantineHome`], a control node. The home holds a trait responsible (a part of the prompt, or
//! the content of a repeated request) if requests with it were at several targets that crashed one
//! after the other, and none with it got a complete response meanwhile. Entries refuse requests with
//! a quarantined trait, except for single trials that end a quarantine once its cause has gone.
//!
//! All state is soft. A home that starts empty gets recent crashes and the quarantine in force with
//! the next reports.

mod breaks;
mod evidence;
mod home;
mod log;
mod record;
mod success;

pub use home::{QuarantineChange, QuarantineHome};
pub use log::{
    BrokenRequest, CrashLog, EndedTarget, ObservedCrash, QuarantineVerdict, RefusalCause,
};

use std::time::Duration;

/// Time for which a crash is evidence.
const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of quarantined traits.
const MAX_QUARANTINED: usize = 256;
