//! Events of control, 3000 to 3899.

log_events! {
    CONTROL_STARTED = 3000, Info, "control-started", "The control node listens for nodes and operators.";
    CONTROL_STOPPED = 3001, Info, "control-stopped", "The control node exits.";
}
