//! An entry offers a request to two agents. One claim is granted, the other is answered with a
//! withdrawal.

use std::time::Duration;

use offers::WaitingRequest;
use offers::{AgentView, BookAction, BookSettings, OfferBook, OfferTable, TableAction};
use units::{ClockTime, CostUnits, FlowWeight, NodeName, OrganisationName, PrefixHash, RequestId};
use units::{ServiceName, SlotCount};
use wire::{EntryMessage, FlowKey, RequestOffer};

fn main() {
    let now = ClockTime(0);
    let service = ServiceName::from("stone-advice");
    let entry = NodeName::from("entry-1");
    let names = ["agent-1", "agent-2"].map(NodeName::from);
    let mut tables = names
        .clone()
        .map(|name| (name, OfferTable::new(service.clone(), SlotCount(1))));
    let mut book = OfferBook::new(BookSettings::default());
    let agents = names.map(|name| AgentView {
        name,
        service: service.clone(),
        is_local: true,
        free_slots: SlotCount(1),
    });
    book.set_agents(agents.into(), now);

    let request = WaitingRequest {
        offer: RequestOffer {
            request: RequestId(1),
            flow: FlowKey {
                organisation: OrganisationName::from("mlyn-hora"),
                service,
            },
            weight: FlowWeight(1000),
            cost_estimate: CostUnits(100),
            prefix: PrefixHash(0),
            waited_ms: 0,
        },
        deadline: now + Duration::from_secs(30),
        max_waiting: 256,
    };
    let mut actions = book.enqueue(request, now).expect("the queue is empty");
    while let Some(action) = actions.pop() {
        println!("entry: {action:?}");
        let BookAction::Send { agent, message } = action else {
            continue;
        };
        let (name, table) = tables
            .iter_mut()
            .find(|(name, _)| *name == agent)
            .expect("the agent is known");
        let claims = match message {
            EntryMessage::Offer(offer) => table.add_offer(&entry, offer, now),
            EntryMessage::Withdraw(request) => table.withdraw(&entry, request, now),
            _ => Vec::new(),
        };
        for claim in claims {
            println!("{name}: {claim:?}");
            if let TableAction::Claim { request, .. } = claim {
                actions.extend(book.handle_claim(name, request, now));
            }
        }
    }
}
