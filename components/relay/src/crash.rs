//! Requests that were at a target when it crashed.
//!
//! A failed request alone is no sign of a crash: its connection may have been reset, its caller may
//! have left, or the target may be slow. The process has ended if its address refuses connections, or
//! if the directory no longer lists it, or lists a later process under its name. A target that is
//! leaving is expected to end.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::time::Duration;

use cadence::prelude::*;
use http::StatusCode;
use place::ListedTarget;
use quarantine::{BrokenRequest, EndedTarget, ObservedCrash};
use telemetry::{event, events};
use tokio::net::TcpStream;
use units::{ClockTime, NodeName};
use wire::{FlowId, RequestTrait};

use crate::rollouts::VersionSample;
use crate::state::{RelayShared, RelayState};

/// Time within which an ended process refuses a connection. It is longer than the round trip to
/// other regions.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of requests of a crash whose traits are logged.
const MAX_LOGGED_REQUESTS: usize = 8;

/// Sign that the process of a target has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndSign {
    /// Its address refuses connections.
    Refusal,
    /// It is no longer announced, or a later process under its name is.
    Directory,
}

impl EndSign {
    fn as_str(self) -> &'static str {
        match self {
            Self::Refusal => "refusal",
            Self::Directory => "directory",
        }
    }
}

/// A request that was sent to a target. It has failed there if it is dropped before its response is
/// recorded.
pub(crate) struct SentRequest {
    pub(crate) shared: RelayShared,
    pub(crate) target: ListedTarget,
    pub(crate) flow: FlowId,
    pub(crate) sent_at: ClockTime,
    /// Whether the request was sent to another target before.
    pub(crate) is_retry: bool,
    pub(crate) traits: Vec<RequestTrait>,
    pub(crate) is_settled: bool,
    /// Answer of a version under roll-out.
    pub(crate) sample: Option<VersionSample>,
}

impl SentRequest {
    /// Records that the target has begun to respond, or has refused the request.
    pub(crate) fn record_head(&self) {
        let now = self.shared.now();
        self.shared.board.write_quietly(|state| {
            if state.crashes.has_failures() {
                let target = ended_target(&self.target);
                state.crashes.record_response(&target, self.sent_at, now);
            }
        });
    }

    /// Records the first byte of the response.
    pub(crate) fn record_first_byte(&self) {
        if let Some(sample) = &self.sample {
            sample.record_first_byte();
        }
    }

    /// Records that the target has answered with an error or with a malformed response.
    pub(crate) fn record_bad_answer(&mut self) {
        if let Some(sample) = &mut self.sample {
            sample.record_failure();
        }
    }

    /// Records a complete response, which shows that the target survived the request. Without a known
    /// end, an empty body may also come from a target that crashed, and a server error may be the last
    /// response of one that is about to.
    pub(crate) fn record_response(&mut self, status: StatusCode, is_sure_end: bool) {
        if let Some(sample) = &mut self.sample {
            sample.record_response(status);
        }
        if !is_sure_end || status.is_server_error() {
            return;
        }
        self.is_settled = true;
        if !status.is_success() {
            return;
        }
        let now = self.shared.now();
        let service = &self.target.service;
        self.shared
            .board
            .write_quietly(|state| state.crashes.record_success(service, &self.traits, now));
    }

    /// Records that the request cannot have run at the target.
    pub(crate) fn record_not_run(&mut self) {
        if let Some(sample) = &mut self.sample {
            sample.ignore();
        }
        self.is_settled = true;
    }

    /// Records that the connection broke before the response was complete.
    pub(crate) fn record_break(&mut self) {
        self.record_broken_sample();
        self.record_failure();
        let now = self.shared.now();
        let target = ended_target(&self.target);
        let is_probe_due = self
            .shared
            .board
            .write_quietly(|state| state.crashes.try_probe(&target, now));
        if is_probe_due {
            let (shared, listed) = (self.shared.clone(), self.target.clone());
            tokio::spawn(async move { probe(&shared, &listed).await });
        }
    }

    /// Records a failure of the version, unless the request may have crashed the target.
    fn record_broken_sample(&mut self) {
        let Some(sample) = &mut self.sample else {
            return;
        };
        let service = &self.target.service;
        let is_suspected = |state: &RelayState| state.crashes.is_suspected(service, &self.traits);
        match self.shared.board.read(is_suspected) {
            true => sample.ignore(),
            false => sample.record_failure(),
        }
    }

    fn record_failure(&mut self) {
        self.is_settled = true;
        let now = self.shared.now();
        let target = ended_target(&self.target);
        let request = BrokenRequest {
            flow: self.flow,
            sent_at: self.sent_at,
            is_retry: self.is_retry,
            traits: std::mem::take(&mut self.traits),
        };
        let crash = self.shared.board.write_quietly(|state| {
            let is_suspect = is_serving(state, &target) || state.crashes.has_ended(&target);
            is_suspect
                .then(|| {
                    let service = &self.target.service;
                    state.crashes.record_failure(&target, service, request, now)
                })
                .flatten()
        });
        if let Some(crash) = crash {
            log_crash(&self.shared, &target, EndSign::Directory, &crash);
        }
    }
}

impl Drop for SentRequest {
    fn drop(&mut self) {
        if !self.is_settled {
            self.record_failure();
        }
    }
}

fn ended_target(target: &ListedTarget) -> EndedTarget {
    EndedTarget {
        name: target.name.clone(),
        incarnation: target.incarnation,
    }
}

/// Finds out whether the address of a target refuses connections.
async fn probe(shared: &RelayShared, listed: &ListedTarget) {
    let connecting = TcpStream::connect(listed.address);
    if let Ok(Err(error)) = tokio::time::timeout(REFUSAL_TIMEOUT, connecting).await
        && error.kind() == ErrorKind::ConnectionRefused
    {
        record_refusal(shared, listed);
    }
}

/// Records that the address of a target refuses connections.
pub(crate) fn record_refusal(shared: &RelayShared, listed: &ListedTarget) {
    let target = ended_target(listed);
    if shared.board.read(|state| is_serving(state, &target)) {
        record_end(shared, &target, EndSign::Refusal);
    }
}

/// Whether the process is listed and not expected to end.
fn is_serving(state: &RelayState, target: &EndedTarget) -> bool {
    let listed = state.table.listed(&target.name);
    listed.is_some_and(|listed| listed.is_serving && listed.incarnation == target.incarnation)
}

/// Finds out from the targets that the directory lists now which of those in the table have ended
/// unexpectedly.
pub(crate) fn record_listed(shared: &RelayShared, targets: &[ListedTarget]) {
    let listed: HashMap<&NodeName, &ListedTarget> = targets
        .iter()
        .map(|target| (&target.name, target))
        .collect();
    let is_same = |target: &&ListedTarget| {
        let listed = listed.get(&target.name);
        listed.is_some_and(|listed| listed.incarnation == target.incarnation && listed.is_serving)
    };
    shared.board.write_quietly(|state| {
        for target in targets {
            let known = state.table.listed(&target.name);
            if known.is_none_or(|known| known.incarnation != target.incarnation) {
                state.crashes.record_return(&ended_target(target));
            }
        }
    });
    let changed: Vec<ListedTarget> = shared.board.read(|state| {
        let serving = state
            .table
            .listed_targets()
            .filter(|target| target.is_serving);
        serving.filter(|target| !is_same(target)).cloned().collect()
    });
    for target in &changed {
        let ended = ended_target(target);
        let is_leaving = listed
            .get(&target.name)
            .is_some_and(|listed| listed.incarnation == target.incarnation);
        match is_leaving {
            true => shared
                .board
                .write_quietly(|state| state.crashes.record_leaving(&ended)),
            false => record_end(shared, &ended, EndSign::Directory),
        }
    }
}

/// Records that a process has ended, and logs a crash with the traits of its requests.
fn record_end(shared: &RelayShared, target: &EndedTarget, sign: EndSign) {
    let now = shared.now();
    let crash = shared
        .board
        .write_quietly(|state| state.crashes.record_end(target, now));
    if let Some(crash) = crash {
        log_crash(shared, target, sign, &crash);
    }
}

fn log_crash(shared: &RelayShared, target: &EndedTarget, sign: EndSign, crash: &ObservedCrash) {
    let _ = shared.metrics.incr("target-crashes");
    let logged = crash.suspects.iter().take(MAX_LOGGED_REQUESTS);
    let traits: Vec<String> = logged.map(describe_traits).collect();
    event!(
        events::TARGET_CRASHED,
        target = target.name,
        incarnation = target.incarnation,
        service = crash.service,
        sign = sign.as_str(),
        requests = crash.suspects.len(),
        traits = traits.join("; ")
    );
}

fn describe_traits(request: &BrokenRequest) -> String {
    let traits: Vec<String> = request.traits.iter().map(ToString::to_string).collect();
    traits.join(" ")
}
