//! Writes of the driver, and what it does while the disk refuses them.
//!
//! A disk that is full takes no write for a while and has lost nothing, so the process keeps running
//! and writes the same batch again until the disk takes it. Nothing that depends on the batch is sent
//! before. If the log has applied entries, they are replaced by a snapshot first, for which the store
//! keeps room, so that the log itself does not keep the disk full. A leader hands over meanwhile; until
//! then, it can still commit entries that a majority of the others has written. Any other node takes no
//! part in the group, since what it received would only accumulate.

use std::time::Duration;

use eyre::{Report, Result, WrapErr};
use raft::NodeRole;
use store::StoreError;
use telemetry::{event, events};
use units::ClockTime;

use super::RaftDriver;
use crate::driver_event::{DriverEvent, ProposeFailure};

/// Delay between attempts to write a batch that the disk refuses.
pub(crate) const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval between log lines while the disk refuses writes.
const FAULT_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A disk that refuses writes.
#[derive(Debug)]
pub(super) struct WriteFault {
    since: ClockTime,
    attempted_at: ClockTime,
    logged_at: ClockTime,
}

/// Whether an error tells that the disk refuses writes for now.
pub(crate) fn is_refused_write(error: &Report) -> bool {
    let error = error.downcast_ref::<StoreError>();
    error.is_some_and(StoreError::is_refused_write)
}

impl RaftDriver {
    /// Writes the pending batches and runs the actions that depend on them. Batches that the disk
    /// refuses stay pending.
    pub(super) fn flush(&mut self) -> Result<()> {
        if !self.is_write_due(self.clock.now()) {
            return Ok(());
        }
        while let Some((_, batch)) = self.pending_batches.front() {
            let written = match self.store.persist(batch) {
                Err(refusal) if refusal.is_out_of_room() => self.write_snapshot_first(refusal),
                written => written,
            };
            if !self.check_written(written, "Failed to write a batch to the log")? {
                return self.hand_over_leadership();
            }
            let Some((id, _)) = self.pending_batches.pop_front() else {
                return Ok(());
            };
            let now = self.clock.now();
            let actions = self.node.handle_persisted(id, now);
            self.run_actions(actions)?;
        }
        Ok(())
    }

    /// Writes all pending batches with a snapshot before their entries, so that it frees the room of the
    /// log that it replaces. Returns the refusal if there is nothing to replace.
    fn write_snapshot_first(&mut self, refusal: StoreError) -> Result<(), StoreError> {
        self.compact_for_room();
        let batches = self.pending_batches.iter().map(|(_, batch)| batch);
        let (Some((id, _)), Some(merged)) =
            (self.pending_batches.back(), self.store.merge(batches))
        else {
            return Err(refusal);
        };
        let id = *id;
        let written = self.store.persist(&merged);
        // Once the snapshot is written, the entries that it contains can no longer be.
        let snapshot = merged.snapshot.as_ref().map(|snapshot| snapshot.last);
        if written.is_ok() || snapshot == Some(self.store.snapshot()) {
            self.pending_batches = [(id, merged)].into();
        }
        if written.is_ok() {
            event!(
                events::LOG_SHRUNK,
                log_bytes = self.store.log_bytes(),
                reserve_bytes = self.store.reserve_bytes()
            );
        }
        written
    }

    /// Whether a write may be attempted.
    pub(super) fn is_write_due(&self, now: ClockTime) -> bool {
        let fault = self.write_fault.as_ref();
        fault.is_none_or(|fault| now.since(fault.attempted_at) >= WRITE_RETRY_DELAY)
    }

    /// Returns whether a write was successful, or an error if it can't be tried again.
    pub(super) fn check_written(
        &mut self,
        result: Result<(), StoreError>,
        message: &'static str,
    ) -> Result<bool> {
        let now = self.clock.now();
        match result {
            Ok(()) => {
                if let Some(fault) = self.write_fault.take() {
                    let refused_ms = now.since(fault.since).as_millis();
                    event!(events::DISK_WRITABLE, refused_ms = refused_ms);
                }
                Ok(true)
            }
            Err(error) if error.is_refused_write() => {
                self.record_fault(&error, now);
                Ok(false)
            }
            Err(error) => Err(error).wrap_err(message),
        }
    }

    fn record_fault(&mut self, error: &StoreError, now: ClockTime) {
        let earlier = self.write_fault.take();
        let since = earlier.as_ref().map_or(now, |fault| fault.since);
        let logged_at = earlier
            .map(|fault| fault.logged_at)
            .filter(|logged_at| now.since(*logged_at) < FAULT_LOG_INTERVAL);
        if logged_at.is_none() {
            let refused_ms = now.since(since).as_millis();
            event!(
                events::DISK_REFUSED,
                error = error,
                refused_ms = refused_ms,
                log_bytes = self.store.log_bytes(),
                role = ?self.node.status().role
            );
        }
        self.write_fault = Some(WriteFault {
            since,
            attempted_at: now,
            logged_at: logged_at.unwrap_or(now),
        });
    }

    /// Asks another voter to lead. A transfer that does not succeed in time is abandoned by the Raft
    /// node, and asked for again with the next attempt to write.
    fn hand_over_leadership(&mut self) -> Result<()> {
        let now = self.clock.now();
        match self.node.transfer_leadership(now) {
            Ok(actions) => self.run_actions(actions),
            // The node does not lead, a transfer is under way, or there is no other voter.
            Err(_) => Ok(()),
        }
    }

    /// Whether this node takes no part in the group, because its disk refuses what must be written
    /// before anything else.
    pub(super) fn is_paused(&self) -> bool {
        let is_waiting = !self.pending_batches.is_empty() || self.is_rejoining;
        is_waiting && self.write_fault.is_some() && self.node.status().role != NodeRole::Leader
    }

    /// Handles an event while this node takes no part in the group.
    pub(super) fn handle_paused(&mut self, event: DriverEvent, now: ClockTime) -> Result<()> {
        match event {
            DriverEvent::Tick => self.handle_paused_tick(now),
            DriverEvent::Propose { reply, .. } => {
                // The receiver is dropped if the request timed out.
                let _ = reply.send(Err(ProposeFailure::NotLeader));
                Ok(())
            }
            DriverEvent::Confirm { reply } => {
                let _ = reply.send(false);
                Ok(())
            }
            DriverEvent::Announce { name, announcement } => {
                self.handle_announcement(name, announcement, now)
            }
            DriverEvent::Leave => {
                self.announce_leaving();
                Ok(())
            }
            DriverEvent::Message { .. }
            | DriverEvent::FolderRemoved(_)
            | DriverEvent::TransferLeadership
            | DriverEvent::Stop => Ok(()),
        }
    }

    /// The refused batch is written with the flush after the tick, and a refused replacement of the
    /// folder is continued here.
    fn handle_paused_tick(&mut self, now: ClockTime) -> Result<()> {
        match self.is_rejoining && self.is_write_due(now) {
            true => self.rejoin_with_empty_folder(),
            false => Ok(()),
        }
    }
}
