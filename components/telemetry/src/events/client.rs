//! Events of a node's connection to control, 3900 to 3999.

log_events! {
    LEASE_HELD = 3900, Info, "lease-held", "The node holds a lease and takes new work.";
    LEASE_LOST = 3901, Warn, "lease-lost", "The lease has expired and the node refuses new work. Check that a majority of control nodes runs and can be reached.";
    RENEWAL_FAILED = 3902, Warn, "renewal-failed", "A renewal of the lease failed and the one before did not. Check the addresses of the control nodes and the keys of this node.";
    SETTINGS_RELOADED = 3910, Info, "settings-reloaded", "The settings file has changed and the new settings are in force.";
    SETTINGS_INVALID = 3911, Warn, "settings-invalid", "The settings file cannot be used; the settings read before stay in force.";
}
