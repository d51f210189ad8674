//! Property tests of the offer table against a naive table that scans all offers, with faults among
//! the inputs.

use std::collections::BTreeMap;
use std::time::Duration;

use fair::{UsageLedger, weighted_cost};
use offers::{CLAIM_TIMEOUT, OfferTable, StartOutcome, TableAction};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, CostUnits, FlowWeight, NodeName, OrganisationName, PrefixHash, RequestId};
use units::{ServiceName, SlotCount};
use wire::{FlowActivity, FlowId, FlowKey, FlowTotal, FlowUsage, RequestOffer, UsageTotals};

fn service() -> ServiceName {
    ServiceName::from("stone-advice")
}

fn entry(index: u8) -> NodeName {
    NodeName::from(format!("entry-{index}").as_str())
}

fn flow(index: u8) -> FlowKey {
    FlowKey {
        organisation: OrganisationName::from(format!("org-{index}").as_str()),
        service: service(),
    }
}

fn offer(request: u8, organisation: u8, cost_estimate: u64) -> RequestOffer {
    RequestOffer {
        request: RequestId(u128::from(request)),
        flow: flow(organisation),
        weight: FlowWeight(1000 + 500 * u32::from(organisation)),
        cost_estimate: CostUnits(cost_estimate),
        prefix: PrefixHash(0),
        waited_ms: 0,
    }
}

#[derive(Debug, Clone)]
struct NaiveSlot {
    entry: NodeName,
    offer: RequestOffer,
    charged: u64,
    claim_expiry: Option<ClockTime>,
}

/// Reference table that recomputes the order from plain lists for each choice.
#[derive(Debug)]
struct NaiveTable {
    limit: usize,
    is_serving: bool,
    ledger: UsageLedger,
    offers: Vec<(ClockTime, NodeName, RequestOffer)>,
    slots: BTreeMap<RequestId, NaiveSlot>,
    /// Cost estimates of requests granted to other agents, with the time of the first grant.
    granted_elsewhere: BTreeMap<FlowKey, (ClockTime, u64)>,
    open: BTreeMap<FlowKey, bool>,
}

impl NaiveTable {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            is_serving: true,
            ledger: UsageLedger::new(),
            offers: Vec::new(),
            slots: BTreeMap::new(),
            granted_elsewhere: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }

    /// Selects a claimed or running request, or request 23, which may be neither.
    fn claimed_or_running(&self, index: u8) -> RequestId {
        let requests = self.slots.keys().copied();
        let requests: Vec<RequestId> = requests.chain([RequestId(23)]).collect();
        requests[usize::from(index) % requests.len()]
    }

    fn is_open(&self, flow: &FlowKey) -> bool {
        let has_offers = self.offers.iter().any(|(_, _, offer)| offer.flow == *flow);
        has_offers || self.slots.values().any(|slot| slot.offer.flow == *flow)
    }

    fn score(&self, offer: &RequestOffer) -> u64 {
        let slots = self.slots.values();
        let reserve: u64 = slots
            .filter(|slot| slot.offer.flow == offer.flow)
            .map(|slot| slot.offer.cost_estimate.0.saturating_sub(slot.charged))
            .sum();
        let elsewhere = self
            .granted_elsewhere
            .get(&offer.flow)
            .map_or(0, |(_, cost_estimate)| *cost_estimate);
        self.ledger.counter(&offer.flow, offer.weight)
            + weighted_cost(CostUnits(reserve + elsewhere), offer.weight)
    }

    fn add_offer(&mut self, name: &NodeName, offer: RequestOffer, now: ClockTime) {
        let is_duplicate = self.slots.contains_key(&offer.request)
            || self
                .offers
                .iter()
                .any(|(_, _, existing)| existing.request == offer.request);
        if !self.is_serving || is_duplicate {
            return;
        }
        self.ledger.mark_backlogged(&offer.flow, offer.weight, now);
        if !self.is_open(&offer.flow) {
            self.ledger.open_flow(&offer.flow, now);
        }
        self.offers.push((now, name.clone(), offer));
    }

    fn withdraw(&mut self, name: &NodeName, request: RequestId, now: ClockTime) {
        let claim = self.slots.get(&request);
        if let Some(slot) = claim.filter(|slot| slot.claim_expiry.is_some() && slot.entry == *name)
        {
            let offer = slot.offer.clone();
            self.record_grant_elsewhere(&offer, now);
            self.slots.remove(&request);
        } else if let Some(index) = self.position(name, request) {
            let (_, _, offer) = self.offers.remove(index);
            self.record_grant_elsewhere(&offer, now);
        }
        self.close_idle_flows(now);
    }

    fn record_grant_elsewhere(&mut self, offer: &RequestOffer, now: ClockTime) {
        let (since, cost_estimate) = self
            .granted_elsewhere
            .entry(offer.flow.clone())
            .or_insert((now, 0));
        if *cost_estimate == 0 || now.since(*since) >= Duration::from_secs(1) {
            (*since, *cost_estimate) = (now, 0);
        }
        *cost_estimate += offer.cost_estimate.0;
    }

    fn position(&self, name: &NodeName, request: RequestId) -> Option<usize> {
        let mut offers = self.offers.iter();
        offers.position(|(_, entry, offer)| offer.request == request && entry == name)
    }

    fn drop_claims(&mut self, is_dropped: impl Fn(&NaiveSlot) -> bool) {
        self.slots
            .retain(|_, slot| slot.claim_expiry.is_none() || !is_dropped(slot));
    }

    /// Closes flows in the ledger that have no offers, claims or runs any more.
    fn close_idle_flows(&mut self, now: ClockTime) {
        let flows: Vec<FlowKey> = (0..4).map(flow).collect();
        for flow in flows {
            let is_open = self.is_open(&flow);
            let was_open = self.open.insert(flow.clone(), is_open).unwrap_or(false);
            if was_open && !is_open {
                self.ledger.close_flow(&flow, now);
                self.granted_elsewhere.remove(&flow);
            }
        }
    }

    /// While slots are free, claims the offer with the lowest score, and the oldest among equals.
    fn claim_free_slots(&mut self, now: ClockTime) -> Vec<RequestId> {
        self.close_idle_flows(now);
        let mut claims = Vec::new();
        while self.is_serving && self.slots.len() < self.limit && !self.offers.is_empty() {
            let best = (0..self.offers.len())
                .min_by_key(|index| {
                    let (since, _, offer) = &self.offers[*index];
                    (self.score(offer), *since, offer.request)
                })
                .expect("offers is not empty");
            let (_, entry, offer) = self.offers.remove(best);
            claims.push(offer.request);
            let slot = NaiveSlot {
                entry,
                offer,
                charged: 0,
                claim_expiry: Some(now + CLAIM_TIMEOUT),
            };
            self.slots.insert(slot.offer.request, slot);
        }
        claims
    }

    fn start(&mut self, request: RequestId) -> StartOutcome {
        let Some(slot) = self.slots.get_mut(&request) else {
            return StartOutcome::NotClaimed;
        };
        if slot.claim_expiry.take().is_none() {
            return StartOutcome::AlreadyRunning;
        }
        let counter = self.ledger.counter(&slot.offer.flow, slot.offer.weight);
        self.ledger.merge_virtual_time(&service(), counter);
        StartOutcome::Started
    }

    fn charge(&mut self, request: RequestId, cost: u64, now: ClockTime) {
        if let Some(slot) = self.slots.get_mut(&request)
            && slot.claim_expiry.is_none()
        {
            let increase = cost.saturating_sub(slot.charged);
            slot.charged += increase;
            self.ledger
                .charge(&slot.offer.flow, CostUnits(increase), now);
        }
    }

    fn is_waiting(&self, flow: FlowId) -> bool {
        let mut offers = self.offers.iter();
        offers.any(|(_, _, offer)| FlowId::of(&offer.flow) == flow)
    }

    fn take_report(&mut self, now: ClockTime) -> Vec<FlowUsage> {
        let waiting = (0..4).map(|index| FlowId::of(&flow(index)));
        let waiting: Vec<FlowId> = waiting.filter(|flow| self.is_waiting(*flow)).collect();
        self.ledger.take_report(now, |flow| waiting.contains(&flow))
    }

    fn apply_totals(&mut self, reported: &[FlowUsage], answer: &UsageTotals) {
        self.ledger
            .merge_virtual_time(&service(), answer.virtual_time);
        self.ledger.apply_totals(reported, &answer.totals);
        for total in &answer.totals {
            self.granted_elsewhere
                .retain(|flow, _| FlowId::of(flow) != total.flow);
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Offer {
        entry: u8,
        request: u8,
        organisation: u8,
        cost_estimate: u64,
    },
    Withdraw {
        entry: u8,
        request: u8,
    },
    Disconnect(u8),
    Start(u8),
    Charge(u8, u64),
    End(u8),
    /// A report, and an answer with the total of one flow and a virtual time.
    Report(u8, u64, u64),
    /// A report without an answer.
    UnansweredReport,
    Limit(u32),
    Serve(bool),
    AdvanceTime(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let request = 0u8..24;
    prop_oneof![
        8 => (0u8..3, request.clone(), 0u8..4, 0u64..100).prop_map(
            |(entry, request, organisation, cost_estimate)| Step::Offer {
                entry, request, organisation, cost_estimate
            }
        ),
        3 => (0u8..3, request.clone())
            .prop_map(|(entry, request)| Step::Withdraw { entry, request }),
        1 => (0u8..3).prop_map(Step::Disconnect),
        6 => any::<u8>().prop_map(Step::Start),
        8 => (any::<u8>(), 0u64..150).prop_map(|(index, cost)| Step::Charge(index, cost)),
        3 => any::<u8>().prop_map(Step::End),
        3 => (0u8..4, 0u64..2000, 0u64..400_000).prop_map(
            |(organisation, total, time)| Step::Report(organisation, total, time)
        ),
        1 => Just(Step::UnansweredReport),
        1 => (0u32..6).prop_map(Step::Limit),
        1 => any::<bool>().prop_map(Step::Serve),
        3 => (0u64..2000).prop_map(Step::AdvanceTime),
    ]
}

fn claims(actions: &[TableAction]) -> Vec<RequestId> {
    let claims = actions.iter().filter_map(|action| match action {
        TableAction::Claim { request, .. } => Some(*request),
        _ => None,
    });
    claims.collect()
}

proptest! {
    #![proptest_config(Config {
        cases: 600,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31),
        ..Config::default()
    })]

    /// Guards against claims for another flow than the least served one, leaked slots, and more
    /// claims and runs than the limit, with repeated, late and lost messages.
    #[test]
    fn claims_match_a_scan_of_all_offers(steps in prop::collection::vec(step(), 1..120)) {
        let mut now = ClockTime(1000);
        let mut table = OfferTable::new(service(), SlotCount(2));
        let mut naive = NaiveTable::new(2);
        for step in steps {
            let actions = match step {
                Step::Offer { entry: index, request, organisation, cost_estimate } => {
                    // A request keeps its organisation when it is offered again.
                    let organisation = (organisation & 2) | (request & 1);
                    let offer = offer(request, organisation, cost_estimate);
                    naive.add_offer(&entry(index), offer.clone(), now);
                    table.add_offer(&entry(index), offer, now)
                }
                Step::Withdraw { entry: index, request } => {
                    let request = RequestId(u128::from(request));
                    naive.withdraw(&entry(index), request, now);
                    table.withdraw(&entry(index), request, now)
                }
                Step::Disconnect(index) => {
                    let name = entry(index);
                    naive.offers.retain(|(_, other, _)| *other != name);
                    naive.drop_claims(|slot| slot.entry == name);
                    table.disconnect_entry(&name, now)
                }
                Step::Start(index) => {
                    let request = naive.claimed_or_running(index);
                    prop_assert_eq!(table.start(request, now), naive.start(request));
                    continue;
                }
                Step::Charge(index, cost) => {
                    let request = naive.claimed_or_running(index);
                    naive.charge(request, cost, now);
                    table.charge(request, CostUnits(cost), now);
                    continue;
                }
                Step::End(index) => {
                    let request = naive.claimed_or_running(index);
                    naive.slots.remove(&request);
                    table.finish(request, now)
                }
                Step::Report(organisation, total, virtual_time) => {
                    let answer = UsageTotals {
                        totals: vec![FlowTotal {
                            flow: FlowId::of(&flow(organisation)),
                            total: CostUnits(total),
                            is_backlogged_elsewhere: total % 2 == 0,
                        }],
                        virtual_time,
                    };
                    let reported = table.take_report(now);
                    prop_assert_eq!(&reported, &naive.take_report(now));
                    table.apply_totals(&reported, &answer);
                    naive.apply_totals(&reported, &answer);
                    continue;
                }
                Step::UnansweredReport => {
                    let reported = table.take_report(now);
                    prop_assert_eq!(&reported, &naive.take_report(now));
                    table.requeue_report(&reported);
                    naive.ledger.requeue_report(&reported);
                    continue;
                }
                Step::Limit(limit) => {
                    naive.limit = limit as usize;
                    table.set_limit(SlotCount(limit), now)
                }
                Step::Serve(is_serving) => {
                    naive.is_serving = is_serving;
                    if !is_serving {
                        naive.offers.clear();
                        naive.drop_claims(|_| true);
                    }
                    table.set_serving(is_serving, now)
                }
                Step::AdvanceTime(ms) => {
                    now = now + Duration::from_millis(ms);
                    naive.drop_claims(|slot| slot.claim_expiry.is_some_and(|end| end <= now));
                    table.tick(now)
                }
            };
            prop_assert_eq!(claims(&actions), naive.claim_free_slots(now));
            prop_assert_eq!(table.used_slots().0 as usize, naive.slots.len());
        }
    }
}

/// Guards against an agent with free slots that stops announcing them, and against a `FreeSlots`
/// message to every entry on every event.
#[test]
fn free_slots_are_announced_once_and_repeated_periodically() {
    let mut table = OfferTable::new(service(), SlotCount(2));
    let now = ClockTime(1000);
    let free_slots = [TableAction::FreeSlots {
        entry: entry(0),
        free: SlotCount(2),
    }];

    assert_eq!(table.connect_entry(&entry(0), now), free_slots);
    assert_eq!(table.tick(now), free_slots);
    assert!(table.tick(now + Duration::from_millis(4999)).is_empty());
    assert_eq!(table.tick(now + Duration::from_secs(5)), free_slots);
}

/// Guards against a `FreeSlots` message to every entry at the end of each short request.
#[test]
fn free_slots_are_announced_at_most_twice_per_second() {
    let mut table = OfferTable::new(service(), SlotCount(1));
    let start = ClockTime(1000);
    let mut free_slots_messages = 0;

    for round in 0..100 {
        let now = start + Duration::from_millis(10 * round);
        let request = RequestId(u128::from(round));
        let mut actions = table.add_offer(&entry(0), offer(round as u8, 0, 10), now);
        table.start(request, now);
        table.charge(request, CostUnits(10), now);
        actions.extend(table.finish(request, now));
        free_slots_messages += actions.len() - claims(&actions).len();
    }

    assert_eq!(free_slots_messages, 2);
}

/// Guards against a second run of a request whose start is repeated, and against a start after the
/// request has ended.
#[test]
fn request_starts_once() {
    let mut table = OfferTable::new(service(), SlotCount(1));
    let now = ClockTime(1000);
    let request = RequestId(1);
    table.add_offer(&entry(0), offer(1, 0, 10), now);

    assert_eq!(table.start(request, now), StartOutcome::Started);
    assert_eq!(table.start(request, now), StartOutcome::AlreadyRunning);
    table.withdraw(&entry(0), request, now);
    assert_eq!(
        table.used_slots(),
        SlotCount(1),
        "a withdrawal after the start must not end the run"
    );
    table.finish(request, now);
    assert_eq!(table.start(request, now), StartOutcome::NotClaimed);
}

/// Guards against a report that lacks flows whose totals are needed, and against one that requests
/// totals that are not used.
#[test]
fn totals_are_requested_for_flows_with_offers() {
    let mut table = OfferTable::new(service(), SlotCount(1));
    let now = ClockTime(1000);
    table.add_offer(&entry(0), offer(1, 0, 10), now);
    table.add_offer(&entry(0), offer(2, 1, 10), now);

    let reported = table.take_report(now);

    let activity = |index| {
        let mut usages = reported.iter();
        let usage = usages.find(|usage| usage.flow == FlowId::of(&flow(index)));
        usage.map(|usage| usage.activity)
    };
    assert_eq!(activity(0), Some(FlowActivity::Running));
    assert_eq!(activity(1), Some(FlowActivity::Waiting));
}

/// Guards against claims by outdated totals after an answer has arrived.
#[test]
fn answer_changes_the_order_of_flows() {
    let mut table = OfferTable::new(service(), SlotCount(1));
    let now = ClockTime(1000);
    for request in 1..=3 {
        table.add_offer(&entry(0), offer(request, request % 2, 0), now);
    }
    let reported = table.take_report(now);

    let total = FlowTotal {
        flow: FlowId::of(&flow(0)),
        total: CostUnits(500),
        is_backlogged_elsewhere: true,
    };
    let answer = UsageTotals {
        totals: vec![total],
        virtual_time: 0,
    };
    table.apply_totals(&reported, &answer);
    let actions = table.finish(RequestId(1), now);

    assert_eq!(
        claims(&actions),
        [RequestId(3)],
        "request 2 belongs to the flow with the higher total"
    );
}
