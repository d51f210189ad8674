//! Control node that only sums usage.

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
    home: Arc<Mutex<UsageHome>>,
    _tasks: JoinSet<()>,
}

impl FakeHome {
    pub fn start(endpoint: LinkEndpoint, clock: Arc<dyn ClockSource>) -> Self {
        let home = Arc::new(Mutex::new(UsageHome::new()));
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(endpoint.clone(), home.clone(), clock));
        Self {
            address: endpoint.address(),
            endpoint,
            home,
            _tasks: tasks,
        }
    }

    /// Number of flows that were reported here.
    pub fn flows(&self) -> usize {
        self.home.lock().unwrap().len()
    }

    /// Ends the connections and answers no more.
    pub async fn kill(self) {
        self.endpoint.close().await;
    }
}

async fn serve(endpoint: LinkEndpoint, home: Arc<Mutex<UsageHome>>, clock: Arc<dyn ClockSource>) {
    let mut links = JoinSet::new();
    while let Some(incoming) = endpoint.accept().await {
        if let Ok(link) = endpoint.complete_handshake(incoming).await {
            links.spawn(answer(link, home.clone(), clock.clone()));
        }
    }
}

async fn answer(link: PeerLink, home: Arc<Mutex<UsageHome>>, clock: Arc<dyn ClockSource>) {
    while let Ok(mut stream) = link.accept().await {
        let Ok(Some(ControlRequest::Usage(report))) = stream.reader.receive().await else {
            continue;
        };
        let totals = home.lock().unwrap().apply_report(&report, clock.now());
        let _ = stream.writer.send(&ControlReply::Usage(totals)).await;
        stream.writer.finish();
    }
}
