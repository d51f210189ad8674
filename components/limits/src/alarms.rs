//! Slow answers that are normal for a target and must not be taken for a cold start.

/// Minimum number of answers for which a false alarm is kept. The maximum is twice this number.
pub(crate) const ALARM_RETENTION_ANSWERS: u32 = 128;

/// Slowness of answers that were wrongly taken for a cold target, as multiples of the expected
/// latency.
///
/// A prompt that is not in the prefix cache takes several times the best latency. The first such
/// answer drops the limit. If the answers before and after it are normal, the target was not
/// cold, and answers of this slowness do not drop the limit for a while.
#[derive(Debug, Clone, Default)]
pub(crate) struct FalseAlarms {
    /// Whether the last answer and the one before it were slow.
    was_slow: [bool; 2],
    /// Slowness of the last drop, until the next answer shows whether the target is cold.
    pending_slowness: Option<f64>,
    recent_max: f64,
    previous_max: f64,
    answer_count: u32,
}

impl FalseAlarms {
    /// Records that the limit was dropped because of the last answer. The drop can only be a
    /// false alarm if the answer before it was normal.
    pub(crate) fn record_drop(&mut self, slowness: f64) {
        let [_, before] = self.was_slow;
        self.pending_slowness = Some(slowness).filter(|_| !before);
    }

    /// Records an answer. A normal answer right after a drop shows that the drop was a false
    /// alarm.
    pub(crate) fn record_answer(&mut self, is_normal: bool) {
        self.was_slow = [!is_normal, self.was_slow[0]];
        self.answer_count += 1;
        if self.answer_count >= ALARM_RETENTION_ANSWERS {
            self.answer_count = 0;
            self.previous_max = std::mem::take(&mut self.recent_max);
        }
        if let Some(slowness) = self.pending_slowness.take()
            && is_normal
        {
            self.recent_max = self.recent_max.max(slowness);
        }
    }

    /// Discards the pending drop, because the target is known to be cold.
    pub(crate) fn clear_pending(&mut self) {
        self.pending_slowness = None;
    }

    /// Largest slowness of a recent false alarm; zero without any.
    pub(crate) fn max_slowness(&self) -> f64 {
        self.recent_max.max(self.previous_max)
    }
}
