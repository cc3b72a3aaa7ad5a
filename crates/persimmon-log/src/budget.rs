use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// A place in the code that logs: its file and line.
pub type Place = (&'static str, u32);

/// How many lines each place may log in a window of time.
#[derive(Debug)]
pub struct Budget {
    lines_max: u32,
    window: Duration,
    windows: HashMap<Place, Window>,
}

#[derive(Debug)]
struct Window {
    began_at: Instant,
    lines: u32,
    left_out: u64,
}

/// The lines of a place that were left out of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeftOut {
    /// The place.
    pub place: Place,
    /// How many.
    pub lines: u64,
}

impl Budget {
    /// Lets each place log `lines_max` lines in every `window`.
    pub fn new(lines_max: u32, window: Duration) -> Self {
        Self {
            lines_max,
            window,
            windows: HashMap::new(),
        }
    }

    /// Tells whether `place` may log a line at `now`; one that may not is counted.
    pub fn admit(&mut self, place: Place, now: Instant) -> bool {
        let window = self.windows.entry(place).or_insert(Window {
            began_at: now,
            lines: 0,
            left_out: 0,
        });
        if now >= window.began_at + self.window {
            window.began_at = now;
            window.lines = 0;
        }
        if window.lines >= self.lines_max {
            window.left_out += 1;
            return false;
        }
        window.lines += 1;
        true
    }

    /// What was left out since the last call.
    pub fn take_left_out(&mut self) -> Vec<LeftOut> {
        let windows = self.windows.iter_mut();
        let over = windows.filter(|(_, window)| window.left_out > 0);
        let mut found: Vec<_> = over
            .map(|(&place, window)| LeftOut {
                place,
                lines: std::mem::take(&mut window.left_out),
            })
            .collect();
        found.sort_unstable_by_key(|it| it.place);
        found
    }
}
