//! How many runs may be on their way to their runners.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Fewest runs that may be on their way.
const RUNS_MIN: usize = 512;
/// As many may be on their way as were started in this time, so that a start is answered about this
/// long after its task was placed, before it counts as unanswered.
const STARTED_PERIOD: Duration = Duration::from_secs(1);
/// Starts within this time of each other are counted together.
const RESOLUTION: Duration = Duration::from_millis(50);

/// Bounds the runs that are placed and not known to have started: the relays carry out so many starts
/// a second, and an order that waits for them gets too old.
#[derive(Debug, Default)]
pub(super) struct StartWindow {
    on_their_way: usize,
    /// Numbers of runs that started lately, with the times.
    started: VecDeque<(Instant, usize)>,
}

impl StartWindow {
    pub(super) fn run_placed(&mut self) {
        self.on_their_way += 1;
    }

    /// Handles that a run has started, at this time, or will not or may not.
    pub(super) fn run_settled(&mut self, started_at: Option<Instant>) {
        self.on_their_way = self.on_their_way.saturating_sub(1);
        let Some(now) = started_at else {
            return;
        };
        match self.started.back_mut() {
            Some((at, count)) if now < *at + RESOLUTION => *count += 1,
            _ => self.started.push_back((now, 1)),
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Instant) {
        let is_past = |it: &(Instant, usize)| now >= it.0 + STARTED_PERIOD;
        while self.started.front().is_some_and(is_past) {
            self.started.pop_front();
        }
    }

    /// Number of runs that may be on their way.
    pub(super) fn size(&mut self, now: Instant) -> usize {
        self.forget(now);
        let started: usize = self.started.iter().map(|it| it.1).sum();
        started.max(RUNS_MIN)
    }

    /// Number of runs that are on their way.
    pub(super) fn on_their_way(&self) -> usize {
        self.on_their_way
    }
}
