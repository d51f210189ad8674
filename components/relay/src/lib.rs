//! Entry that sends requests directly to targets without an agent.
//!
//! A relay looks up the route of a request in the published plan, selects a target with the `place`
//! crate, and forwards the request. Event streams are forwarded as they arrive; any other response
//! is buffered until it is complete. A [`CallerDialect`] defines the HTTP headers in which callers
//! and targets express ids, keys, deadlines and refusals.

mod backend;
mod crash;
mod daemon;
mod demand;
mod dialect;
mod follow;
mod forward;
mod http;
mod origins;
mod places;
mod pool;
mod reporter;
mod respond;
mod rollouts;
mod settings;
mod state;
mod stop;
mod yielding;

pub use daemon::{RelayHandle, RelayParts, start};
pub use dialect::{
    CallerDialect, ForwardMetadata, MetadataError, ModelUsage, PromptPart, RequestMetadata,
    ResponseVerdict, StreamContinuation,
};
pub use intake::MemoryLimits;
pub use limits::WindowBound;
pub use place::TargetStatement;
pub use settings::RelaySettings;
