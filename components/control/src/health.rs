//! Health checks over HTTP.

use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use listener::PacedAcceptor;
use salvo::http::StatusCode;
use salvo::{Response, Router, Server, handler};

use crate::state::ControlContext;

/// Readiness check: answers 200 if a quorum has confirmed this node's state recently, else 503.
struct ReadyCheck {
    context: ControlContext,
}

#[handler]
impl ReadyCheck {
    async fn handle(&self, response: &mut Response) {
        let now = self.context.clock.now();
        let is_ready = self
            .context
            .view
            .read(|view| view.confirmation_age(now).is_some());
        if is_ready {
            response.render("ready\n");
        } else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render("no quorum\n");
        }
    }
}

/// Liveness check: answers 200 while the process serves HTTP.
#[handler]
async fn report_alive(response: &mut Response) {
    response.render("ok\n");
}

/// Binds the address for health checks.
pub(crate) async fn bind_health(address: SocketAddr) -> Result<PacedAcceptor> {
    listener::listen(address)
        .await
        .wrap_err_with(|| format!("Failed to bind {address} for health checks"))
}

/// Serves the health checks until the task is aborted.
pub(crate) async fn serve_health(context: ControlContext, acceptor: PacedAcceptor) {
    let router = Router::new()
        .push(Router::with_path("healthz").get(report_alive))
        .push(Router::with_path("readyz").get(ReadyCheck { context }));
    Server::new(acceptor).serve(router).await;
}
