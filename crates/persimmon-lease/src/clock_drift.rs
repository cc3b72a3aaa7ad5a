use std::time::Duration;

/// How far two clocks may part while a lease lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockDrift {
    /// The difference in rate, in thousandths.
    pub rate_per_mille: u32,
    /// The resolution of timers.
    pub fixed: Duration,
}

impl Default for ClockDrift {
    /// 10 thousandths and 50 ms.
    fn default() -> Self {
        Self {
            rate_per_mille: 10,
            fixed: Duration::from_millis(50),
        }
    }
}

impl ClockDrift {
    /// How much longer than `term` another clock may take to measure it.
    pub fn allowance(self, term: Duration) -> Duration {
        term * self.rate_per_mille / 1000 + self.fixed
    }

    /// The part of `term` that has passed on no other clock before it has here.
    pub fn safe_part(self, term: Duration) -> Duration {
        term.saturating_sub(self.allowance(term))
    }
}
