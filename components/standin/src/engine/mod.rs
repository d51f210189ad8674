//! Stand-in for a model engine with continuous batching, a prefix cache and a cold start.
//!
//! A cold engine crashes if it gets more concurrent requests than it can carry. Each completed
//! request raises that number by one, up to the batch limit.
//!
//! | Request | Meaning |
//! |---------|---------|
//! | `POST /v1/chat/completions` | Chat completion; `X-Request-Id` sets the stream's id. |
//! | `GET /streams/ID?from=N` | Resumes a stream at the token with index N. |
//! | `DELETE /streams/ID` | Cancels a stream. |
//! | `GET /load` | Load report, up to `report_lag` old. |
//! | `GET /cache/events?since=N` | Cache events with numbers above N, delayed and with gaps. |
//! | `POST /models/load` | Order to load a model, with a fencing number. |
//! | `GET /health` | 200, or 503 during an outage. |
//! | `GET /standin/status` | Counts, as [`EngineStatus`]. |
//! | `GET`, `PUT /standin/faults` | Faults, as [`EngineFaults`]. |
//! | `POST /standin/restart` | Ends all runs and starts cold. |
//! | `POST /standin/outage` | Ends all runs and refuses requests for `outage_time`. |
//! | `POST /standin/silence` | Open connections of streams stop sending; new ones work. |

mod cache;
mod chat;
mod control;
mod orders;
mod run;
mod settings;
mod state;

use std::sync::Arc;

use eyre::Result;
use salvo::Router;

pub use settings::{EngineFaults, EngineSettings, EngineStatus};

use crate::http::{RunningStandin, serve};
use state::EngineState;

/// Starts a model engine. Fails if it cannot listen on its address.
pub async fn start_engine(settings: EngineSettings) -> Result<RunningStandin> {
    let address = settings.address;
    let state = Arc::new(EngineState::new(settings));
    let load_publisher = tokio::spawn(state::publish_load_reports(state.clone()));
    let router = Router::new()
        .push(chat::routes(&state))
        .push(orders::routes(&state))
        .push(control::routes(&state));
    serve(address, router, vec![load_publisher]).await
}
