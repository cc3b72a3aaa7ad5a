use crate::{Estimates, Pairing, Sample, Task, TaskKey, WorkerKey};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How a controller acts.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The latency ratio that it aims at; 0.93 by default.
    pub aim: f64,
    /// A ratio above this calls for an act; 1.0 by default.
    pub limit: f64,
    /// Tasks are not throttled below this, in hundredths; 20 by default.
    pub throttle_min_percent: u32,
    /// Throttles move in steps of this, in hundredths; 10 by default.
    pub step_percent: u32,
    /// Samples in a row above the limit with all tasks throttled to the least before one is
    /// evicted; 3 by default.
    pub strikes_max: u32,
    /// How long evidence keeps half its weight; 30 min by default.
    pub half_life: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            aim: 0.93,
            limit: 1.0,
            throttle_min_percent: 20,
            step_percent: 10,
            strikes_max: 3,
            half_life: Duration::from_secs(1800),
        }
    }
}

/// What to do with a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Let it use these hundredths of its claim.
    Throttle {
        /// The task.
        task: TaskKey,
        /// The hundredths.
        percent: u32,
    },
    /// Stop it with a checkpoint, to be placed elsewhere.
    Evict {
        /// The task.
        task: TaskKey,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    acted_at: Option<Instant>,
    strikes: u32,
}

/// Decides from late samples which tasks to hold back.
///
/// It throttles first, to where its estimates expect the aim; evicts only when throttles to the
/// least have not helped for several samples; and gives back only what its estimates, widened by
/// their age, expect to stay within the aim.
#[derive(Debug, Clone)]
pub struct Controller {
    options: Options,
    estimates: Estimates,
    workers: BTreeMap<WorkerKey, Record>,
}

impl Controller {
    /// A controller that knows nothing.
    pub fn new(options: Options) -> Self {
        let estimates = Estimates::new(options.half_life);
        Self {
            options,
            estimates,
            workers: BTreeMap::new(),
        }
    }

    /// What it has learned.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Takes in a sample that arrived at `now`; `tasks` are those that run there now.
    pub fn observe(&mut self, sample: &Sample, tasks: &[Task], now: Instant) -> Vec<Action> {
        self.estimates.learn(sample);
        let record = self.workers.entry(sample.worker).or_default();
        // A sample from before the last act tells nothing of what it did.
        if record
            .acted_at
            .is_some_and(|acted_at| sample.taken_at <= acted_at)
        {
            return Vec::new();
        }
        let over = sample.latency_ratio > self.options.limit;
        record.strikes = if over { record.strikes + 1 } else { 0 };
        let strikes = record.strikes;
        let actions = if over {
            self.hold_back(sample, tasks, strikes, now)
        } else {
            self.give_back(sample, tasks, now)
        };
        if !actions.is_empty() {
            self.workers.entry(sample.worker).or_default().acted_at = Some(now);
        }
        actions
    }

    /// The cost of placing a task of a pairing, in thousandths of the latency target.
    pub fn cost(&self, pairing: Pairing) -> u32 {
        (self.estimates.slope(pairing) * 1000.0) as u32
    }

    fn hold_back(
        &self,
        sample: &Sample,
        tasks: &[Task],
        strikes: u32,
        now: Instant,
    ) -> Vec<Action> {
        let least = self.options.throttle_min_percent;
        let mut excess = sample.latency_ratio - self.options.aim;
        let mut actions = Vec::new();
        for task in self.by_slope(sample, tasks) {
            if excess <= 0.0 {
                break;
            }
            if task.throttle_percent <= least {
                continue;
            }
            // A class with no effect known yet must not be throttled for another's.
            let slope = self.slope(sample, &task).max(0.02);
            let wanted = (excess / slope * 100.0).ceil() as u32;
            let percent = task.throttle_percent.saturating_sub(wanted).max(least);
            let percent = self.round_down(percent).max(least);
            excess -= slope * f64::from(task.throttle_percent - percent) / 100.0;
            actions.push(Action::Throttle {
                task: task.key,
                percent,
            });
        }
        let held = actions.is_empty() && strikes >= self.options.strikes_max;
        // With nothing running the load alone is too much, and no eviction helps.
        let worst = self.by_slope(sample, tasks).first().copied();
        if let Some(worst) = worst.filter(|_| held && self.is_worth_evicting(sample, tasks, now)) {
            actions.push(Action::Evict { task: worst.key });
        }
        actions
    }

    /// Whether the tasks, throttled to the least, still add what stands between latency and target.
    fn is_worth_evicting(&self, sample: &Sample, tasks: &[Task], now: Instant) -> bool {
        const NOTICEABLE: f64 = 0.02;
        let with = self.estimates.cautious(
            &Sample {
                tasks: tasks.to_vec(),
                ..sample.clone()
            },
            now,
        );
        let without = self.estimates.cautious(
            &Sample {
                tasks: Vec::new(),
                ..sample.clone()
            },
            now,
        );
        with - without > NOTICEABLE
    }

    fn give_back(&self, sample: &Sample, tasks: &[Task], now: Instant) -> Vec<Action> {
        let mut planned: Vec<Task> = tasks.to_vec();
        let mut actions = Vec::new();
        let mut order = self.by_slope(sample, tasks);
        order.reverse();
        for task in order.into_iter().filter(|task| task.throttle_percent < 100) {
            let percent = self.raise(sample, &mut planned, task.key, now);
            if percent > task.throttle_percent {
                actions.push(Action::Throttle {
                    task: task.key,
                    percent,
                });
            }
        }
        actions
    }

    /// The highest throttle of one task at which the aim is still expected.
    fn raise(&self, sample: &Sample, planned: &mut [Task], key: TaskKey, now: Instant) -> u32 {
        let Some(at) = planned.iter().position(|task| task.key == key) else {
            return 0;
        };
        loop {
            let current = planned[at].throttle_percent;
            if current >= 100 {
                return 100;
            }
            planned[at].throttle_percent = (current + self.options.step_percent).min(100);
            let next = Sample {
                tasks: planned.to_vec(),
                ..sample.clone()
            };
            // What was measured counts more than the estimate of it.
            let measured_error =
                (sample.latency_ratio - self.estimates.cautious(sample, now)).max(0.0);
            if self.estimates.cautious(&next, now) + measured_error > self.options.aim {
                planned[at].throttle_percent = current;
                return current;
            }
        }
    }

    fn by_slope(&self, sample: &Sample, tasks: &[Task]) -> Vec<Task> {
        let mut order = tasks.to_vec();
        order.sort_by(|a, b| self.slope(sample, b).total_cmp(&self.slope(sample, a)));
        order
    }

    fn slope(&self, sample: &Sample, task: &Task) -> f64 {
        let Sample { service, band, .. } = *sample;
        self.estimates.slope(Pairing {
            service,
            class: task.class,
            band,
        })
    }

    fn round_down(&self, percent: u32) -> u32 {
        percent / self.options.step_percent * self.options.step_percent
    }
}
