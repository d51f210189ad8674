//! Answers of the target that stop before their end, at every byte of their heads and of the framing of
//! their bodies. Each case cuts one sound answer at all positions.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use agent::{HttpTarget, TargetClient, TargetError, TargetRequest};
use futures_util::StreamExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::RequestHead;

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 800\r\n\
                           x-response-signature: 3e1b.07\r\n\r\n";

const LENGTH_FIRST: &str = "HTTP/1.1 200 OK\r\ncontent-length: 800\r\nx-sum: 7\r\n\r\n";

const EMPTY_BODY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nx-response-signature: 3e1b.07\r\n\r\n";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-sum: 7\r\n\r\n";

const LINE_FEEDS: &str = "HTTP/1.1 200 OK\ncontent-length: 800\nx-sum: 7\n\n";

const NO_REASON: &str = "HTTP/1.1 200\r\ncontent-length: 800\r\n\r\n";

const OLD_VERSION: &str = "HTTP/1.0 200 OK\r\ncontent-length: 800\r\n\r\n";

const AFTER_CONTINUE: &str =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 800\r\n\r\n";

const AFTER_HINTS: &str = "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n\
                           HTTP/1.1 200 OK\r\ncontent-length: 800\r\n\r\n";

const EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Body with chunk extensions and a trailer.
const CHUNKED_EVENTS: &str = "7;a=b\r\nid: 1\n\n\r\n0010\r\nid: 2\ndata: ab\n\n\r\n\
                              0\r\nx-sum: 7\r\n\r\n";

const SOUND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound";

/// Time after which the agent has read what was sent before a reset.
const RESET_DELAY: Duration = Duration::from_millis(2);

/// Number of attempts to have a request sent on a new or on a kept connection.
const MAX_ATTEMPTS: usize = 20;

/// How a connection ends on which an answer stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutEnd {
    Close,
    /// The target closes its direction only, and keeps reading.
    Shutdown,
    Reset,
    /// A reset after the last bytes have been read.
    LateReset,
}

impl CutEnd {
    const ALL: [Self; 4] = [Self::Close, Self::Shutdown, Self::Reset, Self::LateReset];
}

/// Connections to a target.
#[derive(Debug, Default)]
struct TargetRecord {
    /// Whether the connection of the last cut answer had served a request before.
    is_kept: bool,
    /// Number of cut answers.
    cut_count: usize,
    /// Number of connections on which bytes arrived after an answer had stopped.
    reuse_count: usize,
}

/// Starts a target that gives a sound answer at `/`. At `/POSITION/END`, it stops after that number of
/// bytes of `answer`, and ends the connection as the index in [`CutEnd::ALL`] says.
async fn start_target(answer: String) -> (HttpTarget, Arc<Mutex<TargetRecord>>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let record = Arc::<Mutex<TargetRecord>>::default();
    let shared = record.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer.clone(), shared.clone()));
        }
    });
    let target = HttpTarget::new(&format!("http://{address}")).unwrap();
    (target, record)
}

async fn serve(mut stream: TcpStream, answer: String, record: Arc<Mutex<TargetRecord>>) {
    let mut is_kept = false;
    while let Some(path) = read_path(&mut stream).await {
        let Some((position, end)) = path.trim_start_matches('/').split_once('/') else {
            stream.write_all(SOUND.as_bytes()).await.unwrap();
            is_kept = true;
            continue;
        };
        {
            let mut record = record.lock().unwrap();
            record.is_kept = is_kept;
            record.cut_count += 1;
        }
        let position: usize = position.parse().unwrap();
        stream
            .write_all(&answer.as_bytes()[..position])
            .await
            .unwrap();
        match CutEnd::ALL[end.parse::<usize>().unwrap()] {
            CutEnd::Close => {}
            CutEnd::Reset => stream.set_zero_linger().unwrap(),
            CutEnd::LateReset => {
                tokio::time::sleep(RESET_DELAY).await;
                stream.set_zero_linger().unwrap();
            }
            CutEnd::Shutdown => {
                stream.shutdown().await.unwrap();
                let is_reused = stream.read_u8().await.is_ok();
                record.lock().unwrap().reuse_count += usize::from(is_reused);
            }
        }
        return;
    }
}

/// Reads a request without a body, and returns its path.
async fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    head.split(' ').nth(1).map(Into::into)
}

fn get_request(path: String, is_repeatable: bool) -> TargetRequest {
    TargetRequest {
        head: RequestHead {
            method: "GET".into(),
            path,
            headers: Vec::new(),
        },
        body: Vec::new(),
        is_repeatable,
        trace: None,
    }
}

/// Sends a request and reads its response to the end.
async fn send(target: &HttpTarget, request: TargetRequest) -> Result<Vec<u8>, TargetError> {
    let mut body = target.send(request).await?.body;
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        bytes.extend(part?);
    }
    Ok(bytes)
}

/// Sends a request whose answer stops, on a connection that is kept or not, and checks that it is sent
/// once only.
async fn send_on(
    target: &HttpTarget,
    record: &Mutex<TargetRecord>,
    (is_repeatable, is_kept): (bool, bool),
    (position, end): (usize, CutEnd),
) -> Result<Vec<u8>, TargetError> {
    let end = CutEnd::ALL.iter().position(|other| *other == end).unwrap();
    for _ in 0..MAX_ATTEMPTS {
        if is_kept {
            let sound = send(target, get_request("/".into(), true)).await;
            assert_eq!(sound.unwrap(), b"sound");
        }
        let cut_count = record.lock().unwrap().cut_count;
        let request = get_request(format!("/{position}/{end}"), is_repeatable);
        let result = send(target, request).await;
        let record = record.lock().unwrap();
        assert_eq!(record.cut_count, cut_count + 1, "at {position}: {result:?}");
        if record.is_kept == is_kept {
            return result;
        }
    }
    panic!("no request was sent on such a connection");
}

/// Guards against an answer whose head stopped and that looks complete, that is reported as not sent,
/// or whose request is sent again, and against its connection being used again.
#[rstest]
#[case::with_length(WITH_LENGTH)]
#[case::length_first(LENGTH_FIRST)]
#[case::empty_body(EMPTY_BODY)]
#[case::without_length(WITHOUT_LENGTH)]
#[case::chunked(CHUNKED)]
#[case::line_feeds(LINE_FEEDS)]
#[case::no_reason(NO_REASON)]
#[case::old_version(OLD_VERSION)]
#[case::after_continue(AFTER_CONTINUE)]
#[case::after_hints(AFTER_HINTS)]
#[case::events(EVENTS)]
#[tokio::test]
async fn answer_that_stops_in_its_head_is_lost(#[case] answer: &str) {
    let (target, record) = start_target(answer.into()).await;

    for kind in [(false, false), (true, false), (true, true)] {
        for end in CutEnd::ALL {
            for position in 0..answer.len() {
                let result = send_on(&target, &record, kind, (position, end)).await;

                let is_lost = matches!(result, Err(TargetError::Lost(_)));
                assert!(is_lost, "{end:?} at {position}: {result:?}");
            }
        }
    }
    assert_eq!(record.lock().unwrap().reuse_count, 0);
}

/// Guards against a body that looks complete although it stopped in the size of a chunk, in its
/// extension, in its data or in the trailer.
#[rstest]
#[case::plain("text/plain")]
#[case::stream("text/event-stream")]
#[tokio::test]
async fn answer_that_stops_in_its_chunks_is_lost(#[case] content_type: &str) {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let answer = head.clone() + CHUNKED_EVENTS;
    let (target, record) = start_target(answer.clone()).await;

    for kind in [(false, false), (true, true)] {
        for end in CutEnd::ALL {
            for position in head.len()..answer.len() {
                let result = send_on(&target, &record, kind, (position, end)).await;

                let is_lost = matches!(result, Err(TargetError::Lost(_)));
                assert!(is_lost, "{end:?} at {position}: {result:?}");
            }
        }
        let whole = send_on(&target, &record, kind, (answer.len(), CutEnd::Close)).await;
        assert_eq!(whole.unwrap(), b"id: 1\n\nid: 2\ndata: ab\n\n");
    }
    assert_eq!(record.lock().unwrap().reuse_count, 0);
}

/// Guards against a short body that looks complete, and against coded bytes that are forwarded as if they
/// were the body, when the target names a transfer coding other than chunks. Such a coding makes any
/// length void.
#[rstest]
#[case::short("transfer-encoding: identity\r\ncontent-length: 800", "short")]
#[case::short_after_the_length("content-length: 800\r\ntransfer-encoding: identity", "short")]
#[case::coded("transfer-encoding: gzip", "coded")]
#[case::coded_in_chunks("transfer-encoding: gzip, chunked", "5\r\ncoded\r\n0\r\n\r\n")]
#[case::stream(
    "content-type: text/event-stream\r\ntransfer-encoding: identity",
    "id: 1\n\nid: 2\nda"
)]
#[case::misspelt("transfer-encoding: chunke", "short")]
#[tokio::test]
async fn body_in_another_transfer_coding_is_lost(#[case] headers: &str, #[case] body: &str) {
    let answer = format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n{body}");
    let (target, record) = start_target(answer.clone()).await;

    let cut = (answer.len(), CutEnd::Close);
    let result = send_on(&target, &record, (false, false), cut).await;

    assert!(matches!(result, Err(TargetError::Lost(_))), "{result:?}");
}

/// Guards against callers that are told of a switch of protocols, of which neither side knows the next
/// one.
#[tokio::test]
async fn switch_of_protocols_is_lost() {
    let answer = "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";
    let (target, record) = start_target(answer.into()).await;

    let cut = (answer.len(), CutEnd::Close);
    let result = send_on(&target, &record, (false, false), cut).await;

    assert!(matches!(result, Err(TargetError::Lost(_))), "{result:?}");
}
