//! Events of the entry, 1000 to 1999.

log_events! {
    ENTRY_STARTED = 1000, Info, "entry-started", "The entry listens for callers.";
    ENTRY_LEAVING = 1001, Info, "entry-leaving", "The entry takes no new work and finishes the rest.";
    ENTRY_STOPPED = 1002, Info, "entry-stopped", "The entry has ended all requests and exits.";
}
