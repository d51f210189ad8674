//! Loads of targets over all entries, for the services whose targets are evened out.

use std::collections::BTreeMap;
use std::time::Duration;

use balance::{LoadLog, LoadView, ServiceLoad, SessionTargets};
use units::{ClockTime, NodeName, ServiceName};
use wire::{LoadReply, LoadReport, TargetLoad};

use crate::table::PlacementTable;
use crate::target::TargetKey;

/// Loads that made a request go to another target than the first of its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadMove {
    /// First target of the session.
    pub first: NodeName,
    /// Its estimated load, in thousandths of a running request.
    pub first_load: u64,
    /// Estimated load of the selected target.
    pub load: u64,
    /// Mean load of the service's targets.
    pub mean: u64,
    /// Mean age of what is known of the other entries.
    pub age: Duration,
    /// Whether the request fits into the memory of the first target.
    pub has_memory: bool,
}

/// What an entry reports and knows of the loads of targets.
#[derive(Debug)]
pub(crate) struct LoadBook {
    /// Services whose targets are evened out, with the memory of each target in tokens.
    services: BTreeMap<ServiceName, u64>,
    log: LoadLog,
    view: LoadView,
    sessions: SessionTargets,
}

impl LoadBook {
    pub(crate) fn new() -> Self {
        Self {
            services: BTreeMap::new(),
            log: LoadLog::new(),
            view: LoadView::new(),
            sessions: SessionTargets::default(),
        }
    }

    /// Memory of each target of a service, if its targets are evened out.
    pub(crate) fn cache_tokens(&self, service: &ServiceName) -> Option<u64> {
        self.services.get(service).copied()
    }

    /// Hash of the target that last got a request of a session.
    pub(crate) fn last_target(&self, session: u64) -> Option<u64> {
        self.sessions.get(session)
    }

    pub(crate) fn record_session(&mut self, service: &ServiceName, session: u64, target: u64) {
        if self.services.contains_key(service) {
            self.sessions.record(session, target);
        }
    }
}

impl PlacementTable {
    /// Sets the services whose targets are evened out, with the memory of each target in tokens.
    pub fn set_even_services(&mut self, services: BTreeMap<ServiceName, u64>) {
        self.loads.services = services;
    }

    /// Whether the targets of a service are evened out.
    pub fn is_even_service(&self, service: &ServiceName) -> bool {
        self.loads.services.contains_key(service)
    }

    /// Report of the load that this entry puts on targets; `None` if no service needs it.
    pub fn take_load_report(&mut self) -> Option<LoadReport> {
        if self.loads.services.is_empty() {
            return None;
        }
        let keys = self.targets.iter();
        let even = keys.filter(|(_, record)| self.is_even_service(&record.info.service));
        let loads: Vec<TargetLoad> = even
            .map(|(_, record)| TargetLoad {
                target: record.hash,
                running: record.running,
                held_tokens: record.memory.held_tokens(),
                common_tokens: record.memory.common_tokens(),
            })
            .collect();
        Some(self.loads.log.take_report(loads))
    }

    /// Takes over the totals of a reply to the report that was taken at `reported_at`.
    pub fn apply_load_reply(&mut self, reply: &LoadReply, reported_at: ClockTime) {
        let LoadBook { log, view, .. } = &mut self.loads;
        if let Some(own) = log.apply_reply(reply) {
            view.apply_reply(reply, own, reported_at);
        }
    }

    /// Mean age of what is known of the other entries' loads; `None` if it is not used.
    pub fn load_age(&self, now: ClockTime) -> Option<Duration> {
        self.loads.view.age(now)
    }

    /// Loads of a service's targets; `None` if they are not evened out or no current view exists.
    pub(crate) fn service_load(
        &self,
        service: &ServiceName,
        now: ClockTime,
    ) -> Option<ServiceLoad<'_>> {
        if !self.is_even_service(service) {
            return None;
        }
        let keys = self.targets.iter();
        let serving =
            keys.filter(|(_, record)| record.is_serving() && record.info.service == *service);
        let loads = serving.map(|(key, _): (TargetKey, _)| self.load_candidate(key));
        ServiceLoad::new(&self.loads.view, loads, now)
    }
}
