//! Numbers in the answers of targets that are out of the range of the entry's arithmetic.

mod common;

use std::sync::Arc;

use common::{TargetStep, TestFleet, TestTarget, header, plan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Idle timeouts at and beyond the ends of the types that hold them.
const TIMEOUTS: &[&str] = &[
    "0",
    "4294967295",
    "263524915338707881",
    "9223372036854775807",
    "18446744073709551615",
    "99999999999999999999999",
    "1e300",
    "NaN",
    "-1",
];

/// Response with status 200, which contains the header line that the request asks for.
fn stating_response(head: &str) -> Vec<u8> {
    let id = header(head, "request-id").unwrap();
    let line = header(head, "state").unwrap();
    format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{line}\r\ncontent-length: 6\r\n\r\nbooked")
        .into_bytes()
}

/// Sends a request on an open connection, and returns the status line of the response; `None` if the
/// connection is closed without one.
async fn exchange(connection: &mut TcpStream, id: &str, line: &str) -> Option<String> {
    let request = format!(
        "POST /once/x HTTP/1.1\r\nhost: mill.example\r\nrequest-id: {id}\r\nkey: secret\r\n\
         deadline-ms: 1500\r\nstate: {line}\r\ncontent-length: 0\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).await.ok()?;
    let head = common::read_head(connection).await?;
    let length: usize = header(&head, "content-length")?.parse().ok()?;
    connection.read_exact(&mut vec![0; length]).await.ok()?;
    head.lines().next().map(String::from)
}

/// Guards against a caller whose connection is closed without an answer although its request has run,
/// because the target stated a number that the entry cannot calculate with.
#[tokio::test(flavor = "multi_thread")]
async fn answer_with_an_extreme_idle_timeout_reaches_its_caller() {
    let script = Arc::new(|head: &str| TargetStep::Write(stating_response(head)));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let mut connection = TcpStream::connect(fleet.relay.http()).await.unwrap();
    let mut answers = Vec::new();

    for (index, timeout) in TIMEOUTS.iter().enumerate() {
        let line = format!("keep-alive: timeout={timeout}");
        answers.push(exchange(&mut connection, &format!("r{index}"), &line).await);
    }

    let expected = vec![Some("HTTP/1.1 200 OK".to_string()); TIMEOUTS.len()];
    assert_eq!(answers, expected);
}
