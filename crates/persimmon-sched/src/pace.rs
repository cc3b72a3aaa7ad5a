use std::time::{Duration, Instant};

/// Share of its target above which a serving task's tail slows what fills beside it.
const SLOW_ABOVE_PERCENT: u64 = 80;
/// Share of its target below which what fills may speed up again.
const SPEED_BELOW_PERCENT: u64 = 60;
/// Between two changes: a figure covers half a second and a change needs a tenth to show.
const SETTLE: Duration = Duration::from_millis(700);
/// Added to the share when the tail allows.
const SPEED_STEP_PERCENT: u8 = 15;
/// Below this share, what fills is stopped altogether.
const FLOOR_PERCENT: u8 = 10;

/// The share at which the tasks that fill a runner may work: halved when a serving task's tail
/// comes near its target, raised in steps when it is well below.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    pub(crate) percent: u8,
    changed_at: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            percent: 100,
            changed_at: None,
        }
    }
}

impl Pace {
    /// Takes the highest tail on the runner, in percent of its target. Tells whether the share changed.
    pub(crate) fn observe(&mut self, tail_percent: u64, now: Instant) -> bool {
        let settled = self.changed_at.is_none_or(|at| now >= at + SETTLE);
        if !settled {
            return false;
        }
        let next = if tail_percent > SLOW_ABOVE_PERCENT {
            Some(self.percent / 2).map(|it| if it < FLOOR_PERCENT { 0 } else { it })
        } else if tail_percent < SPEED_BELOW_PERCENT {
            Some((self.percent + SPEED_STEP_PERCENT).min(100))
        } else {
            None
        };
        let Some(next) = next.filter(|&next| next != self.percent) else {
            return false;
        };
        self.percent = next;
        self.changed_at = Some(now);
        true
    }
}
