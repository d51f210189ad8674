//! Refusals and failures that are sent to callers.

use std::time::Duration;

use http::Version;
use serde_json::json;
use wire::{FailureCode, RunStatus};

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may have run.
    Unknown,
}

impl RequestOutcome {
    /// Value of the header `Bilberry-Outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Refusal or failure of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Code in the JSON body.
    pub code: &'static str,
    /// Message in the JSON body.
    pub message: String,
    /// Whether the request ran.
    pub outcome: RequestOutcome,
    /// Time after which the caller may retry, sent as `Retry-After`.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run and will not run.
    pub fn not_run(status: u16, code: &'static str, message: impl ToString) -> Self {
        Self {
            status,
            code,
            message: message.to_string(),
            outcome: RequestOutcome::NotRun,
            retry_after: None,
        }
    }

    /// Creates a failure of a request that may have run.
    pub fn unknown(status: u16, code: &'static str, message: impl ToString) -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            ..Self::not_run(status, code, message)
        }
    }

    /// Creates a refusal of a request that has already run.
    pub fn ran(status: u16, code: &'static str, message: impl ToString) -> Self {
        Self {
            outcome: RequestOutcome::Ran,
            ..Self::not_run(status, code, message)
        }
    }

    /// Refuses HTTP/1.0, in which the end of the connection ends a response of unknown length. A
    /// caller could not tell a response that was broken off from a complete one.
    pub fn check_version(version: Version) -> Result<(), Self> {
        match version >= Version::HTTP_11 {
            true => Ok(()),
            false => {
                let message = format!("Failed to accept {version:?}: want HTTP/1.1 or newer");
                Err(Self::not_run(505, "http-version", message))
            }
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }

    /// Creates the refusal for a run that failed with the given status and code.
    pub fn from_run(status: RunStatus, code: FailureCode, message: &str) -> Self {
        let (http_status, name) = match code {
            FailureCode::NotClaimed | FailureCode::NotServing => (503, "not-serving"),
            FailureCode::TargetUnreachable => (503, "target-unreachable"),
            FailureCode::TargetLost | FailureCode::TargetCrashed(_) => (502, "target-lost"),
            FailureCode::TargetBusy => (503, "target-busy"),
            FailureCode::BufferLost => (502, "response-lost"),
            FailureCode::DeadlinePassed => (504, "deadline-passed"),
            FailureCode::Cancelled => (499, "cancelled"),
            FailureCode::BadMessage => (502, "bad-message"),
        };
        let refusal = Self::unknown(http_status, name, message);
        match status {
            RunStatus::NotRun => Self {
                outcome: RequestOutcome::NotRun,
                ..refusal
            }
            .retry_after(Duration::from_secs(1)),
            RunStatus::Ended => Self {
                outcome: RequestOutcome::Ran,
                ..refusal
            },
            RunStatus::Running | RunStatus::Unknown => refusal,
        }
    }

    /// Body of the HTTP response, as JSON.
    pub fn body(&self) -> String {
        json!({"error": {"code": self.code, "message": self.message}}).to_string()
    }
}
