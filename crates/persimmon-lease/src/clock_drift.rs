use std::time::Duration;

/// The largest difference between two clocks that lease arithmetic tolerates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockDrift {
    /// The difference in rate, in thousandths.
    pub rate_per_mille: u32,
    /// The resolution of timers.
    pub timer_resolution: Duration,
}

impl Default for ClockDrift {
    /// 10 thousandths and 50 ms.
    fn default() -> Self {
        Self {
            rate_per_mille: 10,
            timer_resolution: Duration::from_millis(50),
        }
    }
}

impl ClockDrift {
    /// The most by which another clock's measurement of `term` can exceed this clock's.
    pub fn allowance(self, term: Duration) -> Duration {
        term * self.rate_per_mille / 1000 + self.timer_resolution
    }

    /// `term` less the allowance: it ends on this clock before `term` ends on any other.
    pub fn safe_term(self, term: Duration) -> Duration {
        term.saturating_sub(self.allowance(term))
    }
}
