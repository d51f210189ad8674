//! Forms the group, changes its members, and lets a removed node rejoin.

use std::collections::BTreeSet;

use eyre::Result;
use raft::{LogIndex, Membership, NodeRole, PersistedState, ProposeError, RaftNode, Term};
use registry::RegistryAction;
use store::StoreError;
use telemetry::{event, events};
use units::{ClockTime, DiskId};

use super::RaftDriver;
use super::disk::is_refused_write;
use crate::formation::bootstrap_members;
use crate::members::{MemberStep, MemberView, next_step, replace_timeout};
use crate::quorum::QuorumReport;
use crate::state::DriverView;

impl RaftDriver {
    /// Forms the group if all configured nodes are present and empty.
    pub(super) fn try_form_group(&mut self, now: ClockTime) -> Result<()> {
        let status = self.node.status();
        // A leader has contacted this node, so a group exists and the node joins that one instead.
        if status.last_index > LogIndex(0)
            || status.term > Term(0)
            || !self.pending_batches.is_empty()
        {
            self.view
                .write_quietly(|view| view.announcement.is_empty = false);
            return Ok(());
        }
        if !self.is_write_due(now) {
            return Ok(());
        }
        let members = self
            .view
            .read(|view| bootstrap_members(&view.announcement, &view.peers, now));
        let Some(members) = members else {
            return Ok(());
        };
        let state = PersistedState::bootstrap(members.clone());
        let written = self.store.persist(&state.to_batch());
        if !self.check_written(written, "Failed to write the first log entry of the group")? {
            return Ok(());
        }
        let id = self.store.id();
        self.node = RaftNode::new(id, state, self.settings.raft.clone(), rand::random(), now);
        event!(events::GROUP_FORMED, members = members.len());
        self.view.write(|view| {
            view.announcement.is_empty = false;
            view.announcement.initial_members = Some(members);
        });
        Ok(())
    }

    /// Handles the notice that the group has removed this data folder. A leaving node has given its
    /// seat to a learner. Any other node joins again.
    pub(super) fn handle_removed_folder(&mut self) -> Result<()> {
        if self.view.read(|view| view.announcement.is_leaving) {
            self.view.write(|view| view.has_left = true);
            return Ok(());
        }
        self.rejoin_with_empty_folder()
    }

    /// Clears the data folder and rejoins the group under a new id, after the old id was removed.
    pub(super) fn rejoin_with_empty_folder(&mut self) -> Result<()> {
        if !std::mem::replace(&mut self.is_rejoining, true) {
            event!(events::FOLDER_REPLACED, id = self.store.id());
            // They belong to the old folder.
            self.pending_batches.clear();
        }
        if let Err(error) = self.store.clear() {
            self.check_written(Err(error), "Failed to clear the data folder")?;
            return Ok(());
        }
        let address = self.view.read(|view| view.announcement.address);
        let (settings, files) = (self.settings.clone(), self.files.clone());
        let (clock, peers) = (self.clock.clone(), self.peers.clone());
        let mut fresh = match Self::open(settings, files, clock, peers, address) {
            Ok(fresh) => fresh,
            Err(error) if is_refused_write(&error) => {
                let refused = error.downcast::<StoreError>()?;
                self.check_written(Err(refused), "Failed to create the data folder")?;
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        let (announcement, status) = fresh
            .view
            .read(|view| (view.announcement.clone(), view.status.clone()));
        self.check_written(Ok(()), "Failed to create the data folder")?;
        // Keep the existing board, so that its holders see the state of the new folder.
        self.view.write(|view| {
            let peers = std::mem::take(&mut view.peers);
            *view = DriverView {
                peers,
                ..DriverView::empty(announcement, status)
            };
        });
        fresh.view = self.view.clone();
        *self = fresh;
        Ok(())
    }

    /// Makes the next membership change if this node is the leader and a change is due.
    pub(super) fn change_members(&mut self, now: ClockTime) -> Result<()> {
        let status = self.node.status();
        if status.role != NodeRole::Leader || self.is_transferring {
            return Ok(());
        }
        let own = (status.id, &self.settings.name);
        let configured_names = self.settings.configured_names();
        let listening_since = self.listening_time.since();
        let replace_timeout = replace_timeout(self.settings.catch_up_time);
        let max_lag = self.settings.raft.max_election_timeout;
        let members = self.node.member_progress().into_iter();
        let lagging = members.filter(|member| member.lag >= max_lag);
        let thresholds = &mut self.promotion_thresholds;
        thresholds.set_lagging(lagging.map(|member| member.id));
        let step = self.view.read(|view| {
            let recorded_names = view.registry.controls();
            let members = &status.membership;
            let view = MemberView {
                own,
                own_data_centre: view.announcement.data_centre.as_ref(),
                configured_names: &configured_names,
                peers: &view.peers,
                membership: members,
                recorded_names,
                commit_index: status.commit_index,
                listening_since,
                replace_timeout,
                now,
            };
            next_step(&view, thresholds)
        });
        match step {
            None => Ok(()),
            Some(MemberStep::RecordName(id, name)) => {
                self.propose(RegistryAction::Control { id, name }, None, now)
            }
            Some(MemberStep::Change(change)) => {
                // A change is refused while another one is uncommitted or the learner lags behind.
                // The same step is tried again at the next read barrier.
                let (text, id) = (format!("{change:?}"), change.id());
                match self.node.change_member(change, now) {
                    Ok(actions) => {
                        self.log_member_change(&text, id, now);
                        self.run_actions(actions)
                    }
                    Err(error) => {
                        // A learner that has just received the log acknowledges it within a round trip.
                        self.are_members_due |= matches!(error, ProposeError::LearnerBehind { .. });
                        Ok(())
                    }
                }
            }
        }
    }

    fn log_member_change(&self, change: &str, id: DiskId, now: ClockTime) {
        let members = self.node.status().membership;
        let report = self
            .view
            .read(|view| QuorumReport::new(view, &self.settings.name, now));
        event!(
            events::MEMBER_CHANGED,
            change = change,
            name = self.member_text(id),
            voters = self.members_text(&members.voters),
            learners = self.members_text(&members.learners),
            absent = report.absent_text()
        );
    }

    /// Logs a committed change of the members.
    pub(super) fn log_members(&self, members: &Membership) {
        event!(
            events::MEMBERS_APPLIED,
            voters = self.members_text(&members.voters),
            learners = self.members_text(&members.learners)
        );
    }

    fn members_text(&self, ids: &BTreeSet<DiskId>) -> String {
        let texts: Vec<String> = ids.iter().map(|id| self.member_text(*id)).collect();
        texts.join(", ")
    }

    /// Recorded name of a member, or the id of its data folder.
    pub(super) fn member_text(&self, id: DiskId) -> String {
        let name = self
            .view
            .read(|view| view.registry.controls().get(&id).cloned());
        name.map_or_else(|| id.to_string(), |name| name.to_string())
    }
}
