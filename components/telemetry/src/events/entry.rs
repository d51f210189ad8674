//! Events of entries, numbered 1000 to 1499.

log_events! {
    ENTRY_STARTED = 1000, Info, "entry-started", "The entry accepts connections from callers.";
    ENTRY_LEAVING = 1001, Info, "entry-leaving",
        "The entry accepts no new requests and finishes those in progress.";
    ENTRY_STOPPED = 1002, Info, "entry-stopped", "All requests have ended and the entry exits.";
    ENTRY_LINK_FAILED = 1003, Warn, "entry-link-failed",
        "A connection to an agent could not be opened; its requests are offered to other agents. \
         Check the agent and the network.";
    ENTRY_SILENT_LINK = 1004, Warn, "entry-silent-link",
        "A connection with open requests was closed because the agent no longer replied; its runs \
         resume on a new connection.";
    ENTRY_RUN_RESUMED = 1005, Info, "entry-run-resumed",
        "A run continues on a new connection after the previous one was lost.";
    ENTRY_RUN_FAILED = 1006, Warn, "entry-run-failed",
        "A request ended without a complete response after its run had started; the failure was \
         reported to the caller.";
    ENTRY_CALL_UNRECORDED = 1007, Warn, "entry-call-unrecorded",
        "The outcome of a call that may not be repeated could not be recorded; if the caller \
         resends the call, the agent is asked for its outcome. Check that a majority of the \
         control nodes is running.";
}
