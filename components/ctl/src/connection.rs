//! Requests of the operator to the control nodes.

use std::net::SocketAddr;

use client::ControlClient;
use control::FleetStatus;
use eyre::{Result, WrapErr, bail};
use link::{KeyFiles, LinkEndpoint, LinkIdentity};
use registry::FleetConfig;
use units::{ConfigVersion, Incarnation, NodeName};
use wire::{
    ControlReply, ControlRequest, DirectoryEntry, NodeKind, NodeRole, NodeState, OperatorOrder,
    OrderReply, RenewRequest, ServiceTrait,
};

use crate::options::ConnectionOptions;

/// Maximum number of times that an order is sent. Its id makes an order idempotent, so that it can
/// be sent again after a lost reply.
const MAX_SENDS: usize = 5;

/// Client of the control nodes, authenticated as an operator.
pub(crate) struct ControlConnection {
    client: ControlClient,
    operator: NodeName,
}

impl ControlConnection {
    /// Loads the operator's keys and binds a local endpoint; no connection is opened yet.
    pub(crate) fn open(options: &ConnectionOptions) -> Result<Self> {
        let controls = parse_addresses(&options.controls)?;
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

    pub(crate) async fn fetch_status(&self) -> Result<FleetStatus> {
        match self.client.request(&ControlRequest::Status).await? {
            ControlReply::Status(text) => {
                serde_json::from_str(&text).wrap_err("Failed to parse the status of the fleet")
            }
            reply => bail!("Failed to fetch the status of the fleet: unexpected reply {reply:?}"),
        }
    }

    /// Status of each control node that answers.
    pub(crate) async fn fetch_all_statuses(&self) -> Result<Vec<FleetStatus>> {
        let mut statuses = Vec::new();
        for reply in self.request_all(&ControlRequest::Status).await? {
            if let ControlReply::Status(text) = reply {
                let status = serde_json::from_str(&text);
                statuses.push(status.wrap_err("Failed to parse the status of the fleet")?);
            }
        }
        Ok(statuses)
    }

    /// Ends the quarantine of a trait at each control node that answers. Returns whether it was in
    /// force at any.
    pub(crate) async fn lift_quarantine(&self, subject: ServiceTrait) -> Result<bool> {
        let replies = self
            .request_all(&ControlRequest::LiftQuarantine(subject))
            .await?;
        let lifted = |reply: &ControlReply| *reply == ControlReply::Lifted(true);
        Ok(replies.iter().any(lifted))
    }

    /// Sends a request to each control node, and returns the replies of those that answer.
    async fn request_all(&self, request: &ControlRequest) -> Result<Vec<ControlReply>> {
        let mut replies = Vec::new();
        let mut last_error = None;
        for control in self.client.controls().iter() {
            match self.client.request_at(*control, request).await {
                Ok(reply) => replies.push(reply),
                Err(error) => last_error = Some(error),
            }
        }
        match last_error {
            Some(error) if replies.is_empty() => Err(error.into()),
            _ => Ok(replies),
        }
    }

    /// Fetches the configuration in force. It is contained in the reply to a lease renewal, which
    /// grants no lease to an operator.
    pub(crate) async fn fetch_config(&self) -> Result<FleetConfig> {
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
            reply => bail!("Failed to fetch the configuration: unexpected reply {reply:?}"),
        }
    }

    /// Sends an order, and sends it again if no control node answers.
    pub(crate) async fn send_order(&self, order: OperatorOrder) -> Result<OrderReply> {
        let request = ControlRequest::Order(order);
        let mut last_error = None;
        for _ in 0..MAX_SENDS {
            match self.client.request(&request).await {
                Ok(ControlReply::Order(reply)) => return Ok(reply),
                Ok(reply) => bail!("Failed to send the order: unexpected reply {reply:?}"),
                Err(error) => last_error = Some(error),
            }
        }
        let error = last_error.map_or_else(String::new, |error| error.to_string());
        bail!("Failed to get a reply in {MAX_SENDS} attempts; the order may be in force: {error}")
    }
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>> {
    let items = text.split(',').filter(|item| !item.is_empty());
    let addresses: Vec<SocketAddr> = items
        .map(|item| {
            item.parse()
                .wrap_err_with(|| format!("Failed to read --controls {item:?}: expected IP:PORT"))
        })
        .collect::<Result<_>>()?;
    if addresses.is_empty() {
        bail!("Failed to connect: required setting --controls or BILBERRY_CONTROLS is missing");
    }
    Ok(addresses)
}
