//! Answers and injected faults of the engine stand-in over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Response};
use serde_json::{Value, json};
use standin::{EngineFaults, EngineSettings, EngineStatus, content, start_engine};

fn fast_settings() -> EngineSettings {
    EngineSettings {
        token_time: Duration::from_millis(2),
        prefill_time: Duration::from_millis(5),
        cached_prefill_time: Duration::from_millis(1),
        outage_time: Duration::from_millis(200),
        ..EngineSettings::default()
    }
}

fn messages(text: &str) -> Value {
    json!([{"role": "user", "content": text}])
}

async fn send_chat(address: SocketAddr, text: &str, stream: bool, max_tokens: u64) -> Response {
    try_send_chat(address, text, stream, max_tokens)
        .await
        .unwrap()
}

/// Returns whether the connection is closed before the answer is complete.
async fn is_cut(address: SocketAddr, text: &str) -> bool {
    match try_send_chat(address, text, false, 4).await {
        Ok(response) => response.text().await.is_err(),
        Err(_) => true,
    }
}

async fn try_send_chat(
    address: SocketAddr,
    text: &str,
    stream: bool,
    max_tokens: u64,
) -> reqwest::Result<Response> {
    let body = json!({
        "model": "advice", "messages": messages(text), "stream": stream, "max_tokens": max_tokens,
    });
    Client::new()
        .post(format!("http://{address}/v1/chat/completions"))
        .header("x-request-id", text)
        .json(&body)
        .send()
        .await
}

async fn read_status(address: SocketAddr) -> EngineStatus {
    let url = format!("http://{address}/standin/status");
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

async fn wait_for_status(
    address: SocketAddr,
    is_reached: impl Fn(&EngineStatus) -> bool,
) -> EngineStatus {
    for _ in 0..500 {
        let status = read_status(address).await;
        if is_reached(&status) {
            return status;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the engine did not reach the expected status within 5 s");
}

/// Joins the tokens of a stream; the flag is true if its end marker was received.
fn join_tokens(stream: &str) -> (String, bool) {
    let mut text = String::new();
    for line in stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
    {
        if line == "[DONE]" {
            return (text, true);
        }
        let event: Value = serde_json::from_str(line).unwrap();
        text.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    (text, false)
}

/// Guards against answers that a client cannot verify against its request.
#[tokio::test]
async fn whole_and_streamed_answers_are_computed_from_the_request() {
    let engine = start_engine(fast_settings()).await.unwrap();
    let expected = content::answer("advice", &messages("a worn stone"), 20);

    let whole: Value = send_chat(engine.address(), "a worn stone", false, 20)
        .await
        .json()
        .await
        .unwrap();
    let stream = send_chat(engine.address(), "a worn stone", true, 20).await;
    let stream = join_tokens(&stream.text().await.unwrap());

    assert_eq!(whole["choices"][0]["message"]["content"], expected);
    assert_eq!(stream, (expected, true));
}

/// Guards against a cold engine that accepts too many requests, so that the fleet's tests would not
/// notice an overload.
#[tokio::test]
async fn overloaded_cold_engine_crashes_and_recovers() {
    let engine = start_engine(fast_settings()).await.unwrap();
    let address = engine.address();

    let first =
        tokio::spawn(async move { send_chat(address, "first", true, 400).await.text().await });
    wait_for_status(address, |status| status.running == 1).await;
    let second_is_cut = is_cut(address, "second").await;
    let refused = send_chat(address, "third", false, 4).await;

    assert!(first.await.unwrap().is_err());
    assert!(second_is_cut);
    assert_eq!(refused.status(), 503);
    wait_for_status(address, |status| !status.down).await;
    assert!(
        send_chat(address, "fourth", false, 4)
            .await
            .status()
            .is_success()
    );
    assert_eq!(read_status(address).await.outages, 1);
}

/// Guards against an engine that crashes although its caller sends one request at a time.
#[tokio::test]
async fn each_completed_request_raises_the_capacity_by_one() {
    let engine = start_engine(fast_settings()).await.unwrap();
    for number in 0..7 {
        let answer = send_chat(engine.address(), &number.to_string(), false, 2).await;
        assert!(answer.status().is_success());
    }

    assert_eq!(read_status(engine.address()).await.carries, 8);
    assert_eq!(read_status(engine.address()).await.outages, 0);
}

/// Guards against a crash marker that has no effect.
#[tokio::test]
async fn request_with_the_crash_marker_starts_an_outage() {
    let faults = EngineFaults {
        crash_marker: Some("POISON".into()),
        ..EngineFaults::default()
    };
    let engine = start_engine(EngineSettings {
        faults,
        ..fast_settings()
    })
    .await
    .unwrap();

    let is_cut = is_cut(engine.address(), "some POISON here").await;

    assert!(is_cut);
    assert!(read_status(engine.address()).await.down);
}

/// Guards against a resumed stream that repeats or skips tokens.
#[tokio::test]
async fn cut_stream_is_resumed_without_gap_or_repetition() {
    let faults = EngineFaults {
        cut_streams: 1,
        cut_after: 3,
        ..EngineFaults::default()
    };
    let engine = start_engine(EngineSettings {
        faults,
        ..fast_settings()
    })
    .await
    .unwrap();
    let expected = content::answer("advice", &messages("resume"), 40);

    let cut = send_chat(engine.address(), "resume", true, 40)
        .await
        .text()
        .await;
    let url = format!("http://{}/streams/resume?from=3", engine.address());
    let resumed = reqwest::get(url).await.unwrap().text().await.unwrap();

    assert!(cut.is_err());
    assert_eq!(join_tokens(&resumed), (expected[3 * 9..].to_string(), true));
}

/// Guards against a cancelled stream that still occupies the batch.
#[tokio::test]
async fn cancelled_stream_leaves_the_batch() {
    let engine = start_engine(fast_settings()).await.unwrap();
    let address = engine.address();
    let stream =
        tokio::spawn(async move { send_chat(address, "long", true, 4000).await.text().await });
    wait_for_status(address, |status| status.running == 1).await;

    let url = format!("http://{address}/streams/long");
    let cancel = Client::new().delete(url).send().await.unwrap();

    assert!(cancel.status().is_success());
    assert!(stream.await.unwrap().is_err());
    let status = wait_for_status(address, |status| status.running == 0).await;
    assert_eq!(status.cancelled, 1);
}

/// Guards against silence that also affects connections opened later.
#[tokio::test]
async fn silent_connection_stays_open_and_the_stream_can_be_resumed() {
    let engine = start_engine(fast_settings()).await.unwrap();
    let address = engine.address();
    let mut stream = send_chat(address, "quiet", true, 4000).await;
    stream.chunk().await.unwrap().unwrap();

    let url = format!("http://{address}/standin/silence");
    Client::new().post(url).send().await.unwrap();
    let read_to_end = async { while stream.chunk().await.unwrap().is_some() {} };
    let silent_read = tokio::time::timeout(Duration::from_millis(300), read_to_end).await;
    let url = format!("http://{address}/streams/quiet?from=0");
    let resumed = reqwest::get(url).await.unwrap().chunk().await.unwrap();

    assert!(silent_read.is_err());
    assert!(resumed.is_some());
}

/// Guards against an engine that ignores whether it is set to check fencing numbers.
#[tokio::test]
async fn old_fencing_number_is_refused_only_if_checked() {
    for (checks_fence, expected) in [(true, 409), (false, 200)] {
        let engine = start_engine(EngineSettings {
            checks_fence,
            ..fast_settings()
        })
        .await
        .unwrap();
        let url = format!("http://{}/models/load", engine.address());
        let order = |fence: u64| json!({"model": "advice", "version": "2", "fence": fence});
        let client = Client::new();
        client.post(&url).json(&order(7)).send().await.unwrap();

        let outdated = client.post(&url).json(&order(6)).send().await.unwrap();

        assert_eq!(outdated.status(), expected);
    }
}

/// Guards against an event log without gaps, since real engines lose cache events and the fleet has
/// to be tested with such losses.
#[tokio::test]
async fn cache_events_leave_out_each_multiple_of_the_gap() {
    let engine = start_engine(EngineSettings {
        cache_limit: 1,
        event_lag: Duration::ZERO,
        event_gap: 2,
        ..fast_settings()
    })
    .await
    .unwrap();
    for text in ["one", "two"] {
        send_chat(engine.address(), text, false, 1).await;
    }

    let url = format!("http://{}/cache/events", engine.address());
    let events: Value = reqwest::get(url).await.unwrap().json().await.unwrap();

    let numbers: Vec<_> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| &event["number"])
        .collect();
    assert_eq!(numbers, [1, 3]);
}
