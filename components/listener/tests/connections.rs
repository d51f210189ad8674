//! Bound and time-outs of connections.

use std::net::SocketAddr;
use std::time::Duration;

use listener::ConnectionTable;
use rstest::rstest;
use salvo::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time-out that the tests apply, and one that never ends.
const SHORT: Duration = Duration::from_millis(200);
const LONG: Duration = Duration::from_secs(3_600);

/// Time limit for a response or the end of a connection; reaching it fails the test.
const TIME_LIMIT: Duration = Duration::from_secs(20);

const REQUEST: &str = "POST / HTTP/1.1\r\nhost: a.example\r\ncontent-length: 4\r\n\r\nbody";

#[handler]
async fn answer(req: &mut Request) -> String {
    match req.payload().await {
        Ok(body) => format!("{} bytes", body.len()),
        Err(error) => error.to_string(),
    }
}

async fn serve(table: &ConnectionTable) -> SocketAddr {
    let acceptor = listener::listen("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
        .bounded_by(table.clone());
    let address = acceptor.local_addr().unwrap();
    tokio::spawn(listener::server(acceptor).serve(Router::new().goal(answer)));
    address
}

async fn open(address: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    stream
}

/// Returns what arrives; empty at the end of the connection.
async fn receive(stream: &mut TcpStream) -> String {
    let mut buf = vec![0; 1 << 10];
    let reading = tokio::time::timeout(TIME_LIMIT, stream.read(&mut buf)).await;
    // A connection that is closed with unread data is reset.
    let count = reading.unwrap().unwrap_or_default();
    String::from_utf8_lossy(&buf[..count]).into()
}

/// Guards against connections that stay open without a request, or with a part of its head.
#[rstest]
#[case::silent("", LONG, SHORT)]
#[case::part_of_a_head("GET / HTTP/1.1\r\nhost:", SHORT, LONG)]
#[case::empty_lines("\r\n\r\n\r\n", SHORT, LONG)]
#[tokio::test]
async fn connections_without_a_request_are_closed(
    #[case] bytes: &str,
    #[case] header_timeout: Duration,
    #[case] idle_timeout: Duration,
) {
    let table = ConnectionTable::new(10);
    let mut stream = open(serve(&table).await, bytes).await;
    tokio::time::sleep(SHORT * 2).await;
    table.close_expired(header_timeout, idle_timeout);
    assert_eq!(receive(&mut stream).await, "");
}

/// Guards against the end of a connection whose body arrives slowly, and of one that is kept.
#[tokio::test]
async fn slow_bodies_and_kept_connections_are_not_closed() {
    let table = ConnectionTable::new(10);
    let address = serve(&table).await;
    let mut stream = open(address, &REQUEST[..REQUEST.len() - 2]).await;
    tokio::time::sleep(SHORT * 2).await;
    table.close_expired(SHORT, SHORT);
    stream.write_all(b"dy").await.unwrap();
    assert!(receive(&mut stream).await.contains("4 bytes"));
    table.close_expired(SHORT, LONG);
    stream.write_all(REQUEST.as_bytes()).await.unwrap();
    assert!(receive(&mut stream).await.contains("4 bytes"));
    tokio::time::sleep(SHORT * 2).await;
    table.close_expired(LONG, SHORT);
    assert_eq!(receive(&mut stream).await, "");
}

/// Guards against more connections than the memory of the host allows, and against the end of a
/// request in progress for a new connection.
#[tokio::test]
async fn beyond_the_bound_the_oldest_idle_connection_is_closed() {
    let table = ConnectionTable::new(2);
    let address = serve(&table).await;
    let mut idle = open(address, REQUEST).await;
    assert!(receive(&mut idle).await.contains("4 bytes"));
    let mut busy = open(address, &REQUEST[..REQUEST.len() - 2]).await;
    tokio::time::sleep(SHORT).await;
    let mut new = open(address, &REQUEST[..REQUEST.len() - 2]).await;
    assert_eq!(receive(&mut idle).await, "");
    tokio::time::sleep(SHORT).await;
    let mut refused = open(address, "").await;
    assert_eq!(receive(&mut refused).await, "");
    for stream in [&mut busy, &mut new] {
        stream.write_all(b"dy").await.unwrap();
        assert!(receive(stream).await.contains("4 bytes"));
    }
    assert_eq!(table.closed_by_bound(), 2);
}

/// Guards against connections that no time-out applies to, which would take all places of the bound.
#[tokio::test]
async fn http2_connections_are_closed() {
    let table = ConnectionTable::new(8);
    let address = serve(&table).await;
    let mut stream = open(address, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").await;

    let received = receive(&mut stream).await;

    assert_eq!(received, "");
}
