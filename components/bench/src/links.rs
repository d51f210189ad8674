//! Bytes on the wire and processor time of messages over a real link on the loopback interface.

use std::net::SocketAddr;
use std::path::Path;

use cpu_time::ThreadTime;
use eyre::{OptionExt, Result, WrapErr};
use link::{FrameReader, FrameWriter, KeyAuthority, LinkEndpoint, LinkIdentity, PeerLink};
use units::{Incarnation, NodeName};
use wire::{AgentMessage, EntryMessage, NodeRole, StreamKind};

use crate::slope::{CostUnit, SlopeFit, SlopePoint, SlopeSeries};

/// Numbers of heartbeats or requests at which the link is measured.
const MESSAGE_COUNTS: [u64; 4] = [500, 1000, 2000, 4000];

/// Heartbeats in one batch.
const BATCH_SIZE: u64 = 4;

/// Bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Costs of messages and their answers on a link, for both ends together.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkCosts {
    /// Bytes of heartbeats and answers on the wire, including all headers and acknowledgements.
    pub heartbeat_bytes: SlopeSeries,
    /// Bytes of requests to control and their replies, each pair on its own stream. The bodies are
    /// minimal, so that these are the bytes of the overhead.
    pub request_bytes: SlopeSeries,
    /// Bytes of heartbeats and answers that are sent in batches of four.
    pub batched_heartbeat_bytes: SlopeSeries,
    /// Processor time of heartbeats and answers, in nanoseconds. The work of the kernel's network
    /// stack on other threads is not included.
    pub heartbeat_ns: SlopeSeries,
}

impl LinkCosts {
    /// Opens a link between an agent and an entry in this process, and measures heartbeats sent one
    /// by one, heartbeats sent in batches, and requests on their own streams.
    ///
    /// # Errors
    ///
    /// Fails if the runtime, the keys or the link cannot be set up, or if the link breaks.
    pub fn measure() -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("Failed to start the async runtime of the link measurement")?;
        let folder = tempfile::tempdir()
            .wrap_err("Failed to create a temporary folder for the keys of the link measurement")?;
        runtime.block_on(measure_link(folder.path()))
    }
}

async fn measure_link(folder: &Path) -> Result<LinkCosts> {
    let agent = endpoint(folder, NodeRole::Agent, "agent-1")?;
    let entry = endpoint(folder, NodeRole::Entry, "entry-1")?;
    let address = agent.address();
    let responder = tokio::spawn(answer_messages(agent));
    let link = entry.connect(address, NodeRole::Agent).await?;
    let (mut writer, mut reader) = link.open(StreamKind::Session).await?;
    exchange_heartbeats(&mut writer, &mut reader, 100).await?;
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for count in MESSAGE_COUNTS {
        let before = wire_bytes(&link);
        let start = ThreadTime::now();
        exchange_heartbeats(&mut writer, &mut reader, count).await?;
        let elapsed_ns = start.elapsed().as_nanos() as f64;
        times.push(SlopePoint {
            size: count,
            cost: elapsed_ns,
        });
        bytes.push(SlopePoint {
            size: count,
            cost: (wire_bytes(&link) - before) as f64,
        });
    }
    let batches = measure_batches(&link, &mut writer, &mut reader).await?;
    let requests = measure_requests(&link).await?;
    link.close("measured");
    responder
        .await
        .wrap_err("Failed to join the task that answers on the measured link")??;
    Ok(LinkCosts {
        heartbeat_bytes: link_series("heartbeat and answer on a link", CostUnit::Bytes, bytes),
        batched_heartbeat_bytes: link_series(
            "heartbeat and answer on a link, four at a time",
            CostUnit::Bytes,
            batches,
        ),
        request_bytes: link_series(
            "request and reply on a stream of their own",
            CostUnit::Bytes,
            requests,
        ),
        heartbeat_ns: link_series(
            "heartbeat and answer on a link, both ends",
            CostUnit::Nanoseconds,
            times,
        ),
    })
}

fn link_series(name: &'static str, unit: CostUnit, points: Vec<SlopePoint>) -> SlopeSeries {
    let fit = SlopeFit::from_points(&points);
    SlopeSeries {
        name,
        size_name: "heartbeats",
        unit,
        points,
        fit,
    }
}

fn endpoint(folder: &Path, role: NodeRole, name: &str) -> Result<LinkEndpoint> {
    let name = NodeName::from(name);
    let files = KeyAuthority::open_or_create(folder)?.issue(role, &name)?;
    let identity = LinkIdentity::load(role, &name, &files)?;
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(LinkEndpoint::bind(address, &identity, Incarnation(1))?)
}

async fn answer_messages(endpoint: LinkEndpoint) -> Result<()> {
    let incoming = endpoint
        .accept()
        .await
        .ok_or_eyre("Failed to accept the measured link: endpoint closed")?;
    let link = endpoint.complete_handshake(incoming).await?;
    let mut stream = link.accept().await?;
    let pongs = async {
        while let Ok(Some(EntryMessage::Ping(number))) = stream.reader.receive().await {
            stream.writer.send(&AgentMessage::Pong(number)).await?;
        }
        Ok::<_, link::LinkError>(())
    };
    let replies = async {
        while let Ok(mut request) = link.accept().await {
            request.reader.receive::<EntryMessage>().await?;
            request.writer.send(&AgentMessage::Leaving).await?;
            request.writer.finish();
        }
        Ok::<_, link::LinkError>(())
    };
    let (pongs, replies) = tokio::join!(pongs, replies);
    pongs?;
    replies?;
    Ok(())
}

async fn exchange_heartbeats(
    writer: &mut FrameWriter,
    reader: &mut FrameReader,
    count: u64,
) -> Result<()> {
    for number in 0..count {
        writer.send(&EntryMessage::Ping(number)).await?;
        reader
            .receive::<AgentMessage>()
            .await?
            .ok_or_eyre("Failed to receive the answer to a heartbeat: stream ended")?;
    }
    Ok(())
}

/// Sends heartbeats in batches, which shows how many header bytes messages save by sharing a
/// datagram.
async fn measure_batches(
    link: &PeerLink,
    writer: &mut FrameWriter,
    reader: &mut FrameReader,
) -> Result<Vec<SlopePoint>> {
    let mut points = Vec::new();
    for count in MESSAGE_COUNTS {
        let before = wire_bytes(link);
        for _ in 0..count / BATCH_SIZE {
            for number in 0..BATCH_SIZE {
                writer.send(&EntryMessage::Ping(number)).await?;
            }
            for _ in 0..BATCH_SIZE {
                reader
                    .receive::<AgentMessage>()
                    .await?
                    .ok_or_eyre("Failed to receive the answer to a heartbeat: stream ended")?;
            }
        }
        points.push(SlopePoint {
            size: count,
            cost: (wire_bytes(link) - before) as f64,
        });
    }
    Ok(points)
}

/// Sends small requests, each on its own stream, as nodes do to control.
async fn measure_requests(link: &PeerLink) -> Result<Vec<SlopePoint>> {
    let mut points = Vec::new();
    for count in MESSAGE_COUNTS {
        let before = wire_bytes(link);
        for _ in 0..count {
            let (mut writer, mut reader) = link.open(StreamKind::Control).await?;
            writer.send(&EntryMessage::Ping(1)).await?;
            writer.finish();
            reader
                .receive::<AgentMessage>()
                .await?
                .ok_or_eyre("Failed to receive the reply to a request: stream ended")?;
        }
        points.push(SlopePoint {
            size: count,
            cost: (wire_bytes(link) - before) as f64,
        });
    }
    Ok(points)
}

fn wire_bytes(link: &PeerLink) -> u64 {
    let traffic = link.traffic();
    let datagrams = traffic.sent_datagrams + traffic.received_datagrams;
    traffic.sent.0 + traffic.received.0 + datagrams * DATAGRAM_HEADER_BYTES
}
