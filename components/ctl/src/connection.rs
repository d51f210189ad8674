//! Connection of the operator to control.

use std::net::SocketAddr;

use client::ControlClient;
use control::FleetStatus;
use eyre::{Result, WrapErr, bail};
use link::{KeyFiles, LinkEndpoint, LinkIdentity};
use registry::FleetConfig;
use units::{ConfigVersion, Incarnation, NodeName};
use wire::{
    ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeRole, NodeState, OperatorOrder,
    OrderReply, RenewRequest,
};

use crate::options::ConnectionOptions;

/// Times that an order is sent. The order id makes it safe to send it again after a lost answer.
const MAX_SENDS: usize = 5;

/// Connection of the operator to control.
pub(crate) struct ControlConnection {
    client: ControlClient,
    operator: NodeName,
}

impl ControlConnection {
    /// Opens the operator's keys.
    pub(crate) fn open(options: &ConnectionOptions) -> Result<Self> {
        let controls = addresses(&options.controls)?;
        let operator = NodeName::from(options.operator.as_str());
        let files = KeyFiles::in_folder(&options.keys, NodeRole::Operator, &operator);
        let identity = LinkIdentity::load(NodeRole::Operator, &operator, &files)
            .wrap_err_with(|| format!("Failed to load the keys of operator {operator}"))?;
        let local = match controls.iter().all(SocketAddr::is_ipv6) {
            true => SocketAddr::from(([0u16; 8], 0)),
            false => SocketAddr::from(([0u8; 4], 0)),
        };
        let endpoint = LinkEndpoint::bind(local, &identity, Incarnation::starting_now())?;
        Ok(Self {
            client: ControlClient::new(endpoint, controls),
            operator,
        })
    }

    /// State of the fleet.
    pub(crate) async fn status(&self) -> Result<FleetStatus> {
        match self.client.request(&ControlRequest::Status).await? {
            ControlReply::Status(text) => {
                serde_json::from_str(&text).wrap_err("Failed to read the state of the fleet")
            }
            reply => bail!("Failed to ask for the state of the fleet: {reply:?}"),
        }
    }

    /// The configuration in force. An operator's renewal grants no lease; it only reads.
    pub(crate) async fn config(&self) -> Result<FleetConfig> {
        let node = DirectoryEntry {
            name: self.operator.clone(),
            incarnation: Incarnation::starting_now(),
            address: SocketAddr::from(([0u8; 4], 0)),
            data_centre: "".into(),
            state: NodeState::Leaving,
            config: ConfigVersion(0),
            kind: NodeKind::Entry,
        };
        let request = ControlRequest::Renew(RenewRequest {
            node,
            config: ConfigVersion(0),
            directory: None,
        });
        match self.client.request(&request).await? {
            ControlReply::Renewed(reply) => {
                let mut config = FleetConfig::default();
                config.install(&reply.changes)?;
                Ok(config)
            }
            reply => bail!("Failed to read the configuration: {reply:?}"),
        }
    }

    /// Sends an order until it is answered.
    pub(crate) async fn order(&self, order: OperatorOrder) -> Result<OrderReply> {
        let request = ControlRequest::Order(order);
        let mut last = None;
        for _ in 0..MAX_SENDS {
            match self.client.request(&request).await {
                Ok(ControlReply::Order(reply)) => return Ok(reply),
                Ok(reply) => bail!("Failed to send the order: {reply:?}"),
                Err(error) => last = Some(error),
            }
        }
        let error = last.map_or_else(String::new, |error| error.to_string());
        bail!("Failed to get an answer, the order may be in force: {error}")
    }
}

fn addresses(text: &str) -> Result<Vec<SocketAddr>> {
    let items = text.split(',').filter(|item| !item.is_empty());
    let addresses: Vec<SocketAddr> = items
        .map(|item| {
            item.parse()
                .wrap_err_with(|| format!("Failed to read --controls {item:?}: want IP:PORT"))
        })
        .collect::<Result<_>>()?;
    if addresses.is_empty() {
        bail!("Failed to connect: --controls or BILBERRY_CONTROLS is missing");
    }
    Ok(addresses)
}
