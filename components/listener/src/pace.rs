//! Acceptor that yields to other tasks while it accepts many connections.

use std::io;
use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use telemetry::{event, events};
use tokio::net::TcpListener;

/// Number of connections accepted before the acceptor yields to other tasks. With the runtime's own
/// limit of 128, open connections were blocked for 0.2 s on a host where a request takes 1.5 ms.
const ACCEPTS_PER_YIELD: u32 = 4;

/// TCP acceptor that yields to other tasks after every few connections.
#[derive(Debug)]
pub struct PacedAcceptor {
    inner: TcpAcceptor,
    /// Number of connections accepted since the last yield.
    accepted: u32,
}

impl PacedAcceptor {
    pub(crate) fn new(inner: TcpAcceptor) -> Self {
        Self { inner, accepted: 0 }
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
    type Coupler = <TcpAcceptor as Acceptor>::Coupler;
    type Stream = <TcpAcceptor as Acceptor>::Stream;

    fn holdings(&self) -> &[Holding] {
        self.inner.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        if self.accepted >= ACCEPTS_PER_YIELD {
            self.accepted = 0;
            tokio::task::yield_now().await;
        }
        let accepted = self.inner.accept(fuse_policy).await;
        let accepted =
            accepted.inspect_err(|error| event!(events::ACCEPT_FAILED, error = error))?;
        self.accepted += 1;
        Ok(accepted)
    }
}
