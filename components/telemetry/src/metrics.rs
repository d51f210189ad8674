//! Metrics in the statsd format, sent over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use eyre::{Result, WrapErr};

/// Maximum number of metrics in the queue of the sending thread; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4096;

/// Destination and prefix of metrics.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MetricSettings {
    /// Address of the statsd server. Without an address, metrics are dropped.
    pub address: Option<SocketAddr>,
    /// Prefix of all metric names, such as `bilberry.entry`.
    pub prefix: String,
}

/// Creates the client for counters, gauges and timers. Fails if no UDP socket can be opened.
pub fn start_metrics(settings: &MetricSettings) -> Result<StatsdClient> {
    let Some(address) = settings.address else {
        return Ok(StatsdClient::from_sink(&settings.prefix, NopMetricSink));
    };
    let local: SocketAddr = match address {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let socket = UdpSocket::bind(local).wrap_err("Failed to open the UDP socket for metrics")?;
    socket
        .set_nonblocking(true)
        .wrap_err("Failed to make the UDP socket for metrics non-blocking")?;
    let sink = UdpMetricSink::from(address, socket)
        .wrap_err_with(|| format!("Failed to set up sending metrics to {address}"))?;
    let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Ok(StatsdClient::from_sink(&settings.prefix, queue))
}
