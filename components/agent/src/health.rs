//! `/healthz` and `/readyz` of the agent.

use salvo::prelude::*;

use crate::state::AgentShared;

struct ReadyCheck {
    shared: AgentShared,
}

#[async_trait]
impl Handler for ReadyCheck {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let (healthy, leaving) = self
            .shared
            .board
            .read(|state| (state.healthy, state.leaving));
        let ready = healthy && !leaving && self.shared.has_permission();
        res.status_code(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
        res.render(if ready { "ready" } else { "not ready" });
    }
}

#[handler]
async fn healthz() -> &'static str {
    "alive"
}

/// Routes of the health address.
pub(crate) fn routes(shared: AgentShared) -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(healthz))
        .push(Router::with_path("readyz").get(ReadyCheck { shared }))
}
