//! Encoded sizes of messages between processes.

use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use units::{ConfigVersion, CostUnits, Incarnation};
use wire::{
    ControlReply, ControlRequest, DirectoryDelta, EntryMessage, FlowId, FlowTotal, RenewReply,
    RenewRequest, UsageTotals,
};

use crate::fixtures;
use crate::slope::{CostUnit, SlopeSeries};

/// Numbers of records at which a message is measured.
const RECORD_COUNTS: [u64; 4] = [16, 64, 256, 1024];

/// Measures the messages whose size grows with their number of records.
pub(crate) fn measure() -> [SlopeSeries; 3] {
    [
        SlopeSeries::measure(
            "usage report",
            "flows",
            CostUnit::Bytes,
            &RECORD_COUNTS,
            |flows| {
                // Usage counted over one day; encoded integers grow with their value.
                let report = fixtures::usage_report(1, flows, 1_000_000);
                encoded_bytes(&ControlRequest::Usage(report))
            },
        ),
        SlopeSeries::measure(
            "usage totals",
            "flows",
            CostUnit::Bytes,
            &RECORD_COUNTS,
            |flows| encoded_bytes(&ControlReply::Usage(usage_totals(flows))),
        ),
        SlopeSeries::measure(
            "directory change in a renewal",
            "changed nodes",
            CostUnit::Bytes,
            &RECORD_COUNTS,
            |nodes| encoded_bytes(&renewal_reply(nodes)),
        ),
    ]
}

/// Sizes in bytes of the messages of constant size, including the length prefix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MessageSizes {
    /// Offer of a request.
    pub offer: f64,
    /// Withdrawal of an offer; a claim has the same size.
    pub withdraw: f64,
    /// Heartbeat.
    pub ping: f64,
    /// Renewal of a lease.
    pub renew: f64,
    /// Reply to a renewal without changes.
    pub renewed: f64,
}

impl MessageSizes {
    /// Encodes one message of each kind; a size is NaN if its message cannot be encoded.
    pub fn measure() -> Self {
        let offer = fixtures::offer(7);
        let withdraw = EntryMessage::Withdraw(offer.request);
        Self {
            offer: encoded_bytes(&EntryMessage::Offer(offer)),
            withdraw: encoded_bytes(&withdraw),
            ping: encoded_bytes(&EntryMessage::Ping(1_000_000)),
            renew: encoded_bytes(&renewal_request()),
            renewed: encoded_bytes(&renewal_reply(0)),
        }
    }
}

fn encoded_bytes<T: serde::Serialize>(message: &T) -> f64 {
    try_encoded_bytes(message).map_or(f64::NAN, |size| size as f64)
}

fn try_encoded_bytes<T: serde::Serialize>(message: &T) -> Result<usize> {
    let frame = wire::encode(message).wrap_err("Failed to encode a measured message")?;
    Ok(frame.len())
}

fn usage_totals(flows: u64) -> UsageTotals {
    let totals = (0..flows).map(|number| FlowTotal {
        flow: FlowId::of(&fixtures::flow_key(number)),
        total: CostUnits(8_000_000),
        is_backlogged_elsewhere: true,
    });
    UsageTotals {
        totals: totals.collect(),
        virtual_time: 1_000_000_000,
    }
}

fn renewal_request() -> ControlRequest {
    ControlRequest::Renew(RenewRequest {
        node: fixtures::directory_entry(1, 8),
        config: ConfigVersion(4711),
        directory: Some((Incarnation(1_700_000_000_000), 100_000)),
    })
}

fn renewal_reply(nodes: u64) -> ControlReply {
    ControlReply::Renewed(RenewReply {
        age_ms: 120,
        version: ConfigVersion(4711),
        changes: Vec::new(),
        controls: vec![SocketAddr::from(([10, 0, 0, 1], 7400)); fixtures::MAX_CONTROL_HOSTS],
        directory: Some(DirectoryDelta {
            source: Incarnation(1_700_000_000_000),
            revision: 100_000,
            is_complete: false,
            is_settled: true,
            changed: (0..nodes)
                .map(|number| fixtures::directory_entry(number, 8))
                .collect(),
            removed: Vec::new(),
        }),
    })
}
