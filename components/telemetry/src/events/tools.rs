//! Events of stand-ins and tools, numbered 4000 to 4999.

log_events! {
    STANDIN_STARTED = 4000, Info, "standin-started", "The stand-in accepts connections.";
    STANDIN_DOWN = 4001, Warn, "standin-down",
        "The stand-in engine is unavailable for its configured outage time, because it was \
         overloaded while cold or received a request with the crash marker.";
    STANDIN_FAULTS = 4002, Info, "standin-faults",
        "The faults of the stand-in were set at its control address.";
    DEV_READY = 4100, Info, "dev-ready", "The development fleet is ready for requests.";
}
