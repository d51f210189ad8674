//! What the driver reports: the size of its log, members that do not hold all of it, and a lost
//! leadership.

use std::collections::BTreeMap;
use std::time::Duration;

use raft::{MemberProgress, NodeRole};
use telemetry::{event, events};
use units::{ClockTime, DiskId};

use super::RaftDriver;
use crate::state::LogSize;

/// Lag from which a member is reported as behind. Longer than an election.
const REPORTED_LAG: Duration = Duration::from_secs(1);

/// Interval between log lines about a member that stays behind.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Members that were reported as behind, with the time of the last line.
#[derive(Debug, Default)]
pub(super) struct MemberLags {
    reported: BTreeMap<DiskId, (ClockTime, Duration)>,
}

impl RaftDriver {
    /// Publishes the size of the log for the metrics.
    pub(super) fn publish_log_size(&self) {
        let usage = self.node.log_usage();
        let log_size = LogSize {
            entry_bytes: usage.entry_bytes as u64,
            snapshot_bytes: usage.snapshot_bytes as u64,
            disk_bytes: self.store.log_bytes(),
        };
        self.view.write_quietly(|view| view.log_size = log_size);
    }

    /// Logs the members that have not held the whole log for a while, and those that do again.
    pub(super) fn log_lagging_members(&mut self, now: ClockTime) {
        let members = self.node.member_progress();
        let is_listed = |id: &DiskId| members.iter().any(|member| member.id == *id);
        self.member_lags.reported.retain(|id, _| is_listed(id));
        for member in &members {
            let last = self.member_lags.reported.get(&member.id).copied();
            if member.lag < REPORTED_LAG {
                if let Some((_, lag)) = self.member_lags.reported.remove(&member.id) {
                    event!(
                        events::MEMBER_CAUGHT_UP,
                        name = self.member_text(member.id),
                        lag_ms = lag.as_millis()
                    );
                }
                continue;
            }
            let is_due = last.is_none_or(|(at, _)| now.since(at) >= REPORT_INTERVAL);
            let reported_at = last.filter(|_| !is_due).map_or(now, |(at, _)| at);
            let report = (reported_at, member.lag);
            self.member_lags.reported.insert(member.id, report);
            if is_due {
                event!(
                    events::MEMBER_BEHIND,
                    name = self.member_text(member.id),
                    lag_ms = member.lag.as_millis(),
                    match_index = member.match_index,
                    commit_index = self.node.status().commit_index,
                    missing_bytes = member.missing_bytes,
                    mode = ?member.mode,
                    silence_ms = member.silence.as_millis()
                );
            }
        }
    }

    /// Logs that this node stepped down; `members` is the progress before.
    pub(super) fn log_lost_leadership(&self, members: &[MemberProgress]) {
        if members.is_empty() || self.node.role() == NodeRole::Leader {
            return;
        }
        let texts = members.iter().map(|member| {
            let silence_ms = member.silence.as_millis();
            format!("{}: {silence_ms} ms", self.member_text(member.id))
        });
        event!(
            events::LEADERSHIP_LOST,
            silence = texts.collect::<Vec<_>>().join(", ")
        );
    }
}
