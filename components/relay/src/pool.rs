//! Pool of HTTP/1.1 connections to targets.
//!
//! A connection carries one request at a time and returns to the pool only after a complete
//! exchange. In any other case it is closed, so that bytes of one response are never taken for the
//! response to another request.

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

use crate::yielding::YieldingStream;

/// Time within which a connection must be established. The round trip to targets in other regions
/// takes tens of milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which sent data may stay unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keepalive probe, and interval between probes. The kernel accepts only
/// whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle timeout of a target that does not state one in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Bound on the idle timeout that a target states, within the range of the clock.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(24 * 60 * 60);

/// Percentage of a target's idle timeout after which a connection is no longer used. The rest
/// covers the latency of a request and the inaccuracy of both sides' timers.
const IDLE_TIMEOUT_PERCENT: u32 = 70;

/// Maximum size of a connection's buffer. Bodies are forwarded in chunks, and the head of a
/// response is far smaller.
const MAX_BUFFER_BYTES: usize = 16 << 10;

type TargetSender = SendRequest<Full<Bytes>>;

/// Idle connections of all targets.
#[derive(Clone, Default)]
pub(crate) struct ConnectionPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    connection: TargetConnection,
    expires_at: Instant,
}

/// An open connection to a target; closed when it is dropped.
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

/// Failure of an exchange with a target before the head of a response arrived.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// No byte of the request was sent.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// The address refuses connections: no process listens there.
    #[error("nothing was sent: {0}")]
    Refused(String),
    /// The address did not answer in time.
    #[error("nothing was sent: {0}")]
    Silent(String),
    /// The request may have reached the target.
    #[error("the connection broke: {0}")]
    Broken(String),
}

impl ConnectionPool {
    /// Takes the most recently used idle connection, or opens a new one.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<TargetConnection, ExchangeError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let opening = tokio::time::timeout(CONNECT_TIMEOUT, open_connection(address));
        match opening.await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Err(ExchangeError::Refused(error.to_string()))
            }
            Ok(Err(error)) => Err(ExchangeError::NotSent(error.to_string())),
            Err(_) => {
                let message = format!("no connection within {CONNECT_TIMEOUT:?}");
                Err(ExchangeError::Silent(message))
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TargetConnection> {
        let now = Instant::now();
        let mut pooled = self
            .idle
            .lock()
            .expect("no thread panics while it holds the lock");
        let connections = pooled.get_mut(&address)?;
        connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        // A connection whose last request was answered early is not ready until the rest of that
        // request is written.
        let newest = connections
            .iter()
            .rposition(|idle| idle.connection.sender.is_ready())?;
        Some(connections.swap_remove(newest).connection)
    }

    /// Returns a connection to the pool after a complete exchange. `headers` are those of the
    /// response.
    pub(crate) fn release(&self, connection: TargetConnection, headers: &HeaderMap) {
        let expires_at = Instant::now() + reuse_timeout(headers);
        let mut pooled = self
            .idle
            .lock()
            .expect("no thread panics while it holds the lock");
        let idle = IdleConnection {
            connection,
            expires_at,
        };
        pooled
            .entry(idle.connection.address)
            .or_default()
            .push(idle);
    }

    /// Closes idle connections that have expired, and those to addresses that are not live.
    pub(crate) fn prune(&self, is_live: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let mut pooled = self
            .idle
            .lock()
            .expect("no thread panics while it holds the lock");
        pooled.retain(|address, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            !connections.is_empty() && is_live(address)
        });
    }
}

impl TargetConnection {
    /// Sends a request and waits for the head of the response.
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

async fn open_connection(address: SocketAddr) -> io::Result<TargetConnection> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    let stream = socket.connect(address).await?;
    enable_dead_peer_detection(&stream)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(YieldingStream::new(stream)))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        // The error is also returned to the exchange that uses the connection.
        let _ = connection.await;
    });
    Ok(TargetConnection {
        address,
        sender,
        driver,
    })
}

/// Configures the kernel to close a connection whose peer stops responding without a reset.
fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Time for which a connection may be reused after a response with these headers.
fn reuse_timeout(headers: &HeaderMap) -> Duration {
    let stated_timeout = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    let timeout = stated_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT);
    timeout.min(MAX_IDLE_TIMEOUT) * IDLE_TIMEOUT_PERCENT / 100
}
