//! Fake control node that only adds up usage reports.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use fair::UsageHome;
use link::{LinkEndpoint, PeerLink};
use tokio::task::JoinSet;
use units::ClockSource;
use wire::{ControlReply, ControlRequest};

pub struct FakeHome {
    pub address: SocketAddr,
    endpoint: LinkEndpoint,
    usage: Arc<Mutex<UsageHome>>,
    _tasks: JoinSet<()>,
}

impl FakeHome {
    pub fn start(endpoint: LinkEndpoint, clock: Arc<dyn ClockSource>) -> Self {
        let usage = Arc::new(Mutex::new(UsageHome::new()));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept_links(endpoint.clone(), usage.clone(), clock));
        Self {
            address: endpoint.address(),
            endpoint,
            usage,
            _tasks: tasks,
        }
    }

    /// Number of flows for which usage was reported to this node.
    pub fn flow_count(&self) -> usize {
        self.usage.lock().unwrap().len()
    }

    /// Closes all connections and stops answering.
    pub async fn kill(self) {
        self.endpoint.close().await;
    }
}

async fn accept_links(
    endpoint: LinkEndpoint,
    usage: Arc<Mutex<UsageHome>>,
    clock: Arc<dyn ClockSource>,
) {
    let mut links = JoinSet::new();
    while let Some(incoming) = endpoint.accept().await {
        if let Ok(link) = endpoint.complete_handshake(incoming).await {
            links.spawn(serve_link(link, usage.clone(), clock.clone()));
        }
    }
}

async fn serve_link(link: PeerLink, usage: Arc<Mutex<UsageHome>>, clock: Arc<dyn ClockSource>) {
    while let Ok(mut stream) = link.accept().await {
        let Ok(Some(ControlRequest::Usage(report))) = stream.reader.receive().await else {
            continue;
        };
        let totals = usage.lock().unwrap().apply_report(&report, clock.now());
        let _ = stream.writer.send(&ControlReply::Usage(totals)).await;
        stream.writer.finish();
    }
}
