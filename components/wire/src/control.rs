//! Requests to the control nodes and their replies.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use units::{
    ConfigVersion, DataCentreName, FencingNumber, IdempotencyKey, Incarnation, NodeName, OrderId,
    OrganisationName, RequestId, ServiceName, SlotCount, SoftwareVersion, TargetName,
};

use crate::crash::ServiceTrait;
use crate::demand::{EntryReply, EntryReport};
use crate::hello::NodeRole;
use crate::origin::{OriginAnswer, OriginBatch, StreamId, StreamOrigin};
use crate::run::{HeaderField, ResponseHead};
use crate::usage::{UsageReport, UsageTotals};

units::data! {
    /// State of a target as reported by its agent.
    pub struct TargetState {
        /// Target beside the agent.
        pub target: TargetName,
        /// Service that the target runs requests of.
        pub service: ServiceName,
        /// Current concurrency limit.
        pub limit: SlotCount,
        /// Number of running requests.
        pub running: SlotCount,
        /// Whether the target started recently and is therefore given only a little load.
        pub cold: bool,
        /// Whether the target is reachable.
        pub healthy: bool,
    }

    /// A target without an agent, which announces itself to control.
    pub struct AnnouncedTarget {
        /// Service that the target runs requests of.
        pub service: ServiceName,
        /// Version of the target's software; `None` if control has not registered the version yet.
        pub version: Option<SoftwareVersion>,
        /// Maximum number of concurrent requests.
        pub slots: SlotCount,
        /// Remaining time for which the target is cold, in milliseconds; 0 once it is warm.
        pub cold_ms: u64,
        /// Sequence number of the announcement, which increases within an incarnation.
        pub sequence: u64,
        /// Newest version of the configuration that was in force before the target sent the
        /// announcement, as far as the control node that accepted it knows.
        pub accepted_at: ConfigVersion,
    }

    /// Kind of a node in the directory, with the data specific to that kind.
    pub enum NodeKind {
        /// Terminates callers' HTTP.
        Entry,
        /// An agent, with the state of its target.
        Agent(TargetState),
        /// A target without an agent; entries send requests directly to its address.
        Target(AnnouncedTarget),
    }

    /// Whether a node accepts new work.
    #[derive(Copy)]
    pub enum NodeState {
        /// The node accepts new work.
        Serving,
        /// The node completes its running work and then exits.
        Leaving,
    }

    /// A live node of the fleet.
    pub struct DirectoryEntry {
        /// Name, unique in the fleet.
        pub name: NodeName,
        /// Incarnation of the node's process.
        pub incarnation: Incarnation,
        /// Address on which the node accepts links of other nodes.
        pub address: SocketAddr,
        /// Data centre of the node's host.
        pub data_centre: DataCentreName,
        /// Whether the node accepts new work.
        pub state: NodeState,
        /// Newest configuration version that the node has installed.
        pub config: ConfigVersion,
        /// Kind of the node and its specific data.
        pub kind: NodeKind,
    }

    /// Change of the directory between two of its revisions.
    ///
    /// Each control node numbers the revisions of its own directory. A receiver whose revision
    /// comes from another control node than `source` needs a complete directory.
    pub struct DirectoryDelta {
        /// Identifies the process of the control node that numbers the revisions.
        pub source: Incarnation,
        /// Revision after the change.
        pub revision: u64,
        /// Whether `changed` holds the complete directory.
        pub is_complete: bool,
        /// Whether the control node has listened for so long that it has heard of all live nodes.
        pub is_settled: bool,
        /// Added and changed nodes.
        pub changed: Vec<DirectoryEntry>,
        /// Names of removed nodes.
        pub removed: Vec<NodeName>,
    }

    /// Announces a node and requests a lease for it.
    pub struct RenewRequest {
        /// Directory entry of the node.
        pub node: DirectoryEntry,
        /// Newest configuration version that the node has installed.
        pub config: ConfigVersion,
        /// Source and revision of the node's directory; `None` if the node needs no directory.
        pub directory: Option<(Incarnation, u64)>,
    }

    /// Lease of a node, with updates of its configuration and directory.
    pub struct RenewReply {
        /// Time since a quorum last confirmed the replying node, in milliseconds. The lease starts
        /// this long before the request was sent.
        pub age_ms: u64,
        /// Newest configuration version of the replying node.
        pub version: ConfigVersion,
        /// Changes from the node's configuration to the newest one, in the encoding of the
        /// `registry` crate; empty if the node is up to date.
        pub changes: Vec<u8>,
        /// Change of the directory, if the node requested it.
        pub directory: Option<DirectoryDelta>,
        /// Link addresses of the control nodes that the replying node knows to be live.
        pub controls: Vec<SocketAddr>,
    }

    /// Key of a call that must run at most once.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct CallKey {
        /// Organisation of the caller.
        pub organisation: OrganisationName,
        /// Called service.
        pub service: ServiceName,
        /// Idempotency key that the caller chose.
        pub key: IdempotencyKey,
    }

    /// Stored response, which answers repetitions of a call.
    pub struct StoredResponse {
        /// Status and headers.
        pub head: ResponseHead,
        /// Body of at most 8 KiB.
        pub body: Vec<u8>,
    }

    /// Requests a record of a call that is about to run.
    pub struct BeginCall {
        /// Key of the recorded call.
        pub call: CallKey,
        /// SHA-256 of method, path and body.
        pub body_hash: [u8; 32],
        /// Request id of the attempt.
        pub request: RequestId,
        /// Only agent that may run the attempt.
        pub agent: NodeName,
        /// Incarnation of the agent's process.
        pub incarnation: Incarnation,
    }

    /// Outcome of a call.
    pub enum CallOutcome {
        /// The call ran. Holds its response, or `None` if that was too large to store.
        Ran(Option<StoredResponse>),
        /// The call did not run and never will, so its key may be used again.
        NotRun,
        /// The call may have run.
        Unknown,
    }

    /// Reply to [`BeginCall`].
    pub enum BeginOutcome {
        /// The call is recorded for this attempt, which may run now.
        Granted,
        /// Another attempt holds the key.
        InProgress {
            /// Request id of the other attempt.
            request: RequestId,
            /// Only agent that may run the other attempt.
            agent: NodeName,
            /// Incarnation of that agent's process.
            incarnation: Incarnation,
        },
        /// The call has already ended.
        Ended(CallOutcome),
        /// The key was used before with a different body hash.
        Mismatch,
        /// The maximum number of call records is reached.
        Full,
    }

    /// Records the outcome of a call.
    pub struct EndCall {
        /// Key of the recorded call.
        pub call: CallKey,
        /// Request id of the attempt that ended.
        pub request: RequestId,
        /// Outcome of the attempt.
        pub outcome: CallOutcome,
    }

    /// Order of an operator.
    pub enum OperatorOrder {
        /// Replaces the services text.
        Apply {
            /// Id that makes repetitions of the order idempotent.
            order: OrderId,
            /// Configuration version on which the operator based the order.
            expected: ConfigVersion,
            /// The services text. Parts of a large text precede the order as
            /// [`ControlRequest::Text`].
            text: String,
        },
        /// Takes a data centre out or brings it back.
        DataCentre {
            /// Id that makes repetitions of the order idempotent.
            order: OrderId,
            /// Configuration version on which the operator based the order.
            expected: ConfigVersion,
            /// Affected data centre.
            data_centre: DataCentreName,
            /// Whether the data centre is taken out.
            out: bool,
        },
        /// Takes a target out or brings it back.
        Target {
            /// Id that makes repetitions of the order idempotent.
            order: OrderId,
            /// Configuration version on which the operator based the order.
            expected: ConfigVersion,
            /// Affected target.
            target: TargetName,
            /// Whether the target is taken out.
            out: bool,
        },
        /// Issues the next fencing number of a target.
        Fence {
            /// Id that makes repetitions of the order idempotent.
            order: OrderId,
            /// Target that the fencing number applies to.
            target: TargetName,
        },
        /// Publishes a plan of routes. The plan with the highest number is in force, so repetitions
        /// of the order are idempotent.
        Publish {
            /// `PackedPlan` of the `registry` crate: the plan, and its source text, which is returned
            /// to operators who read the plan.
            packed: Vec<u8>,
        },
        /// Takes a data centre out or brings it back, regardless of the configuration version.
        Evacuate {
            /// Affected data centre.
            data_centre: DataCentreName,
            /// Whether the data centre is taken out.
            out: bool,
        },
        /// Moves the traffic of a service to a software version. Repetitions are idempotent while
        /// the roll-out is in progress and for some seconds after.
        StartRollout {
            /// Affected service.
            service: ServiceName,
            /// Version that the traffic is moved to.
            to: SoftwareVersion,
            /// Time limit of the roll-out in milliseconds.
            duration_ms: u64,
        },
        /// Rolls the roll-out of a service back. Repetitions are idempotent.
        CancelRollout {
            /// Affected service.
            service: ServiceName,
        },
    }

    /// Reply to an operator's order.
    pub enum OrderReply {
        /// The order is in force since this configuration version. Repetitions get the same reply.
        Accepted(ConfigVersion),
        /// Issued fencing number.
        Fenced(FencingNumber),
        /// The configuration has changed since the expected version.
        Conflict {
            /// Current configuration version.
            current: ConfigVersion,
        },
        /// The order is invalid, for the given reason.
        Invalid(String),
        /// Another roll-out of the service is in progress.
        RolloutInProgress {
            /// Version that it moves the traffic to.
            to: SoftwareVersion,
        },
        /// The order needs a published plan, and none is in force yet.
        NoPlan,
    }

    /// Request to a control node.
    pub enum ControlRequest {
        /// Announces a node and requests a lease.
        Renew(RenewRequest),
        /// Records that a call is about to run.
        Begin(BeginCall),
        /// Records the outcome of a call.
        End(EndCall),
        /// Part of the services text of the next order on the same stream.
        Text(String),
        /// Order of an operator.
        Order(OperatorOrder),
        /// Queries the status of the fleet.
        Status,
        /// Announcements forwarded by another control node.
        Directory(Vec<DirectoryEntry>),
        /// Usage counters of an agent, for the control nodes that total its flows.
        Usage(UsageReport),
        /// Report of an entry, for the control node that answers for the whole fleet.
        Report(EntryReport),
        /// Ends the quarantine of requests with a trait. It is soft state of each control node, so
        /// an operator sends this to all of them.
        LiftQuarantine(ServiceTrait),
        /// Origins of streams that an entry has begun. It sends them to several control nodes.
        RecordOrigins(Vec<OriginBatch>),
        /// Queries the origin of a stream at one control node.
        FindOrigin(StreamId),
        /// Queries the registered versions of a service, as confirmed by a quorum.
        Versions(ServiceName),
        /// Registers the version of a target, forwarded by another control node.
        RegisterVersion(StreamOrigin),
        /// Records that a process of a target leaves, forwarded by another control node.
        Depart {
            /// Name of the target.
            name: NodeName,
            /// Incarnation that leaves.
            incarnation: Incarnation,
        },
        /// Proposes the next phase of a roll-out, forwarded by another control node: an encoded
        /// `RolloutStep` of the `rollout` crate.
        AdvanceRollout(Vec<u8>),
    }

    /// Reply of a control node.
    pub enum ControlReply {
        /// Reply to [`ControlRequest::Renew`].
        Renewed(RenewReply),
        /// Reply to [`ControlRequest::Begin`].
        Begun(BeginOutcome),
        /// Reply to requests that succeed without a result.
        Done,
        /// Reply to [`ControlRequest::Order`].
        Order(OrderReply),
        /// Reply to [`ControlRequest::Status`]: JSON in the format of the `control` crate.
        Status(String),
        /// Reply to [`ControlRequest::Usage`].
        Usage(UsageTotals),
        /// Reply to [`ControlRequest::Report`].
        Report(EntryReply),
        /// Reply to [`ControlRequest::LiftQuarantine`]: whether the trait was in quarantine here.
        Lifted(bool),
        /// Reply to [`ControlRequest::FindOrigin`].
        Origin(OriginAnswer),
        /// Reply to [`ControlRequest::Versions`].
        Versions(BTreeSet<SoftwareVersion>),
        /// Reply to [`ControlRequest::RegisterVersion`]: whether the version is registered.
        Registered(bool),
        /// Reply to [`ControlRequest::AdvanceRollout`]: whether the phase has changed.
        Advanced(bool),
        /// The node currently has no quorum.
        NoQuorum {
            /// Current leader, if known.
            leader: Option<NodeName>,
            /// Changes from the node's configuration to the newest one that the replying node has
            /// applied, as in [`RenewReply`]; empty in replies to other requests than
            /// [`ControlRequest::Renew`].
            changes: Vec<u8>,
        },
        /// The role of the sender is not permitted to make this request.
        Forbidden(NodeRole),
        /// A field of the request is invalid, for the given reason.
        BadRequest(String),
    }
}

impl HeaderField {
    /// Creates a header, converting its name to lower case.
    pub fn new(name: &str, value: &str) -> Self {
        Self {
            name: name.to_ascii_lowercase(),
            value: value.as_bytes().to_vec(),
        }
    }
}
