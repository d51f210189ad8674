//! Handlers of the load report, cache events, orders to load a model, and health checks.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Request, Response, Router, handler};
use serde::Deserialize;
use serde_json::json;

use super::state::EngineState;
use crate::http::{query_number, read_json, write_error, write_json};

pub(crate) fn routes(state: &Arc<EngineState>) -> Router {
    Router::new()
        .push(Router::with_path("load").get(LoadReportHandler(state.clone())))
        .push(Router::with_path("cache/events").get(CacheEventsHandler(state.clone())))
        .push(Router::with_path("models/load").post(LoadOrderHandler(state.clone())))
        .push(Router::with_path("health").get(HealthHandler(state.clone())))
}

struct LoadReportHandler(Arc<EngineState>);

#[handler]
impl LoadReportHandler {
    async fn handle(&self, response: &mut Response) {
        let (running, waiting) = self.0.lock().load_report;
        let report = json!({
            "running": running,
            "waiting": waiting,
            "batch_limit": self.0.settings.batch_limit,
        });
        write_json(response, StatusCode::OK, &report);
    }
}

struct CacheEventsHandler(Arc<EngineState>);

#[handler]
impl CacheEventsHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let since = query_number(request, "since").unwrap_or(0);
        let settings = &self.0.settings;
        let events = self
            .0
            .lock()
            .cache
            .events(since, settings.event_lag, settings.event_gap);
        write_json(response, StatusCode::OK, &json!({ "events": events }));
    }
}

#[derive(Deserialize)]
struct LoadOrder {
    model: String,
    version: String,
    fence: u64,
}

struct LoadOrderHandler(Arc<EngineState>);

#[handler]
impl LoadOrderHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let order: LoadOrder = match read_json(request).await {
            Ok(order) => order,
            Err(error) => {
                let message = format!("{error:#}");
                return write_error(response, StatusCode::BAD_REQUEST, "bad-request", &message);
            }
        };
        let mut inner = self.0.lock();
        let max_fence = inner.status.fence;
        if self.0.settings.checks_fence && order.fence < max_fence {
            drop(inner);
            let message = format!("fencing number {} is older than {max_fence}", order.fence);
            return write_error(response, StatusCode::CONFLICT, "old-fence", &message);
        }
        inner.status.fence = max_fence.max(order.fence);
        inner.status.orders += 1;
        inner.models.insert(order.model, order.version);
        let body = json!({ "models": inner.models });
        drop(inner);
        write_json(response, StatusCode::OK, &body);
    }
}

struct HealthHandler(Arc<EngineState>);

#[handler]
impl HealthHandler {
    async fn handle(&self, response: &mut Response) {
        if self.0.lock().is_down() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return write_error(response, status, "down", "the engine is out of service");
        }
        write_json(response, StatusCode::OK, &json!({"status": "ok"}));
    }
}
