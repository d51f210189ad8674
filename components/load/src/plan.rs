//! Schedule of a run, generated from the seed of the profile.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::caller::CallKind;
use crate::profile::LoadProfile;

/// A request with its planned send time.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedCall {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the organisation in the profile.
    pub organisation: usize,
    /// What is requested.
    pub kind: CallKind,
}

/// Generates the requests of a run in order of time. The same profile gives the same requests.
///
/// Inter-arrival times are exponentially distributed, and organisations are drawn in proportion to
/// their shares.
pub fn plan_calls(profile: &LoadProfile) -> Vec<PlannedCall> {
    let mut rng = StdRng::seed_from_u64(profile.seed);
    let end = Duration::from_secs(profile.duration_s);
    let mut calls = Vec::new();
    let mut at = Duration::ZERO;
    while (calls.len() as u64) < profile.max_requests {
        let uniform: f64 = rng.random();
        at += Duration::from_secs_f64(-(1.0 - uniform).ln() / profile.requests_per_s);
        if at >= end {
            break;
        }
        let organisation = pick_organisation(profile, &mut rng);
        let kind = pick_kind(profile, calls.len(), organisation, &mut rng);
        calls.push(PlannedCall {
            at,
            organisation,
            kind,
        });
    }
    calls
}

fn pick_organisation(profile: &LoadProfile, rng: &mut StdRng) -> usize {
    let total: f64 = profile.organisations.iter().map(|org| org.share).sum();
    let mut remaining = rng.random::<f64>() * total;
    for (index, organisation) in profile.organisations.iter().enumerate() {
        remaining -= organisation.share;
        if remaining < 0.0 {
            return index;
        }
    }
    profile.organisations.len() - 1
}

fn pick_kind(
    profile: &LoadProfile,
    number: usize,
    organisation: usize,
    rng: &mut StdRng,
) -> CallKind {
    let name = &profile.organisations[organisation].name;
    let (kind, streamed): (f64, f64) = (rng.random(), rng.random());
    let max_tokens = rng.random_range(profile.tokens.least..=profile.tokens.most);
    let seed = profile.seed;
    if kind < profile.mix.chat {
        CallKind::Chat {
            service: profile.services.model.clone(),
            prompt: format!("{name} asks question {number} of run {seed}"),
            max_tokens,
            stream: streamed < profile.mix.streamed,
        }
    } else if kind < profile.mix.chat + profile.mix.bookings {
        CallKind::Booking {
            service: profile.services.bookings.clone(),
            id: format!("{name}-{seed}-{number}"),
        }
    } else {
        CallKind::Record {
            service: profile.services.records.clone(),
            path: format!("{name}/{number}"),
        }
    }
}
