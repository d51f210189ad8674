//! Late binding: waiting requests are offered, and agents claim them.
//!
//! An entry keeps its waiting requests in an [`OfferBook`]; an agent keeps the offers of all entries
//! in an [`OfferTable`] and claims the one of the flow with the least service when a slot is free.

mod actions;
mod book;
mod queue;
mod ring;
mod runs;
mod table;
mod waiting;

pub use actions::{AgentView, BookAction, BookSettings, QueueError, WaitingRequest};
pub use book::OfferBook;
pub use table::{CLAIM_TIMEOUT, OfferTable, StartOutcome, TableAction};
