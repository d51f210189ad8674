//! Pace at which connections are accepted.

use std::io;
use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use telemetry::{event, events};
use tokio::net::TcpListener;

/// Connections that are accepted before other tasks have their turn. The runtime's own limit of 128
/// held up open connections for 0.2 s where a request takes 1.5 ms.
const ACCEPTS_PER_TURN: u32 = 4;

/// Accepts a few connections at a time.
#[derive(Debug)]
pub struct PacedAcceptor {
    inner: TcpAcceptor,
    /// Connections that were accepted in this turn.
    accepted: u32,
}

impl PacedAcceptor {
    pub(crate) fn new(inner: TcpAcceptor) -> Self {
        Self { inner, accepted: 0 }
    }

    /// Address that connections come to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    /// Socket that connections come to.
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
        if self.accepted >= ACCEPTS_PER_TURN {
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
