//! Events of control, 3000 to 3899.

log_events! {
    CONTROL_STARTED = 3000, Info, "control-started", "The control node listens for nodes and operators.";
    CONTROL_STOPPED = 3001, Info, "control-stopped", "The control node exits.";
    GROUP_FORMED = 3010, Info, "group-formed", "All listed control nodes were present and empty and have formed a group.";
    ROLE_CHANGED = 3011, Info, "role-changed", "The control node became leader, follower or candidate.";
    MEMBER_CHANGED = 3012, Info, "member-changed", "The leader has proposed a change of the control nodes.";
    SNAPSHOT_WRITTEN = 3013, Info, "snapshot-written", "The log up to this entry is replaced by a snapshot.";
    FOLDER_REPLACED = 3014, Warn, "folder-replaced", "Another node took the place of this one in the group; it joins again with an empty data folder and a new id.";
    PEER_REFUSED = 3020, Warn, "peer-refused", "A connection or stream was refused. Check the peer's keys, role and version.";
    STREAM_REFUSED = 3021, Warn, "stream-refused", "A peer opened a stream that its role may not open.";
    CAPACITY_CHANGED = 3035, Info, "capacity-changed", "The home of a service found, from how late answers begin, that it can serve more or less in time; shares of organisations follow.";
    CALL_INVALID = 3040, Warn, "call-invalid", "A call of an operator or target is faulty and changed nothing; the field reason tells why.";
    CALL_UNAVAILABLE = 3041, Warn, "call-unavailable", "A call had no confirmation by a quorum; the caller may repeat it.";
    DRIVER_FAILED = 3030, Error, "driver-failed", "The data folder cannot be written or read. If it is corrupt, start with an empty folder.";
}
