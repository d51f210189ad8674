//! Events of the entry, 1000 to 1499.

log_events! {
    ENTRY_STARTED = 1000, Info, "entry-started", "The entry listens for callers.";
    ENTRY_LEAVING = 1001, Info, "entry-leaving", "The entry takes no new work and finishes the rest.";
    ENTRY_STOPPED = 1002, Info, "entry-stopped", "The entry has ended all requests and exits.";
    ENTRY_LINK_FAILED = 1003, Warn, "entry-link-failed", "No connection to an agent could be opened; its requests are offered elsewhere. Check the agent and the network.";
    ENTRY_SILENT_LINK = 1004, Warn, "entry-silent-link", "A connection with open requests went silent; its runs resume on a new one.";
    ENTRY_RUN_RESUMED = 1005, Info, "entry-run-resumed", "A run goes on after its connection was lost.";
    ENTRY_RUN_FAILED = 1006, Warn, "entry-run-failed", "A request ended without a complete response after it had started; the caller was told.";
    ENTRY_CALL_UNRECORDED = 1007, Warn, "entry-call-unrecorded", "The outcome of a call that may not be repeated could not be recorded; a resend asks the agent. Check that a majority of control nodes runs.";
}
