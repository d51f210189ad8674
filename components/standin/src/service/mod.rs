//! Plain service with records, which may be read again, and bookings, which must run once.
//!
//! | Request | Meaning |
//! |---------|---------|
//! | `GET /records/PATH` | Record, computed from the path. |
//! | `POST /orders` | Books the `id` of the JSON body. Each call counts, also a repeated one. |
//! | `GET /health` | 200. |
//! | `GET /standin/status` | Counts, as [`ServiceStatus`]. |
//! | `GET`, `PUT /standin/faults` | Faults, as [`ServiceFaults`]. |

mod routes;
mod settings;

use std::sync::{Arc, Mutex};

use eyre::Result;

pub use settings::{ServiceFaults, ServiceSettings, ServiceStatus};

use crate::http::{RunningStandin, serve};

/// State of a plain service.
pub(crate) struct ServiceState {
    pub(crate) settings: ServiceSettings,
    pub(crate) inner: Mutex<ServiceInner>,
}

pub(crate) struct ServiceInner {
    pub(crate) faults: ServiceFaults,
    pub(crate) status: ServiceStatus,
}

/// Starts a plain service.
pub async fn start_service(settings: ServiceSettings) -> Result<RunningStandin> {
    let address = settings.address;
    let inner = ServiceInner {
        faults: settings.faults.clone(),
        status: ServiceStatus::default(),
    };
    let state = Arc::new(ServiceState {
        settings,
        inner: Mutex::new(inner),
    });
    serve(address, routes::routes(&state), Vec::new()).await
}
