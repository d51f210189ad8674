//! Agent daemon: the only path to one target.
//!
//! Entries connect to the agent, offer requests, and start those that it claims. The agent chooses
//! the offers that it claims, forwards each request at most once, and buffers the response so that
//! an entry can resume it after a lost connection.

mod buffer;
mod daemon;
mod forward;
mod health;
mod meter;
mod run;
mod seen;
mod sessions;
mod settings;
mod state;
mod streams;
mod target;
mod upkeep;
mod usage;

pub use buffer::{BUFFER_SIZE, BufferLost, BufferedChunk, RunBuffer};
pub use daemon::{AgentHandle, AgentParts, start, start_with};
pub use meter::{CostMeter, meter_for};
pub use seen::{MAX_SEEN_REQUESTS, SeenRequests, SeenVerdict};
pub use settings::{AgentSettings, TargetKind};
pub use target::{
    HttpTarget, ResponseBody, TargetClient, TargetError, TargetRequest, TargetResponse,
};
