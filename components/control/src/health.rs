//! Health checks over HTTP.

use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use listener::PacedAcceptor;
use salvo::http::StatusCode;
use salvo::{Response, Router, Server, handler};

use crate::state::ControlContext;

/// Whether the node holds a recent confirmation by a quorum.
struct ReadyCheck {
    context: ControlContext,
}

#[handler]
impl ReadyCheck {
    async fn handle(&self, response: &mut Response) {
        let now = self.context.clock.now();
        let ready = self.context.view.read(|view| view.age(now).is_some());
        if ready {
            response.render("ready\n");
        } else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render("no quorum\n");
        }
    }
}

/// Tells that the process runs.
#[handler]
async fn healthy(response: &mut Response) {
    response.render("ok\n");
}

/// Binds the address of the checks.
pub(crate) async fn bind_health(address: SocketAddr) -> Result<PacedAcceptor> {
    listener::listen(address)
        .await
        .wrap_err_with(|| format!("Failed to bind {address} for health checks"))
}

/// Serves the checks, for ever.
pub(crate) async fn serve_health(context: ControlContext, acceptor: PacedAcceptor) {
    let router = Router::new()
        .push(Router::with_path("healthz").get(healthy))
        .push(Router::with_path("readyz").get(ReadyCheck { context }));
    Server::new(acceptor).serve(router).await;
}
