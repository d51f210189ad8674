//! Handlers below `/standin/`: status, injected faults, restart, outage and silence.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Request, Response, Router, handler};
use serde_json::json;

use super::settings::EngineFaults;
use super::state::EngineState;
use crate::http::{read_json, write_error, write_json};

pub(crate) fn routes(state: &Arc<EngineState>) -> Router {
    Router::with_path("standin")
        .push(Router::with_path("status").get(StatusHandler(state.clone())))
        .push(
            Router::with_path("faults")
                .get(FaultsHandler(state.clone()))
                .put(SetFaultsHandler(state.clone())),
        )
        .push(Router::with_path("restart").post(RestartHandler(state.clone())))
        .push(Router::with_path("outage").post(OutageHandler(state.clone())))
        .push(Router::with_path("silence").post(SilenceHandler(state.clone())))
}

struct StatusHandler(Arc<EngineState>);

#[handler]
impl StatusHandler {
    async fn handle(&self, response: &mut Response) {
        write_json(response, StatusCode::OK, &json!(self.0.status()));
    }
}

struct FaultsHandler(Arc<EngineState>);

#[handler]
impl FaultsHandler {
    async fn handle(&self, response: &mut Response) {
        let faults = self.0.lock().faults.clone();
        write_json(response, StatusCode::OK, &json!(faults));
    }
}

struct SetFaultsHandler(Arc<EngineState>);

#[handler]
impl SetFaultsHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match read_json::<EngineFaults>(request).await {
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

struct RestartHandler(Arc<EngineState>);

#[handler]
impl RestartHandler {
    async fn handle(&self, response: &mut Response) {
        self.0.restart(&mut self.0.lock());
        write_json(response, StatusCode::OK, &json!(self.0.status()));
    }
}

struct OutageHandler(Arc<EngineState>);

#[handler]
impl OutageHandler {
    async fn handle(&self, response: &mut Response) {
        self.0
            .start_outage(&mut self.0.lock(), "POST /standin/outage");
        write_json(response, StatusCode::OK, &json!(self.0.status()));
    }
}

struct SilenceHandler(Arc<EngineState>);

#[handler]
impl SilenceHandler {
    async fn handle(&self, response: &mut Response) {
        let inner = self.0.lock();
        for run in inner.runs.values() {
            run.silence();
        }
        drop(inner);
        write_json(response, StatusCode::OK, &json!(self.0.status()));
    }
}
