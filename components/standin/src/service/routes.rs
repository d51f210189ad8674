//! HTTP handlers of the plain service.

use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use salvo::http::StatusCode;
use salvo::{Request, Response, Router, handler};
use serde::Deserialize;
use serde_json::json;

use super::{ServiceFaults, ServiceInner, ServiceState};
use crate::content;
use crate::http::{abort_response, read_json, write_error, write_json};

pub(crate) fn routes(state: &Arc<ServiceState>) -> Router {
    Router::new()
        .push(Router::with_path("records/{**path}").get(RecordHandler(state.clone())))
        .push(Router::with_path("orders").post(OrderHandler(state.clone())))
        .push(Router::with_path("health").get(health))
        .push(
            Router::with_path("standin")
                .push(Router::with_path("status").get(StatusHandler(state.clone())))
                .push(
                    Router::with_path("faults")
                        .get(FaultsHandler(state.clone()))
                        .put(SetFaultsHandler(state.clone())),
                ),
        )
}

impl ServiceState {
    fn lock(&self) -> MutexGuard<'_, ServiceInner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Takes and counts a refusal if one is set, and returns whether the call is refused.
    fn take_refusal(&self) -> bool {
        let mut inner = self.lock();
        let is_refused = take_fault(&mut inner.faults.refuse_calls);
        if is_refused {
            inner.status.refused += 1;
        }
        is_refused
    }
}

/// Decrements a count of faults, and returns whether it was above 0.
fn take_fault(count: &mut u64) -> bool {
    let is_set = *count > 0;
    *count = count.saturating_sub(1);
    is_set
}

struct RecordHandler(Arc<ServiceState>);

#[handler]
impl RecordHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if self.0.take_refusal() {
            return write_busy(response);
        }
        let path = request.param::<String>("path").unwrap_or_default();
        tokio::time::sleep(self.0.settings.call_time).await;
        self.0.lock().status.reads += 1;
        let body = json!({"record": path, "text": content::record(&path)});
        write_json(response, StatusCode::OK, &body);
    }
}

#[derive(Deserialize)]
struct Booking {
    id: String,
}

struct OrderHandler(Arc<ServiceState>);

#[handler]
impl OrderHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if self.0.take_refusal() {
            return write_busy(response);
        }
        let booking: Booking = match read_json(request).await {
            Ok(booking) => booking,
            Err(error) => {
                let message = format!("{error:#}");
                return write_error(response, StatusCode::BAD_REQUEST, "bad-request", &message);
            }
        };
        let (count, is_reply_lost, is_silent, duration) = self.record_booking(&booking.id);
        tokio::time::sleep(duration).await;
        if is_silent {
            return std::future::pending().await;
        }
        if is_reply_lost {
            return abort_response(response);
        }
        let body = json!({
            "booking": booking.id,
            "count": count,
            "text": content::record(&booking.id),
        });
        write_json(response, StatusCode::CREATED, &body);
    }
}

impl OrderHandler {
    /// Counts a run of a booking and takes the faults that are set. Returns the new count, whether
    /// the reply is lost, whether the call gets no reply, and how long it takes.
    fn record_booking(&self, id: &str) -> (u64, bool, bool, Duration) {
        let mut inner = self.0.lock();
        let count = inner.status.bookings.entry(id.to_string()).or_default();
        *count += 1;
        let count = *count;
        let is_reply_lost = take_fault(&mut inner.faults.lose_replies);
        let is_silent = take_fault(&mut inner.faults.silent_calls);
        let duration = match inner.faults.booking_ms {
            Some(ms) => Duration::from_millis(ms),
            None => self.0.settings.call_time,
        };
        (count, is_reply_lost, is_silent, duration)
    }
}

fn write_busy(response: &mut Response) {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    write_error(response, status, "busy", "the service refuses calls");
}

#[handler]
async fn health(response: &mut Response) {
    write_json(response, StatusCode::OK, &json!({"status": "ok"}));
}

struct StatusHandler(Arc<ServiceState>);

#[handler]
impl StatusHandler {
    async fn handle(&self, response: &mut Response) {
        let status = self.0.lock().status.clone();
        write_json(response, StatusCode::OK, &json!(status));
    }
}

struct FaultsHandler(Arc<ServiceState>);

#[handler]
impl FaultsHandler {
    async fn handle(&self, response: &mut Response) {
        let faults = self.0.lock().faults.clone();
        write_json(response, StatusCode::OK, &json!(faults));
    }
}

struct SetFaultsHandler(Arc<ServiceState>);

#[handler]
impl SetFaultsHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match read_json::<ServiceFaults>(request).await {
            Ok(faults) => {
                telemetry::event!(telemetry::events::STANDIN_FAULTS, faults = ?faults);
                self.0.lock().faults = faults.clone();
                write_json(response, StatusCode::OK, &json!(faults));
            }
            Err(error) => {
                let message = format!("{error:#}");
                write_error(response, StatusCode::BAD_REQUEST, "bad-request", &message);
            }
        }
    }
}
