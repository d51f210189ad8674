//! Translates an operator's order into commands for the replicated log.

use manifest::{FleetManifest, ManifestChange};
use raft::MAX_COMMAND_BYTES;
use registry::{RegistryAction, StageId};
use rollout::RolloutOrder;
use units::{ConfigVersion, OrderId};
use wire::OperatorOrder;

use crate::state::ControlContext;

/// Upper bound of the encoded size of a command without its changes.
const COMMAND_OVERHEAD_BYTES: usize = 4 << 10;

/// Maximum size of a compressed plan, in bytes, which must fit into one log entry.
pub(crate) const MAX_PACKED_PLAN_BYTES: usize = MAX_COMMAND_BYTES - COMMAND_OVERHEAD_BYTES;

/// Maximum number of faults of a services text that a reply lists.
const MAX_REPORTED_FAULTS: usize = 100;

/// Maximum length of the version of a roll-out, as of those that targets announce.
const MAX_VERSION_BYTES: usize = 256;

/// Longest roll-out, a day in milliseconds.
const MAX_ROLLOUT_MS: u64 = 24 * 60 * 60 * 1_000;

/// Returns the commands of an order, in the sequence in which they must be proposed. An invalid
/// text is refused before any command is proposed.
pub(crate) async fn order_actions(
    context: &ControlContext,
    order: OperatorOrder,
) -> Result<Vec<RegistryAction>, String> {
    match order {
        OperatorOrder::Apply {
            order,
            expected,
            text,
        } => {
            let (base, current) = context.view.read(|view| {
                let config = view.registry.config();
                (config.version, config.manifest.clone())
            });
            // Parsing a text with 38,000 organisations takes long enough to delay other tasks.
            let changes = tokio::task::spawn_blocking(move || parse_changes(&current, &text))
                .await
                .map_err(|error| error.to_string())??;
            Ok(apply_actions(order, expected, base, changes))
        }
        OperatorOrder::DataCentre {
            order,
            expected,
            data_centre,
            out,
        } => Ok(vec![RegistryAction::DataCentre {
            order,
            expected,
            data_centre,
            out,
        }]),
        OperatorOrder::Target {
            order,
            expected,
            target,
            out,
        } => Ok(vec![RegistryAction::Target {
            order,
            expected,
            target,
            out,
        }]),
        OperatorOrder::Publish { packed } => Ok(vec![RegistryAction::PublishPacked(packed.into())]),
        OperatorOrder::Evacuate { data_centre, out } => {
            Ok(vec![RegistryAction::Evacuate { data_centre, out }])
        }
        OperatorOrder::StartRollout {
            service,
            to,
            duration_ms,
        } => {
            let order = RolloutOrder {
                service,
                to,
                duration_ms,
            };
            check_rollout(&order)?;
            Ok(vec![RegistryAction::StartRollout(order)])
        }
        OperatorOrder::CancelRollout { service } => {
            Ok(vec![RegistryAction::CancelRollout { service }])
        }
        OperatorOrder::Fence { order, target } => Ok(vec![RegistryAction::Fence { order, target }]),
    }
}

/// Returns why an order cannot start a roll-out, whatever the plan contains.
pub(crate) fn check_rollout(order: &RolloutOrder) -> Result<(), String> {
    let (version, duration_ms) = (order.to.as_str(), order.duration_ms);
    if version.is_empty() || version.len() > MAX_VERSION_BYTES {
        let length = version.len();
        return Err(format!(
            "the version has {length} bytes, not 1 to {MAX_VERSION_BYTES}"
        ));
    }
    if duration_ms == 0 || duration_ms > MAX_ROLLOUT_MS {
        return Err(format!(
            "the duration is {duration_ms} ms, not 1 to {MAX_ROLLOUT_MS}"
        ));
    }
    Ok(())
}

fn parse_changes(current: &FleetManifest, text: &str) -> Result<Vec<ManifestChange>, String> {
    match FleetManifest::parse(text) {
        Ok(newer) => Ok(current.diff(&newer)),
        Err(faults) => {
            let lines = faults
                .iter()
                .take(MAX_REPORTED_FAULTS)
                .map(ToString::to_string);
            Err(lines.collect::<Vec<_>>().join("\n"))
        }
    }
}

/// Splits changes into commands that fit into log entries. All commands but the last only stage
/// their part; the last one applies all of them.
fn apply_actions(
    order: OrderId,
    expected: ConfigVersion,
    base: ConfigVersion,
    changes: Vec<ManifestChange>,
) -> Vec<RegistryAction> {
    let mut parts = split_changes(changes);
    let last = parts.pop().unwrap_or_default();
    let stage = StageId(rand::random());
    let count = parts.len() as u32;
    let stage_actions = (0..)
        .zip(parts)
        .map(|(part, changes)| RegistryAction::Stage {
            stage,
            part,
            changes,
        });
    let mut actions: Vec<_> = stage_actions.collect();
    actions.push(RegistryAction::Apply {
        order,
        expected,
        base,
        staged: (count > 0).then_some((stage, count)),
        changes: last,
    });
    actions
}

fn split_changes(changes: Vec<ManifestChange>) -> Vec<Vec<ManifestChange>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut command_bytes = COMMAND_OVERHEAD_BYTES;
    for change in changes {
        let change_bytes = postcard::to_stdvec(&change).map_or(0, |bytes| bytes.len());
        if command_bytes + change_bytes > MAX_COMMAND_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            command_bytes = COMMAND_OVERHEAD_BYTES;
        }
        command_bytes += change_bytes;
        part.push(change);
    }
    parts.push(part);
    parts
}
