//! Events of stand-ins and tools, 4000 to 4999.

log_events! {
    STANDIN_STARTED = 4000, Info, "standin-started", "The stand-in listens.";
    STANDIN_DOWN = 4001, Warn, "standin-down", "The stand-in engine is out of service for its set time, by overload while cold or by a marked request.";
    STANDIN_FAULTS = 4002, Info, "standin-faults", "The faults of the stand-in were set at its control address.";
    DEV_READY = 4100, Info, "dev-ready", "The development fleet serves requests.";
}
