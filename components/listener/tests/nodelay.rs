//! Socket options of accepted connections.

use std::net::SocketAddr;

use tokio::net::TcpStream;

/// Guards against Nagle's algorithm, which delays small parts of a stream until the previous part
/// is acknowledged.
#[tokio::test]
async fn accepted_connections_have_nodelay_set() {
    let acceptor = listener::listen(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = acceptor.local_addr().unwrap();

    let _caller = TcpStream::connect(address).await.unwrap();
    let (accepted, _) = acceptor.inner().accept().await.unwrap();

    assert!(accepted.nodelay().unwrap());
}
