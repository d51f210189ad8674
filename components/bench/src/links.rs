//! Bytes and processor time of messages over a real link on loopback.

use std::net::SocketAddr;
use std::path::Path;

use cpu_time::ThreadTime;
use eyre::{OptionExt, Result, WrapErr};
use link::{FrameReader, FrameWriter, KeyAuthority, LinkEndpoint, LinkIdentity, PeerLink};
use units::{Incarnation, NodeName};
use wire::{AgentMessage, EntryMessage, NodeRole, StreamKind};

use crate::slope::{CostUnit, SlopeFit, SlopePoint, SlopeSeries};

/// Heartbeats in one measurement.
const HEARTBEATS: [u64; 4] = [500, 1000, 2000, 4000];

/// Messages in one batch.
const BATCH: u64 = 4;

/// Bytes of the headers of IPv4 and UDP in front of each datagram.
const HEADER_BYTES: u64 = 28;

/// Cost of one heartbeat and its answer, for both ends together.
#[derive(Debug, Clone, PartialEq)]
pub struct LinkCosts {
    /// Bytes on the wire with all headers and acknowledgements, both directions.
    pub heartbeat_bytes: SlopeSeries,
    /// Bytes of a request to control and its reply on a stream of their own, without their bodies.
    pub request_bytes: SlopeSeries,
    /// Bytes of heartbeats and answers that are sent four at a time.
    pub batched_heartbeat_bytes: SlopeSeries,
    /// Processor time of both ends without that of the kernel's network stack on other threads.
    pub heartbeat_ns: SlopeSeries,
}

impl LinkCosts {
    /// Sends heartbeats one after the other over a link and counts.
    pub fn measure() -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("Failed to start the runtime of the link measurement")?;
        let folder = tempfile::tempdir().wrap_err("Failed to create a key folder")?;
        runtime.block_on(measure(folder.path()))
    }
}

async fn measure(folder: &Path) -> Result<LinkCosts> {
    let agent = endpoint(folder, NodeRole::Agent, "agent-1")?;
    let entry = endpoint(folder, NodeRole::Entry, "entry-1")?;
    let address = agent.address();
    let answering = tokio::spawn(answer(agent));
    let link = entry.connect(address, NodeRole::Agent).await?;
    let (mut writer, mut reader) = link.open(StreamKind::Session).await?;
    exchange(&mut writer, &mut reader, 100).await?;
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for count in HEARTBEATS {
        let before = wire_bytes(&link);
        let start = ThreadTime::now();
        exchange(&mut writer, &mut reader, count).await?;
        let spent = start.elapsed().as_nanos() as f64;
        times.push(SlopePoint {
            size: count,
            cost: spent,
        });
        bytes.push(SlopePoint {
            size: count,
            cost: (wire_bytes(&link) - before) as f64,
        });
    }
    let batches = batches(&link, &mut writer, &mut reader).await?;
    let requests = requests(&link).await?;
    link.close("measured");
    answering
        .await
        .wrap_err("Failed to end the answering side")??;
    Ok(LinkCosts {
        heartbeat_bytes: series("heartbeat and answer on a link", CostUnit::Bytes, bytes),
        batched_heartbeat_bytes: series(
            "heartbeat and answer on a link, four at a time",
            CostUnit::Bytes,
            batches,
        ),
        request_bytes: series(
            "request and reply on a stream of their own",
            CostUnit::Bytes,
            requests,
        ),
        heartbeat_ns: series(
            "heartbeat and answer on a link, both ends",
            CostUnit::Nanoseconds,
            times,
        ),
    })
}

fn series(name: &'static str, unit: CostUnit, points: Vec<SlopePoint>) -> SlopeSeries {
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
    let files = KeyAuthority::open(folder)?.issue(role, &name)?;
    let identity = LinkIdentity::load(role, &name, &files)?;
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(LinkEndpoint::bind(address, &identity, Incarnation(1))?)
}

async fn answer(endpoint: LinkEndpoint) -> Result<()> {
    let incoming = endpoint
        .accept()
        .await
        .ok_or_eyre("Failed to accept: endpoint closed")?;
    let link = endpoint.finish(incoming).await?;
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

async fn exchange(writer: &mut FrameWriter, reader: &mut FrameReader, count: u64) -> Result<()> {
    for number in 0..count {
        writer.send(&EntryMessage::Ping(number)).await?;
        reader
            .receive::<AgentMessage>()
            .await?
            .ok_or_eyre("Failed to receive a heartbeat's answer: stream ended")?;
    }
    Ok(())
}

/// Sends heartbeats in batches, to see what headers messages share in one datagram.
async fn batches(
    link: &PeerLink,
    writer: &mut FrameWriter,
    reader: &mut FrameReader,
) -> Result<Vec<SlopePoint>> {
    let mut points = Vec::new();
    for count in HEARTBEATS {
        let before = wire_bytes(link);
        for _ in 0..count / BATCH {
            for number in 0..BATCH {
                writer.send(&EntryMessage::Ping(number)).await?;
            }
            for _ in 0..BATCH {
                reader
                    .receive::<AgentMessage>()
                    .await?
                    .ok_or_eyre("Failed to receive a heartbeat's answer: stream ended")?;
            }
        }
        points.push(SlopePoint {
            size: count,
            cost: (wire_bytes(link) - before) as f64,
        });
    }
    Ok(points)
}

/// Sends small requests on streams of their own, as nodes do to control.
async fn requests(link: &PeerLink) -> Result<Vec<SlopePoint>> {
    let mut points = Vec::new();
    for count in HEARTBEATS {
        let before = wire_bytes(link);
        for _ in 0..count {
            let (mut writer, mut reader) = link.open(StreamKind::Control).await?;
            writer.send(&EntryMessage::Ping(1)).await?;
            writer.finish();
            reader
                .receive::<AgentMessage>()
                .await?
                .ok_or_eyre("Failed to receive a reply: stream ended")?;
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
    traffic.sent.0 + traffic.received.0 + datagrams * HEADER_BYTES
}
