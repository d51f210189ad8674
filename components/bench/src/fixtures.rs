//! Records of the size that the fleet will have: names, offers, nodes and organisations.

use std::net::SocketAddr;

use manifest::{FleetManifest, KeyHash, OrganisationSpec, ServiceKind, ServiceSpec};
use units::{
    ConfigVersion, CostUnits, FlowWeight, Incarnation, NodeName, OrganisationName, PrefixHash,
    RequestId, ServiceName, SlotCount, TargetName,
};
use wire::{
    DirectoryEntry, FlowActivity, FlowId, FlowKey, FlowUsage, NodeKind, NodeState, RequestOffer,
    TargetState, UsageReport,
};

/// Largest cost of one request, in tokens.
const MAX_COST: CostUnits = CostUnits(4096);

/// Name of a model service.
/// Most hosts that may be set aside for control.
pub(crate) const CONTROLS: usize = 7;

pub(crate) fn service() -> ServiceName {
    ServiceName::from("repair-drafts")
}

/// Name of an organisation.
pub(crate) fn organisation(number: u64) -> OrganisationName {
    OrganisationName::from(format!("organisation-{number:05}").as_str())
}

/// Flow of an organisation.
pub(crate) fn flow(number: u64) -> FlowKey {
    FlowKey {
        organisation: organisation(number),
        service: service(),
    }
}

/// Name of an agent.
pub(crate) fn agent(number: u64) -> NodeName {
    NodeName::from(format!("agent-{number:03}").as_str())
}

/// Name of an entry.
pub(crate) fn entry(number: u64) -> NodeName {
    NodeName::from(format!("entry-{number:03}").as_str())
}

/// Offer of a request, each of another flow.
pub(crate) fn offer(number: u64) -> RequestOffer {
    RequestOffer {
        request: RequestId(u128::from(number) << 64 | 0xa5a5_a5a5),
        flow: flow(number),
        weight: FlowWeight(1000),
        cost_estimate: CostUnits(320),
        prefix: PrefixHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        waited_ms: 40,
    }
}

/// Usage report of an agent for a number of flows, with counts of a day.
pub(crate) fn usage_report(reporter: u64, flows: u64, count: u64) -> UsageReport {
    UsageReport {
        reporter: agent(reporter),
        incarnation: Incarnation(1_700_000_000_000),
        interval_ms: 2_000,
        service: service(),
        virtual_time: 1_000_000_000,
        flows: (0..flows)
            .map(|number| FlowUsage {
                flow: FlowId::of(&flow(number)),
                count: CostUnits(count),
                known_total: CostUnits(count * 8),
                unpublished_count: CostUnits(200),
                raise_to: None,
                activity: FlowActivity::Waiting,
            })
            .collect(),
    }
}

/// Agent as it stands in the directory.
pub(crate) fn directory_entry(number: u64, limit: u32) -> DirectoryEntry {
    DirectoryEntry {
        name: agent(number),
        incarnation: Incarnation(1_700_000_000_000 + number),
        address: SocketAddr::from(([10, 20, (number >> 8) as u8, number as u8], 7401)),
        data_centre: "coast-2".into(),
        state: NodeState::Serving,
        config: ConfigVersion(4711),
        kind: NodeKind::Agent(TargetState {
            target: TargetName::from(format!("worker-{number:03}").as_str()),
            service: service(),
            limit: SlotCount(limit),
            running: SlotCount(limit / 2),
            cold: false,
            healthy: true,
        }),
    }
}

/// Services text with a number of organisations and 24 models.
pub(crate) fn manifest(organisations: u64) -> FleetManifest {
    let mut manifest = FleetManifest::default();
    for number in 0..24_u64 {
        let name = ServiceName::from(format!("model-{number:02}").as_str());
        manifest.services.insert(name, model_service());
    }
    for number in 0..organisations {
        manifest
            .organisations
            .insert(organisation(number), organisation_spec(number, 1000));
    }
    manifest
}

/// Organisation with a key hash of its own.
pub(crate) fn organisation_spec(number: u64, weight: u32) -> OrganisationSpec {
    let mut hash = [0; 32];
    hash[..8].copy_from_slice(&number.to_le_bytes());
    OrganisationSpec {
        weight: FlowWeight(weight),
        key_sha256: KeyHash(hash),
    }
}

fn model_service() -> ServiceSpec {
    ServiceSpec {
        kind: ServiceKind::Model,
        depends_on: Vec::new(),
        max_waiting: 256,
        max_cost: MAX_COST,
        calls: Vec::new(),
    }
}
