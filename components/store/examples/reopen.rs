//! Writes the first state of a node to a folder, opens the folder again and prints its state.

use std::error::Error;

use raft::{PersistedState, Term};
use store::LogStore;
use units::DiskId;

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::temp_dir().join(format!("store-example-{}", std::process::id()));
    let (mut store, state) = LogStore::open(&folder)?;
    println!("{} is new: {}", store.id(), state.is_empty());

    let members = [store.id(), DiskId(2), DiskId(3)];
    let mut batch = PersistedState::bootstrap(members.into()).to_batch();
    batch.hard_state.get_or_insert_default().term = Term(4);
    store.persist(&batch)?;
    drop(store);

    let (store, state) = LogStore::open(&folder)?;
    println!("{} holds term {}", store.id(), state.hard_state.term);
    println!("entries: {:?}", state.entries);
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
