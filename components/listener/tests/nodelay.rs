//! Options of accepted connections.

use std::net::SocketAddr;

use tokio::net::TcpStream;

/// Guards against streams whose small parts wait for an acknowledgement of the part before.
#[tokio::test]
async fn accepted_connections_send_at_once() {
    let acceptor = listener::listen(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let address = acceptor.local_addr().unwrap();

    let _caller = TcpStream::connect(address).await.unwrap();
    let (accepted, _) = acceptor.inner().accept().await.unwrap();

    assert!(accepted.nodelay().unwrap());
}
