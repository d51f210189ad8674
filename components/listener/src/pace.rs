//! Acceptor that yields to other tasks while it accepts many connections.

use std::io;
use std::net::SocketAddr;

use salvo::conn::tcp::{TcpAcceptor, TcpCoupler};
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use telemetry::{event, events};
use tokio::net::TcpListener;

use crate::connections::ConnectionTable;
use crate::stream::TrackedStream;

/// Number of connections accepted before the acceptor yields to other tasks. With the runtime's own
/// limit of 128, open connections were blocked for 0.2 s on a host where a request takes 1.5 ms.
const ACCEPTS_PER_YIELD: u32 = 4;

/// TCP acceptor that yields to other tasks after every few connections.
#[derive(Debug)]
pub struct PacedAcceptor {
    inner: TcpAcceptor,
    /// Number of connections accepted since the last yield.
    accepted: u32,
    /// Table of the open connections, if they are bounded.
    connections: Option<ConnectionTable>,
}

impl PacedAcceptor {
    pub(crate) fn new(inner: TcpAcceptor) -> Self {
        Self {
            inner,
            accepted: 0,
            connections: None,
        }
    }

    /// Bounds the connections, and records them in the table.
    pub fn bounded_by(self, connections: ConnectionTable) -> Self {
        Self {
            connections: Some(connections),
            ..self
        }
    }

    /// Address on which connections are accepted.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    /// Listening socket.
    pub fn inner(&self) -> &TcpListener {
        self.inner.inner()
    }
}

impl Acceptor for PacedAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = TrackedStream<<TcpAcceptor as Acceptor>::Stream>;

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            if self.accepted >= ACCEPTS_PER_YIELD {
                self.accepted = 0;
                tokio::task::yield_now().await;
            }
            let accepted = self.inner.accept(fuse_policy.clone()).await;
            let accepted =
                accepted.inspect_err(|error| event!(events::ACCEPT_FAILED, error = error))?;
            self.accepted += 1;
            let entry = match &self.connections {
                Some(connections) => match connections.add(&accepted.conn_ctrl) {
                    Some(entry) => Some(entry),
                    None => continue,
                },
                None => None,
            };
            return Ok(Accepted {
                coupler: TcpCoupler::new(),
                stream: TrackedStream::new(accepted.stream, entry),
                fuse_config: accepted.fuse_config,
                conn_ctrl: accepted.conn_ctrl,
                local_addr: accepted.local_addr,
                remote_addr: accepted.remote_addr,
                http_scheme: accepted.http_scheme,
            });
        }
    }
}
