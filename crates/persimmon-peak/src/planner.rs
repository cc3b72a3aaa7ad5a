use crate::{interval_cpu_millis, Profile, Released, Work};
use std::collections::BTreeMap;

/// How a planner decides.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Deadlines are rounded down to this, to bound the cost of a plan; 60 s by default.
    pub bucket_ms: u64,
    /// How long before its deadline expected work should be done, since tasks can't be divided;
    /// 10 min by default. For work that is known the planner works it out.
    pub margin_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            bucket_ms: 60_000,
            margin_ms: 600_000,
        }
    }
}

/// Works out the level that batch work may take.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    /// What the month's busiest minute has cost.
    paid_cpu_millis: u64,
    month: Option<u32>,
}

impl Planner {
    /// A planner for a month in which nothing was paid yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            paid_cpu_millis: 0,
            month: None,
        }
    }

    /// Begins a month: what an earlier one has cost is not free in it.
    pub fn turn(&mut self, month: u32) {
        if self.month != Some(month) {
            (self.month, self.paid_cpu_millis) = (Some(month), 0);
        }
    }

    /// Notes the level of a minute of the present month.
    pub fn pay(&mut self, cpu_millis: u64) {
        self.paid_cpu_millis = self.paid_cpu_millis.max(cpu_millis);
    }

    /// What the month's busiest minute has cost so far.
    pub fn paid_cpu_millis(&self) -> u64 {
        self.paid_cpu_millis
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
        let Options {
            bucket_ms,
            margin_ms,
        } = self.options;
        let floor = |unix_ms: u64, margin_ms: u64| {
            let early = unix_ms.saturating_sub(margin_ms);
            (early / bucket_ms * bucket_ms).max(now_unix_ms + bucket_ms)
        };
        let mut work = profile.expect(now_unix_ms);
        for expected in &mut work {
            expected.deadline_unix_ms = floor(expected.deadline_unix_ms, margin_ms);
        }
        work.retain(|it| it.deadline_unix_ms > it.release_unix_ms);
        let margins = self.margins(known);
        work.extend(known.iter().map(|known| {
            let margin_ms = margins.get(&known.deadline_unix_ms).copied().unwrap_or(0);
            Released {
                release_unix_ms: now_unix_ms,
                deadline_unix_ms: floor(known.deadline_unix_ms, margin_ms),
                cpu_millis_ms: u128::from(known.cpu_millis) * u128::from(known.run_ms),
            }
        }));
        let widest = known
            .iter()
            .map(|known| known.cpu_millis)
            .max()
            .unwrap_or(0);
        let longest_ms = known.iter().map(|known| known.run_ms).max().unwrap_or(0);
        let ends_this_month = now_unix_ms + longest_ms + bucket_ms < month_end_unix_ms;
        let free = if ends_this_month {
            self.paid_cpu_millis
        } else {
            0
        };
        free.max(interval_cpu_millis(&work)).max(widest)
    }

    /// How long before each deadline the last of its tasks must have been started.
    ///
    /// Those due together are started longest first, so the last are the shortest of them.
    fn margins(&self, known: &[Work]) -> BTreeMap<u64, u64> {
        let mut margins: BTreeMap<u64, u64> = BTreeMap::new();
        for work in known.iter().filter(|work| work.safe_ms > 0) {
            let least = margins.entry(work.deadline_unix_ms).or_insert(work.safe_ms);
            *least = work.safe_ms.min(*least);
        }
        for margin_ms in margins.values_mut() {
            *margin_ms += 2 * self.options.bucket_ms;
        }
        margins
    }
}
