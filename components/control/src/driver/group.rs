//! Formation of the group, its members, and the way back of a node that was removed.

use eyre::{Result, WrapErr};
use raft::{LogIndex, NodeRole, PersistedState, RaftNode, Term};
use registry::RegistryAction;
use telemetry::{event, events};
use units::ClockTime;

use super::RaftDriver;
use crate::formation::founders;
use crate::members::{MemberStep, MemberView, next_step};
use crate::state::DriverView;

impl RaftDriver {
    /// Forms the group when all listed nodes are present and empty.
    pub(super) fn form(&mut self, now: ClockTime) -> Result<()> {
        let status = self.node.status();
        // A leader has reached this node, so a group exists and the node joins it.
        if status.last_index > LogIndex(0) || status.term > Term(0) || !self.pending.is_empty() {
            self.view.write_quietly(|view| view.announce.empty = false);
            return Ok(());
        }
        let members = self
            .view
            .read(|view| founders(&view.announce, &view.seen, now));
        let Some(members) = members else {
            return Ok(());
        };
        let state = PersistedState::bootstrap(members.clone());
        self.store
            .persist(&state.to_batch())
            .wrap_err("Failed to write the first entry of the group")?;
        let id = self.store.id();
        self.node = RaftNode::new(id, state, self.settings.raft.clone(), rand::random(), now);
        event!(events::GROUP_FORMED, members = members.len());
        self.view.write(|view| {
            view.announce.empty = false;
            view.announce.founders = Some(members);
        });
        Ok(())
    }

    /// Joins the group again with an empty folder and a new id, after the old id was removed from it.
    pub(super) fn start_over(&mut self) -> Result<()> {
        event!(events::FOLDER_REPLACED, id = self.store.id());
        let folder = self.settings.data.clone();
        self.store
            .clear()
            .wrap_err_with(|| format!("Failed to clear data folder {}", folder.display()))?;
        let address = self.view.read(|view| view.announce.address);
        let (settings, clock) = (self.settings.clone(), self.clock.clone());
        let mut fresh = Self::open(settings, clock, self.peers.clone(), address)?;
        let (announce, status) = fresh
            .view
            .read(|view| (view.announce.clone(), view.status.clone()));
        // Whoever holds the view sees the state of the new folder from here on.
        self.view.write(|view| {
            let seen = std::mem::take(&mut view.seen);
            *view = DriverView {
                seen,
                ..DriverView::empty(announce, status)
            };
        });
        fresh.view = self.view.clone();
        *self = fresh;
        Ok(())
    }

    /// Makes the next membership change, if this node leads and one is due.
    pub(super) fn change_members(&mut self, now: ClockTime) -> Result<()> {
        let status = self.node.status();
        if status.role != NodeRole::Leader || self.transferring {
            return Ok(());
        }
        let own = (status.id, &self.settings.name);
        let listed = self.settings.listed();
        let since = self.started;
        let targets = &mut self.targets;
        let step = self.view.read(|view| {
            let names = view.registry.controls();
            let members = &status.membership;
            let view = MemberView {
                own,
                listed: &listed,
                seen: &view.seen,
                membership: members,
                names,
                commit: status.commit_index,
                since,
                now,
            };
            next_step(&view, targets)
        });
        match step {
            None => Ok(()),
            Some(MemberStep::Record(id, name)) => {
                self.propose(RegistryAction::Control { id, name }, None, now)
            }
            Some(MemberStep::Change(change)) => {
                // A refusal means that another change is not committed yet or the learner is
                // behind; the step comes up again at the next barrier.
                let text = format!("{change:?}");
                match self.node.change_member(change, now) {
                    Ok(actions) => {
                        event!(events::MEMBER_CHANGED, change = %text);
                        self.carry_out(actions)
                    }
                    Err(_) => Ok(()),
                }
            }
        }
    }
}
