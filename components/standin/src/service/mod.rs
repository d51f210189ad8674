//! Stand-in for a plain service with records, whose reads are idempotent, and bookings, which must
//! run at most once.
//!
//! | Request | Meaning |
//! |---------|---------|
//! | `GET /records/PATH` | Record with a text computed from the path. |
//! | `POST /orders` | Books the `id` of the JSON body. Repeated calls are counted too. |
//! | `GET /health` | 200. |
//! | `GET /standin/status` | Counts, as [`ServiceStatus`]. |
//! | `GET`, `PUT /standin/faults` | Faults, as [`ServiceFaults`]. |

mod routes;
mod settings;

use std::sync::{Arc, Mutex};

use eyre::Result;

pub use settings::{ServiceFaults, ServiceSettings, ServiceStatus};

use crate::http::{RunningStandin, serve};

pub(crate) struct ServiceState {
    pub(crate) settings: ServiceSettings,
    pub(crate) inner: Mutex<ServiceInner>,
}

pub(crate) struct ServiceInner {
    pub(crate) faults: ServiceFaults,
    pub(crate) status: ServiceStatus,
}

/// Starts a plain service. Fails if it cannot listen on its address.
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
