//! Connections to targets.
//!
//! A connection carries one request at a time. It is kept only after a complete exchange; whatever
//! else happens on it closes it, so that bytes of one answer never reach another request.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Longest wait for a connection. Targets of other regions are tens of milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a connection whose peer acknowledges nothing is dead.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Time between two probes of a connection on which nothing is sent; the system counts seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an idle connection is kept when the target names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Part of a target's own idle timeout after which a connection is not used any more, in percent.
/// The rest covers the way of a request and the inexact timers of both sides.
const IDLE_PERCENT: u32 = 70;

/// Largest buffer of a connection, in bytes. Bodies are passed on in parts, and an answer's head is
/// far smaller.
const MAX_BUFFER: usize = 16 << 10;

type TargetSender = SendRequest<Full<Bytes>>;

/// Idle connections of all targets.
#[derive(Clone, Default)]
pub(crate) struct TargetPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    connection: TargetConnection,
    until: Instant,
}

/// An open connection. Dropping it closes it.
pub(crate) struct TargetConnection {
    address: SocketAddr,
    sender: TargetSender,
    driver: JoinHandle<()>,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request was not answered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request was sent.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// The request may have reached the target.
    #[error("the connection broke: {0}")]
    Broken(String),
}

impl TargetPool {
    /// Takes the connection that was used last, or opens one.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<TargetConnection, ExchangeError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let opening = tokio::time::timeout(CONNECT_TIMEOUT, open(address));
        match opening.await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) => Err(ExchangeError::NotSent(error.to_string())),
            Err(_) => {
                let message = format!("no connection within {CONNECT_TIMEOUT:?}");
                Err(ExchangeError::NotSent(message))
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TargetConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("no holder of the pool panics");
        let connections = idle.get_mut(&address)?;
        connections.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
        // A connection is not ready while the rest of a request is written that was answered early.
        let newest = connections
            .iter()
            .rposition(|kept| kept.connection.sender.is_ready())?;
        Some(connections.swap_remove(newest).connection)
    }

    /// Keeps a connection after a complete exchange.
    pub(crate) fn keep(&self, connection: TargetConnection, headers: &HeaderMap) {
        let until = Instant::now() + idle_time(headers);
        let mut idle = self.idle.lock().expect("no holder of the pool panics");
        let kept = IdleConnection { connection, until };
        idle.entry(kept.connection.address).or_default().push(kept);
    }

    /// Closes idle connections that are too old, and those of targets that are gone.
    pub(crate) fn prune(&self, is_live: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock().expect("no holder of the pool panics");
        idle.retain(|address, connections| {
            connections.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
            !connections.is_empty() && is_live(address)
        });
    }
}

impl TargetConnection {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(match is_unsent {
                    true => ExchangeError::NotSent(reason),
                    false => ExchangeError::Broken(reason),
                })
            }
        }
    }
}

async fn open(address: SocketAddr) -> io::Result<TargetConnection> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    let stream = socket.connect(address).await?;
    find_silence(&stream)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        // The exchange that uses the connection gets the error as well.
        let _ = connection.await;
    });
    Ok(TargetConnection {
        address,
        sender,
        driver,
    })
}

/// Lets the system find a connection that went silent without a reset.
fn find_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}

/// Time for which a connection may stay idle after an answer with these headers.
fn idle_time(headers: &HeaderMap) -> Duration {
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    stated.unwrap_or(DEFAULT_IDLE) * IDLE_PERCENT / 100
}
