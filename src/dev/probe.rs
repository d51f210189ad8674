//! Probes of the entries of a fleet that starts.

use std::net::SocketAddr;
use std::time::Duration;

use manifest::ServiceKind;
use reqwest::{Client, StatusCode};
use serde_json::json;
use units::ServiceName;

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until an entry serves a service. The readiness of an entry says that it holds a lease, but
/// not that it has learned of the targets.
pub(super) async fn wait_service(
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
        // Any other response, such as that to an unknown key, shows that the entry is up.
        match request.bearer_auth(key).send().await {
            Ok(response) if response.status() != StatusCode::SERVICE_UNAVAILABLE => {
                // Read to the end, so that the entry does not take the caller for gone.
                let _ = response.bytes().await;
                return;
            }
            _ => tokio::time::sleep(PROBE_INTERVAL).await,
        }
    }
}
