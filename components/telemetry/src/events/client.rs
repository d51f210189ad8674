//! Events of a node's lease and settings, numbered 3900 to 3999.

log_events! {
    LEASE_HELD = 3900, Info, "lease-held", "The node holds a lease and accepts new work.";
    LEASE_LOST = 3901, Warn, "lease-lost",
        "The lease has expired and the node refuses new work. `cause` names the last failure, and the \
         numbers those since a control node last answered, `answered_ms_ago`. `no-quorum`: check that \
         a majority of the control nodes is running and reachable. `not-reached`: check the links to \
         them. `transfer-incomplete` and `reply-late`: the configuration is too large for the link; \
         `update_bytes` is the size of the last one that arrived, compressed.";
    RENEWAL_FAILED = 3902, Warn, "renewal-failed",
        "A lease renewal failed after the previous one had succeeded; `cause` as in `lease-lost`. \
         `not-reached`: check the addresses of the control nodes and the keys of this node.";
    SETTINGS_RELOADED = 3910, Info, "settings-reloaded",
        "The settings file has changed and the new settings are in force.";
    SETTINGS_INVALID = 3911, Warn, "settings-invalid",
        "The settings file cannot be read or is invalid; the previous settings stay in force.";
}
