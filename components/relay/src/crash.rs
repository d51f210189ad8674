//! Requests that were at a target when it crashed.
//!
//! A broken connection alone is no sign of a crash: it may have been reset, or the target may have
//! closed it. The process has ended if its address then refuses connections. A target that is leaving
//! is expected to end.

use std::io::ErrorKind;
use std::time::Duration;

use cadence::prelude::*;
use http::response;
use place::ListedTarget;
use quarantine::{BrokenRequest, EndedTarget};
use telemetry::{event, events};
use tokio::net::TcpStream;
use units::ClockTime;
use wire::{FlowId, RequestTrait};

use crate::backend::is_framed;
use crate::state::RelayShared;

/// Time within which an ended process refuses a connection. It is longer than the round trip to
/// other regions.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of requests of a crash whose traits are logged.
const MAX_LOGGED_REQUESTS: usize = 8;

/// A request that was sent to a target.
pub(crate) struct SentRequest {
    pub(crate) shared: RelayShared,
    pub(crate) target: ListedTarget,
    pub(crate) flow: FlowId,
    pub(crate) sent_at: ClockTime,
    /// Whether the request was sent to another target before.
    pub(crate) is_retry: bool,
    pub(crate) traits: Vec<RequestTrait>,
}

impl SentRequest {
    /// Records a complete response, which shows that the target survived the request. Without a length
    /// or chunks, an empty body may also come from a target that crashed.
    pub(crate) fn record_response(&self, head: &response::Parts, has_body: bool) {
        let is_complete = is_framed(head) || has_body;
        if !head.status.is_success() || !is_complete {
            return;
        }
        let now = self.shared.now();
        let service = &self.target.service;
        self.shared
            .board
            .write_quietly(|state| state.crashes.record_success(service, &self.traits, now));
    }

    /// Records that the connection broke before the response was complete.
    pub(crate) fn record_break(&self) {
        let now = self.shared.now();
        let target = EndedTarget {
            name: self.target.name.clone(),
            incarnation: self.target.incarnation,
        };
        let request = BrokenRequest {
            flow: self.flow,
            sent_at: self.sent_at,
            is_retry: self.is_retry,
            traits: self.traits.clone(),
        };
        let is_first = self.shared.board.write_quietly(|state| {
            let listed = state.table.listed(&target.name);
            let is_serving = listed.is_none_or(|listed| listed.is_serving);
            is_serving
                && state
                    .crashes
                    .record_break(&target, &self.target.service, request, now)
        });
        if is_first {
            let (shared, listed) = (self.shared.clone(), self.target.clone());
            tokio::spawn(async move { resolve_break(&shared, &target, &listed).await });
        }
    }
}

/// Finds out whether a process has ended, and logs a crash with the traits of its requests.
async fn resolve_break(shared: &RelayShared, target: &EndedTarget, listed: &ListedTarget) {
    let connecting = TcpStream::connect(listed.address);
    let has_ended = match tokio::time::timeout(REFUSAL_TIMEOUT, connecting).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    };
    let suspects = shared
        .board
        .write_quietly(|state| state.crashes.resolve_break(target, has_ended).to_vec());
    if !has_ended {
        return;
    }
    let _ = shared.metrics.incr("target-crashes");
    let logged = suspects.iter().take(MAX_LOGGED_REQUESTS);
    let traits: Vec<String> = logged.map(describe_traits).collect();
    event!(
        events::TARGET_CRASHED,
        target = target.name,
        incarnation = target.incarnation,
        service = listed.service,
        requests = suspects.len(),
        traits = traits.join("; ")
    );
}

fn describe_traits(request: &BrokenRequest) -> String {
    let traits: Vec<String> = request.traits.iter().map(ToString::to_string).collect();
    traits.join(" ")
}
