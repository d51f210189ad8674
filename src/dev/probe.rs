//! Readiness probes of the entries of a development fleet.

use std::net::SocketAddr;
use std::time::Duration;

use manifest::ServiceKind;
use reqwest::{Client, StatusCode};
use serde_json::json;
use units::ServiceName;

/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until an entry serves a service. The readiness endpoint of an entry does not show this: it
/// reports that the entry holds a lease, but not that it knows the targets.
pub(super) async fn wait_until_served(
    http: SocketAddr,
    key: &str,
    service: &ServiceName,
    kind: ServiceKind,
) {
    let client = Client::new();
    loop {
        let request = match kind {
            ServiceKind::Plain => client.get(format!("http://{http}/services/{service}/health")),
            ServiceKind::Model => client
                .post(format!("http://{http}/v1/chat/completions"))
                .json(&json!({
                    "model": service,
                    "max_tokens": 1,
                    "messages": [{"role": "user", "content": "probe"}],
                })),
        };
        // Any other status, such as the one for an unknown key, shows that the entry is running.
        match request.bearer_auth(key).send().await {
            Ok(response) if response.status() != StatusCode::SERVICE_UNAVAILABLE => {
                // Read the whole body, or the entry would treat the caller as disconnected.
                let _ = response.bytes().await;
                return;
            }
            _ => tokio::time::sleep(PROBE_INTERVAL).await,
        }
    }
}
