//! Requests at which the code of the entry panics.

mod common;

use std::sync::Arc;

use common::{PANIC_AT, TargetStep, TestFleet, TestTarget, header, ok_response, plan};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// More requests than the target has slots.
const REQUESTS: usize = 10;

/// Response with status 200, after which the entry panics if the request asks for it.
fn panicking_response(head: &str) -> Vec<u8> {
    let response = String::from_utf8(ok_response(head, "booked")).unwrap();
    let line =
        header(head, PANIC_AT).map_or(String::new(), |step| format!("{PANIC_AT}: {step}\r\n"));
    response
        .replacen("content-length", &format!("{line}content-length"), 1)
        .into_bytes()
}

/// Guards against a caller that gets a closed connection in place of an answer, or an answer that says
/// that the request has not run although it has, when the code of the entry panics. Also guards against
/// slots that stay occupied afterwards.
#[rstest]
#[case::before_admission("request", "503", "not-run", 0)]
#[case::before_the_send("send", "502", "unknown", 0)]
#[case::after_the_run("response", "502", "unknown", REQUESTS)]
#[tokio::test(flavor = "multi_thread")]
async fn caller_gets_an_answer_when_the_entry_panics(
    #[case] step: &str,
    #[case] status: &str,
    #[case] outcome: &str,
    #[case] runs: usize,
) {
    let script = Arc::new(|head: &str| TargetStep::Write(panicking_response(head)));
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let mut answers = Vec::new();

    for number in 0..REQUESTS {
        let mut connection = TcpStream::connect(fleet.relay.http()).await.unwrap();
        let request = format!(
            "POST /once/x HTTP/1.1\r\nhost: mill.example\r\nrequest-id: r{number}\r\nkey: secret\r\n\
             deadline-ms: 1500\r\n{PANIC_AT}: {step}\r\ncontent-length: 0\r\n\r\n"
        );
        connection.write_all(request.as_bytes()).await.unwrap();
        answers.push(common::read_head(&mut connection).await);
    }

    for answer in answers {
        let head = answer.expect("the connection was closed without an answer");
        assert_eq!(head.split(' ').nth(1), Some(status), "{head}");
        assert_eq!(header(&head, "bilberry-outcome"), Some(outcome));
    }
    assert_eq!(target.arrivals(), runs);
    let sound = fleet.request("/once/x", "sound").send().await.unwrap();
    assert_eq!(sound.status(), 200);
}
