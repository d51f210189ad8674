//! Baseline scheduler: each request is assigned on arrival to the agent with the shortest queue and
//! served first come, first served.

use std::collections::{BTreeMap, VecDeque};

use super::meter::FleetMeter;
use super::settings::{FleetSettings, MAX_COST, SPILL_AFTER_MS, STEP_INTERVAL_MS, STEP_UNITS};

#[derive(Debug, Clone, Copy)]
struct AssignedRequest {
    organisation: usize,
    entry: usize,
    remaining: u64,
    queued_at: u64,
}

#[derive(Debug, Clone, Default)]
struct AgentQueue {
    waiting: VecDeque<AssignedRequest>,
    running: Vec<AssignedRequest>,
}

/// Simulates the baseline up to `end` in ms, with perfect knowledge of all queues.
pub fn run(settings: &FleetSettings, end: u64) -> FleetMeter {
    let weights = settings
        .weights
        .iter()
        .map(|weight| f64::from(*weight) / 1000.0);
    let mut meter = FleetMeter::new(weights.collect());
    let mut queues = vec![AgentQueue::default(); settings.agents];
    let mut waiting: BTreeMap<(usize, usize), u32> = BTreeMap::new();
    let mut random = settings.seed;
    for now in (0..end).step_by(STEP_INTERVAL_MS as usize) {
        for load in &settings.loads {
            let arrived = match now {
                0 => 8,
                _ => now / load.interval_ms - (now - STEP_INTERVAL_MS) / load.interval_ms,
            };
            for _ in 0..arrived {
                let count = waiting.entry((load.entry, load.organisation)).or_default();
                if *count >= settings.max_waiting {
                    meter.refused += 1;
                    continue;
                }
                *count += 1;
                random = random
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                let request = AssignedRequest {
                    organisation: load.organisation,
                    entry: load.entry,
                    remaining: 1 + (random >> 33) % MAX_COST,
                    queued_at: now,
                };
                let shortest = queues
                    .iter_mut()
                    .min_by_key(|queue| queue.waiting.len() + queue.running.len())
                    .expect("the fleet has an agent");
                shortest.waiting.push_back(request);
            }
        }
        for queue in &mut queues {
            serve(queue, settings.slots as usize, &mut waiting, &mut meter);
        }
        sample(&queues, settings, now, &mut meter);
    }
    meter
}

fn serve(
    queue: &mut AgentQueue,
    slots: usize,
    waiting: &mut BTreeMap<(usize, usize), u32>,
    meter: &mut FleetMeter,
) {
    while queue.running.len() < slots {
        let Some(request) = queue.waiting.pop_front() else {
            break;
        };
        *waiting
            .get_mut(&(request.entry, request.organisation))
            .expect("waiting requests are counted") -= 1;
        meter.granted += 1;
        queue.running.push(request);
    }
    for request in &mut queue.running {
        let units = STEP_UNITS.min(request.remaining);
        request.remaining -= units;
        meter.service[request.organisation] += units;
    }
    queue.running.retain(|request| request.remaining > 0);
}

fn sample(queues: &[AgentQueue], settings: &FleetSettings, now: u64, meter: &mut FleetMeter) {
    let mut backlogged = vec![false; settings.weights.len()];
    for request in queues.iter().flat_map(|queue| &queue.waiting) {
        backlogged[request.organisation] |= now.saturating_sub(request.queued_at) > SPILL_AFTER_MS;
    }
    meter.sample_gaps(&backlogged, now);
    if backlogged.contains(&true) {
        let busy = queues.iter().map(|queue| queue.running.len() as u64);
        meter.sample_slots(busy.sum(), queues.len() as u64 * u64::from(settings.slots));
    }
}
