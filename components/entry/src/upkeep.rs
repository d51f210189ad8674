//! Controllers of the offer book.

use std::time::Duration;

use crate::fleet::{served_services, serving_agents};
use crate::state::EntryShared;

/// Interval in which waiting requests are offered again or expire.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Interval in which the agents are taken from the view, besides its changes.
const AGENTS_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the waves of offers that are due and expires requests.
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
            state.perform(actions);
        });
    }
}

/// Keeps the book's agents in step with the view of the fleet.
pub(crate) async fn update_agents(shared: EntryShared) {
    let mut interval = tokio::time::interval(AGENTS_INTERVAL);
    let mut changes = shared.view.changes();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            _ = changes.changed() => {}
        }
        let now = shared.now();
        shared.board.write(|state| {
            state.failed.retain(|_, until| *until > now);
            let agents = shared.view.read(|view| {
                let listed = &view.directory;
                state.leaving_agents.retain(|(name, incarnation)| {
                    listed
                        .get(name)
                        .is_some_and(|node| node.incarnation == *incarnation)
                });
                let home = &shared.settings.data_centre;
                serving_agents(view, home, &state.failed, &state.leaving_agents)
            });
            let actions = state.book.set_agents(agents, now);
            state.perform(actions);
            let served = shared.view.read(served_services);
            state.refuse_targetless(&served, now);
        });
    }
}
