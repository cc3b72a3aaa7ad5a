use crate::{critical_interval_cpu_millis, is_feasible, Profile, ReleasedWork, Work};

/// The options of a [`Planner`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The unit to which deadlines are rounded down to bound the cost of planning; 60 s by default.
    pub bucket_ms: u64,
    /// How long before its deadline forecast work must be complete, which allows for tasks being
    /// indivisible; 10 min by default. For known work the planner simulates the tasks instead.
    pub margin_ms: u64,
    /// The margin added to forecast work, in percent, since days differ; 8 by default.
    pub forecast_margin_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            bucket_ms: 60_000,
            margin_ms: 600_000,
            forecast_margin_percent: 8,
        }
    }
}

/// Computes how many processors batch work may use at a time: the level, in thousandths of a
/// core.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    /// The level of the busiest minute of the current month so far.
    billed_cpu_millis: u64,
    month: Option<u32>,
}

impl Planner {
    /// Creates a planner for a month without recorded minutes.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            billed_cpu_millis: 0,
            month: None,
        }
    }

    /// Starts a billing month, to which the billed level of an earlier month doesn't carry over.
    pub fn start_month(&mut self, month: u32) {
        if self.month != Some(month) {
            (self.month, self.billed_cpu_millis) = (Some(month), 0);
        }
    }

    /// Records the level of a minute of the current month.
    pub fn record_minute(&mut self, cpu_millis: u64) {
        self.billed_cpu_millis = self.billed_cpu_millis.max(cpu_millis);
    }

    /// Returns the level of the busiest minute of the current month so far.
    pub fn billed_cpu_millis(&self) -> u64 {
        self.billed_cpu_millis
    }

    /// Returns the level to use from `now_unix_ms` on: the billed level or, if that is too low, the
    /// lowest level that meets the deadlines of `known` and forecast work.
    ///
    /// The billed level costs nothing more only for work that ends before `month_end_unix_ms`,
    /// because a task that still runs then is billed again in the first minute of the next month.
    pub fn level(
        &self,
        now_unix_ms: u64,
        month_end_unix_ms: u64,
        known: &[Work],
        profile: &Profile,
    ) -> u64 {
        let longest_ms = known.iter().map(|known| known.run_ms).max().unwrap_or(0);
        let last_end = now_unix_ms + longest_ms + self.options.bucket_ms;
        let already_billed_cpu_millis = if last_end < month_end_unix_ms {
            self.billed_cpu_millis
        } else {
            0
        };
        self.lowest_level(now_unix_ms, already_billed_cpu_millis, known, profile)
    }

    /// Returns the lowest level that meets the deadlines of `known` and forecast work, irrespective
    /// of the billed level.
    pub fn required(&self, now_unix_ms: u64, known: &[Work], profile: &Profile) -> u64 {
        self.lowest_level(now_unix_ms, 0, known, profile)
    }

    fn lowest_level(
        &self,
        now_unix_ms: u64,
        already_billed_cpu_millis: u64,
        known: &[Work],
        profile: &Profile,
    ) -> u64 {
        let Options {
            bucket_ms,
            margin_ms,
            forecast_margin_percent,
        } = self.options;
        // A deadline less the margin, rounded down to a bucket, but at least one bucket from now.
        let planning_deadline = |unix_ms: u64, margin_ms: u64| {
            let with_margin = unix_ms.saturating_sub(margin_ms);
            (with_margin / bucket_ms * bucket_ms).max(now_unix_ms + bucket_ms)
        };
        let mut work = profile.forecast(now_unix_ms);
        for forecast in &mut work {
            let margin = forecast.cpu_millis_ms * u128::from(forecast_margin_percent) / 100;
            forecast.cpu_millis_ms += margin;
            forecast.deadline_unix_ms = planning_deadline(forecast.deadline_unix_ms, margin_ms);
        }
        work.retain(|work| work.deadline_unix_ms > work.release_unix_ms);
        work.extend(known.iter().map(|known| ReleasedWork {
            release_unix_ms: now_unix_ms,
            deadline_unix_ms: planning_deadline(known.deadline_unix_ms, 0),
            cpu_millis_ms: u128::from(known.cpu_millis) * u128::from(known.run_ms),
        }));
        let widest_cpu_millis = known
            .iter()
            .map(|known| known.cpu_millis)
            .max()
            .unwrap_or(0);
        let divisible_cpu_millis = already_billed_cpu_millis
            .max(critical_interval_cpu_millis(&work))
            .max(widest_cpu_millis);
        self.raise_until_feasible(now_unix_ms, known, divisible_cpu_millis)
    }

    /// Raises a level that suffices for divisible work until all tasks can start in time.
    fn raise_until_feasible(
        &self,
        now_unix_ms: u64,
        known: &[Work],
        divisible_cpu_millis: u64,
    ) -> u64 {
        /// The steps together raise a large level to at most about 3.6 times its value.
        const STEPS_MAX: usize = 256;
        /// Each step raises the level by this fraction of it (0.5 %), at least by 1.
        const LEVEL_STEP_DIVISOR: u64 = 200;
        // The simulation uses deadlines that are two buckets earlier.
        let with_guard_time: Vec<Work> = known
            .iter()
            .map(|work| Work {
                deadline_unix_ms: work
                    .deadline_unix_ms
                    .saturating_sub(2 * self.options.bucket_ms),
                ..*work
            })
            .collect();
        let mut level = divisible_cpu_millis;
        for _ in 0..STEPS_MAX {
            if is_feasible(now_unix_ms, &with_guard_time, level) {
                return level;
            }
            level += (level / LEVEL_STEP_DIVISOR).max(1);
        }
        // A deadline that can't be met at any of these levels must not raise the bill.
        divisible_cpu_millis
    }
}
