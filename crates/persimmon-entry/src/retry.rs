use crate::platform::CallError;
use std::time::Duration;

/// Longest base delay before a throttled call is retried.
const THROTTLED_DELAY_MAX: Duration = Duration::from_millis(800);
/// The same for calls that only a group's owner makes: there are few of them, and the group's tasks
/// wait for them.
const OWNER_THROTTLED_DELAY_MAX: Duration = Duration::from_millis(200);

/// Delay before a failed call is retried: fixed, but doubling and randomized while the store
/// throttles, so that the retries of all processes spread out and fall below its limit.
#[derive(Debug)]
pub(crate) struct RetryDelay {
    min: Duration,
    /// Longest base delay while throttled.
    max: Duration,
    throttled: Duration,
}

impl RetryDelay {
    pub(crate) fn new(min: Duration) -> Self {
        Self {
            min,
            max: THROTTLED_DELAY_MAX,
            throttled: min,
        }
    }

    /// Creates the delay of a call that is made by all members or by a group's owner alone.
    pub(crate) fn of(min: Duration, by_all_members: bool) -> Self {
        let max = if by_all_members {
            THROTTLED_DELAY_MAX
        } else {
            OWNER_THROTTLED_DELAY_MAX
        };
        Self {
            max,
            ..Self::new(min)
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
        self.throttled = (base * 2).min(self.max.max(self.min));
        base.mul_f64(1.0 + rand::random::<f64>())
    }
}
