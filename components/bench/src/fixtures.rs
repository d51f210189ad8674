//! Names, offers, nodes and organisations of the same size as those of a real fleet.

use std::net::SocketAddr;

use manifest::{FleetManifest, KeyHash, OrganisationSpec, ServiceKind, ServiceSpec};
use units::{
    ConfigVersion, CostUnits, FlowWeight, Incarnation, NodeName, OrganisationName, PrefixHash,
    RequestId, ServiceName, SlotCount, TargetName,
};
use wire::{
    DirectoryEntry, FlowActivity, FlowId, FlowKey, FlowUsage, NodeKind, NodeState, RequestOffer,
    TargetState, UsageReport, stable_hash,
};

/// Maximum cost of one request, in tokens.
const MAX_COST: CostUnits = CostUnits(4096);

/// Maximum number of hosts that may be set aside for control.
pub(crate) const MAX_CONTROL_HOSTS: usize = 7;

pub(crate) fn service_name() -> ServiceName {
    ServiceName::from("repair-drafts")
}

pub(crate) fn organisation_name(number: u64) -> OrganisationName {
    OrganisationName::from(format!("organisation-{number:05}").as_str())
}

/// Flow of an organisation to the service of [`service_name`].
pub(crate) fn flow_key(number: u64) -> FlowKey {
    FlowKey {
        organisation: organisation_name(number),
        service: service_name(),
    }
}

pub(crate) fn agent_name(number: u64) -> NodeName {
    NodeName::from(format!("agent-{number:03}").as_str())
}

pub(crate) fn entry_name(number: u64) -> NodeName {
    NodeName::from(format!("entry-{number:03}").as_str())
}

/// Offer of a request; each number gives a request of a different flow.
pub(crate) fn offer(number: u64) -> RequestOffer {
    RequestOffer {
        request: RequestId(u128::from(number) << 64 | 0xa5a5_a5a5),
        flow: flow_key(number),
        weight: FlowWeight(1000),
        cost_estimate: CostUnits(320),
        prefix: PrefixHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        waited_ms: 40,
    }
}

/// Usage report of the agent with number `reporter` for a number of flows, each with usage `count`.
pub(crate) fn usage_report(reporter: u64, flows: u64, count: u64) -> UsageReport {
    UsageReport {
        reporter: agent_name(reporter),
        incarnation: Incarnation(1_700_000_000_000),
        interval_ms: 2_000,
        service: service_name(),
        virtual_time: 1_000_000_000,
        flows: (0..flows)
            .map(|number| FlowUsage {
                flow: FlowId::of(&flow_key(number)),
                count: CostUnits(count),
                known_total: CostUnits(count * 8),
                unpublished_count: CostUnits(200),
                raise_to: None,
                activity: FlowActivity::Waiting,
            })
            .collect(),
    }
}

/// Directory entry of an agent whose target has `limit` slots.
pub(crate) fn directory_entry(number: u64, limit: u32) -> DirectoryEntry {
    DirectoryEntry {
        name: agent_name(number),
        incarnation: Incarnation(1_700_000_000_000 + number),
        address: SocketAddr::from(([10, 20, (number >> 8) as u8, number as u8], 7401)),
        data_centre: "coast-2".into(),
        state: NodeState::Serving,
        config: ConfigVersion(4711),
        kind: NodeKind::Agent(TargetState {
            target: TargetName::from(format!("worker-{number:03}").as_str()),
            service: service_name(),
            limit: SlotCount(limit),
            running: SlotCount(limit / 2),
            cold: false,
            healthy: true,
        }),
    }
}

/// Services text with a number of organisations and 24 model services.
pub(crate) fn fleet_manifest(organisations: u64) -> FleetManifest {
    let mut manifest = FleetManifest::default();
    for number in 0..24_u64 {
        let name = ServiceName::from(format!("model-{number:02}").as_str());
        manifest.services.insert(name, model_service_spec());
    }
    for number in 0..organisations {
        manifest
            .organisations
            .insert(organisation_name(number), organisation_spec(number, 1000));
    }
    manifest
}

/// Organisation whose key hash is derived from its number. Like a real hash, it does not compress.
pub(crate) fn organisation_spec(number: u64, weight: u32) -> OrganisationSpec {
    let mut hash = [0; 32];
    for (part, bytes) in hash.chunks_exact_mut(8).enumerate() {
        let value = stable_hash(&[&part.to_le_bytes(), &number.to_le_bytes()]);
        bytes.copy_from_slice(&value.to_le_bytes());
    }
    OrganisationSpec {
        weight: FlowWeight(weight),
        key_sha256: KeyHash(hash),
    }
}

fn model_service_spec() -> ServiceSpec {
    ServiceSpec {
        kind: ServiceKind::Model,
        depends_on: Vec::new(),
        max_waiting: 256,
        max_cost: MAX_COST,
        calls: Vec::new(),
    }
}
