//! Events of the agent, 2000 to 2999.

log_events! {
    AGENT_STARTED = 2000, Info, "agent-started", "The agent listens for entries.";
    AGENT_LEAVING = 2001, Info, "agent-leaving", "The agent takes no new work and finishes the rest.";
    AGENT_STOPPED = 2002, Info, "agent-stopped", "The agent has ended all runs and exits.";
}
