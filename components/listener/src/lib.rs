//! HTTP listeners for hosts with a fraction of a CPU core.
//!
//! Small parts of a response are sent without delay. During a burst of new connections, the tasks
//! of open connections keep running, and the kernel refuses connections beyond the backlog.

mod pace;

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpSocket;

pub use pace::PacedAcceptor;

/// Maximum number of connections that wait to be accepted. A small host accepts a few hundred per
/// second. With a longer queue, callers would time out before their connection is accepted; a
/// refused caller can connect to another entry.
const BACKLOG: u32 = 128;

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
