//! Events of control nodes, numbered 3000 to 3899.

log_events! {
    CONTROL_STARTED = 3000, Info, "control-started",
        "The control node accepts connections from nodes and operators.";
    CONTROL_STOPPED = 3001, Info, "control-stopped", "The control node exits.";
    GROUP_FORMED = 3010, Info, "group-formed",
        "All configured control nodes were present with empty data folders and have formed a \
         group.";
    ROLE_CHANGED = 3011, Info, "role-changed",
        "The control node became leader, follower or candidate. leader_silence_ms is the time since it last \
         accepted a message of a leader.";
    MEMBER_CHANGED = 3012, Info, "member-changed",
        "The leader has proposed a change of the group's members. The field name is the node of the \
         changed member, voters and learners are the members after the change, and absent the \
         voters that the leader does not hear from.";
    SNAPSHOT_WRITTEN = 3013, Info, "snapshot-written",
        "The log up to this index was replaced by a snapshot of this many bytes; entry_bytes is the size of \
         the entries since the one before.";
    FOLDER_REPLACED = 3014, Warn, "folder-replaced",
        "Another node has replaced this one in the group; this node joins again with an empty \
         data folder and a new id.";
    QUORUM_LOST = 3015, Warn, "quorum-lost",
        "No quorum has confirmed the state of this node for age_ms: it accepts no order and grants \
         no lease. The fields name the leader, if known, the voters, and those that the node waits \
         for, with the time since their last sign. Logged again when these change.";
    QUORUM_REGAINED = 3016, Info, "quorum-regained",
        "A quorum has confirmed the state of this node again, after age_ms.";
    MEMBERS_APPLIED = 3017, Info, "members-applied",
        "A change of the group's members is committed, as far as this node knows.";
    DISK_REFUSED = 3018, Warn, "disk-refused",
        "The disk refuses to write the data folder, for refused_ms so far; error names the file and \
         the reason, and log_bytes is what the log itself takes. The node goes on trying, and takes no \
         part in the group until then; a leader hands over. Logged again every 10 s. Make room on the \
         disk; nothing needs to be restarted.";
    DISK_WRITABLE = 3019, Info, "disk-writable",
        "The disk takes writes of the data folder again, after refused_ms.";
    PEER_REFUSED = 3020, Warn, "peer-refused",
        "A connection or stream was rejected. Check the keys, role and protocol version of the \
         peer.";
    STREAM_REFUSED = 3021, Warn, "stream-refused",
        "A peer opened a stream of a kind that its role may not open.";
    PEER_LINK_OPENED = 3051, Info, "peer-link-opened",
        "A link to another control node is open, after connect_ms.";
    PEER_LINK_CLOSED = 3052, Warn, "peer-link-closed",
        "A link to another control node has ended after open_ms, and is opened again. sent_bytes were \
         sent on it, queued frames wait for the next one, and the last acknowledgement is \
         unacknowledged_ms old.";
    PEER_FRAMES_DROPPED = 3053, Warn, "peer-frames-dropped",
        "The queue of a lane to another control node is full, so that messages to it are lost. Logged once \
         until a message of the lane fits again.";
    MEMBER_BEHIND = 3054, Warn, "member-behind",
        "A member has not held the whole log for lag_ms. It lacks missing_bytes of the entries in the \
         leader's memory; mode tells whether the leader searches for the last common entry (Probe), sends \
         entries, or a snapshot; silence_ms is the time since the member's last reply. Logged again every \
         2 s. A learner that is behind is not promoted.";
    MEMBER_CAUGHT_UP = 3055, Info, "member-caught-up",
        "A member that was behind holds the whole log again, after lag_ms.";
    LEADERSHIP_LOST = 3056, Warn, "leadership-lost",
        "The leader stepped down because no majority has replied in time; silence lists the time since the \
         last reply of each member.";
    LOG_SHRUNK = 3060, Warn, "log-shrunk",
        "The disk had no room for the log, so that the applied entries were replaced by a snapshot, written \
         to the room that is kept for it. log_bytes is what the log takes now, and reserve_bytes the room \
         for the next snapshot; 0 if the disk is too full to keep any.";
    CAPACITY_CHANGED = 3035, Info, "capacity-changed",
        "The control node that divides the capacity of a service has raised or lowered its \
         estimate of that capacity, based on the lateness of responses; the shares of \
         organisations are adjusted.";
    FLOW_HELD_BACK = 3061, Info, "flow-held-back",
        "An organisation got under nine tenths of what its callers asked of a service in the last second, or no other got \
         more (is_best_served). asked, overdue and granted are cost units over all entries: what callers asked for, \
         repeated requests each time, the part of it whose callers have already missed their objective, and what was sent to \
         targets. Requests that an entry could not read are in none of them; entries is the number of entries that have \
         read others in the last seconds, and entry-behind tells of an entry that cannot read more.";
    QUARANTINE_STARTED = 3036, Warn, "quarantine-started",
        "Requests with this trait were at each of several targets that crashed one after the \
         other, and none of them got a complete response; entries refuse further ones. The field \
         organisations states how many organisations this applies to, 0 for all; after trial_ms, \
         one request is admitted as a trial.";
    QUARANTINE_ENDED = 3037, Info, "quarantine-ended",
        "A request with a quarantined trait got a complete response; requests with it are \
         forwarded again.";
    QUARANTINE_LIFTED = 3038, Info, "quarantine-lifted",
        "An operator ended the quarantine of a trait.";
    ORIGINS_RESTORED = 3042, Info, "origins-restored",
        "The node has read from its journal at which software versions streams began that may \
         still be continued.";
    ORIGINS_UNWRITTEN = 3043, Warn, "origins-unwritten",
        "The journal of the software versions at which streams began cannot be written. New \
         origins are only in memory until it can be written again; check the disk.";
    DEPARTURE_RECORDED = 3044, Info, "departure-recorded",
        "A target leaves. If committed is true, no control node lists its process as serving any \
         more, whatever announcements of it arrive; otherwise the target was told to repeat its call.";
    ROLLOUT_ORDERED = 3045, Info, "rollout-ordered",
        "This node has learned of a roll-out: an operator moves a service to another software version. \
         The field old names the versions that were registered then. Logged again after a restart.";
    ROLLOUT_JUDGED = 3046, Info, "rollout-judged",
        "This node, to which the entries report, has proposed the next phase of a roll-out. The field \
         committed is false if it is not known to be in force. evidence is the negative natural \
         logarithm of the probability of such counts if both versions were equal. route has the most \
         bad responses of the new version so far; the numbers are requests, failures and slow \
         responses of the new and the old versions there.";
    ROLLOUT_ADVANCED = 3047, Info, "rollout-advanced",
        "A roll-out is in this phase, as far as this node knows: each step gives the new version a \
         larger share of the requests, and while draining it gets all new ones.";
    ROLLOUT_COMPLETED = 3048, Info, "rollout-completed",
        "A roll-out has ended, took_ms after its order: the old versions get no requests.";
    ROLLOUT_ROLLED_BACK = 3049, Warn, "rollout-rolled-back",
        "A roll-out has ended, took_ms after its order: the new version gets no requests. The field \
         reason says what decided it; rollout-judged at the node that proposed it has the counts.";
    TARGET_COLD = 3050, Info, "target-cold",
        "A target has announced to this node that it is cold, and was not, or longer than it had said. \
         Entries learn of it with their next renewal, within 500 ms and the time of one call.";
    CALL_INVALID = 3040, Warn, "call-invalid",
        "A call of an operator or target was invalid and had no effect; the field reason states \
         why.";
    CALL_UNAVAILABLE = 3041, Warn, "call-unavailable",
        "A call was not confirmed by a quorum; the caller may repeat it.";
    DRIVER_FAILED = 3030, Error, "driver-failed",
        "The data folder could not be read or written. If it is corrupt, restart the control node \
         with an empty folder.";
}
