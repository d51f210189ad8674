//! Entries, agents and control nodes of the simulated network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fair::{HomeList, ReportPacer, UsageHome};
use offers::{BookSettings, OfferBook, OfferTable};
use units::{
    CostUnits, FlowWeight, NodeName, OrganisationName, PrefixHash, RequestId, ServiceName,
    SlotCount,
};
use wire::{FlowKey, RequestOffer};

use super::usage::ReportExchange;

pub const SERVICE: &str = "stone-advice";

/// Request of a caller; `cost` and `cost_estimate` are in cost units.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub id: RequestId,
    pub organisation: usize,
    pub cost: u64,
    pub cost_estimate: u64,
}

/// Entry and the open requests of its callers.
pub struct EntryNode {
    pub name: NodeName,
    pub region: usize,
    pub incarnation: u64,
    pub book: OfferBook,
    /// Requests that are waiting or running.
    pub open: BTreeMap<RequestId, CallerRequest>,
    /// Index of the agent that each granted request runs at.
    pub granted: BTreeMap<RequestId, usize>,
    /// Waiting requests of each organisation, ordered by the time at which they were queued.
    pub waiting: BTreeMap<usize, BTreeSet<(u64, RequestId)>>,
    pub queued_at: BTreeMap<RequestId, u64>,
}

impl EntryNode {
    pub fn new(index: usize, region: usize, incarnation: u64, wave_size: usize) -> Self {
        let settings = BookSettings {
            wave_size,
            ..BookSettings::default()
        };
        Self {
            name: NodeName::from(format!("entry-{index}").as_str()),
            region,
            incarnation,
            book: OfferBook::new(settings),
            open: BTreeMap::new(),
            granted: BTreeMap::new(),
            waiting: BTreeMap::new(),
            queued_at: BTreeMap::new(),
        }
    }

    pub fn start_waiting(&mut self, request: &CallerRequest, now: u64) {
        self.queued_at.insert(request.id, now);
        self.waiting
            .entry(request.organisation)
            .or_default()
            .insert((now, request.id));
    }

    pub fn stop_waiting(&mut self, request: RequestId) {
        let Some(time) = self.queued_at.remove(&request) else {
            return;
        };
        let organisation = self.open[&request].organisation;
        if let Some(waiting) = self.waiting.get_mut(&organisation) {
            waiting.remove(&(time, request));
        }
    }
}

/// Request that runs at an agent.
#[derive(Debug, Clone)]
pub struct AgentRun {
    pub entry: usize,
    pub entry_incarnation: u64,
    pub organisation: usize,
    pub cost: u64,
    pub charged: u64,
}

/// Agent and its runs.
pub struct AgentNode {
    pub name: NodeName,
    pub region: usize,
    pub incarnation: u64,
    pub table: OfferTable,
    pub runs: BTreeMap<RequestId, AgentRun>,
    pub pacer: ReportPacer,
    pub homes: HomeList,
    /// Exchanges that await an answer.
    pub exchanges: BTreeMap<u64, ReportExchange>,
}

impl AgentNode {
    pub fn new(
        index: usize,
        region: usize,
        slots: u32,
        incarnation: u64,
        controls: &[ControlNode],
    ) -> Self {
        Self {
            name: NodeName::from(format!("agent-{index}").as_str()),
            region,
            incarnation,
            table: OfferTable::new(ServiceName::from(SERVICE), SlotCount(slots)),
            runs: BTreeMap::new(),
            pacer: ReportPacer::new(),
            homes: HomeList::new(controls.iter().map(|node| node.address).collect()),
            exchanges: BTreeMap::new(),
        }
    }
}

/// Control node that is the home of some flows.
pub struct ControlNode {
    pub address: SocketAddr,
    pub region: usize,
    pub home: UsageHome,
}

impl ControlNode {
    pub fn new(index: usize, region: usize) -> Self {
        Self {
            address: SocketAddr::from(([10, 0, 0, index as u8 + 1], 7400)),
            region,
            home: UsageHome::new(),
        }
    }
}

pub fn flow(organisation: usize) -> FlowKey {
    FlowKey {
        organisation: OrganisationName::from(format!("org-{organisation:02}").as_str()),
        service: ServiceName::from(SERVICE),
    }
}

pub fn offer(request: &CallerRequest, weight: u32) -> RequestOffer {
    RequestOffer {
        request: request.id,
        flow: flow(request.organisation),
        weight: FlowWeight(weight),
        cost_estimate: CostUnits(request.cost_estimate),
        prefix: PrefixHash(request.id.0 as u64),
        waited_ms: 0,
    }
}
