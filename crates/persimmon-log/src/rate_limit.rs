use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Source location of a logging call: file and line.
pub type CallSite = (&'static str, u32);

/// Fixed-window rate limiter with a separate limit for each call site.
#[derive(Debug)]
pub struct RateLimiter {
    lines_max: u32,
    window: Duration,
    windows: HashMap<CallSite, Window>,
}

#[derive(Debug)]
struct Window {
    started_at: Instant,
    lines: u32,
    suppressed: u64,
}

/// Number of lines of one call site suppressed since the last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suppressed {
    /// The call site.
    pub call_site: CallSite,
    /// Number of suppressed lines.
    pub lines: u64,
}

impl RateLimiter {
    /// Creates a limiter that admits `lines_max` lines per `window` at each call site.
    pub fn new(lines_max: u32, window: Duration) -> Self {
        Self {
            lines_max,
            window,
            windows: HashMap::new(),
        }
    }

    /// Returns whether `call_site` may log a line at `now`. A rejected line is counted as
    /// suppressed.
    pub fn admit(&mut self, call_site: CallSite, now: Instant) -> bool {
        let window = self.windows.entry(call_site).or_insert(Window {
            started_at: now,
            lines: 0,
            suppressed: 0,
        });
        if now >= window.started_at + self.window {
            window.started_at = now;
            window.lines = 0;
        }
        if window.lines >= self.lines_max {
            window.suppressed += 1;
            return false;
        }
        window.lines += 1;
        true
    }

    /// Returns the suppressed lines since the last call, sorted by call site.
    pub fn take_suppressed(&mut self) -> Vec<Suppressed> {
        let windows = self.windows.iter_mut();
        let exceeded = windows.filter(|(_, window)| window.suppressed > 0);
        let mut suppressed: Vec<_> = exceeded
            .map(|(&call_site, window)| Suppressed {
                call_site,
                lines: std::mem::take(&mut window.suppressed),
            })
            .collect();
        suppressed.sort_unstable_by_key(|it| it.call_site);
        suppressed
    }
}
