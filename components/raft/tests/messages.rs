//! Replies of a single node to handcrafted messages.

mod support;

use raft::{
    AppendOutcome, EntryId, EntryPayload, LogEntry, LogIndex, MemberChange, Membership, NodeRole,
    PersistedState, ProposeError, RaftAction, RaftMessage, RaftNode, RaftSettings, SnapshotChunk,
    Term,
};
use support::ids;
use units::{ClockTime, DiskId};

const A: DiskId = DiskId(1);
const B: DiskId = DiskId(2);
const C: DiskId = DiskId(3);

fn node(id: DiskId, seed: u64) -> RaftNode {
    let state = PersistedState::bootstrap(ids(3));
    RaftNode::new(id, state, RaftSettings::default(), seed, ClockTime(0))
}

fn sent_messages(actions: &[RaftAction]) -> Vec<&RaftMessage> {
    let messages = actions.iter().filter_map(|action| match action {
        RaftAction::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

fn batch_ids(actions: &[RaftAction]) -> Vec<u64> {
    let ids = actions.iter().filter_map(|action| match action {
        RaftAction::Persist { id, .. } => Some(*id),
        _ => None,
    });
    ids.collect()
}

fn bootstrap_entry_id() -> EntryId {
    EntryId {
        index: LogIndex(1),
        term: Term(1),
    }
}

fn heartbeat(term: u64, round: u64) -> RaftMessage {
    RaftMessage::Append {
        term: Term(term),
        prev: bootstrap_entry_id(),
        entries: Vec::new(),
        commit_index: LogIndex(0),
        round,
    }
}

fn noop_entry(term: u64) -> LogEntry {
    let id = EntryId {
        index: LogIndex(2),
        term: Term(term),
    };
    LogEntry {
        id,
        payload: EntryPayload::Noop,
    }
}

/// Returns node A as leader of term 2 before its first commit, and the actions of its election.
fn elect_leader() -> (RaftNode, Vec<RaftAction>) {
    let mut node = node(A, 1);
    let now = ClockTime(1000);
    node.tick(now);
    let granted = RaftMessage::PreVoteReply {
        term: Term(2),
        granted: true,
    };
    let actions = node.handle_message(B, granted, now);
    assert_eq!(
        sent_messages(&actions).len(),
        0,
        "the own vote must be durable before votes are requested"
    );
    let actions = node.handle_persisted(batch_ids(&actions)[0], now);
    assert_eq!(sent_messages(&actions).len(), 2);
    let actions = node.handle_message(
        B,
        RaftMessage::VoteReply {
            term: Term(2),
            granted: true,
        },
        now,
    );
    assert_eq!(node.status().role, NodeRole::Leader);
    (node, actions)
}

/// Returns node A as leader of term 2. B has acknowledged its log but replied to no heartbeat
/// round.
fn leader() -> RaftNode {
    let (mut node, actions) = elect_leader();
    let now = ClockTime(1000);
    node.handle_message(B, accepted_reply(2, 0), now);
    assert_eq!(
        node.status().commit_index,
        LogIndex(0),
        "the own log counts only when it is synced"
    );
    node.handle_persisted(batch_ids(&actions)[0], now);
    assert_eq!(node.status().commit_index, LogIndex(2));
    node
}

fn accepted_reply(match_index: u64, round: u64) -> RaftMessage {
    let outcome = AppendOutcome::Accepted {
        match_index: LogIndex(match_index),
    };
    RaftMessage::AppendReply {
        term: Term(2),
        round,
        outcome,
    }
}

fn is_barrier_confirmed(actions: &[RaftAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, RaftAction::BarrierDone { .. }))
}

/// Guards against a commit or election that a crash of the leader would undo, because the leader
/// counted its own log or vote before the batch was synced.
#[test]
fn leader_counts_itself_only_after_its_batch_is_synced() {
    leader();
}

/// Guards against a vote or acknowledgement that is sent before its batch is synced.
#[test]
fn replies_are_held_back_until_the_batch_is_synced() {
    let mut node = node(B, 2);
    let now = ClockTime(100);
    let vote = RaftMessage::Vote {
        term: Term(2),
        last: bootstrap_entry_id(),
        transfer: false,
    };
    let vote_actions = node.handle_message(A, vote, now);
    assert_eq!(sent_messages(&vote_actions).len(), 0);
    let newest_id = *batch_ids(&vote_actions)
        .last()
        .expect("the vote is persisted");
    let released_actions = node.handle_persisted(newest_id, now);
    assert_eq!(
        sent_messages(&released_actions),
        [&RaftMessage::VoteReply {
            term: Term(2),
            granted: true
        }]
    );

    let append = RaftMessage::Append {
        term: Term(2),
        prev: bootstrap_entry_id(),
        entries: vec![noop_entry(2)],
        commit_index: LogIndex(0),
        round: 1,
    };
    let append_actions = node.handle_message(A, append, now);
    assert_eq!(sent_messages(&append_actions).len(), 0);
    let released_actions = node.handle_persisted(batch_ids(&append_actions)[0], now);
    assert_eq!(sent_messages(&released_actions), [&accepted_reply(2, 1)]);
}

/// Guards against votes for two candidates in a term, with a restart between them.
#[test]
fn vote_is_kept_across_a_restart() {
    let mut state = PersistedState::bootstrap(ids(3));
    state.hard_state.term = Term(2);
    state.hard_state.vote = Some(A);
    let mut node = RaftNode::new(B, state, RaftSettings::default(), 3, ClockTime(0));
    let vote = RaftMessage::Vote {
        term: Term(2),
        last: bootstrap_entry_id(),
        transfer: false,
    };
    let other_candidate = node.handle_message(C, vote.clone(), ClockTime(100));
    let same_candidate = node.handle_message(A, vote, ClockTime(100));
    assert_eq!(
        sent_messages(&other_candidate),
        [&RaftMessage::VoteReply {
            term: Term(2),
            granted: false
        }]
    );
    assert_eq!(
        sent_messages(&same_candidate),
        [&RaftMessage::VoteReply {
            term: Term(2),
            granted: true
        }]
    );
}

/// Guards against a stale read. A follower in a newer term used to return the round number of a
/// message that the sender had sent as leader of an earlier term. The sender, leader again in the
/// newer term, counted this as a reply to its current round.
#[test]
fn reply_to_a_message_of_an_old_term_confirms_no_round() {
    let mut follower = node(B, 4);
    let now = ClockTime(100);
    let actions = follower.handle_message(A, heartbeat(2, 1), now);
    follower.handle_persisted(
        *batch_ids(&actions).last().expect("the term is persisted"),
        now,
    );
    let late_actions = follower.handle_message(A, heartbeat(1, 7), now);
    let reply = sent_messages(&late_actions)[0].clone();
    assert!(matches!(
        reply,
        RaftMessage::AppendReply { term: Term(2), .. }
    ));

    let mut leader = leader();
    let now = ClockTime(1100);
    let request_actions = leader.request_barrier(1, now);
    let reply_actions = leader.handle_message(B, reply, now);
    assert!(!is_barrier_confirmed(&request_actions) && !is_barrier_confirmed(&reply_actions));
    assert!(is_barrier_confirmed(&leader.handle_message(
        B,
        accepted_reply(2, 1),
        now
    )));
}

/// Guards against a stale read after a restart, when the reply to a barrier of the earlier process
/// confirms one of the new process.
#[test]
fn barrier_reply_to_an_earlier_process_confirms_nothing() {
    let request = |seed| {
        let mut node = node(B, seed);
        let now = ClockTime(100);
        let actions = node.handle_message(A, heartbeat(1, 1), now);
        assert_eq!(
            batch_ids(&actions),
            [],
            "a heartbeat of the known term persists nothing"
        );
        let nonce = match sent_messages(&node.request_barrier(1, now))[..] {
            [RaftMessage::Barrier { nonce }] => *nonce,
            ref other => panic!("unexpected messages: {other:?}"),
        };
        (node, nonce)
    };
    let (_, old_nonce) = request(1);
    let (mut node, new_nonce) = request(2);
    let reply = |nonce| RaftMessage::BarrierReply {
        nonce,
        index: Some(LogIndex(0)),
    };
    assert!(!is_barrier_confirmed(&node.handle_message(
        A,
        reply(old_nonce),
        ClockTime(110)
    )));
    assert!(is_barrier_confirmed(&node.handle_message(
        A,
        reply(new_nonce),
        ClockTime(120)
    )));
}

/// Guards against two concurrent membership changes without a common majority: an uncommitted one
/// of an earlier leader, and one of a new leader that does not yet know whether the first is
/// committed.
#[test]
fn new_leader_refuses_membership_changes_before_its_first_commit() {
    let (mut node, _) = elect_leader();
    let change = MemberChange::AddLearner(DiskId(9));
    let refusal = node.change_member(change, ClockTime(1000));
    assert_eq!(refusal, Err(ProposeError::NotReady));
}

/// Guards against a candidate that deposes a working leader with a pre-vote or a vote.
#[test]
fn follower_with_an_active_leader_votes_only_for_a_transfer() {
    let mut node = node(B, 5);
    node.handle_message(A, heartbeat(1, 1), ClockTime(100));
    let vote = |transfer| RaftMessage::Vote {
        term: Term(2),
        last: bootstrap_entry_id(),
        transfer,
    };
    let pre_vote = RaftMessage::PreVote {
        term: Term(2),
        last: bootstrap_entry_id(),
    };
    let reply = node.handle_message(C, pre_vote, ClockTime(500));
    let refusal = RaftMessage::PreVoteReply {
        term: Term(1),
        granted: false,
    };
    assert_eq!(sent_messages(&reply), [&refusal]);
    assert_eq!(node.handle_message(C, vote(false), ClockTime(500)), []);
    assert_ne!(node.handle_message(C, vote(true), ClockTime(500)), []);
    assert_eq!(node.status().term, Term(2));
}

/// Guards against a corrupt snapshot that consists of chunks of two leaders, which may encode the
/// same state differently.
#[test]
fn snapshot_chunks_of_two_leaders_are_not_combined() {
    let chunk = |term, offset: u64| RaftMessage::Snapshot {
        term: Term(term),
        round: 0,
        chunk: SnapshotChunk {
            last: EntryId {
                index: LogIndex(9),
                term: Term(1),
            },
            membership: Membership::default(),
            size: 8,
            offset,
            data: vec![term as u8; 4].into(),
        },
    };
    let mut node = node(B, 6);
    let first_actions = node.handle_message(A, chunk(1, 0), ClockTime(100));
    let second_actions = node.handle_message(C, chunk(2, 4), ClockTime(110));
    let released_actions = node.handle_persisted(batch_ids(&second_actions)[0], ClockTime(110));
    let received = |actions: &[RaftAction]| match sent_messages(actions)[..] {
        [RaftMessage::SnapshotReply { received, .. }] => *received,
        ref other => panic!("unexpected messages: {other:?}"),
    };
    assert_eq!(received(&first_actions), 4);
    assert_eq!(received(&released_actions), 0);
    assert_eq!(node.status().snapshot_index, LogIndex(0));
}
