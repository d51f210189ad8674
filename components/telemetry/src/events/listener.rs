//! Events of HTTP listeners, numbered 5000 to 5099.

log_events! {
    ACCEPT_FAILED = 5000, Warn, "accept-failed",
        "A connection could not be accepted; the field error states whether the peer had closed \
         it or which resource the host lacks.";
    CONNECTION_BOUND = 5001, Warn, "connection-bound",
        "The process has as many connections as its memory and its descriptors allow. The oldest idle \
         one is closed for a new one; the field is_accepted is false if there is none, and the new one \
         is closed.";
}
