//! From an operator's order to the commands of the log.

use manifest::{FleetManifest, ManifestChange};
use raft::MAX_COMMAND_BYTES;
use registry::{RegistryAction, StageId};
use units::{ConfigVersion, OrderId};
use wire::OperatorOrder;

use crate::state::ControlContext;

/// Bytes of a command beside its changes, never too small.
const COMMAND_OVERHEAD: usize = 4 << 10;

/// Faults of a text that are named in a reply.
const MAX_FAULTS: usize = 100;

/// The commands of an order, in order. A faulty text is refused before anything is proposed.
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
            // A text of 38,000 organisations takes long enough to delay other tasks.
            let changes = tokio::task::spawn_blocking(move || changes_of(&current, &text))
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
        OperatorOrder::Publish { plan, text } => {
            let size = plan.len();
            let plan = postcard::from_bytes(&plan)
                .map_err(|error| format!("Failed to decode a plan of {size} bytes: {error}"))?;
            Ok(vec![RegistryAction::Publish {
                plan: Box::new(plan),
                text,
            }])
        }
        OperatorOrder::Evacuate { data_centre, out } => {
            Ok(vec![RegistryAction::Evacuate { data_centre, out }])
        }
        OperatorOrder::Fence { order, target } => Ok(vec![RegistryAction::Fence { order, target }]),
    }
}

fn changes_of(current: &FleetManifest, text: &str) -> Result<Vec<ManifestChange>, String> {
    match FleetManifest::parse(text) {
        Ok(newer) => Ok(current.diff(&newer)),
        Err(faults) => {
            let lines = faults.iter().take(MAX_FAULTS).map(ToString::to_string);
            Err(lines.collect::<Vec<_>>().join("\n"))
        }
    }
}

/// Splits a change into commands that fit the log; all but the last only stage it.
fn apply_actions(
    order: OrderId,
    expected: ConfigVersion,
    base: ConfigVersion,
    changes: Vec<ManifestChange>,
) -> Vec<RegistryAction> {
    let mut parts = split(changes);
    let last = parts.pop().unwrap_or_default();
    let stage = StageId(rand::random());
    let count = parts.len() as u32;
    let staged = (0..)
        .zip(parts)
        .map(|(part, changes)| RegistryAction::Stage {
            stage,
            part,
            changes,
        });
    let mut actions: Vec<_> = staged.collect();
    actions.push(RegistryAction::Apply {
        order,
        expected,
        base,
        staged: (count > 0).then_some((stage, count)),
        changes: last,
    });
    actions
}

fn split(changes: Vec<ManifestChange>) -> Vec<Vec<ManifestChange>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut size = COMMAND_OVERHEAD;
    for change in changes {
        let bytes = postcard::to_stdvec(&change).map_or(0, |bytes| bytes.len());
        if size + bytes > MAX_COMMAND_BYTES && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            size = COMMAND_OVERHEAD;
        }
        size += bytes;
        part.push(change);
    }
    parts.push(part);
    parts
}
