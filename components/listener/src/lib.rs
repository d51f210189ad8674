//! HTTP listeners for hosts with a small part of a core.
//!
//! Connections send small parts of a response at once. Under a flood of connections, those that are
//! open keep their turns, and what cannot be accepted soon is refused by the system.

mod pace;

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpSocket;

pub use pace::PacedAcceptor;

/// Connections that may wait to be accepted. A small host accepts a few hundred in a second; callers that
/// wait longer have left when their turn comes, and one that is refused can reach another entry.
const BACKLOG: u32 = 128;

/// Listens on an address; port 0 lets the system choose.
///
/// Nagle's algorithm is off: together with delayed acknowledgements it held back the second small
/// part of a stream for about 40 ms. Accepted connections inherit the option.
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
