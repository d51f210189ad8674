//! Events of HTTP listeners, numbered 5000 to 5099.

log_events! {
    ACCEPT_FAILED = 5000, Warn, "accept-failed",
        "A connection could not be accepted; the field error states whether the peer had closed \
         it or which resource the host lacks.";
}
