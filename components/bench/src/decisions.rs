//! Processor time of the decisions of entries, agents and usage homes at several sizes.

use std::time::Duration;

use fair::{UsageHome, UsageLedger};
use offers::{AgentView, BookSettings, OfferBook, OfferTable, WaitingRequest};
use units::{ClockTime, CostUnits, FlowWeight, NodeName, SlotCount};

use crate::fixtures;
use crate::meter::cpu_ns_per_event;
use crate::slope::{CostUnit, SlopeSeries};

/// Sizes at which decisions are measured: offers held, waiting requests or flows.
const SIZES: [u64; 5] = [64, 256, 1024, 4096, 16_384];

/// Numbers of agents among which an entry chooses.
const AGENT_COUNTS: [u64; 4] = [15, 60, 240, 600];

/// Events in one measurement.
const EVENTS: u32 = 4_000;

/// Offers in one wave at the planned size of the fleet.
const WAVE_SIZE: usize = 4;

const DEADLINE: ClockTime = ClockTime(60_000);

pub(crate) fn measure() -> [SlopeSeries; 6] {
    [
        SlopeSeries::measure(
            "agent: offer, claim, start, charge and end of a request",
            "offers held",
            CostUnit::Nanoseconds,
            &SIZES,
            measure_agent_cycle,
        ),
        SlopeSeries::measure(
            "entry: queue a request, take a claim, withdraw the other offers",
            "waiting requests",
            CostUnit::Nanoseconds,
            &SIZES,
            |waiting| measure_entry_cycle(waiting, 15),
        ),
        SlopeSeries::measure(
            "entry: the same among a number of agents",
            "agents",
            CostUnit::Nanoseconds,
            &AGENT_COUNTS,
            |agents| measure_entry_cycle(256, agents),
        ),
        SlopeSeries::measure(
            "agent: charge a chunk to a flow",
            "flows known",
            CostUnit::Nanoseconds,
            &SIZES,
            measure_charge_chunk,
        ),
        SlopeSeries::measure(
            "agent: make a usage report",
            "active flows",
            CostUnit::Nanoseconds,
            &SIZES,
            measure_make_report,
        ),
        SlopeSeries::measure(
            "usage home: take a report",
            "flows in the report",
            CostUnit::Nanoseconds,
            &[16, 64, 256, 1024],
            measure_apply_report,
        ),
    ]
}

fn measure_agent_cycle(offers_held: u64) -> f64 {
    let entry = fixtures::entry_name(1);
    cpu_ns_per_event(
        EVENTS,
        || {
            let mut table = OfferTable::new(fixtures::service_name(), SlotCount(1));
            table.connect_entry(&entry, ClockTime(0));
            for number in 0..=offers_held {
                table.add_offer(&entry, fixtures::offer(number), ClockTime(1));
            }
            (table, offers_held + 1)
        },
        |(table, next_number)| {
            let mut claimed = fixtures::offer(0).request;
            for _ in 0..EVENTS {
                table.start(claimed, ClockTime(2));
                table.charge(claimed, CostUnits(320), ClockTime(3));
                let actions = table.finish(claimed, ClockTime(4));
                claimed = first_claim(&actions);
                table.add_offer(&entry, fixtures::offer(*next_number), ClockTime(5));
                *next_number += 1;
            }
        },
    )
}

fn first_claim(actions: &[offers::TableAction]) -> units::RequestId {
    actions
        .iter()
        .find_map(|action| match action {
            offers::TableAction::Claim { request, .. } => Some(*request),
            _ => None,
        })
        .expect("the free slot claims one of the held offers")
}

fn measure_entry_cycle(waiting: u64, agents: u64) -> f64 {
    let settings = BookSettings {
        wave_size: WAVE_SIZE,
        ..BookSettings::default()
    };
    cpu_ns_per_event(
        EVENTS,
        || {
            let mut book = OfferBook::new(settings.clone());
            book.set_agents((0..agents).map(agent_view).collect(), ClockTime(0));
            for number in 0..waiting {
                enqueue(&mut book, number);
            }
            (book, waiting)
        },
        |(book, next_number)| {
            for _ in 0..EVENTS {
                let agent =
                    enqueue(book, *next_number).expect("a new request is offered to an agent");
                book.handle_claim(&agent, fixtures::offer(*next_number).request, ClockTime(2));
                *next_number += 1;
            }
        },
    )
}

fn agent_view(number: u64) -> AgentView {
    AgentView {
        name: fixtures::agent_name(number),
        service: fixtures::service_name(),
        is_local: number.is_multiple_of(3),
        free_slots: SlotCount(4),
    }
}

/// Queues a request and returns the first agent to which it is offered.
fn enqueue(book: &mut OfferBook, number: u64) -> Option<NodeName> {
    let offer = fixtures::offer(number);
    let request = WaitingRequest {
        offer,
        deadline: DEADLINE,
        max_waiting: 256,
    };
    let actions = book
        .enqueue(request, ClockTime(1))
        .expect("each request has its own flow, so no queue is full");
    actions.iter().find_map(|action| match action {
        offers::BookAction::Send { agent, .. } => Some(agent.clone()),
        _ => None,
    })
}

/// Ledger in which every flow is backlogged and has one open request.
pub(crate) fn usage_ledger(flows: u64) -> UsageLedger {
    let mut ledger = UsageLedger::new();
    for number in 0..flows {
        let flow = fixtures::flow_key(number);
        ledger.mark_backlogged(&flow, FlowWeight(1000), ClockTime(0));
        ledger.open_flow(&flow, ClockTime(0));
        ledger.charge(&flow, CostUnits(1), ClockTime(0));
    }
    ledger
}

/// Usage home that has reports of the same flows from a number of agents.
pub(crate) fn usage_home(reporters: u64, flows: u64) -> UsageHome {
    let mut home = UsageHome::new();
    for reporter in 0..reporters {
        let report = fixtures::usage_report(reporter, flows, 1_000);
        home.apply_report(&report, ClockTime(0));
    }
    home
}

fn measure_charge_chunk(flows: u64) -> f64 {
    let charged_flows: Vec<_> = (0..64)
        .map(|number| fixtures::flow_key(number * flows / 64))
        .collect();
    cpu_ns_per_event(
        EVENTS,
        || usage_ledger(flows),
        |ledger| {
            for number in 0..EVENTS {
                let flow = &charged_flows[number as usize % charged_flows.len()];
                ledger.charge(flow, CostUnits(1), ClockTime(u64::from(number)));
            }
        },
    )
}

fn measure_make_report(flows: u64) -> f64 {
    const REPORTS: u32 = 10;
    cpu_ns_per_event(
        REPORTS,
        || usage_ledger(flows),
        |ledger| {
            for _ in 0..REPORTS {
                std::hint::black_box(ledger.take_report(ClockTime(100), |_| true));
            }
        },
    )
}

fn measure_apply_report(flows: u64) -> f64 {
    const REPORTS: u32 = 40;
    let interval = Duration::from_millis(500);
    cpu_ns_per_event(
        REPORTS,
        || {
            let reports = (0..REPORTS)
                .map(|number| {
                    fixtures::usage_report(u64::from(number % 8), flows, u64::from(number))
                })
                .collect::<Vec<_>>();
            (UsageHome::new(), reports)
        },
        |(home, reports)| {
            let mut now = ClockTime(0);
            for report in reports.iter() {
                home.apply_report(report, now);
                now = now + interval;
            }
        },
    )
}
