//! Stand-ins for the systems that a fleet works with: a model engine and a plain service.
//!
//! Both speak HTTP on one address. Their content is computed from the request, so that a caller can
//! check that an answer is whole and its own. Faults are set by [`EngineSettings`] and
//! [`ServiceSettings`], and while they run by `PUT /standin/faults`. For development and tests only.

pub mod content;
mod engine;
mod http;
mod service;

pub use engine::{EngineFaults, EngineSettings, EngineStatus, start_engine};
pub use http::RunningStandin;
pub use service::{ServiceFaults, ServiceSettings, ServiceStatus, start_service};
