//! Commands of the replicated log and their outcomes.

use manifest::ManifestChange;
use routes::PublishedPlan;
use units::{ConfigVersion, DataCentreName, DiskId, NodeName, OrderId, TargetName};
use wire::{BeginCall, BeginOutcome, EndCall, OrderReply};

units::number!(
    /// Wall time of a leader, in milliseconds since the Unix epoch.
    WallTime(u64)
);
units::number!(
    /// Random number of one attempt to send a large change in parts.
    StageId(u64)
);

units::data! {
    /// One entry of the replicated log.
    pub struct RegistryCommand {
        /// Wall time of the leader that proposed it.
        pub at: WallTime,
        /// What it does.
        pub action: RegistryAction,
    }

    /// What a command does.
    pub enum RegistryAction {
        /// Part of a change that is too large for one entry; nothing is in force before `Apply`.
        Stage {
            /// The attempt that it belongs to.
            stage: StageId,
            /// Number of the part, from 0.
            part: u32,
            /// Changes of the part.
            changes: Vec<ManifestChange>,
        },
        /// Puts a changed services text in force.
        Apply {
            /// Id of the order.
            order: OrderId,
            /// Version that the operator has seen.
            expected: ConfigVersion,
            /// Version that the changes were computed against.
            base: ConfigVersion,
            /// The staged parts that come before `changes`, and their number.
            staged: Option<(StageId, u32)>,
            /// The changes.
            changes: Vec<ManifestChange>,
        },
        /// Takes a data centre out, or back in.
        DataCentre {
            /// Id of the order.
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
            /// Id of the order.
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
            /// Id of the order.
            order: OrderId,
            /// The target.
            target: TargetName,
        },
        /// Publishes a plan of routes; an older number than the one in force changes nothing.
        Publish {
            /// The plan.
            plan: Box<PublishedPlan>,
            /// The operator's own text of it.
            text: String,
        },
        /// Takes a data centre out, or back in, whatever the version is.
        Evacuate {
            /// The data centre.
            data_centre: DataCentreName,
            /// Whether it is out.
            out: bool,
        },
        /// Records that a call is about to run.
        Begin(BeginCall),
        /// Records the outcome of a call.
        End(EndCall),
        /// Records the name of a control node's data folder.
        Control {
            /// Id of the folder.
            id: DiskId,
            /// Name of the control node.
            name: NodeName,
        },
    }

    /// Outcome of a command.
    pub enum RegistryOutcome {
        /// The command has no outcome of its own.
        Done,
        /// Outcome of an order.
        Order(OrderReply),
        /// Outcome of [`RegistryAction::Begin`].
        Begin(BeginOutcome),
    }
}
