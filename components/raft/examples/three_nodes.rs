//! Three nodes in one process elect a leader and commit one command.
//!
//! Disks and the network are simulated: a batch counts as synced immediately, and messages arrive
//! in order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use raft::{EntryPayload, NodeRole, PersistedState, RaftAction, RaftNode, RaftSettings};
use units::{ClockTime, DiskId};

fn main() {
    let ids: BTreeSet<DiskId> = (1..=3).map(DiskId).collect();
    let start = |id: DiskId| {
        let state = PersistedState::bootstrap(ids.clone());
        RaftNode::new(
            id,
            state,
            RaftSettings::default(),
            id.0 as u64,
            ClockTime(0),
        )
    };
    let mut nodes: BTreeMap<DiskId, RaftNode> = ids.iter().map(|&id| (id, start(id))).collect();
    let mut is_proposed = false;
    for time in (0..3000).step_by(10).map(ClockTime) {
        let mut actions = VecDeque::new();
        for (&id, node) in &mut nodes {
            actions.extend(node.tick(time).into_iter().map(|action| (id, action)));
            if !is_proposed && node.status().role == NodeRole::Leader {
                println!("{time}: {id} leads term {}", node.status().term);
                let (_, follow_up_actions) = node
                    .propose(b"stone-records".to_vec(), time)
                    .expect("the leader accepts a proposal");
                actions.extend(follow_up_actions.into_iter().map(|action| (id, action)));
                is_proposed = true;
            }
        }
        while let Some((id, action)) = actions.pop_front() {
            let (id, follow_up_actions) = match action {
                RaftAction::Send { to, message, .. } => match nodes.get_mut(&to) {
                    Some(node) => (to, node.handle_message(id, message, time)),
                    None => continue,
                },
                RaftAction::Persist { id: batch, .. } => match nodes.get_mut(&id) {
                    Some(node) => (id, node.handle_persisted(batch, time)),
                    None => continue,
                },
                RaftAction::Apply { entry } => {
                    if let EntryPayload::Command(command) = &entry.payload {
                        let text = String::from_utf8_lossy(command);
                        println!("{time}: {id} applies {text} at index {}", entry.id.index);
                    }
                    continue;
                }
                _ => continue,
            };
            actions.extend(follow_up_actions.into_iter().map(|action| (id, action)));
        }
    }
}
