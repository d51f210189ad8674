//! Late binding of requests to targets: entries offer waiting requests, and agents claim them.
//!
//! An entry keeps its waiting requests in an [`OfferBook`]. An agent keeps the offers of all
//! entries in an [`OfferTable`]; when a slot is free, it claims an offer of the flow that has
//! received the least service.

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
