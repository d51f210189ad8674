//! Way from callers to targets that have no agent beside them.
//!
//! A relay is an entry that sends requests to targets itself. It finds the route of a request in the
//! published plan, chooses a target with the `place` crate, and passes the answer on: whole once it
//! is complete, or event by event. How callers and targets write ids, keys, deadlines and refusals
//! is left to a [`CallerDialect`].

mod backend;
mod daemon;
mod demand;
mod dialect;
mod follow;
mod forward;
mod http;
mod places;
mod pool;
mod respond;
mod settings;
mod state;

pub use daemon::{RelayHandle, RelayParts, start};
pub use dialect::{
    CallerDialect, ForwardMetadata, MetadataError, ModelUsage, PromptPart, RequestMetadata,
    ResponseVerdict,
};
pub use limits::WindowBound;
pub use settings::RelaySettings;
