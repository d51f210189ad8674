//! Schedule of pings to an agent and detection of silent connections.

use std::time::Duration;

use units::ClockTime;

/// Ping interval of a silent connection on which requests run.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Number of ping intervals without a frame after which a connection is closed.
pub const MAX_SILENT_INTERVALS: u32 = 3;

/// Maximum ping interval. It must be shorter than the idle timeout of a connection.
pub const MAX_PING_INTERVAL: Duration = Duration::from_secs(8);

/// Size of a ping and its answer with all headers, rounded up.
const PING_BYTES: u64 = 160;

/// Bytes per second that an entry may use for pings on connections that carry only offers.
const OFFER_PING_BYTES_PER_S: u64 = 2_000;

/// Current purpose of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPurpose {
    /// No request needs the connection.
    Idle,
    /// Requests are waiting, so the agent may hold offers.
    Offers {
        /// Number of connections of the entry, which share the bandwidth for pings.
        link_count: usize,
    },
    /// Requests are running at the agent.
    Runs,
}

impl LinkPurpose {
    /// Ping interval while the connection is silent; `None` if it needs no pings.
    ///
    /// A run must be resumed soon after its connection has gone silent. An offer to a silent agent
    /// was also made to other agents, so pings for offers may be less frequent to limit bandwidth.
    pub fn ping_interval(self) -> Option<Duration> {
        match self {
            Self::Idle => None,
            Self::Runs => Some(PING_INTERVAL),
            Self::Offers { link_count } => {
                let interval_ms = link_count as u64 * PING_BYTES * 1000 / OFFER_PING_BYTES_PER_S;
                Some(Duration::from_millis(interval_ms).clamp(PING_INTERVAL, MAX_PING_INTERVAL))
            }
        }
    }
}

/// Action for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PingStep {
    /// Do nothing yet.
    Wait,
    /// Send a ping with this number.
    Ping(u64),
    /// Close the connection: the agent did not answer in time.
    Close,
}

/// Schedule of the pings of one connection. Any frame from the agent shows that the connection
/// works, so a connection with a stream that produces tokens needs no pings.
#[derive(Debug, Default)]
pub struct PingPlan {
    /// Ping interval, and the time since which it has been at most that long.
    active_interval: Option<(Duration, ClockTime)>,
    last_ping_at: ClockTime,
    ping_count: u64,
}

impl PingPlan {
    /// Returns the next action, given the time of the last frame from the agent.
    pub fn step(
        &mut self,
        purpose: LinkPurpose,
        last_frame_at: ClockTime,
        now: ClockTime,
    ) -> PingStep {
        let Some(interval) = purpose.ping_interval() else {
            self.active_interval = None;
            return PingStep::Wait;
        };
        let silent_since = last_frame_at.max(self.silence_start(interval, now));
        if now.since(silent_since) > interval * MAX_SILENT_INTERVALS {
            return PingStep::Close;
        }
        if now.since(silent_since) < interval || now.since(self.last_ping_at) < interval {
            return PingStep::Wait;
        }
        self.last_ping_at = now;
        self.ping_count += 1;
        PingStep::Ping(self.ping_count)
    }

    /// Time from which silence is measured. A shorter interval restarts the measurement, because
    /// silence that was normal under the longer interval does not indicate a failure.
    fn silence_start(&mut self, interval: Duration, now: ClockTime) -> ClockTime {
        let started = match self.active_interval {
            Some((previous, started)) if previous <= interval => started,
            _ => now,
        };
        self.active_interval = Some((interval, started));
        started
    }
}
