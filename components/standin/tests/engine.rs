//! The engine's answers and faults, seen over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Response};
use serde_json::{Value, json};
use standin::{EngineFaults, EngineSettings, EngineStatus, content, start_engine};

fn quick_settings() -> EngineSettings {
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

async fn ask(address: SocketAddr, text: &str, stream: bool, max_tokens: u64) -> Response {
    try_ask(address, text, stream, max_tokens).await.unwrap()
}

/// Whether the connection is cut before the answer is complete.
async fn is_cut(address: SocketAddr, text: &str) -> bool {
    match try_ask(address, text, false, 4).await {
        Ok(response) => response.text().await.is_err(),
        Err(_) => true,
    }
}

async fn try_ask(
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

async fn status(address: SocketAddr) -> EngineStatus {
    let url = format!("http://{address}/standin/status");
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

async fn wait_for(address: SocketAddr, wanted: impl Fn(&EngineStatus) -> bool) -> EngineStatus {
    for _ in 0..500 {
        let status = status(address).await;
        if wanted(&status) {
            return status;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the engine did not reach the wanted status in 5 s");
}

/// Joins the tokens of a stream; true if its end was seen.
fn joined(stream: &str) -> (String, bool) {
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

/// Guards against answers that a client cannot check against its request.
#[tokio::test]
async fn whole_and_streamed_answers_are_computed_from_the_request() {
    let engine = start_engine(quick_settings()).await.unwrap();
    let wanted = content::answer("advice", &messages("a worn stone"), 20);

    let whole: Value = ask(engine.address(), "a worn stone", false, 20)
        .await
        .json()
        .await
        .unwrap();
    let stream = ask(engine.address(), "a worn stone", true, 20).await;
    let stream = joined(&stream.text().await.unwrap());

    assert_eq!(whole["choices"][0]["message"]["content"], wanted);
    assert_eq!(stream, (wanted, true));
}

/// Guards against a cold engine that hides an overload from the fleet's tests.
#[tokio::test]
async fn cold_engine_falls_over_and_comes_back() {
    let engine = start_engine(quick_settings()).await.unwrap();
    let address = engine.address();

    let first = tokio::spawn(async move { ask(address, "first", true, 400).await.text().await });
    wait_for(address, |status| status.running == 1).await;
    let second_is_cut = is_cut(address, "second").await;
    let refused = ask(address, "third", false, 4).await;

    assert!(first.await.unwrap().is_err());
    assert!(second_is_cut);
    assert_eq!(refused.status(), 503);
    wait_for(address, |status| !status.down).await;
    assert!(ask(address, "fourth", false, 4).await.status().is_success());
    assert_eq!(status(address).await.outages, 1);
}

/// Guards against an engine that falls over under a caller that waits for each answer.
#[tokio::test]
async fn each_completed_request_lets_the_engine_carry_one_more() {
    let engine = start_engine(quick_settings()).await.unwrap();
    for number in 0..7 {
        let answer = ask(engine.address(), &number.to_string(), false, 2).await;
        assert!(answer.status().is_success());
    }

    assert_eq!(status(engine.address()).await.carries, 8);
    assert_eq!(status(engine.address()).await.outages, 0);
}

/// Guards against a marked request that leaves the engine up.
#[tokio::test]
async fn marked_request_takes_the_engine_down() {
    let faults = EngineFaults {
        crash_marker: Some("POISON".into()),
        ..EngineFaults::default()
    };
    let engine = start_engine(EngineSettings {
        faults,
        ..quick_settings()
    })
    .await
    .unwrap();

    let is_cut = is_cut(engine.address(), "some POISON here").await;

    assert!(is_cut);
    assert!(status(engine.address()).await.down);
}

/// Guards against a resumed stream that repeats or skips tokens.
#[tokio::test]
async fn cut_stream_is_resumed_at_a_token() {
    let faults = EngineFaults {
        cut_streams: 1,
        cut_after: 3,
        ..EngineFaults::default()
    };
    let engine = start_engine(EngineSettings {
        faults,
        ..quick_settings()
    })
    .await
    .unwrap();
    let wanted = content::answer("advice", &messages("resume"), 40);

    let cut = ask(engine.address(), "resume", true, 40).await.text().await;
    let url = format!("http://{}/streams/resume?from=3", engine.address());
    let rest = reqwest::get(url).await.unwrap().text().await.unwrap();

    assert!(cut.is_err());
    assert_eq!(joined(&rest), (wanted[3 * 9..].to_string(), true));
}

/// Guards against a cancelled stream that keeps its place in the batch.
#[tokio::test]
async fn cancelled_stream_ends() {
    let engine = start_engine(quick_settings()).await.unwrap();
    let address = engine.address();
    let open = tokio::spawn(async move { ask(address, "long", true, 4000).await.text().await });
    wait_for(address, |status| status.running == 1).await;

    let url = format!("http://{address}/streams/long");
    let cancel = Client::new().delete(url).send().await.unwrap();

    assert!(cancel.status().is_success());
    assert!(open.await.unwrap().is_err());
    let status = wait_for(address, |status| status.running == 0).await;
    assert_eq!(status.cancelled, 1);
}

/// Guards against a silent connection that also stops new ones.
#[tokio::test]
async fn silent_stream_stays_open_while_a_new_one_works() {
    let engine = start_engine(quick_settings()).await.unwrap();
    let address = engine.address();
    let mut open = ask(address, "quiet", true, 4000).await;
    open.chunk().await.unwrap().unwrap();

    let url = format!("http://{address}/standin/silence");
    Client::new().post(url).send().await.unwrap();
    let read_on = async { while open.chunk().await.unwrap().is_some() {} };
    let silent = tokio::time::timeout(Duration::from_millis(300), read_on).await;
    let url = format!("http://{address}/streams/quiet?from=0");
    let resumed = reqwest::get(url).await.unwrap().chunk().await.unwrap();

    assert!(silent.is_err());
    assert!(resumed.is_some());
}

/// Guards against an engine that mixes up the two kinds of fencing.
#[tokio::test]
async fn old_fencing_number_is_refused_only_if_checked() {
    for (checks_fence, wanted) in [(true, 409), (false, 200)] {
        let engine = start_engine(EngineSettings {
            checks_fence,
            ..quick_settings()
        })
        .await
        .unwrap();
        let url = format!("http://{}/models/load", engine.address());
        let order = |fence: u64| json!({"model": "advice", "version": "2", "fence": fence});
        let client = Client::new();
        client.post(&url).json(&order(7)).send().await.unwrap();

        let old = client.post(&url).json(&order(6)).send().await.unwrap();

        assert_eq!(old.status(), wanted);
    }
}

/// Guards against cache events that are on time and complete, unlike those of real engines.
#[tokio::test]
async fn cache_events_have_gaps() {
    let engine = start_engine(EngineSettings {
        cache_limit: 1,
        event_lag: Duration::ZERO,
        event_gap: 2,
        ..quick_settings()
    })
    .await
    .unwrap();
    for text in ["one", "two"] {
        ask(engine.address(), text, false, 1).await;
    }

    let url = format!("http://{}/cache/events", engine.address());
    let events: Value = reqwest::get(url).await.unwrap().json().await.unwrap();

    let numbers: Vec<_> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| &e["number"])
        .collect();
    assert_eq!(numbers, [1, 3]);
}
