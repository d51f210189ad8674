//! Fake control node that only merges the reports of agents and entries.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use fair::UsageHome;
use link::{LinkEndpoint, PeerLink};
use quarantine::QuarantineHome;
use tokio::task::JoinSet;
use units::ClockSource;
use wire::{ControlReply, ControlRequest, EntryReply, HomeId, ShareReply};

pub struct FakeHome {
    pub address: SocketAddr,
    endpoint: LinkEndpoint,
    state: Arc<Mutex<HomeState>>,
    _tasks: JoinSet<()>,
}

struct HomeState {
    usage: UsageHome,
    quarantine: QuarantineHome,
    clock: Arc<dyn ClockSource>,
}

impl HomeState {
    fn reply(&mut self, request: &ControlRequest) -> Option<ControlReply> {
        let now = self.clock.now();
        match request {
            ControlRequest::Usage(report) => {
                Some(ControlReply::Usage(self.usage.apply_report(report, now)))
            }
            ControlRequest::Report(report) => {
                let (quarantine, _) = self.quarantine.apply_report(&report.crashes, now);
                Some(ControlReply::Report(EntryReply {
                    shares: ShareReply {
                        flows: Vec::new(),
                        capacity: None,
                    },
                    quarantine,
                    loads: None,
                }))
            }
            _ => None,
        }
    }
}

impl FakeHome {
    pub fn start(endpoint: LinkEndpoint, clock: Arc<dyn ClockSource>) -> Self {
        let state = Arc::new(Mutex::new(HomeState {
            usage: UsageHome::new(),
            quarantine: QuarantineHome::new(HomeId(1)),
            clock,
        }));
        let mut tasks = JoinSet::new();
        tasks.spawn(accept_links(endpoint.clone(), state.clone()));
        Self {
            address: endpoint.address(),
            endpoint,
            state,
            _tasks: tasks,
        }
    }

    /// Number of flows for which usage was reported to this node.
    pub fn flow_count(&self) -> usize {
        self.state.lock().unwrap().usage.len()
    }

    /// Closes all connections and stops answering.
    pub async fn kill(self) {
        self.endpoint.close().await;
    }
}

async fn accept_links(endpoint: LinkEndpoint, state: Arc<Mutex<HomeState>>) {
    let mut links = JoinSet::new();
    while let Some(incoming) = endpoint.accept().await {
        if let Ok(link) = endpoint.complete_handshake(incoming).await {
            links.spawn(serve_link(link, state.clone()));
        }
    }
}

async fn serve_link(link: PeerLink, state: Arc<Mutex<HomeState>>) {
    while let Ok(mut stream) = link.accept().await {
        let Ok(Some(request)) = stream.reader.receive::<ControlRequest>().await else {
            continue;
        };
        let reply = state.lock().unwrap().reply(&request);
        if let Some(reply) = reply {
            let _ = stream.writer.send(&reply).await;
            stream.writer.finish();
        }
    }
}
