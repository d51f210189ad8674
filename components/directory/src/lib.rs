//! Directory of live nodes, built from their announcements.
//!
//! Each control node holds a [`NodeDirectory`] as soft state. Nodes announce themselves with every
//! lease renewal, and control nodes forward the announcements that they received directly to each
//! other. Departures that targets were acknowledged come from the replicated state.

mod departures;
mod directory;
mod record;

pub use departures::{DepartureNumber, DepartureRecord, DepartureTable};
pub use directory::{NodeDirectory, REMOVAL_RETENTION, SILENCE_TIMEOUT, directory_source};
