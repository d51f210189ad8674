//! One voter or learner of the group.

use units::{ClockTime, DiskId};

use crate::{
    LogIndex, MemberChange, Membership, PersistedState, ProposeError, RaftAction, RaftMessage,
    RaftSettings, Term,
};

/// Present role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Receives the log from a leader, or waits for one.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Accepts proposals.
    Leader,
}

/// What a node knows about the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// Id of the node.
    pub id: DiskId,
    /// Its role.
    pub role: NodeRole,
    /// Its term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<DiskId>,
    /// Last index of its log.
    pub last: LogIndex,
    /// Last index known to be committed; everything up to it was returned as `Apply` or `Restore`.
    pub commit: LogIndex,
    /// Last index of its newest snapshot.
    pub snapshot: LogIndex,
    /// Newest members in its log, committed or not.
    pub membership: Membership,
    /// The node knows that it was removed and must not be restarted with this disk.
    pub removed: bool,
}

/// One voter or learner of the group.
#[derive(Debug)]
pub struct RaftNode {
    id: DiskId,
}

impl RaftNode {
    /// Starts a node from what its disk holds.
    pub fn new(
        id: DiskId,
        _state: PersistedState,
        _settings: RaftSettings,
        _seed: u64,
        _now: ClockTime,
    ) -> Self {
        Self { id }
    }

    /// Handles timeouts.
    pub fn tick(&mut self, _now: ClockTime) -> Vec<RaftAction> {
        Vec::new()
    }

    /// Handles a message.
    pub fn receive(
        &mut self,
        _from: DiskId,
        _message: RaftMessage,
        _now: ClockTime,
    ) -> Vec<RaftAction> {
        Vec::new()
    }

    /// Appends a command on the leader and returns its index. It is committed only once it is
    /// returned by `Apply` with the same index and the term of the proposal.
    pub fn propose(
        &mut self,
        _command: Vec<u8>,
        _now: ClockTime,
    ) -> Result<(LogIndex, Vec<RaftAction>), ProposeError> {
        Err(ProposeError::NotLeader { leader: None })
    }

    /// All batches up to and including this id are synced to disk.
    pub fn persisted(&mut self, _id: u64, _now: ClockTime) -> Vec<RaftAction> {
        Vec::new()
    }

    /// Asks for a confirmation that the applied state is the newest one.
    pub fn barrier(&mut self, _id: u64, _now: ClockTime) -> Vec<RaftAction> {
        Vec::new()
    }

    /// Changes one member, on the leader.
    pub fn change_member(
        &mut self,
        _change: MemberChange,
        _now: ClockTime,
    ) -> Result<Vec<RaftAction>, ProposeError> {
        Err(ProposeError::NotLeader { leader: None })
    }

    /// Hands leadership to the voter with the longest log, before a planned stop. Proposals are
    /// refused meanwhile; the leader goes on if the transfer fails within an election timeout.
    pub fn transfer_leadership(
        &mut self,
        _now: ClockTime,
    ) -> Result<Vec<RaftAction>, ProposeError> {
        Err(ProposeError::NoSuccessor)
    }

    /// Replaces the log up to an applied index with a snapshot of the state at that index.
    /// Ignored if the index is not applied yet or a newer snapshot exists.
    pub fn compact(&mut self, _index: LogIndex, _snapshot: Vec<u8>) {}

    /// What the node knows about the group.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            id: self.id,
            role: NodeRole::Follower,
            term: Term(0),
            leader: None,
            last: LogIndex(0),
            commit: LogIndex(0),
            snapshot: LogIndex(0),
            membership: Membership::default(),
            removed: false,
        }
    }
}
