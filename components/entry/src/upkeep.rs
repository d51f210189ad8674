//! Periodic tasks that keep the offer book up to date.

use std::time::Duration;

use crate::fleet::{available_services, serving_agents};
use crate::state::EntryShared;

/// Interval at which waiting requests are checked for the next wave and for expiry.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which the agents are read from the view, in addition to each change of the view.
const AGENT_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the waves of offers that are due and expires requests past their deadline.
pub(crate) async fn tick_book(shared: EntryShared) {
    loop {
        shared
            .board
            .wait_for(|state| (!state.book.is_empty()).then_some(()))
            .await;
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = shared.now();
        shared.board.write_quietly(|state| {
            let actions = state.book.tick(now);
            state.perform_actions(actions);
        });
    }
}

/// Updates the agents of the offer book from the view of the fleet.
pub(crate) async fn update_agents(shared: EntryShared) {
    let mut interval = tokio::time::interval(AGENT_UPDATE_INTERVAL);
    let mut view_changes = shared.view.changes();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            _ = view_changes.changed() => {}
        }
        let now = shared.now();
        shared.board.write(|state| {
            state.failed_agents.retain(|_, until| *until > now);
            let agents = shared.view.read(|view| {
                let directory = &view.directory;
                state.leaving_agents.retain(|(name, incarnation)| {
                    directory
                        .get(name)
                        .is_some_and(|node| node.incarnation == *incarnation)
                });
                let own_data_centre = &shared.settings.data_centre;
                serving_agents(
                    view,
                    own_data_centre,
                    &state.failed_agents,
                    &state.leaving_agents,
                )
            });
            let actions = state.book.set_agents(agents, now);
            state.perform_actions(actions);
            let available = shared.view.read(available_services);
            state.refuse_without_target(&available, now);
        });
    }
}
