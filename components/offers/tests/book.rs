//! Property tests of the offer book against a naive model of the offers that each agent holds, with
//! faults among the inputs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use offers::{
    AgentView, BookAction, BookSettings, OfferBook, OfferTable, QueueError, TableAction,
    WaitingRequest,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use units::{ClockTime, CostUnits, FlowWeight, NodeName, OrganisationName, PrefixHash, RequestId};
use units::{ServiceName, SlotCount};
use wire::{EntryMessage, FlowKey, RequestOffer};

const MAX_WAITING: u32 = 5;

fn flow(organisation: u8) -> FlowKey {
    FlowKey {
        organisation: OrganisationName::from(format!("org-{organisation}").as_str()),
        service: ServiceName::from("stone-advice"),
    }
}

fn waiting(request: u8, deadline: ClockTime) -> WaitingRequest {
    WaitingRequest {
        offer: RequestOffer {
            request: RequestId(u128::from(request)),
            flow: flow(request % 3),
            weight: FlowWeight(1000),
            cost_estimate: CostUnits(10),
            prefix: PrefixHash(u64::from(request) << 56),
            waited_ms: 0,
        },
        deadline,
        max_waiting: MAX_WAITING,
    }
}

fn agent(index: u8) -> NodeName {
    NodeName::from(format!("agent-{index}").as_str())
}

/// Agents 0 to 3 are local, 4 and 5 are in another region.
fn view(index: u8) -> AgentView {
    AgentView {
        name: agent(index),
        service: ServiceName::from("stone-advice"),
        is_local: index < 4,
        free_slots: SlotCount(1),
    }
}

fn settings() -> BookSettings {
    BookSettings {
        wave_size: 2,
        ..BookSettings::default()
    }
}

/// Reference model: waiting requests and offers in plain maps.
#[derive(Debug, Default)]
struct NaiveBook {
    /// Waiting requests with their deadlines.
    waiting: BTreeMap<RequestId, ClockTime>,
    queued_at: BTreeMap<RequestId, ClockTime>,
    /// Offers that each connected agent holds.
    held_offers: BTreeMap<NodeName, BTreeSet<RequestId>>,
}

impl NaiveBook {
    /// Applies messages to the model of the agents, and returns the grants and expiries.
    fn apply(&mut self, actions: Vec<BookAction>, now: ClockTime) -> Vec<BookAction> {
        let mut outcomes = Vec::new();
        for action in actions {
            match action {
                BookAction::Send { agent, message } => self.apply_message(&agent, message, now),
                outcome => outcomes.push(outcome),
            }
        }
        outcomes
    }

    fn apply_message(&mut self, agent: &NodeName, message: EntryMessage, now: ClockTime) {
        let Some(held_offers) = self.held_offers.get_mut(agent) else {
            return;
        };
        match message {
            EntryMessage::Offer(offer) => {
                let queued = self.queued_at[&offer.request];
                let waited = now.since(queued);
                assert_eq!(waited.as_millis() as u64, offer.waited_ms);
                let is_remote = agent.as_str() >= "agent-4";
                assert!(
                    !is_remote || waited >= settings().spill_after,
                    "request was offered to another region after {waited:?}"
                );
                held_offers.insert(offer.request);
            }
            EntryMessage::Withdraw(request) => {
                held_offers.remove(&request);
            }
            EntryMessage::Ping(_) => {}
        }
    }

    fn waiting_count(&self, flow: &FlowKey) -> u32 {
        let requests = self.waiting.keys();
        let same = requests.filter(|request| self::flow(request.0 as u8 % 3) == *flow);
        same.count() as u32
    }
}

#[derive(Debug, Clone)]
enum Step {
    Enqueue {
        request: u8,
        deadline_ms: u64,
    },
    Claim {
        agent: u8,
        request: u8,
    },
    FreeSlots {
        agent: u8,
        free: u32,
    },
    Disconnect(u8),
    /// An agent drops its offers without a message, as it does when it stops and resumes serving.
    DropOffers(u8),
    SetAgents(BTreeSet<u8>),
    Cancel(u8),
    AdvanceTime(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let request = 0u8..30;
    prop_oneof![
        6 => (request.clone(), 1u64..1500)
            .prop_map(|(request, deadline_ms)| Step::Enqueue { request, deadline_ms }),
        4 => (0u8..6, request.clone()).prop_map(|(agent, request)| Step::Claim { agent, request }),
        1 => (0u8..6, 0u32..4).prop_map(|(agent, free)| Step::FreeSlots { agent, free }),
        1 => (0u8..6).prop_map(Step::Disconnect),
        1 => (0u8..6).prop_map(Step::DropOffers),
        2 => prop::collection::btree_set(0u8..6, 0..6).prop_map(Step::SetAgents),
        1 => request.prop_map(Step::Cancel),
        4 => (1u64..60).prop_map(Step::AdvanceTime),
    ]
}

/// Time within which a request is offered to every agent: the spill time plus four waves.
const ALL_WAVES_DURATION: Duration = Duration::from_millis(150 + 4 * 20);

proptest! {
    #![proptest_config(Config {
        cases: 600,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..Config::default()
    })]

    /// Guards against double grants, lost requests, offers that an agent holds after the request
    /// has been removed, and agents that are never offered a waiting request.
    #[test]
    fn book_matches_the_naive_model(steps in prop::collection::vec(step(), 1..120)) {
        let mut now = ClockTime(1000);
        let mut book = OfferBook::new(settings());
        let mut naive = NaiveBook::default();
        let mut has_dropped_offers = false;
        for step in steps {
            match step {
                Step::Enqueue { request, deadline_ms } => {
                    let deadline = now + Duration::from_millis(deadline_ms);
                    let request = waiting(request, deadline);
                    let id = request.offer.request;
                    let waiting_count = naive.waiting_count(&request.offer.flow);
                    let expected = if naive.waiting.contains_key(&id) {
                        Some(QueueError::Duplicate(id))
                    } else if waiting_count >= MAX_WAITING {
                        Some(QueueError::Full { waiting: waiting_count, max: MAX_WAITING })
                    } else {
                        None
                    };
                    match book.enqueue(request, now) {
                        Ok(actions) => {
                            prop_assert_eq!(expected, None);
                            naive.waiting.insert(id, deadline);
                            naive.queued_at.insert(id, now);
                            prop_assert!(naive.apply(actions, now).is_empty());
                        }
                        Err(error) => prop_assert_eq!(Some(error), expected),
                    }
                }
                Step::Claim { agent: index, request } => {
                    let name = agent(index);
                    let request = RequestId(u128::from(request));
                    let holds_offer = naive
                        .held_offers
                        .get(&name)
                        .is_some_and(|held_offers| held_offers.contains(&request));
                    let outcomes = naive.apply(book.handle_claim(&name, request, now), now);
                    if holds_offer {
                        // Offers are withdrawn with their request, so a held offer can be granted.
                        let grant = BookAction::Grant { agent: name.clone(), request };
                        prop_assert_eq!(outcomes, vec![grant]);
                        naive.waiting.remove(&request).expect("the request is waiting");
                        naive
                            .held_offers
                            .get_mut(&name)
                            .expect("the agent is known")
                            .remove(&request);
                    } else if !has_dropped_offers {
                        prop_assert!(outcomes.is_empty(), "request was granted without an offer");
                    } else {
                        for outcome in outcomes {
                            prop_assert_eq!(
                                outcome,
                                BookAction::Grant { agent: name.clone(), request }
                            );
                            naive.waiting.remove(&request).expect("the request is waiting");
                        }
                    }
                }
                Step::FreeSlots { agent: index, free } => {
                    let actions = book.handle_free_slots(&agent(index), SlotCount(free), now);
                    prop_assert!(actions.len() <= free as usize);
                    prop_assert!(naive.apply(actions, now).is_empty());
                }
                Step::Disconnect(index) => {
                    naive.held_offers.remove(&agent(index));
                    let actions = book.disconnect_agent(&agent(index), now);
                    prop_assert!(naive.apply(actions, now).is_empty());
                }
                Step::DropOffers(index) => {
                    if let Some(held_offers) = naive.held_offers.get_mut(&agent(index)) {
                        held_offers.clear();
                        has_dropped_offers = true;
                    }
                }
                Step::SetAgents(indices) => {
                    for index in 0..6 {
                        if indices.contains(&index) {
                            naive.held_offers.entry(agent(index)).or_default();
                        }
                    }
                    let actions = book.set_agents(indices.iter().copied().map(view).collect(), now);
                    prop_assert!(naive.apply(actions, now).is_empty());
                    naive
                        .held_offers
                        .retain(|name, _| indices.iter().any(|index| agent(*index) == *name));
                }
                Step::Cancel(request) => {
                    let request = RequestId(u128::from(request));
                    naive.waiting.remove(&request);
                    prop_assert!(naive.apply(book.cancel(request), now).is_empty());
                }
                Step::AdvanceTime(ms) => {
                    now = now + Duration::from_millis(ms);
                    let expired: BTreeSet<RequestId> = naive
                        .waiting
                        .iter()
                        .filter(|(_, deadline)| **deadline <= now)
                        .map(|(request, _)| *request)
                        .collect();
                    naive.waiting.retain(|_, deadline| *deadline > now);
                    let outcomes = naive.apply(book.tick(now), now);
                    let outcomes = outcomes.into_iter().map(|outcome| match outcome {
                        BookAction::Expire { request } => request,
                        other => panic!("unexpected action of a tick: {other:?}"),
                    });
                    prop_assert_eq!(outcomes.collect::<BTreeSet<_>>(), expired);
                }
            }
            prop_assert_eq!(book.len(), naive.waiting.len());
            for held_offers in naive.held_offers.values() {
                let stale_offer = held_offers
                    .iter()
                    .find(|request| !naive.waiting.contains_key(request));
                prop_assert_eq!(stale_offer, None, "an agent holds an offer of a removed request");
            }
        }
        if has_dropped_offers {
            return Ok(());
        }
        let end = now + ALL_WAVES_DURATION;
        while now < end {
            now = now + Duration::from_millis(10);
            naive.waiting.retain(|_, deadline| *deadline > now);
            let actions = book.tick(now);
            naive.apply(actions, now);
        }
        for (name, held_offers) in &naive.held_offers {
            let all: BTreeSet<RequestId> = naive.waiting.keys().copied().collect();
            prop_assert_eq!(held_offers, &all, "{} was not offered all waiting requests", name);
        }
    }
}

/// Guards against an agent that remains idle after it has dropped its offers.
#[test]
fn free_slots_message_repeats_dropped_offers() {
    let mut book = OfferBook::new(settings());
    let start = ClockTime(1000);
    book.set_agents(vec![view(0)], start);
    let deadline = start + Duration::from_secs(60);
    book.enqueue(waiting(1, deadline), start)
        .expect("the request is queued");

    let later = start + Duration::from_secs(2);
    let actions = book.handle_free_slots(&agent(0), SlotCount(1), later);

    let is_offer = matches!(
        actions.as_slice(),
        [BookAction::Send { message: EntryMessage::Offer(offer), .. }] if offer.request.0 == 1
    );
    assert!(is_offer, "request 1 was not offered: {actions:?}");
}

/// Guards against an agent that remains idle for seconds while a request waits that was offered to
/// it shortly before its target returned: the agent has dropped the offer, and its entry does not
/// repeat an offer at once.
#[test]
fn agent_that_returns_gets_waiting_requests_soon() {
    let start = ClockTime(1000);
    let entry = NodeName::from("entry-1");
    let mut book = OfferBook::new(settings());
    book.set_agents(vec![view(0)], start);
    let mut table = OfferTable::new(ServiceName::from("stone-advice"), SlotCount(1));
    table.connect_entry(&entry, start);
    table.set_serving(false, start);
    let offers = book.enqueue(waiting(1, start + Duration::from_secs(60)), start);
    for action in offers.expect("the request is queued") {
        if let BookAction::Send {
            message: EntryMessage::Offer(offer),
            ..
        } = action
        {
            assert!(table.add_offer(&entry, offer, start).is_empty());
        }
    }

    let returned = start + Duration::from_millis(300);
    let mut now = returned;
    let mut actions = table.set_serving(true, now);
    while !actions.iter().any(is_claim) {
        assert!(now.since(returned) < Duration::from_secs(2), "no claim");
        let mut replies = Vec::new();
        for action in actions {
            if let TableAction::FreeSlots { free, .. } = action {
                replies.extend(book.handle_free_slots(&agent(0), free, now));
            }
        }
        now = now + Duration::from_millis(50);
        actions = table.tick(now);
        for reply in replies {
            if let BookAction::Send {
                message: EntryMessage::Offer(offer),
                ..
            } = reply
            {
                actions.extend(table.add_offer(&entry, offer, now));
            }
        }
    }
}

fn is_claim(action: &TableAction) -> bool {
    matches!(action, TableAction::Claim { .. })
}

/// Guards against an organisation with many waiting requests that receives all free slots of an
/// agent.
#[test]
fn answer_to_free_slots_contains_requests_of_every_flow() {
    let mut book = OfferBook::new(settings());
    let now = ClockTime(1000);
    let deadline = now + Duration::from_secs(60);
    for request in [0, 3, 6, 9, 1, 2] {
        book.enqueue(waiting(request, deadline), now)
            .expect("the request is queued");
    }
    book.set_agents(vec![view(4)], now);

    let later = now + Duration::from_millis(200);
    let actions = book.handle_free_slots(&agent(4), SlotCount(3), later);

    let flows: BTreeSet<u128> = actions
        .iter()
        .map(|action| match action {
            BookAction::Send {
                message: EntryMessage::Offer(offer),
                ..
            } => offer.request.0 % 3,
            other => panic!("unexpected action: {other:?}"),
        })
        .collect();
    assert_eq!(flows, BTreeSet::from([0, 1, 2]));
}
