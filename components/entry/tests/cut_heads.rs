//! Answers of targets that stop at every byte of their heads, as callers see them.

mod common;

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex};

use agent::TargetKind;
use common::{Caller, Fleet, header_value};
use entry::EntryHandle;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 800\r\nx-sum: 7\r\n\r\n";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-sum: 7\r\n\r\n";

const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\nx-response-signature: 3e1b.07\n\n";

const EVENTS: &str = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\
                      content-type: text/event-stream\r\n\r\n";

const SOUND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound";

/// Header with the number of bytes after which the first answer to a request stops.
const CUT_AT: &str = "cut-at";

/// Header that tells the requests of a test apart.
const NUMBER: &str = "number";

/// Number of requests that allow one retry.
const REQUESTS_PER_RETRY: usize = 10;

/// A target that stops in the middle of its answers.
struct CuttingTarget {
    address: SocketAddr,
    /// Numbers of the requests that arrived.
    arrivals: Arc<Mutex<Vec<String>>>,
}

impl CuttingTarget {
    /// Starts a target that stops in the first answer to each request, or in all answers. The others
    /// are sound.
    async fn start(answer: &'static str, cuts_all: bool) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals = Arc::<Mutex<Vec<String>>>::default();
        let shared = arrivals.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answer, cuts_all, shared.clone()));
            }
        });
        Self { address, arrivals }
    }

    fn count(&self, number: &str) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|other| *other == number).count()
    }
}

async fn serve(
    mut stream: TcpStream,
    answer: &str,
    cuts_all: bool,
    arrivals: Arc<Mutex<Vec<String>>>,
) {
    while let Some(head) = read_request(&mut stream).await {
        let number = header(&head, NUMBER).unwrap().to_owned();
        let is_first = {
            let mut arrivals = arrivals.lock().unwrap();
            let is_first = !arrivals.contains(&number);
            arrivals.push(number);
            is_first
        };
        let cut_at = header(&head, CUT_AT).filter(|_| is_first || cuts_all);
        if let Some(cut_at) = cut_at {
            let bytes = &answer.as_bytes()[..cut_at.parse().unwrap()];
            stream.write_all(bytes).await.unwrap();
            return;
        }
        stream.write_all(SOUND.as_bytes()).await.unwrap();
    }
}

/// Reads a request, and returns its head.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(bytes).unwrap();
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Positions at which an answer is incomplete. All but [`WITHOUT_LENGTH`] need bytes after their heads.
fn positions(answer: &str) -> Range<usize> {
    let has_end = answer == WITHOUT_LENGTH;
    0..answer.len() + usize::from(!has_end)
}

/// Sends an order with this number as its key.
async fn order(entry: &EntryHandle, number: &str, cut_at: usize) -> reqwest::Response {
    let request = Caller::new(entry).post("/services/visits/orders", "visit");
    let request = request.header("idempotency-key", number);
    let request = request.header(NUMBER, number).header(CUT_AT, cut_at);
    request.send().await.unwrap()
}

/// Guards against an order whose answer stopped in its head and looks complete, is reported as not run,
/// or runs again when its caller repeats it.
#[rstest]
#[case::with_length(WITH_LENGTH)]
#[case::chunked(CHUNKED)]
#[case::without_length(WITHOUT_LENGTH)]
#[case::events(EVENTS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_whose_answer_stops_in_its_head_has_an_unknown_outcome(#[case] answer: &'static str) {
    let fleet = Fleet::new();
    let target = CuttingTarget::start(answer, true).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;

    for cut_at in positions(answer) {
        let number = format!("order-{cut_at}");
        let response = order(&entry, &number, cut_at).await;
        let repeated = order(&entry, &number, cut_at).await;

        assert_eq!(response.status().as_u16(), 502, "at {cut_at}");
        assert_eq!(header_value(&response, "bilberry-outcome"), "unknown");
        let body = response.text().await.unwrap();
        assert!(body.contains("target-lost"), "at {cut_at}: {body}");
        assert_eq!(repeated.status().as_u16(), 409, "at {cut_at}");
        assert_eq!(header_value(&repeated, "bilberry-outcome"), "unknown");
        assert_eq!(target.count(&number), 1, "at {cut_at}");
    }
}

/// Guards against a read that fails although it may be repeated, and against an answer in which parts of
/// two are joined.
#[rstest]
#[case::with_length(WITH_LENGTH)]
#[case::chunked(CHUNKED)]
#[case::without_length(WITHOUT_LENGTH)]
#[case::events(EVENTS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_whose_answer_stops_in_its_head_is_repeated(#[case] answer: &'static str) {
    let fleet = Fleet::new();
    let target = CuttingTarget::start(answer, false).await;
    let _agent = fleet
        .start_agent("agent-1", "visits", TargetKind::Plain, target.address)
        .await;
    let entry = fleet.start_entry("entry-1").await;
    let client = reqwest::Client::new();
    let url = format!("http://{}/services/visits/x", entry.http());

    for cut_at in positions(answer) {
        let read = |number: String| {
            let request = client.get(&url).bearer_auth(common::BEARER_KEY);
            request.header(NUMBER, number)
        };
        for number in 1..REQUESTS_PER_RETRY {
            let request = read(format!("sound-{cut_at}-{number}"));
            assert_eq!(request.send().await.unwrap().status().as_u16(), 200);
        }
        let number = format!("read-{cut_at}");
        let request = read(number.clone()).header(CUT_AT, cut_at);
        let response = request.send().await.unwrap();

        assert_eq!(response.status().as_u16(), 200, "at {cut_at}");
        assert_eq!(header_value(&response, "x-sum"), "", "at {cut_at}");
        assert_eq!(response.text().await.unwrap(), "sound", "at {cut_at}");
        assert_eq!(target.count(&number), 2, "at {cut_at}");
    }
}
