//! Roll-outs of software versions: the version that runs a request, and what each version answers.

use std::time::Duration;

use cadence::prelude::*;
use http::StatusCode;
use place::{PlacementRequest, RequiredVersion, VersionRule};
use rollout::{RolloutPlan, RunStart, SelectedVersion, VersionAnswer, VersionChoice, VersionRun};
use telemetry::{event, events};
use tokio::time::Instant;
use units::ServiceName;
use wire::{FlowKey, RolloutCounts};

use crate::places::{PlacementError, RunGuard, start_run, try_start_run};
use crate::state::{RelayShared, RelayState};

/// Answer of a version under roll-out, reported when it is dropped.
pub(crate) struct VersionSample {
    shared: RelayShared,
    run: VersionRun,
    sent_at: Instant,
    /// Time at which a missing response is a failure, not one that the caller did not await.
    deadline: Option<Instant>,
    /// Longest wait for a part of a streamed response; `None` for a response that is not streamed.
    longest_pause: Option<Duration>,
    answer: Option<VersionAnswer>,
}

impl VersionSample {
    /// Sets the time at which a missing response is a failure.
    pub(crate) fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Records the first byte of the response.
    pub(crate) fn record_first_byte(&self) {
        let now = self.shared.now();
        self.shared
            .board
            .write_quietly(|state| state.rollouts.record_first_byte(&self.run, now));
    }

    /// Records the wait for the next part of a streamed response.
    pub(crate) fn record_pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(Some(pause));
    }

    /// Records a complete response.
    pub(crate) fn record_response(&mut self, status: StatusCode) {
        let longest = self.longest_pause.unwrap_or(self.sent_at.elapsed());
        self.answer = Some(match status.is_server_error() {
            true => VersionAnswer::Failed,
            false => VersionAnswer::Answered { longest },
        });
    }

    /// Records a broken, malformed or missing response.
    pub(crate) fn record_failure(&mut self) {
        self.answer = Some(VersionAnswer::Failed);
    }

    /// Records that the result says nothing about the version.
    pub(crate) fn ignore(&mut self) {
        self.answer = Some(VersionAnswer::Ignored);
    }
}

impl Drop for VersionSample {
    fn drop(&mut self) {
        let has_timed_out = self
            .deadline
            .is_some_and(|deadline| Instant::now() >= deadline);
        let answer = self.answer.unwrap_or(match has_timed_out {
            true => VersionAnswer::Failed,
            false => VersionAnswer::Ignored,
        });
        let now = self.shared.now();
        self.shared
            .board
            .write_quietly(|state| state.rollouts.end_run(&self.run, answer, now));
    }
}

/// A request for a target whose version depends on a roll-out.
pub(crate) struct VersionedRequest<'a> {
    pub(crate) shared: &'a RelayShared,
    pub(crate) flow: &'a FlowKey,
    /// Requirements without those of the roll-out.
    pub(crate) placement: &'a PlacementRequest,
    /// Hash of the route's name.
    pub(crate) route: u64,
    pub(crate) is_first_attempt: bool,
    pub(crate) is_continued: bool,
    /// Whether a quorum has confirmed the configuration recently.
    pub(crate) is_confirmed: bool,
}

impl VersionedRequest<'_> {
    /// Starts a run at a target whose version may run the request; waits until `deadline` if none
    /// of them has capacity.
    pub(crate) async fn start_run(&self, deadline: Instant) -> Result<RunGuard, PlacementError> {
        let mut is_first_choice = self.is_first_attempt;
        loop {
            let service = &self.placement.service;
            let choice = self.shared.board.write_quietly(|state| {
                let is_first = std::mem::take(&mut is_first_choice) && !self.is_continued;
                state.rollouts.choose(service, self.is_confirmed, is_first)
            });
            let Some(choice) = choice else {
                return self.wait(self.placement.clone(), deadline).await;
            };
            let (run_guard, is_canary) = self.place(choice, deadline).await?;
            if let Some(run_guard) = self.begin(run_guard, is_canary) {
                return Ok(run_guard);
            }
            // The roll-out has moved on during the wait.
            if self.is_continued {
                return Err(PlacementError::NoTarget);
            }
            if Instant::now() >= deadline {
                return Err(PlacementError::Full);
            }
        }
    }

    /// Places the request by a choice. Returns the run, and whether it is at a canary target.
    async fn place(
        &self,
        choice: VersionChoice,
        deadline: Instant,
    ) -> Result<(RunGuard, bool), PlacementError> {
        if self.is_continued {
            let run_guard = self.wait(self.placement.clone(), deadline).await?;
            return Ok((run_guard, false));
        }
        let with_excluded = |excluded| PlacementRequest {
            version: VersionRule {
                excluded,
                ..self.placement.version.clone()
            },
            ..self.placement.clone()
        };
        match choice {
            VersionChoice::Canary {
                version,
                share_permille,
                old,
                excluded,
            } => {
                let service = &self.placement.service;
                let old_targets = self
                    .shared
                    .board
                    .read(|state| state.table.serving_versions(service, &old));
                let canary = PlacementRequest {
                    version: VersionRule {
                        required: RequiredVersion::Only(version),
                        max_targets: Some(RolloutPlan::canary_targets(share_permille, old_targets)),
                        ..VersionRule::default()
                    },
                    ..self.placement.clone()
                };
                // A request does not wait for a canary target.
                if let Some(run_guard) = try_start_run(self.shared, self.flow, &canary) {
                    let _ = self.shared.metrics.incr("rollouts.canary");
                    return Ok((run_guard, true));
                }
                let run_guard = self.wait(with_excluded(excluded), deadline).await?;
                Ok((run_guard, false))
            }
            VersionChoice::Without {
                excluded,
                forbidden,
            } => {
                let has_fallback = excluded != forbidden;
                let placed = self.wait(with_excluded(excluded), deadline).await;
                let placed = match placed {
                    Err(PlacementError::NoTarget) if has_fallback => {
                        self.wait(with_excluded(forbidden), deadline).await
                    }
                    placed => placed,
                };
                Ok((placed?, false))
            }
        }
    }

    async fn wait(
        &self,
        placement: PlacementRequest,
        deadline: Instant,
    ) -> Result<RunGuard, PlacementError> {
        start_run(self.shared, self.flow, placement, deadline).await
    }

    /// Counts a run. Returns `None`, and ends it, if the roll-out does not allow its version.
    fn begin(&self, mut run_guard: RunGuard, is_canary: bool) -> Option<RunGuard> {
        let now = self.shared.now();
        let started = self.shared.board.write_quietly(|state| {
            let target = state.table.target(run_guard.run)?;
            let selected = SelectedVersion {
                route: self.route,
                version: target.info.version.as_ref(),
                is_canary,
                is_continued: self.is_continued,
                is_cold: target.is_cold(),
            };
            let service = &target.info.service;
            Some(state.rollouts.begin_run(service, &selected, now))
        });
        match started {
            // The send finds that the target is gone.
            None | Some(RunStart::Untracked) => {}
            Some(RunStart::Refused) => return None,
            Some(RunStart::Tracked(run)) => {
                run_guard.sample = Some(VersionSample {
                    shared: self.shared.clone(),
                    run,
                    sent_at: Instant::now(),
                    deadline: None,
                    longest_pause: None,
                    answer: None,
                });
            }
        }
        Some(run_guard)
    }
}

/// Stops sending to new versions that the entry's own counts show to be bad.
pub(crate) fn stop_bad_versions(shared: &RelayShared) {
    let now = shared.now();
    let stopped: Vec<ServiceName> = shared
        .board
        .write_quietly(|state| state.rollouts.evaluate(now));
    for service in stopped {
        let _ = shared.metrics.incr("rollouts.stopped");
        event!(events::ROLLOUT_STOPPED, service = service);
    }
}

/// Counts on the roll-outs in progress.
pub(crate) fn rollout_counts(state: &RelayState) -> Vec<RolloutCounts> {
    state.rollouts.report(|record| {
        let service = &record.order.service;
        state.table.running_versions(service, &record.old)
    })
}
