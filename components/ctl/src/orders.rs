//! `dc` and `target`: take a data centre or target out, or bring it back in.

use eyre::Result;
use units::ConfigVersion;
use wire::OperatorOrder;

use crate::apply::{order_id, order_report};
use crate::capacity::{CapacityExclusion, services_losing_capacity};
use crate::commands::{CommandReport, ExitStatus};
use crate::connection::ControlConnection;
use crate::options::{ExclusionState, OrderOptions};

/// Kind of item that an order takes out or brings back in.
#[derive(Debug, Clone, Copy)]
pub(crate) enum OrderSubject {
    DataCentre,
    Target,
}

/// Warns about services that will have no capacity left, and sends the order.
pub(crate) async fn set_exclusion(
    connection: &ControlConnection,
    subject: OrderSubject,
    options: &OrderOptions,
    json: bool,
) -> Result<CommandReport> {
    let status = connection.fetch_status().await?;
    let name = options.name.as_str();
    let out = options.state == ExclusionState::Out;
    let exclusion = match subject {
        OrderSubject::DataCentre => CapacityExclusion::DataCentre(name.into()),
        OrderSubject::Target => CapacityExclusion::Target(name.into()),
    };
    if out {
        for service in services_losing_capacity(&status, &exclusion) {
            eprintln!("service {service} will have no capacity left");
        }
    }
    let expected = options.expect.map_or(status.version, ConfigVersion);
    let order = order_id(options.order.as_deref());
    eprintln!("order {order}, expected version {expected}");
    let message = match subject {
        OrderSubject::DataCentre => OperatorOrder::DataCentre {
            order: order.clone(),
            expected,
            data_centre: name.into(),
            out,
        },
        OrderSubject::Target => OperatorOrder::Target {
            order: order.clone(),
            expected,
            target: name.into(),
            out,
        },
    };
    let reply = connection.send_order(message).await?;
    Ok(order_report(&order, &reply, 1, ExitStatus::Failed, json))
}
