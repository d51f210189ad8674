//! Counts and injected faults of the plain service stand-in over HTTP.

use reqwest::Client;
use serde_json::{Value, json};
use standin::{ServiceFaults, ServiceSettings, ServiceStatus, content, start_service};

/// Guards against runs of a booking that are not counted, such as one whose reply is lost and the
/// repeated call after it.
#[tokio::test]
async fn booking_with_a_lost_reply_is_counted() {
    let faults = ServiceFaults {
        lose_replies: 1,
        ..ServiceFaults::default()
    };
    let service = start_service(ServiceSettings {
        faults,
        ..ServiceSettings::default()
    })
    .await
    .unwrap();
    let url = format!("http://{}/orders", service.address());
    let client = Client::new();
    let booking = json!({"id": "visit-1"});

    let is_reply_lost = match client.post(&url).json(&booking).send().await {
        Ok(response) => response.text().await.is_err(),
        Err(_) => true,
    };
    let second = client.post(&url).json(&booking).send().await.unwrap();

    assert!(is_reply_lost);
    assert_eq!(second.status(), 201);
    let url = format!("http://{}/standin/status", service.address());
    let status: ServiceStatus = reqwest::get(url).await.unwrap().json().await.unwrap();
    assert_eq!(status.bookings["visit-1"], 2);
}

/// Guards against records that a client cannot verify.
#[tokio::test]
async fn record_is_computed_from_its_path() {
    let service = start_service(ServiceSettings::default()).await.unwrap();

    let url = format!("http://{}/records/mill/7", service.address());
    let record: Value = reqwest::get(url).await.unwrap().json().await.unwrap();

    assert_eq!(record["record"], "mill/7");
    assert_eq!(record["text"], content::record("mill/7"));
}

/// Guards against faults that take effect only at the start, or that outlast their count.
#[tokio::test]
async fn refusals_can_be_set_at_run_time() {
    let service = start_service(ServiceSettings::default()).await.unwrap();
    let client = Client::new();
    let faults_url = format!("http://{}/standin/faults", service.address());
    let record_url = format!("http://{}/records/1", service.address());

    let set_response = client
        .put(faults_url)
        .json(&json!({"refuse_calls": 1}))
        .send()
        .await
        .unwrap();
    let refused = reqwest::get(&record_url).await.unwrap();
    let served = reqwest::get(&record_url).await.unwrap();

    assert!(set_response.status().is_success());
    assert_eq!(refused.status(), 503);
    assert!(served.status().is_success());
}
