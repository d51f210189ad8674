//! Metrics in statsd format over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use eyre::{Result, WrapErr};

/// Metrics that wait for the sender; more are dropped.
const QUEUE_LENGTH: usize = 4096;

/// Where metrics go.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MetricSettings {
    /// Address of a statsd server. Without one, metrics are dropped.
    pub address: Option<SocketAddr>,
    /// First part of each metric's name, such as `bilberry.entry`.
    pub prefix: String,
}

/// Opens the client that counters, gauges and timers are sent with.
pub fn start_metrics(settings: &MetricSettings) -> Result<StatsdClient> {
    let Some(address) = settings.address else {
        return Ok(StatsdClient::from_sink(&settings.prefix, NopMetricSink));
    };
    let local: SocketAddr = match address {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let socket = UdpSocket::bind(local).wrap_err("Failed to open a socket for metrics")?;
    socket
        .set_nonblocking(true)
        .wrap_err("Failed to set up the socket for metrics")?;
    let sink = UdpMetricSink::from(address, socket)
        .wrap_err_with(|| format!("Failed to send metrics to {address}"))?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE_LENGTH);
    Ok(StatsdClient::from_sink(&settings.prefix, queue))
}
