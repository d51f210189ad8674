//! Choice of a flow's home by rendezvous hash.

use std::hash::{DefaultHasher, Hash, Hasher};

use units::NodeName;
use wire::FlowKey;

/// Score of a node for a key; the node with the largest score is chosen.
pub fn rendezvous_score<K: Hash>(key: &K, node: &NodeName) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    node.hash(&mut hasher);
    hasher.finish()
}

/// The entry that sums the usage of a flow, none without entries.
pub fn home_of<'a>(
    flow: &FlowKey,
    entries: impl Iterator<Item = &'a NodeName>,
) -> Option<&'a NodeName> {
    entries.max_by_key(|name| (rendezvous_score(flow, name), *name))
}
