//! HTTP listeners for hosts with a fraction of a CPU core.
//!
//! Small parts of a response are sent without delay. During a burst of new connections, the tasks
//! of open connections keep running, and the kernel refuses connections beyond the backlog.

mod body;
mod connections;
mod pace;
mod stream;

use std::io;
use std::net::SocketAddr;

use salvo::Server;
use tokio::net::TcpSocket;

pub use body::{BodyError, BodyGate, HeldBody, discard_body};
pub use connections::ConnectionTable;
pub use pace::PacedAcceptor;
pub use stream::TrackedStream;

/// Maximum number of connections that wait to be accepted. A small host accepts a few hundred per
/// second. With a longer queue, callers would time out before their connection is accepted; a
/// refused caller can connect to another entry.
const BACKLOG: u32 = 128;

/// Maximum size of the buffer of a connection. It must hold the head of a request; bodies are read in
/// chunks. The server's default of 400 KiB used more memory than small hosts have.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// Window of an HTTP/2 connection and of each of its streams, the default of the protocol. The
/// server's default of 1 MiB lets a client fill as much memory before its bodies are read.
const HTTP2_WINDOW_BYTES: u32 = (64 << 10) - 1;

/// Returns a server whose connections have small buffers.
pub fn server(acceptor: PacedAcceptor) -> Server<PacedAcceptor> {
    let mut server = Server::new(acceptor);
    server.http1_mut().max_buf_size(MAX_BUFFER_BYTES);
    server
        .http2_mut()
        .initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .initial_stream_window_size(HTTP2_WINDOW_BYTES);
    server
}

/// Listens on an address; with port 0 the kernel chooses the port.
///
/// Disables Nagle's algorithm, which together with delayed acknowledgements delayed the second
/// small part of a stream by about 40 ms. Accepted connections inherit the option.
pub async fn listen(address: SocketAddr) -> io::Result<PacedAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    let acceptor = socket.listen(BACKLOG)?.try_into()?;
    Ok(PacedAcceptor::new(acceptor))
}
