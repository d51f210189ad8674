//! The plain service's counts and faults, seen over HTTP.

use reqwest::Client;
use serde_json::{Value, json};
use standin::{ServiceFaults, ServiceSettings, ServiceStatus, content, start_service};

/// Guards against a booking that runs but is not counted.
#[tokio::test]
async fn each_run_of_a_booking_counts() {
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

    let lost = match client.post(&url).json(&booking).send().await {
        Ok(response) => response.text().await.is_err(),
        Err(_) => true,
    };
    let second = client.post(&url).json(&booking).send().await.unwrap();

    assert!(lost);
    assert_eq!(second.status(), 201);
    let url = format!("http://{}/standin/status", service.address());
    let status: ServiceStatus = reqwest::get(url).await.unwrap().json().await.unwrap();
    assert_eq!(status.bookings["visit-1"], 2);
}

/// Guards against records that a client cannot check.
#[tokio::test]
async fn record_is_computed_from_its_path() {
    let service = start_service(ServiceSettings::default()).await.unwrap();

    let url = format!("http://{}/records/mill/7", service.address());
    let record: Value = reqwest::get(url).await.unwrap().json().await.unwrap();

    assert_eq!(record["record"], "mill/7");
    assert_eq!(record["text"], content::record("mill/7"));
}

/// Guards against faults that cannot be set while the service runs.
#[tokio::test]
async fn refusals_are_set_at_the_control_address() {
    let service = start_service(ServiceSettings::default()).await.unwrap();
    let client = Client::new();
    let faults = format!("http://{}/standin/faults", service.address());
    let record = format!("http://{}/records/1", service.address());

    let set = client
        .put(faults)
        .json(&json!({"refuse_calls": 1}))
        .send()
        .await
        .unwrap();
    let refused = reqwest::get(&record).await.unwrap();
    let served = reqwest::get(&record).await.unwrap();

    assert!(set.status().is_success());
    assert_eq!(refused.status(), 503);
    assert!(served.status().is_success());
}
