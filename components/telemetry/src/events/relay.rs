//! Events of the relay, 1500 to 1999.

log_events! {
    RELAY_STARTED = 1500, Info, "relay-started", "The relay listens for callers.";
    RELAY_LEAVING = 1501, Info, "relay-leaving", "The relay asks for no new callers and finishes the rest.";
    RELAY_STOPPED = 1502, Info, "relay-stopped", "The relay has ended all requests and exits.";
    PLAN_INSTALLED = 1503, Info, "plan-installed", "The relay routes by the published plan of this number.";
    DEMAND_UNANSWERED = 1504, Info, "demand-unanswered", "A control node did not answer a report of demand; the next one is asked, and shares of the last answer stay in force for 2 s.";
    RELAY_ANSWERED = 1509, Info, "relay-answered", "A target answers a request; the fields tell by which plan it was admitted, who runs it, how long it waited for a place and when its first byte came.";
    RELAY_REFUSED = 1510, Info, "relay-refused", "A request was refused or failed; the field outcome tells whether it may have run.";
    RELAY_SEND_FAILED = 1511, Info, "relay-send-failed", "A target did not answer a request; the field not_run tells whether it is certain that it did not run there.";
    RELAY_STREAM_BROKEN = 1512, Info, "relay-stream-broken", "A stream ended before its last event; the caller's connection was closed.";
}
