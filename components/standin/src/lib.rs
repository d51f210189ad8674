//! Stand-ins for the back ends of a fleet: a model engine and a plain service.
//!
//! Each serves HTTP on one address. Response contents are computed from the request, so that a
//! caller can check that an answer is complete and belongs to its request. Faults are injected
//! through [`EngineSettings`] and [`ServiceSettings`] at the start, and through
//! `PUT /standin/faults` at run time. For development and tests only.

pub mod content;
mod engine;
mod http;
mod service;

pub use engine::{EngineFaults, EngineSettings, EngineStatus, start_engine};
pub use http::RunningStandin;
pub use service::{ServiceFaults, ServiceSettings, ServiceStatus, start_service};
