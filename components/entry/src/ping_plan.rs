//! When a connection to an agent is pinged, and when it is given up.

use std::time::Duration;

use units::ClockTime;

/// Interval of pings on a connection on which a request runs and that is silent.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Intervals without any frame after which a connection is dead.
pub const MAX_SILENT_INTERVALS: u32 = 3;

/// Longest interval of pings, shorter than the time after which an idle connection is closed.
pub const MAX_PING_INTERVAL: Duration = Duration::from_secs(8);

/// Bytes of a ping and its answer with all headers, rounded up.
const PING_BYTES: u64 = 160;

/// Bytes each second that an entry spends on pings of connections that only carry offers.
const OFFER_PING_BYTES: u64 = 2_000;

/// What a connection is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkPurpose {
    /// Nothing.
    Idle,
    /// Requests wait, so that offers may stand at the agent.
    Offers {
        /// Connections of the entry, among which the traffic of pings is shared.
        link_count: usize,
    },
    /// Requests run at the agent.
    Runs,
}

impl LinkPurpose {
    /// Interval of pings while the connection is silent; `None` if it needs none.
    ///
    /// A run must be resumed soon after its connection went silent. An offer that stands at a
    /// silent agent stands at others too, so its pings are spread out to bound their traffic.
    pub fn ping_interval(self) -> Option<Duration> {
        match self {
            Self::Idle => None,
            Self::Runs => Some(PING_INTERVAL),
            Self::Offers { link_count } => {
                let paced = link_count as u64 * PING_BYTES * 1000 / OFFER_PING_BYTES;
                Some(Duration::from_millis(paced).clamp(PING_INTERVAL, MAX_PING_INTERVAL))
            }
        }
    }
}

/// What to do about a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PingStep {
    /// Nothing yet.
    Wait,
    /// Send a ping with this number.
    Ping(u64),
    /// Give the connection up.
    Close,
}

/// Pings of one connection. Any frame from the agent proves it alive, so that a connection with a
/// stream that produces tokens carries none.
#[derive(Debug, Default)]
pub struct PingPlan {
    /// Interval of pings, and since when it is at least that short.
    busy: Option<(Duration, ClockTime)>,
    last_ping: ClockTime,
    count: u64,
}

impl PingPlan {
    /// Decides what to do, given the time of the last frame from the agent.
    pub fn step(&mut self, duty: LinkPurpose, last_frame: ClockTime, now: ClockTime) -> PingStep {
        let Some(interval) = duty.ping_interval() else {
            self.busy = None;
            return PingStep::Wait;
        };
        let heard = last_frame.max(self.begun(interval, now));
        if now.since(heard) > interval * MAX_SILENT_INTERVALS {
            return PingStep::Close;
        }
        if now.since(heard) < interval || now.since(self.last_ping) < interval {
            return PingStep::Wait;
        }
        self.last_ping = now;
        self.count += 1;
        PingStep::Ping(self.count)
    }

    /// Time from which silence counts. A shorter interval starts anew: silence that was normal for
    /// the longer one proves nothing.
    fn begun(&mut self, interval: Duration, now: ClockTime) -> ClockTime {
        let begun = match self.busy {
            Some((known, since)) if known <= interval => since,
            _ => now,
        };
        self.busy = Some((interval, begun));
        begun
    }
}
