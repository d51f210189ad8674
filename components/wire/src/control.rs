//! Requests to control nodes and their replies.

use std::net::SocketAddr;

use units::{
    ConfigVersion, DataCentreName, FencingNumber, IdempotencyKey, Incarnation, NodeName, OrderId,
    OrganisationName, RequestId, ServiceName, SlotCount, TargetName,
};

use crate::demand::{DemandReport, ShareReply};
use crate::hello::NodeRole;
use crate::run::{HeaderField, ResponseHead};
use crate::usage::{UsageReport, UsageTotals};

units::data! {
    /// State of a target as its agent reports it.
    pub struct TargetState {
        /// Name of the target.
        pub target: TargetName,
        /// The service that it serves.
        pub service: ServiceName,
        /// Present concurrency limit.
        pub limit: SlotCount,
        /// Requests that run.
        pub running: SlotCount,
        /// Whether the target has just started and carries only a little load.
        pub cold: bool,
        /// Whether the target is reachable.
        pub healthy: bool,
    }

    /// A target that announces itself and has no agent.
    pub struct AnnouncedTarget {
        /// The service that it serves.
        pub service: ServiceName,
        /// Requests that it runs at once.
        pub slots: SlotCount,
        /// Time for which it stays cold, in milliseconds; 0 once it is warm.
        pub cold_ms: u64,
        /// Number of the announcement; grows with each one of an incarnation.
        pub sequence: u64,
    }

    /// Kind of a node in the directory, with what only that kind has.
    pub enum NodeKind {
        /// An entry.
        Entry,
        /// An agent and its target.
        Agent(TargetState),
        /// A target without an agent; entries send requests to its address themselves.
        Target(AnnouncedTarget),
    }

    /// Whether a node takes new work.
    #[derive(Copy)]
    pub enum NodeState {
        /// It takes new work.
        Serving,
        /// It finishes its work and then ends.
        Leaving,
    }

    /// A live node.
    pub struct DirectoryEntry {
        /// Name of the node.
        pub name: NodeName,
        /// Start of its process.
        pub incarnation: Incarnation,
        /// Address for links of other nodes.
        pub address: SocketAddr,
        /// Data centre that it stands in.
        pub data_centre: DataCentreName,
        /// Whether it takes new work.
        pub state: NodeState,
        /// Newest configuration that it has installed.
        pub config: ConfigVersion,
        /// Kind of the node.
        pub kind: NodeKind,
    }

    /// Change of the directory between two of its revisions.
    ///
    /// Revisions count within one control node (`source`); another source means a whole directory.
    pub struct DirectoryDelta {
        /// The control node that counts the revisions, as its incarnation.
        pub source: Incarnation,
        /// Revision that the receiver has after the change.
        pub revision: u64,
        /// Whether `changed` is the whole directory.
        pub is_complete: bool,
        /// Nodes that are new or have changed.
        pub changed: Vec<DirectoryEntry>,
        /// Nodes that are gone.
        pub removed: Vec<NodeName>,
    }

    /// Announcement of a node and request for a lease.
    pub struct RenewRequest {
        /// The node as it wants to stand in the directory.
        pub node: DirectoryEntry,
        /// Newest configuration that the node has installed.
        pub config: ConfigVersion,
        /// Source and revision of the directory that the node has, if it wants the directory.
        pub directory: Option<(Incarnation, u64)>,
    }

    /// Lease and news for a node.
    pub struct RenewReply {
        /// Time since the replying node was last confirmed by a quorum, in milliseconds. The lease
        /// is counted from the sending of the request less this age.
        pub age_ms: u64,
        /// Newest configuration at the replying node.
        pub version: ConfigVersion,
        /// Encoded changes from the node's configuration to the newest, empty if it has it.
        /// The encoding is that of the `registry` crate.
        pub changes: Vec<u8>,
        /// Change of the directory, if the node asked for it.
        pub directory: Option<DirectoryDelta>,
        /// Addresses for links of the control nodes that the replying node hears of.
        pub controls: Vec<SocketAddr>,
    }

    /// Key of a call that must not run twice.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct CallKey {
        /// The organisation that calls.
        pub organisation: OrganisationName,
        /// The service that is called.
        pub service: ServiceName,
        /// The caller's key.
        pub key: IdempotencyKey,
    }

    /// Response that is kept for repeated calls.
    pub struct StoredResponse {
        /// Head of the response.
        pub head: ResponseHead,
        /// Body, at most 8 KiB.
        pub body: Vec<u8>,
    }

    /// Asks to record that a call is about to run.
    pub struct BeginCall {
        /// Key of the call.
        pub call: CallKey,
        /// SHA-256 of method, path and body.
        pub body_hash: [u8; 32],
        /// The attempt.
        pub request: RequestId,
        /// The one agent that may run it.
        pub agent: NodeName,
        /// Start of the agent's process.
        pub incarnation: Incarnation,
    }

    /// What became of a call.
    pub enum CallOutcome {
        /// It ran, and this is the response; none if it was too large to keep.
        Ran(Option<StoredResponse>),
        /// It did not run and will not: the key may be used again.
        NotRun,
        /// It may have run.
        Unknown,
    }

    /// Reply to [`BeginCall`].
    pub enum BeginOutcome {
        /// The call is recorded for this attempt: it may run now.
        Granted,
        /// Another attempt holds the key.
        InProgress {
            /// The other attempt.
            request: RequestId,
            /// The agent that may run it.
            agent: NodeName,
            /// Start of that agent's process.
            incarnation: Incarnation,
        },
        /// The call has ended before.
        Ended(CallOutcome),
        /// The key was used for another body.
        Mismatch,
        /// The bound on records is reached.
        Full,
    }

    /// Records the outcome of a call.
    pub struct EndCall {
        /// Key of the call.
        pub call: CallKey,
        /// The attempt that ended.
        pub request: RequestId,
        /// Its outcome.
        pub outcome: CallOutcome,
    }

    /// Order of an operator.
    pub enum OperatorOrder {
        /// Puts a services text in force.
        Apply {
            /// Id that makes a repeated order safe.
            order: OrderId,
            /// Version that the operator has seen.
            expected: ConfigVersion,
            /// The text; large texts come in [`ControlRequest::Text`] parts before it.
            text: String,
        },
        /// Takes a data centre out, or back in.
        DataCentre {
            /// Id that makes a repeated order safe.
            order: OrderId,
            /// Version that the operator has seen.
            expected: ConfigVersion,
            /// The data centre.
            data_centre: DataCentreName,
            /// Whether it is out.
            out: bool,
        },
        /// Takes a target out, or back in.
        Target {
            /// Id that makes a repeated order safe.
            order: OrderId,
            /// Version that the operator has seen.
            expected: ConfigVersion,
            /// The target.
            target: TargetName,
            /// Whether it is out.
            out: bool,
        },
        /// Draws the next fencing number of a target.
        Fence {
            /// Id that makes a repeated order safe.
            order: OrderId,
            /// The target.
            target: TargetName,
        },
        /// Publishes a plan of routes. The highest number is in force, so a repeated order is safe.
        Publish {
            /// Encoded `PublishedPlan` of the `routes` crate.
            plan: Vec<u8>,
            /// The operator's own text of the plan, which is given back when it is read.
            text: String,
        },
        /// Takes a data centre out, or back in, whatever the version is.
        Evacuate {
            /// The data centre.
            data_centre: DataCentreName,
            /// Whether it is out.
            out: bool,
        },
    }

    /// Reply to an operator's order.
    pub enum OrderReply {
        /// The order is in force from this version on; also the reply to a repeated order.
        Accepted(ConfigVersion),
        /// A fencing number was drawn.
        Fenced(FencingNumber),
        /// Another order came first.
        Conflict {
            /// The version in force.
            current: ConfigVersion,
        },
        /// The order is faulty.
        Invalid(String),
    }

    /// Request to a control node.
    pub enum ControlRequest {
        /// Announces a node and asks for a lease.
        Renew(RenewRequest),
        /// Records that a call is about to run.
        Begin(BeginCall),
        /// Records the outcome of a call.
        End(EndCall),
        /// Part of a text that the next order on the same stream refers to.
        Text(String),
        /// Order of an operator.
        Order(OperatorOrder),
        /// Asks for the state of the fleet.
        Status,
        /// Announcements passed on by another control node.
        Directory(Vec<DirectoryEntry>),
        /// Counts of an agent, for the homes of the flows.
        Usage(UsageReport),
        /// Demand at an entry, for the home of the service.
        Demand(DemandReport),
    }

    /// Reply of a control node.
    pub enum ControlReply {
        /// Reply to [`ControlRequest::Renew`].
        Renewed(RenewReply),
        /// Reply to [`ControlRequest::Begin`].
        Begun(BeginOutcome),
        /// Reply to [`ControlRequest::End`] and [`ControlRequest::Text`].
        Done,
        /// Reply to [`ControlRequest::Order`].
        Order(OrderReply),
        /// Reply to [`ControlRequest::Status`], as JSON of the `control` crate.
        Status(String),
        /// Reply to [`ControlRequest::Usage`].
        Usage(UsageTotals),
        /// Reply to [`ControlRequest::Demand`].
        Shares(ShareReply),
        /// The node cannot answer with a quorum now.
        NoQuorum {
            /// The leader, if known.
            leader: Option<NodeName>,
        },
        /// The peer's role may not ask this.
        Forbidden(NodeRole),
        /// A field of the request is faulty.
        BadRequest(String),
    }
}

impl HeaderField {
    /// Creates a header from text.
    pub fn new(name: &str, value: &str) -> Self {
        Self {
            name: name.to_ascii_lowercase(),
            value: value.as_bytes().to_vec(),
        }
    }
}
