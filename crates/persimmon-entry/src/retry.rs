use crate::platform::CallError;
use std::time::Duration;

/// Longest base delay before a throttled call is retried.
const THROTTLED_DELAY_MAX: Duration = Duration::from_millis(800);

/// Delay before a failed call is retried: fixed, but doubling and randomized while the store
/// throttles, so that the retries of all processes spread out and fall below its limit.
#[derive(Debug)]
pub(crate) struct RetryDelay {
    min: Duration,
    throttled: Duration,
}

impl RetryDelay {
    pub(crate) fn new(min: Duration) -> Self {
        Self {
            min,
            throttled: min,
        }
    }

    /// Returns to the shortest delay after a call that succeeded.
    pub(crate) fn reset(&mut self) {
        self.throttled = self.min;
    }

    /// Returns the delay after a call that failed with `err`.
    pub(crate) fn after(&mut self, err: &CallError) -> Duration {
        if !err.is_throttled {
            self.reset();
            return self.min;
        }
        let base = self.throttled;
        self.throttled = (base * 2).min(THROTTLED_DELAY_MAX.max(self.min));
        base.mul_f64(1.0 + rand::random::<f64>())
    }
}
