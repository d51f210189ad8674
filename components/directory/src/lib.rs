//! Directory of live nodes, kept from announcements.
//!
//! Each control node keeps a [`NodeDirectory`] as soft state: nodes announce themselves with every
//! lease renewal, and control nodes pass the announcements that they got themselves on to each
//! other.

mod directory;
mod record;

pub use directory::{NodeDirectory, REMOVED_MEMORY, SILENCE_TIMEOUT};
