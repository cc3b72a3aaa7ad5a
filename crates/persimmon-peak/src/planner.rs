use crate::{critical_interval_cpu_millis, is_feasible, Profile, ReleasedWork, Work};

/// How a planner decides.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Deadlines are rounded down to this, to bound the cost of a plan; 60 s by default.
    pub bucket_ms: u64,
    /// How long before its deadline expected work should be done, since tasks can't be divided;
    /// 10 min by default. For work that is known the planner works it out.
    pub margin_ms: u64,
    /// Added to expected work, in hundredths, since days differ; 8 by default.
    pub expected_margin_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            bucket_ms: 60_000,
            margin_ms: 600_000,
            expected_margin_percent: 8,
        }
    }
}

/// Works out the level that batch work may take.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    /// What the month's busiest minute has cost.
    billed_cpu_millis: u64,
    month: Option<u32>,
}

impl Planner {
    /// A planner for a month in which nothing was paid yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            billed_cpu_millis: 0,
            month: None,
        }
    }

    /// Begins a month: what an earlier one has cost is not free in it.
    pub fn start_month(&mut self, month: u32) {
        if self.month != Some(month) {
            (self.month, self.billed_cpu_millis) = (Some(month), 0);
        }
    }

    /// Notes the level of a minute of the present month.
    pub fn record_minute(&mut self, cpu_millis: u64) {
        self.billed_cpu_millis = self.billed_cpu_millis.max(cpu_millis);
    }

    /// What the month's busiest minute has cost so far.
    pub fn billed_cpu_millis(&self) -> u64 {
        self.billed_cpu_millis
    }

    /// The level to use from `now_unix_ms` on: what is paid, or the least that does the `known` and
    /// the expected work in time.
    ///
    /// What is paid is free only for work that ends before `month_end_unix_ms`: a task that runs on
    /// is billed anew in the next month's first minute.
    pub fn level(
        &self,
        now_unix_ms: u64,
        month_end_unix_ms: u64,
        known: &[Work],
        profile: &Profile,
    ) -> u64 {
        let longest_ms = known.iter().map(|known| known.run_ms).max().unwrap_or(0);
        let last_end = now_unix_ms + longest_ms + self.options.bucket_ms;
        let free = if last_end < month_end_unix_ms {
            self.billed_cpu_millis
        } else {
            0
        };
        self.raise(now_unix_ms, free, known, profile)
    }

    /// The least level that does the `known` and the expected work in time, with nothing paid.
    pub fn required(&self, now_unix_ms: u64, known: &[Work], profile: &Profile) -> u64 {
        self.raise(now_unix_ms, 0, known, profile)
    }

    fn raise(&self, now_unix_ms: u64, free: u64, known: &[Work], profile: &Profile) -> u64 {
        let Options {
            bucket_ms,
            margin_ms,
            expected_margin_percent,
        } = self.options;
        let floor = |unix_ms: u64, margin_ms: u64| {
            let early = unix_ms.saturating_sub(margin_ms);
            (early / bucket_ms * bucket_ms).max(now_unix_ms + bucket_ms)
        };
        let mut work = profile.forecast(now_unix_ms);
        for expected in &mut work {
            let margin = expected.cpu_millis_ms * u128::from(expected_margin_percent) / 100;
            expected.cpu_millis_ms += margin;
            expected.deadline_unix_ms = floor(expected.deadline_unix_ms, margin_ms);
        }
        work.retain(|it| it.deadline_unix_ms > it.release_unix_ms);
        work.extend(known.iter().map(|known| ReleasedWork {
            release_unix_ms: now_unix_ms,
            deadline_unix_ms: floor(known.deadline_unix_ms, 0),
            cpu_millis_ms: u128::from(known.cpu_millis) * u128::from(known.run_ms),
        }));
        let widest = known
            .iter()
            .map(|known| known.cpu_millis)
            .max()
            .unwrap_or(0);
        let divisible = free.max(critical_interval_cpu_millis(&work)).max(widest);
        self.rigid(now_unix_ms, known, divisible)
    }

    /// Raises a level that would do for divisible work to one at which all tasks start in time.
    fn rigid(&self, now_unix_ms: u64, known: &[Work], divisible_cpu_millis: u64) -> u64 {
        const STEPS_MAX: usize = 256;
        const STEPS_PER_LEVEL: u64 = 200;
        let guarded: Vec<Work> = known
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
            if is_feasible(now_unix_ms, &guarded, level) {
                return level;
            }
            level += (level / STEPS_PER_LEVEL).max(1);
        }
        // Some deadline can't be met at any level; that must not raise the bill.
        divisible_cpu_millis
    }
}
