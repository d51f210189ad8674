//! Messages between the processes of the system, and their encoding.
//!
//! Each message is a postcard body with a 4-byte little-endian length prefix. The first frame of
//! every stream is a [`Hello`]. Decoding never panics and never allocates more than [`MAX_FRAME`]
//! bytes.

mod codec;
mod control;
mod crash;
mod demand;
mod event_tail;
mod hash;
mod hello;
mod load;
mod origin;
mod rollout;
mod run;
mod session;
mod usage;

pub use codec::{CodecError, MAX_FRAME, decode, encode};
pub use control::{
    AnnouncedTarget, BeginCall, BeginOutcome, CallKey, CallOutcome, ControlReply, ControlRequest,
    DirectoryDelta, DirectoryEntry, EndCall, NodeKind, NodeState, OperatorOrder, OrderReply,
    RenewReply, RenewRequest, StoredResponse, TargetState,
};
pub use crash::{
    CrashObservation, CrashReport, CrashSuspect, HomeId, QuarantineReply, QuarantinedTrait,
    RequestTrait, ServedCount, ServiceTrait, TraitError, TraitSuccess,
};
pub use demand::{
    AdmittedParts, DemandReport, EntryReply, EntryReport, FlowAllowance, FlowDemand, KnownCapacity,
    ShareReply,
};
pub use event_tail::EventTail;
pub use hash::stable_hash;
pub use hello::{Hello, NodeRole, PROTOCOL_VERSION, StreamKind};
pub use load::{LoadReply, LoadReport, LoadRevision, TargetLoad};
pub use origin::{OriginAnswer, OriginBatch, StreamId, StreamOrigin};
pub use rollout::{RolloutCounts, VersionCount};
pub use run::{
    FailureCode, HeaderField, RequestHead, ResponseHead, RunMessage, RunReply, RunStart, RunStatus,
};
pub use session::{AgentMessage, EntryMessage, FlowKey, RequestOffer};
pub use usage::{FlowActivity, FlowId, FlowTotal, FlowUsage, UsageReport, UsageTotals};
