//! Events of agents, numbered 2000 to 2999.

log_events! {
    AGENT_STARTED = 2000, Info, "agent-started", "The agent accepts connections from entries.";
    AGENT_LEAVING = 2001, Info, "agent-leaving",
        "The agent accepts no new runs and finishes those in progress.";
    AGENT_STOPPED = 2002, Info, "agent-stopped", "All runs have ended and the agent exits.";
    AGENT_RUN_FAILED = 2003, Info, "agent-run-failed",
        "A run ended without a complete response; the field reason states why.";
    AGENT_PEER_REFUSED = 2004, Warn, "agent-peer-refused",
        "A peer was rejected because it is not an entry or its certificate is not valid. Check \
         its keys.";
    AGENT_SILENT_LINK = 2005, Warn, "agent-silent-link",
        "The connection of an entry with open runs was closed because the entry no longer sent \
         anything; the entry resumes the runs on a new connection.";
    AGENT_TARGET_DOWN = 2006, Warn, "agent-target-down",
        "The target accepts no connections, so the agent accepts no new runs. Check the target.";
    AGENT_TARGET_UP = 2007, Info, "agent-target-up",
        "The target accepts connections; its limit starts at the cold limit.";
}
