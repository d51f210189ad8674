//! HTTP endpoints `/healthz` and `/readyz` of the agent.
//!
//! `/readyz` succeeds while the agent may accept new work: the target accepts connections, the
//! agent is not leaving, and its lease and the configuration permit it.

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
        let (is_healthy, is_leaving) = self
            .shared
            .board
            .read(|state| (state.is_healthy, state.is_leaving));
        let is_ready = is_healthy && !is_leaving && self.shared.has_permission();
        res.status_code(if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
        res.render(if is_ready { "ready" } else { "not ready" });
    }
}

#[handler]
async fn healthz() -> &'static str {
    "alive"
}

pub(crate) fn routes(shared: AgentShared) -> Router {
    Router::new()
        .push(Router::with_path("healthz").get(healthz))
        .push(Router::with_path("readyz").get(ReadyCheck { shared }))
}
