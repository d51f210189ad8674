//! Starts the nodes of a development fleet.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use agent::{AgentHandle, AgentSettings, TargetKind};
use client::ControlClient;
use control::{ControlArguments, ControlHandle};
use entry::{EntryHandle, EntryLimits, EntrySettings};
use eyre::{Result, WrapErr, bail, eyre};
use link::{KeyAuthority, LinkEndpoint, LinkIdentity};
use manifest::ServiceKind;
use units::{ConfigVersion, DataCentreName, Incarnation, NodeName, ServiceName, SlotCount};
use wire::{ControlReply, ControlRequest, NodeRole, OperatorOrder, OrderReply};

/// Name of the operator for whom keys are issued.
const OPERATOR: &str = "dev";
/// Maximum number of attempts to send an order. Together they must outlast an election, which takes
/// up to 1 s; a single attempt may also take up to 1 s.
const MAX_ORDER_ATTEMPTS: usize = 20;

/// Loopback address with a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Folder with the key files, and the authority that issues them.
pub(super) struct DevKeys {
    folder: PathBuf,
    authority: KeyAuthority,
}

impl DevKeys {
    pub(super) fn create(folder: &Path) -> Result<Self> {
        let authority = KeyAuthority::open_or_create(folder)?;
        Ok(Self {
            folder: folder.into(),
            authority,
        })
    }

    fn endpoint(&self, role: NodeRole, name: &NodeName) -> Result<LinkEndpoint> {
        let files = self.authority.issue(role, name)?;
        let identity = LinkIdentity::load(role, name, &files)
            .wrap_err_with(|| format!("Failed to load the keys of {name}"))?;
        Ok(LinkEndpoint::bind(ANY_PORT, &identity, Incarnation(1))?)
    }
}

/// Starts control nodes. All endpoints are bound first, since each node needs the addresses of the
/// others.
pub(super) async fn start_controls(
    keys: &DevKeys,
    folder: &Path,
    count: usize,
) -> Result<Vec<ControlHandle>> {
    let mut endpoints = BTreeMap::new();
    for index in 1..=count {
        let name: NodeName = format!("control-{index}").as_str().into();
        endpoints.insert(name.clone(), keys.endpoint(NodeRole::Control, &name)?);
    }
    let peers: Vec<String> = endpoints
        .iter()
        .map(|(name, endpoint)| format!("{name}={}", endpoint.address()))
        .collect();
    let mut controls = Vec::new();
    for (name, endpoint) in endpoints {
        let arguments = ControlArguments {
            name: Some(name.to_string()),
            listen: Some(endpoint.address().to_string()),
            data: Some(folder.join(name.as_str())),
            keys: Some(keys.folder.clone()),
            peers: peers.clone(),
            ..ControlArguments::default()
        };
        let settings = arguments
            .check()
            .map_err(|faults| eyre!("{}", faults.join("\n")))?;
        controls.push(control::start_on(settings, endpoint).await?);
    }
    Ok(controls)
}

/// Creates the operator's client.
pub(super) fn operator_client(keys: &DevKeys, controls: Vec<SocketAddr>) -> Result<ControlClient> {
    let endpoint = keys.endpoint(NodeRole::Operator, &OPERATOR.into())?;
    Ok(ControlClient::new(endpoint, controls))
}

/// Sends an order until it is answered. Repeating it is safe, because an order is identified by its
/// id.
pub(super) async fn send_order(
    client: &ControlClient,
    order: OperatorOrder,
) -> Result<ConfigVersion> {
    let request = ControlRequest::Order(order);
    let mut last_error = eyre!("no attempt was made");
    for _ in 0..MAX_ORDER_ATTEMPTS {
        match client.request(&request).await {
            Ok(ControlReply::Order(OrderReply::Accepted(version))) => return Ok(version),
            Ok(reply) => bail!("Failed to send an order: unexpected reply {reply:?}"),
            Err(error) => last_error = error.into(),
        }
    }
    Err(last_error).wrap_err("Failed to send an order")
}

pub(super) fn entry_name(index: usize) -> NodeName {
    format!("entry-{}", index + 1).as_str().into()
}

pub(super) async fn start_entry(
    keys: &DevKeys,
    index: usize,
    http: SocketAddr,
    data_centre: DataCentreName,
    controls: &[SocketAddr],
) -> Result<EntryHandle> {
    let name = entry_name(index);
    keys.authority.issue(NodeRole::Entry, &name)?;
    entry::start(EntrySettings {
        name,
        http,
        listen: ANY_PORT,
        data_centre,
        controls: controls.to_vec(),
        keys: keys.folder.clone(),
        limits: EntryLimits::default(),
    })
    .await
}

/// Settings of an agent and its target.
pub(super) struct AgentSpec {
    pub(super) name: NodeName,
    pub(super) service: ServiceName,
    pub(super) kind: ServiceKind,
    pub(super) data_centre: DataCentreName,
    pub(super) target_address: SocketAddr,
    pub(super) max_slots: u32,
    pub(super) cold_limit: u32,
}

pub(super) async fn start_agent(
    keys: &DevKeys,
    spec: &AgentSpec,
    controls: &[SocketAddr],
) -> Result<AgentHandle> {
    keys.authority.issue(NodeRole::Agent, &spec.name)?;
    agent::start(AgentSettings {
        name: spec.name.clone(),
        listen: ANY_PORT,
        data_centre: spec.data_centre.clone(),
        controls: controls.to_vec(),
        keys: keys.folder.clone(),
        target: spec.name.as_str().into(),
        service: spec.service.clone(),
        kind: match spec.kind {
            ServiceKind::Model => TargetKind::Model,
            ServiceKind::Plain => TargetKind::Plain,
        },
        target_url: format!("http://{}", spec.target_address),
        cold_limit: SlotCount(spec.cold_limit),
        most_slots: SlotCount(spec.max_slots),
        health: ANY_PORT,
    })
    .await
}
