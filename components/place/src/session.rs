//! Selection of a target for a request of a session.

use std::time::Duration;

use balance::{CANDIDATE_COUNT, LoadCandidate, ServiceLoad};
use units::ClockTime;
use wire::stable_hash;

use crate::even::LoadMove;
use crate::table::{PlacementRequest, PlacementTable};
use crate::target::TargetKey;

/// Percentage of a request's latency objective after which a target that has not returned the first
/// byte of an earlier request is late and gets no further requests of sessions.
///
/// Entries admit a burst before the organisation's share is known. Because of this limit, the burst
/// waits in the [`WaitQueue`](crate::WaitQueue), where organisations take turns, and not at the
/// target.
const LATE_PERCENT: u32 = 60;

impl PlacementTable {
    /// Selects the session's preferred target or its second choice, both fixed by a hash.
    ///
    /// Any other target would have to process the whole prompt again. The second choice is used
    /// only if the preferred target has stalled, is full or is cold; the request waits if both are
    /// late.
    pub(crate) fn select_for_session(
        &self,
        session: u64,
        objective: Duration,
        candidates: &[TargetKey],
        now: ClockTime,
    ) -> Option<TargetKey> {
        let (preferred, second) = self.highest_scores(session, candidates)?;
        let is_late =
            |key: TargetKey| self.targets[key].longest_wait(now) > objective * LATE_PERCENT / 100;
        if self.has_capacity(preferred, now) && !is_late(preferred) {
            return Some(preferred);
        }
        let has_stalled = !self.has_capacity(preferred, now)
            || self.targets[preferred].longest_wait(now) > objective;
        let second = second.filter(|_| has_stalled)?;
        (self.has_capacity(second, now) && !is_late(second)).then_some(second)
    }

    /// Candidates with the highest and second highest score for a session.
    fn highest_scores(
        &self,
        session: u64,
        candidates: &[TargetKey],
    ) -> Option<(TargetKey, Option<TargetKey>)> {
        let mut highest: Option<(u64, TargetKey)> = None;
        let mut second: Option<(u64, TargetKey)> = None;
        for key in candidates {
            let scored = (self.score(session, *key), *key);
            if highest.is_none_or(|highest| scored.0 > highest.0) {
                second = highest.replace(scored);
            } else if second.is_none_or(|second| scored.0 > second.0) {
                second = Some(scored);
            }
        }
        let (_, highest) = highest?;
        Some((highest, second.map(|(_, key)| key)))
    }

    fn score(&self, session: u64, key: TargetKey) -> u64 {
        let name = self.targets[key].info.name.as_str();
        stable_hash(&[&session.to_le_bytes(), name.as_bytes()])
    }

    /// Selects a target by the loads over all entries: among the first ones in the order of the session,
    /// the first whose load is under its bound, else the least loaded one. The target that this entry used
    /// last for the session comes first and has a higher bound.
    ///
    /// As in [`select_for_session`](Self::select_for_session), the request waits if that target is late
    /// but has not stalled. One whose memory is used up is skipped.
    pub(crate) fn select_by_load(
        &self,
        load: &ServiceLoad<'_>,
        session: u64,
        request: &PlacementRequest,
        candidates: &[TargetKey],
        now: ClockTime,
    ) -> Option<(TargetKey, Option<LoadMove>)> {
        let mut order = self.session_order(session, candidates);
        let first = *order.first()?;
        let last = self.loads.last_target(session);
        let is_last = |key: TargetKey| Some(self.targets[key].hash) == last;
        order.sort_by_key(|key| !is_last(*key));
        let wait = |key: TargetKey| self.targets[key].longest_wait(now);
        let is_late = |key: TargetKey| wait(key) > request.objective * LATE_PERCENT / 100;
        let is_open =
            |key: TargetKey| self.has_capacity(key, now) && self.has_memory(load, key, request);
        let estimate = |key: TargetKey| load.estimate(&self.load_candidate(key));
        let mut open = order.iter().copied().filter(|key| is_open(*key));
        let within_bound = open.find(|key| {
            wait(*key) <= request.objective && load.is_within_bound(&estimate(*key), is_last(*key))
        });
        let selected = match within_bound {
            Some(key) => Some(key).filter(|key| !is_late(*key)),
            None => {
                let open = order.iter().copied();
                let open = open.filter(|key| is_open(*key) && !is_late(*key));
                open.min_by_key(|key| estimate(*key).load)
            }
        }?;
        let is_moved_by_load = selected != first
            && !is_last(selected)
            && (!load.is_within_bound(&estimate(first), is_last(first))
                || !self.has_memory(load, first, request));
        let load_move = is_moved_by_load.then(|| LoadMove {
            first: self.targets[first].info.name.clone(),
            first_load: estimate(first).load,
            load: estimate(selected).load,
            mean: load.mean(),
            age: load.age(),
            has_memory: self.has_memory(load, first, request),
        });
        Some((selected, load_move))
    }

    /// Whether the request fits into the memory of a target beside the requests of all entries.
    fn has_memory(
        &self,
        load: &ServiceLoad<'_>,
        key: TargetKey,
        request: &PlacementRequest,
    ) -> bool {
        let cache_tokens = self.loads.cache_tokens(&request.service);
        let (Some(memory), Some(cache_tokens)) = (&request.memory, cache_tokens) else {
            return true;
        };
        let (held_tokens, common_tokens) = self.targets[key].memory.needed(memory);
        let mut candidate = self.load_candidate(key);
        candidate.own_held_tokens = candidate.own_held_tokens.saturating_add(held_tokens);
        candidate.own_common_tokens = candidate.own_common_tokens.saturating_add(common_tokens);
        load.has_memory(&candidate, cache_tokens)
    }

    /// Load that this entry has put on a target.
    pub(crate) fn load_candidate(&self, key: TargetKey) -> LoadCandidate {
        let record = &self.targets[key];
        LoadCandidate {
            target: record.hash,
            own_running: record.running,
            own_held_tokens: record.memory.held_tokens(),
            own_common_tokens: record.memory.common_tokens(),
        }
    }

    /// Candidates with the highest scores for a session, the highest first.
    fn session_order(&self, session: u64, candidates: &[TargetKey]) -> Vec<TargetKey> {
        let mut highest: Vec<(u64, TargetKey)> = Vec::with_capacity(CANDIDATE_COUNT + 1);
        for key in candidates {
            let score = self.score(session, *key);
            let index = highest.partition_point(|(other, _)| *other >= score);
            if index < CANDIDATE_COUNT {
                highest.insert(index, (score, *key));
                highest.truncate(CANDIDATE_COUNT);
            }
        }
        highest.into_iter().map(|(_, key)| key).collect()
    }
}
