//! `apply`: puts a services text in force.

use eyre::Result;
use manifest::ManifestChange;
use units::{ConfigVersion, OrderId, RequestId};
use wire::{OperatorOrder, OrderReply};

use crate::commands::{CommandReport, ExitStatus, parse, read_text};
use crate::connection::ControlConnection;
use crate::options::ApplyOptions;

/// Changes that are listed; more are counted.
const MAX_LISTED: usize = 50;

/// Shows the difference to the text in force, and sends the text.
pub(crate) async fn apply(
    connection: &ControlConnection,
    options: &ApplyOptions,
    json: bool,
) -> Result<CommandReport> {
    let text = read_text(&options.file)?;
    let newer = match parse(&options.file, &text) {
        Ok(newer) => newer,
        Err(report) => return Ok(report),
    };
    let current = connection.config().await?;
    let changes = current.manifest.diff(&newer);
    let expected = options.expect.map_or(current.version, ConfigVersion);
    let order = order_id(options.order.as_deref());
    // The id is printed before the order is sent, so that it is known when the answer is lost.
    eprintln!("order {order}, expected version {expected}");
    if !json {
        eprint!("{}", difference(&changes));
    }
    let reply = connection
        .order(OperatorOrder::Apply {
            order: order.clone(),
            expected,
            text,
        })
        .await?;
    let invalid = ExitStatus::Invalid;
    Ok(order_report(&order, &reply, changes.len(), invalid, json))
}

/// The given id, or a random one.
pub(crate) fn order_id(given: Option<&str>) -> OrderId {
    match given {
        Some(id) => OrderId::from(id),
        None => OrderId::from(RequestId(rand::random()).to_string().as_str()),
    }
}

fn difference(changes: &[ManifestChange]) -> String {
    let listed = changes.iter().take(MAX_LISTED);
    let mut text: String = listed.map(|change| format!("  {change}\n")).collect();
    if changes.is_empty() {
        text += "  no change\n";
    }
    if changes.len() > MAX_LISTED {
        text += &format!("  and {} more\n", changes.len() - MAX_LISTED);
    }
    text
}

/// What an order's reply means for the operator; `invalid` is the status of a faulty order.
pub(crate) fn order_report(
    order: &OrderId,
    reply: &OrderReply,
    changes: usize,
    invalid: ExitStatus,
    json: bool,
) -> CommandReport {
    let (status, text) = match reply {
        OrderReply::Accepted(version) => {
            (ExitStatus::Done, format!("Version {version} is in force."))
        }
        OrderReply::Fenced(number) => (ExitStatus::Done, format!("Fencing number {number}.")),
        OrderReply::Conflict { current } => (
            ExitStatus::Conflict,
            format!("Failed to apply: another order came first, version {current} is in force."),
        ),
        OrderReply::Invalid(reason) => (invalid, format!("Failed to apply: {reason}")),
    };
    if json {
        let value = serde_json::json!({
            "order": order,
            "reply": reply,
            "changes": changes,
        });
        return CommandReport {
            output: format!("{value}\n"),
            errors: String::new(),
            status,
        };
    }
    match status {
        ExitStatus::Done => CommandReport::done(text + "\n"),
        _ => CommandReport::error(text, status),
    }
}
