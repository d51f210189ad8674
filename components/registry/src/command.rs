//! Commands of the replicated log and their outcomes.

use std::collections::BTreeSet;

use manifest::ManifestChange;
use rollout::{RolloutOrder, RolloutStep};
use routes::PublishedPlan;
use units::{
    ConfigVersion, DataCentreName, DiskId, Incarnation, NodeName, OrderId, ServiceName, TargetName,
};
use wire::{BeginCall, BeginOutcome, EndCall, OrderReply, StreamOrigin};

use crate::packed::PackedPlan;

units::number!(
    /// Wall-clock time of a leader, in milliseconds since the Unix epoch.
    WallTime(u64)
);
units::number!(
    /// Random id of a change that is sent in parts. Each attempt to send the change has its own.
    StageId(u64)
);

units::data! {
    /// One entry of the replicated log.
    pub struct RegistryCommand {
        /// Wall-clock time of the leader that proposed the command.
        pub at: WallTime,
        /// Action of the command.
        pub action: RegistryAction,
    }

    /// Action of a command.
    pub enum RegistryAction {
        /// Stores a part of a change that is too large for one log entry. The change takes effect
        /// with `Apply`.
        Stage {
            /// Id of the staged change.
            stage: StageId,
            /// Index of the part, from 0.
            part: u32,
            /// Changes in the part.
            changes: Vec<ManifestChange>,
        },
        /// Applies the changes of a services text.
        Apply {
            /// Id that makes repetitions of the order idempotent.
            order: OrderId,
            /// Configuration version on which the operator based the order.
            expected: ConfigVersion,
            /// Configuration version from which the changes were computed.
            base: ConfigVersion,
            /// Staged change whose parts precede `changes`, and the number of its parts.
            staged: Option<(StageId, u32)>,
            /// Changes, or the last part of them.
            changes: Vec<ManifestChange>,
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
        /// Publishes a plan of routes. Only logs of older processes contain it; it is replaced by
        /// `PublishPacked`.
        Publish {
            /// Published plan.
            plan: Box<PublishedPlan>,
            /// Source text of the plan.
            text: String,
        },
        /// Takes a data centre out or brings it back, regardless of the configuration version.
        Evacuate {
            /// Affected data centre.
            data_centre: DataCentreName,
            /// Whether the data centre is taken out.
            out: bool,
        },
        /// Records that an attempt of a call is about to run.
        Begin(BeginCall),
        /// Records the outcome of an attempt of a call.
        End(EndCall),
        /// Records which control node a data folder belongs to.
        Control {
            /// Id of the data folder.
            id: DiskId,
            /// Name of the control node.
            name: NodeName,
        },
        /// Registers a software version of a service.
        RegisterVersion(StreamOrigin),
        /// Counts a round of the leader for each registered version without a target, and removes
        /// the versions that had none for too many rounds.
        CountVersions {
            /// Versions that have targets.
            present: BTreeSet<StreamOrigin>,
            /// Number of consecutive rounds without a target after which a version is removed.
            max_rounds: u32,
        },
        /// Records that a process of a target leaves.
        Depart {
            /// Name of the target.
            name: NodeName,
            /// Incarnation that leaves. Earlier ones have left, too.
            incarnation: Incarnation,
        },
        /// Starts a roll-out. Has no effect if the same order is in progress or has just ended.
        StartRollout(RolloutOrder),
        /// Rolls the roll-out of a service back. Has no effect if that has been done.
        CancelRollout {
            /// Affected service.
            service: ServiceName,
        },
        /// Puts the next phase of a roll-out in force. Has no effect on another roll-out, or if the
        /// phase may not follow the current one.
        AdvanceRollout(RolloutStep),
        /// Publishes a plan of routes. Has no effect if a plan with the same or a higher number is
        /// in force.
        PublishPacked(PackedPlan),
    }

    /// Outcome of a command.
    pub enum RegistryOutcome {
        /// The command was applied and reports nothing else.
        Done,
        /// Reply to an order.
        Order(OrderReply),
        /// Outcome of [`RegistryAction::Begin`].
        Begin(BeginOutcome),
        /// Outcome of [`RegistryAction::RegisterVersion`]: whether the version is registered.
        Registered(bool),
        /// Outcome of [`RegistryAction::AdvanceRollout`]: whether the phase has changed.
        Advanced(bool),
    }
}
