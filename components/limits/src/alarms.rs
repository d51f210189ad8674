//! Slow answers that turned out to be normal for a target.

/// Answers after which a false alarm is forgotten, at most twice as many.
pub(crate) const ALARM_MEMORY: u32 = 128;

/// Slowness of answers that looked like a cold target but were none, as multiples of the expected
/// latency.
///
/// A prompt that is not in the prefix cache takes several times the best latency. The first one drops
/// the limit; if the answers before and after it are normal, the target was not cold, and slowness of
/// this size is no sign of it for a while.
#[derive(Debug, Clone, Default)]
pub(crate) struct FalseAlarms {
    /// Whether the last answer was slow, and the one before it.
    was_slow: [bool; 2],
    /// Slowness of the last drop until the next answer shows whether the target is cold.
    pending: Option<f64>,
    recent: f64,
    older: f64,
    answers: u32,
}

impl FalseAlarms {
    /// Notes that the limit was dropped for the last answer, which was this slow.
    pub(crate) fn raise(&mut self, slowness: f64) {
        let [_, before] = self.was_slow;
        self.pending = Some(slowness).filter(|_| !before);
    }

    /// Notes an answer; a normal one after a drop makes it a false alarm.
    pub(crate) fn answer(&mut self, is_normal: bool) {
        self.was_slow = [!is_normal, self.was_slow[0]];
        self.answers += 1;
        if self.answers >= ALARM_MEMORY {
            self.answers = 0;
            self.older = std::mem::take(&mut self.recent);
        }
        if let Some(slowness) = self.pending.take()
            && is_normal
        {
            self.recent = self.recent.max(slowness);
        }
    }

    /// Forgets an open alarm: the target is cold for certain.
    pub(crate) fn confirm(&mut self) {
        self.pending = None;
    }

    /// Largest slowness that was a false alarm lately; zero without any.
    pub(crate) fn largest(&self) -> f64 {
        self.recent.max(self.older)
    }
}
