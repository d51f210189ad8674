//! Events of relays, numbered 1500 to 1999.

log_events! {
    RELAY_STARTED = 1500, Info, "relay-started", "The relay accepts connections from callers.";
    RELAY_LEAVING = 1501, Info, "relay-leaving",
        "The relay reports that it is not ready for new callers and finishes the requests in \
         progress.";
    RELAY_STOPPED = 1502, Info, "relay-stopped", "All requests have ended and the relay exits.";
    PLAN_INSTALLED = 1503, Info, "plan-installed",
        "The relay routes requests by the published plan with this number.";
    DEMAND_UNANSWERED = 1504, Info, "demand-unanswered",
        "A control node did not reply to a report of demand and crashes; the next control node is \
         asked. The shares of the last reply stay in force for 2 s, its quarantine until the next \
         reply.";
    RELAY_ANSWERED = 1509, Info, "relay-answered",
        "A target answered a request; the fields state the plan by which it was admitted, the \
         target and the version of its software, the attempt whose stream the request continues, if \
         any, how long it waited for admission, how long ago a quorum confirmed the list of targets, \
         and the time to the first byte.";
    RELAY_REFUSED = 1510, Info, "relay-refused",
        "A request was refused or failed; the field outcome states whether it may have run, and organisation \
         whose it is, if its key was checked before.";
    RELAY_SEND_FAILED = 1511, Info, "relay-send-failed",
        "A target did not answer a request; the field may_have_run states whether the request may \
         have run there.";
    REQUEST_PANICKED = 1527, Warn, "request-panicked",
        "The entry has a fault: its code panicked while it handled a request. The caller gets a refusal, \
         whose outcome is unknown if may_be_sent is true. The panic itself is on standard error.";
    ENTRY_BEHIND = 1528, Warn, "entry-behind",
        "The entry has more to do than its processor can: it refuses requests, whose callers may come back at another \
         entry. turn_ms is the longest turn of the event loop since the last such line, and refused the number of requests \
         that it has refused for it. Callers that get no connection are not counted.";
    TARGET_CRASHED = 1513, Info, "target-crashed",
        "A target ended unexpectedly and left requests of this entry without a response. The field \
         sign states how it showed: its address refuses connections, or the directory lists a later \
         process or none. The field traits states what the first requests may share with others.";
    QUARANTINE_TRIAL = 1514, Info, "quarantine-trial",
        "A request with a quarantined trait is sent to a target; the quarantine ends if its \
         response is complete.";
    LIMIT_STARTED = 1515, Info, "limit-started",
        "A target states how many requests it takes from all entries together, in thousandths of \
         a request per second; this entry sends its part of them.";
    LIMIT_ENDED = 1516, Info, "limit-ended",
        "A response of a target no longer states a limit; it gets requests as before.";
    STREAM_CONTINUED = 1517, Info, "stream-continued",
        "A caller continues a stream; it goes on at the software version that began it. The field \
         is_recorded states whether an entry recorded that version, age_ms how long ago; otherwise, \
         only one version can have begun the stream. The field has_precedence states whether it goes \
         before new streams.";
    ORIGINS_UNREPORTED = 1518, Warn, "origins-unreported",
        "No control node has received at which software versions new streams began. Until one \
         does, only this entry can continue them.";
    ORIGINS_UNCERTAIN = 1519, Warn, "origins-uncertain",
        "A target has restarted under its name with another software version. It is not certain at \
         which of both its newest streams began, so they cannot be continued.";
    LEAVING_STATED = 1520, Info, "leaving-stated",
        "A target states in a response that it is leaving. This process of it gets no further \
         requests of this entry.";
    PAUSE_STATED = 1521, Info, "pause-stated",
        "A target has refused a request and states for how long it wants none. It gets none of this \
         entry in that time.";
    SESSION_MOVED = 1522, Info, "session-moved",
        "A request goes to another target than the first of its session, because the load of that \
         one over all entries exceeds its bound, or the request does not fit into its memory (field \
         has_memory). Loads are in thousandths of a running request; age_ms is the mean age of what \
         is known of the other entries.";
    COLD_STARTED = 1523, Info, "cold-started",
        "This entry sends a target only its part of the rate of a cold target, in thousandths of a \
         request per second, as one of so many entries. The field cause is announced (by the \
         announcement with this sequence number), returned (its data centre was out, and it has not \
         announced itself since) or unreachable (it did not accept a connection, so another process may \
         have started under its name). source and revision name the directory of a control node that told \
         so, and age_ms when a quorum confirmed that node last.";
    COLD_ENDED = 1524, Info, "cold-ended",
        "A target gets full load from this entry again, or is not listed any more. The field reason is \
         warm (by the announcement with this sequence number), unlisted or replaced (a later process has \
         its name). The field sent is the number of requests that this entry sent in the period.";
    ENTRY_COUNT_CHANGED = 1525, Info, "entry-count-changed",
        "The number of entries that this one divides rates by has changed, by the directory of a \
         control node with this source.";
    DATA_CENTRE_CHANGED = 1526, Info, "data-centre-changed",
        "The entry has learned that a data centre was taken out, so that its targets get no new \
         requests, or brought back.";
    RELAY_STREAM_BROKEN = 1512, Info, "relay-stream-broken",
        "A response stream ended before its last event, so the connection of the caller was \
         closed.";
    ROLLOUT_STOPPED = 1530, Warn, "rollout-stopped",
        "The responses to this entry's own requests show that the new version of a service is bad. \
         The entry sends nothing to it for the rest of the roll-out.";
}
