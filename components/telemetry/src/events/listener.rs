//! Events of HTTP listeners, 5000 to 5099.

log_events! {
    ACCEPT_FAILED = 5000, Warn, "accept-failed", "A connection could not be accepted; the error tells whether it was closed before, or what the host lacks.";
}
