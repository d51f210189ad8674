//! Entry daemon: terminates callers' HTTP and assigns each request to a target.
//!
//! The entry validates a request and queues it in the offer book until an agent claims it. It then
//! starts the run at that agent and forwards the response to the caller. When the connection to the
//! agent is lost, the entry reconnects and resumes the response.

mod call_flow;
mod calls;
mod chunks;
mod crashes;
mod daemon;
mod fleet;
mod http;
mod links;
mod lost_agents;
mod ping_plan;
mod recorder;
mod refusal;
mod reply;
mod report;
mod request;
mod run;
mod serve;
mod settings;
mod sink;
mod state;
mod upkeep;

pub use call_flow::{CallAttempt, CallFlow, CallStep, CallVerdict};
pub use chunks::{ChunkGap, ChunkSequence, ChunkVerdict};
pub use daemon::{EntryHandle, EntryParts, start, start_with};
pub use ping_plan::{
    LinkPurpose, MAX_PING_INTERVAL, MAX_SILENT_INTERVALS, PING_INTERVAL, PingPlan, PingStep,
};
pub use recorder::{CallRecorder, ControlRecorder};
pub use refusal::{Refusal, RequestOutcome};
pub use report::{IDLE_REPORT_INTERVAL, ReportSender, model_pool};
pub use request::{
    ChatBody, CheckedRequest, is_canonical_path, parse_idempotency_key, split_service_path,
};
pub use settings::{EntryLimits, EntrySettings};
pub use sink::{ResponsePart, ResponseSink};
