//! Adds an entry to a directory, reads the changes as a follower does, and removes the entry when
//! its announcements stop.

use directory::{NodeDirectory, SILENCE_TIMEOUT};
use units::{ClockTime, ConfigVersion, DataCentreName, Incarnation, NodeName};
use wire::{DirectoryEntry, NodeKind, NodeState};

fn main() {
    let source = Incarnation(1);
    let mut directory = NodeDirectory::new(source);
    let entry = DirectoryEntry {
        name: NodeName::from("entry-1"),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 7000).into(),
        data_centre: DataCentreName::from("praha-1"),
        state: NodeState::Serving,
        config: ConfigVersion(1),
        kind: NodeKind::Entry,
    };
    directory.announce(entry, ClockTime(0));
    let first = directory.delta_since(Incarnation(0), 0);
    println!("whole directory: {} node", first.changed.len());

    directory.tick(ClockTime(0) + SILENCE_TIMEOUT);
    let second = directory.delta_since(source, first.revision);
    println!("removed after silence: {}", second.removed[0]);
}
