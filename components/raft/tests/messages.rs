//! Single nodes that are given messages by hand.

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

fn sent(actions: &[RaftAction]) -> Vec<&RaftMessage> {
    let messages = actions.iter().filter_map(|action| match action {
        RaftAction::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

fn batches(actions: &[RaftAction]) -> Vec<u64> {
    let ids = actions.iter().filter_map(|action| match action {
        RaftAction::Persist { id, .. } => Some(*id),
        _ => None,
    });
    ids.collect()
}

fn last() -> EntryId {
    EntryId {
        index: LogIndex(1),
        term: Term(1),
    }
}

fn heartbeat(term: u64, round: u64) -> RaftMessage {
    RaftMessage::Append {
        term: Term(term),
        prev: last(),
        entries: Vec::new(),
        commit_index: LogIndex(0),
        round,
    }
}

fn noop(term: u64) -> LogEntry {
    let id = EntryId {
        index: LogIndex(2),
        term: Term(term),
    };
    LogEntry {
        id,
        payload: EntryPayload::Noop,
    }
}

/// Node A as leader of term 2 before anything is committed, and the actions of its election.
fn elected() -> (RaftNode, Vec<RaftAction>) {
    let mut node = node(A, 1);
    let now = ClockTime(1000);
    node.tick(now);
    let granted = RaftMessage::PreVoteReply {
        term: Term(2),
        granted: true,
    };
    let actions = node.receive(B, granted, now);
    assert_eq!(
        sent(&actions).len(),
        0,
        "the own vote must be durable before others are asked"
    );
    let actions = node.handle_persisted(batches(&actions)[0], now);
    assert_eq!(sent(&actions).len(), 2);
    let actions = node.receive(
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

/// Node A as leader of term 2, with its log acknowledged by B but no round answered.
fn leader() -> RaftNode {
    let (mut node, actions) = elected();
    let now = ClockTime(1000);
    node.receive(B, accepted(2, 0), now);
    assert_eq!(
        node.status().commit_index,
        LogIndex(0),
        "the own disk counts only once it is synced"
    );
    node.handle_persisted(batches(&actions)[0], now);
    assert_eq!(node.status().commit_index, LogIndex(2));
    node
}

fn accepted(match_index: u64, round: u64) -> RaftMessage {
    let outcome = AppendOutcome::Accepted {
        match_index: LogIndex(match_index),
    };
    RaftMessage::AppendReply {
        term: Term(2),
        round,
        outcome,
    }
}

fn confirmed(actions: &[RaftAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, RaftAction::BarrierDone { .. }))
}

/// Guards against commits and votes that a crash of the disk's owner would undo.
#[test]
fn a_leader_counts_itself_only_after_its_disk() {
    leader();
}

/// Guards against a vote or acknowledgement that leaves before the disk has it.
#[test]
fn replies_wait_for_the_disk() {
    let mut node = node(B, 2);
    let now = ClockTime(100);
    let vote = RaftMessage::Vote {
        term: Term(2),
        last: last(),
        transfer: false,
    };
    let voted = node.receive(A, vote, now);
    assert_eq!(sent(&voted).len(), 0);
    let newest = *batches(&voted).last().expect("the vote is persisted");
    let released = node.handle_persisted(newest, now);
    assert_eq!(
        sent(&released),
        [&RaftMessage::VoteReply {
            term: Term(2),
            granted: true
        }]
    );

    let append = RaftMessage::Append {
        term: Term(2),
        prev: last(),
        entries: vec![noop(2)],
        commit_index: LogIndex(0),
        round: 1,
    };
    let appended = node.receive(A, append, now);
    assert_eq!(sent(&appended).len(), 0);
    let released = node.handle_persisted(batches(&appended)[0], now);
    assert_eq!(sent(&released), [&accepted(2, 1)]);
}

/// Guards against two votes in a term, also after a restart.
#[test]
fn a_vote_outlives_a_restart() {
    let mut state = PersistedState::bootstrap(ids(3));
    state.hard_state.term = Term(2);
    state.hard_state.vote = Some(A);
    let mut node = RaftNode::new(B, state, RaftSettings::default(), 3, ClockTime(0));
    let vote = RaftMessage::Vote {
        term: Term(2),
        last: last(),
        transfer: false,
    };
    let other = node.receive(C, vote.clone(), ClockTime(100));
    let same = node.receive(A, vote, ClockTime(100));
    assert_eq!(
        sent(&other),
        [&RaftMessage::VoteReply {
            term: Term(2),
            granted: false
        }]
    );
    assert_eq!(
        sent(&same),
        [&RaftMessage::VoteReply {
            term: Term(2),
            granted: true
        }]
    );
}

/// Guards against a stale read: a follower of a newer term once returned the round of a message
/// from the sender's earlier leadership, and the sender, leading again, took it for an answer.
#[test]
fn an_answer_to_an_old_term_confirms_no_round() {
    let mut follower = node(B, 4);
    let now = ClockTime(100);
    let actions = follower.receive(A, heartbeat(2, 1), now);
    follower.handle_persisted(
        *batches(&actions).last().expect("the term is persisted"),
        now,
    );
    let late = follower.receive(A, heartbeat(1, 7), now);
    let reply = sent(&late)[0].clone();
    assert!(matches!(
        reply,
        RaftMessage::AppendReply { term: Term(2), .. }
    ));

    let mut leader = leader();
    let now = ClockTime(1100);
    let asked = leader.request_barrier(1, now);
    let answered = leader.receive(B, reply, now);
    assert!(!confirmed(&asked) && !confirmed(&answered));
    assert!(confirmed(&leader.receive(B, accepted(2, 1), now)));
}

/// Guards against an answer to a barrier of an earlier process of the same node.
#[test]
fn an_answer_to_an_earlier_process_confirms_nothing() {
    let ask = |seed| {
        let mut node = node(B, seed);
        let now = ClockTime(100);
        let actions = node.receive(A, heartbeat(1, 1), now);
        assert_eq!(batches(&actions), [], "the term is known already");
        let nonce = match sent(&node.request_barrier(1, now))[..] {
            [RaftMessage::Barrier { nonce }] => *nonce,
            ref other => panic!("unexpected messages {other:?}"),
        };
        (node, nonce)
    };
    let (_, old) = ask(1);
    let (mut node, new) = ask(2);
    let answer = |nonce| RaftMessage::BarrierReply {
        nonce,
        index: Some(LogIndex(0)),
    };
    assert!(!confirmed(&node.receive(A, answer(old), ClockTime(110))));
    assert!(confirmed(&node.receive(A, answer(new), ClockTime(120))));
}

/// Guards against two membership changes that do not share a majority: one that an older leader
/// left behind, and one of a new leader that does not know yet whether the other is committed.
#[test]
fn a_new_leader_changes_no_member_before_its_first_commit() {
    let (mut node, _) = elected();
    let change = MemberChange::AddLearner(DiskId(9));
    let refused = node.change_member(change, ClockTime(1000));
    assert_eq!(refused, Err(ProposeError::NotReady));
}

/// Guards against a candidate that deposes a working leader, by a pre-vote or by a vote.
#[test]
fn a_follower_that_hears_its_leader_elects_no_other() {
    let mut node = node(B, 5);
    node.receive(A, heartbeat(1, 1), ClockTime(100));
    let vote = |transfer| RaftMessage::Vote {
        term: Term(2),
        last: last(),
        transfer,
    };
    let pre_vote = RaftMessage::PreVote {
        term: Term(2),
        last: last(),
    };
    let answer = node.receive(C, pre_vote, ClockTime(500));
    let refused = RaftMessage::PreVoteReply {
        term: Term(1),
        granted: false,
    };
    assert_eq!(sent(&answer), [&refused]);
    assert_eq!(node.receive(C, vote(false), ClockTime(500)), []);
    assert_ne!(node.receive(C, vote(true), ClockTime(500)), []);
    assert_eq!(node.status().term, Term(2));
}

/// Guards against a snapshot that is put together from the parts of two leaders, which may encode
/// the same state differently.
#[test]
fn parts_of_two_leaders_make_no_snapshot() {
    let part = |term, offset: u64| RaftMessage::Snapshot {
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
    let first = node.receive(A, part(1, 0), ClockTime(100));
    let second = node.receive(C, part(2, 4), ClockTime(110));
    let released = node.handle_persisted(batches(&second)[0], ClockTime(110));
    let received = |actions: &[RaftAction]| match sent(actions)[..] {
        [RaftMessage::SnapshotReply { received, .. }] => *received,
        ref other => panic!("unexpected messages {other:?}"),
    };
    assert_eq!(received(&first), 4);
    assert_eq!(received(&released), 0);
    assert_eq!(node.status().snapshot_index, LogIndex(0));
}
