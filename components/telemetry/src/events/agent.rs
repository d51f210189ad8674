//! Events of the agent, 2000 to 2999.

log_events! {
    AGENT_STARTED = 2000, Info, "agent-started", "The agent listens for entries.";
    AGENT_LEAVING = 2001, Info, "agent-leaving", "The agent takes no new work and finishes the rest.";
    AGENT_STOPPED = 2002, Info, "agent-stopped", "The agent has ended all runs and exits.";
    AGENT_RUN_FAILED = 2003, Info, "agent-run-failed", "A run did not end with a complete response; the field reason tells why.";
    AGENT_PEER_REFUSED = 2004, Warn, "agent-peer-refused", "A peer that is no entry, or whose certificate is not valid, was refused. Check its keys.";
    AGENT_SILENT_LINK = 2005, Warn, "agent-silent-link", "The connection of an entry with open runs went silent and was closed; the entry resumes on a new one.";
    AGENT_TARGET_DOWN = 2006, Warn, "agent-target-down", "The target accepts no connections, so the agent takes no new work. Check the target.";
    AGENT_TARGET_UP = 2007, Info, "agent-target-up", "The target accepts connections; it starts at its cold limit.";
}
