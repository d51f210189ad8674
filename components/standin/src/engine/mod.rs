//! Model engine with continuous batching, a prefix cache and a cold start.
//!
//! | Request | Meaning |
//! |---------|---------|
//! | `POST /v1/chat/completions` | Answer, whole or streamed; `X-Request-Id` names the stream. |
//! | `GET /streams/ID?from=N` | Resumes a stream at token N. |
//! | `DELETE /streams/ID` | Cancels a stream. |
//! | `GET /load` | Load report, as old as the report lag. |
//! | `GET /cache/events?since=N` | Cache events with greater numbers, late and with gaps. |
//! | `POST /models/load` | Order to load a model, with a fencing number. |
//! | `GET /health` | 200 if it serves, else 503. |
//! | `GET /standin/status` | Counts, as [`EngineStatus`]. |
//! | `GET`, `PUT /standin/faults` | Faults, as [`EngineFaults`]. |
//! | `POST /standin/restart` | Cuts all streams and starts cold. |
//! | `POST /standin/outage` | Cuts all streams and refuses requests for the outage time. |
//! | `POST /standin/silence` | Open streams send nothing more; new ones work. |

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

/// Starts a model engine.
pub async fn start_engine(settings: EngineSettings) -> Result<RunningStandin> {
    let address = settings.address;
    let state = Arc::new(EngineState::new(settings));
    let sampler = tokio::spawn(state::sample_load(state.clone()));
    let router = Router::new()
        .push(chat::routes(&state))
        .push(orders::routes(&state))
        .push(control::routes(&state));
    serve(address, router, vec![sampler]).await
}
