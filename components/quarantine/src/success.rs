//! Times of the latest complete response to requests with each trait.

use std::collections::HashMap;
use std::time::Duration;

use units::{ClockTime, ServiceName};
use wire::{RequestTrait, ServiceTrait};

/// Maximum number of traits in a generation. Prompts may have parts that are never used again.
const MAX_GENERATION_LEN: usize = 4_096;

/// Time after which a new generation begins.
const GENERATION_TIME: Duration = Duration::from_secs(60);

type TraitTimes = HashMap<ServiceName, HashMap<RequestTrait, ClockTime>>;

/// Success times in two generations, of which the older one is dropped when a new one begins.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuccessHistory {
    newer: TraitTimes,
    older: TraitTimes,
    newer_len: usize,
    newer_since: ClockTime,
}

impl SuccessHistory {
    /// Records a complete response to a request with these traits.
    pub(crate) fn record(
        &mut self,
        service: &ServiceName,
        traits: &[RequestTrait],
        now: ClockTime,
    ) {
        let is_full = self.newer_len + traits.len() > MAX_GENERATION_LEN;
        if is_full || now.since(self.newer_since) >= GENERATION_TIME {
            self.older = std::mem::take(&mut self.newer);
            self.newer_len = 0;
            self.newer_since = now;
        }
        if !self.newer.contains_key(service) {
            self.newer.insert(service.clone(), HashMap::new());
        }
        if let Some(times) = self.newer.get_mut(service) {
            for request_trait in traits {
                let is_new = times.insert(*request_trait, now).is_none();
                self.newer_len += usize::from(is_new);
            }
        }
    }

    /// Time of the latest complete response, if it is still kept.
    pub(crate) fn latest(&self, subject: &ServiceTrait) -> Option<ClockTime> {
        let time_in = |times: &TraitTimes| {
            let times = times.get(&subject.service)?;
            times.get(&subject.request_trait).copied()
        };
        time_in(&self.newer).or_else(|| time_in(&self.older))
    }
}
