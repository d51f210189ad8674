//! Sizes of messages between processes, and the cost of sending one.

use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use units::{ConfigVersion, CostUnits, Incarnation};
use wire::{
    ControlReply, ControlRequest, DirectoryDelta, EntryMessage, FlowId, FlowTotal, RenewReply,
    RenewRequest, UsageTotals,
};

use crate::fixtures;
use crate::slope::{CostUnit, SlopeSeries};

/// Records in one message.
const RECORDS: [u64; 4] = [16, 64, 256, 1024];

/// Measures the sizes of messages that grow with their records.
pub(crate) fn measure() -> [SlopeSeries; 3] {
    [
        SlopeSeries::measure(
            "usage report",
            "flows",
            CostUnit::Bytes,
            &RECORDS,
            |flows| {
                let report = fixtures::usage_report(1, flows, 1_000_000);
                size_of(&ControlRequest::Usage(report))
            },
        ),
        SlopeSeries::measure(
            "usage totals",
            "flows",
            CostUnit::Bytes,
            &RECORDS,
            |flows| size_of(&ControlReply::Usage(totals(flows))),
        ),
        SlopeSeries::measure(
            "directory change in a renewal",
            "changed nodes",
            CostUnit::Bytes,
            &RECORDS,
            |nodes| size_of(&renewed(nodes)),
        ),
    ]
}

/// Sizes of the messages that do not grow, in bytes with their length in front.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MessageSizes {
    /// Offer of a request.
    pub offer: f64,
    /// Withdrawal of an offer, and likewise a claim.
    pub withdraw: f64,
    /// Heartbeat.
    pub ping: f64,
    /// Renewal of a lease.
    pub renew: f64,
    /// Answer to a renewal without news.
    pub renewed: f64,
}

impl MessageSizes {
    /// Encodes one message of each kind.
    pub fn measure() -> Self {
        let offer = fixtures::offer(7);
        let withdraw = EntryMessage::Withdraw(offer.request);
        Self {
            offer: size_of(&EntryMessage::Offer(offer)),
            withdraw: size_of(&withdraw),
            ping: size_of(&EntryMessage::Ping(1_000_000)),
            renew: size_of(&renew()),
            renewed: size_of(&renewed(0)),
        }
    }
}

fn size_of<T: serde::Serialize>(message: &T) -> f64 {
    encoded(message).map_or(f64::NAN, |size| size as f64)
}

fn encoded<T: serde::Serialize>(message: &T) -> Result<usize> {
    let frame = wire::encode(message).wrap_err("Failed to encode a measured message")?;
    Ok(frame.len())
}

fn totals(flows: u64) -> UsageTotals {
    let totals = (0..flows).map(|number| FlowTotal {
        flow: FlowId::of(&fixtures::flow(number)),
        total: CostUnits(8_000_000),
        is_backlogged_elsewhere: true,
    });
    UsageTotals {
        totals: totals.collect(),
        virtual_time: 1_000_000_000,
    }
}

fn renew() -> ControlRequest {
    ControlRequest::Renew(RenewRequest {
        node: fixtures::directory_entry(1, 8),
        config: ConfigVersion(4711),
        directory: Some((Incarnation(1_700_000_000_000), 100_000)),
    })
}

fn renewed(nodes: u64) -> ControlReply {
    ControlReply::Renewed(RenewReply {
        age_ms: 120,
        version: ConfigVersion(4711),
        changes: Vec::new(),
        controls: vec![SocketAddr::from(([10, 0, 0, 1], 7400)); fixtures::CONTROLS],
        directory: Some(DirectoryDelta {
            source: Incarnation(1_700_000_000_000),
            revision: 100_000,
            is_complete: false,
            changed: (0..nodes)
                .map(|number| fixtures::directory_entry(number, 8))
                .collect(),
            removed: Vec::new(),
        }),
    })
}
