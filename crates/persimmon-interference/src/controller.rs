use crate::{Estimates, Pairing, Sample, Task, TaskKey, WorkerKey};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Settings of a [`Controller`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Latency ratio that throttles are set for; 0.93 by default.
    pub target_ratio: f64,
    /// Latency ratio above which tasks are throttled or evicted; 1.0 by default.
    pub ratio_limit: f64,
    /// Lowest throttle, in percent; 20 by default.
    pub throttle_min_percent: u32,
    /// Step of throttles, in percent; 10 by default.
    pub step_percent: u32,
    /// Consecutive samples above the limit after which a task is evicted if all are at the lowest
    /// throttle; 3 by default.
    pub violations_max: u32,
    /// Time in which a sample loses half its weight; 30 min by default.
    pub half_life: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            target_ratio: 0.93,
            ratio_limit: 1.0,
            throttle_min_percent: 20,
            step_percent: 10,
            violations_max: 3,
            half_life: Duration::from_secs(1800),
        }
    }
}

/// An action on a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Limit the task to a percentage of its claim.
    Throttle {
        /// The task.
        task: TaskKey,
        /// Percentage of its claim.
        percent: u32,
    },
    /// Stop the task with a checkpoint, to be placed elsewhere.
    Evict {
        /// The task.
        task: TaskKey,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct WorkerState {
    acted_at: Option<Instant>,
    violations: u32,
}

/// Decides from delayed samples which tasks to throttle or evict.
///
/// It throttles first, to the level at which its estimates predict the target ratio. It evicts only
/// when the lowest throttles have not helped for several samples. It relaxes throttles only as far
/// as the upper bound of its estimates stays within the target ratio.
#[derive(Debug, Clone)]
pub struct Controller {
    options: Options,
    estimates: Estimates,
    worker_states: BTreeMap<WorkerKey, WorkerState>,
}

impl Controller {
    /// Creates a controller without estimates.
    pub fn new(options: Options) -> Self {
        let estimates = Estimates::new(options.half_life);
        Self {
            options,
            estimates,
            worker_states: BTreeMap::new(),
        }
    }

    /// Returns the estimates learned so far.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Handles a sample that arrived at `now`; `tasks` are those running on the worker now.
    pub fn observe(&mut self, sample: &Sample, tasks: &[Task], now: Instant) -> Vec<Action> {
        self.estimates.learn(sample);
        let state = self.worker_states.entry(sample.worker).or_default();
        // A sample taken before the last action does not reflect its effect.
        if state
            .acted_at
            .is_some_and(|acted_at| sample.taken_at <= acted_at)
        {
            return Vec::new();
        }
        let over = sample.latency_ratio > self.options.ratio_limit;
        state.violations = if over { state.violations + 1 } else { 0 };
        let violations = state.violations;
        let actions = if over {
            self.throttle_or_evict(sample, tasks, violations, now)
        } else {
            self.relax_throttles(sample, tasks, now)
        };
        if !actions.is_empty() {
            self.worker_states
                .entry(sample.worker)
                .or_default()
                .acted_at = Some(now);
        }
        actions
    }

    /// Cost of placing a task of a pairing, in thousandths of the latency target.
    pub fn cost(&self, pairing: Pairing) -> u32 {
        (self.estimates.slope(pairing) * 1000.0) as u32
    }

    fn throttle_or_evict(
        &self,
        sample: &Sample,
        tasks: &[Task],
        violations: u32,
        now: Instant,
    ) -> Vec<Action> {
        let throttle_min = self.options.throttle_min_percent;
        let mut excess = sample.latency_ratio - self.options.target_ratio;
        let mut actions = Vec::new();
        for task in self.by_slope(sample, tasks) {
            if excess <= 0.0 {
                break;
            }
            if task.throttle_percent <= throttle_min {
                continue;
            }
            // A class without a known effect must not be throttled for the effect of another.
            let slope = self.slope(sample, &task).max(0.02);
            let wanted = (excess / slope * 100.0).ceil() as u32;
            let percent = task
                .throttle_percent
                .saturating_sub(wanted)
                .max(throttle_min);
            let percent = self.round_down(percent).max(throttle_min);
            excess -= slope * f64::from(task.throttle_percent - percent) / 100.0;
            actions.push(Action::Throttle {
                task: task.key,
                percent,
            });
        }
        let should_evict = actions.is_empty() && violations >= self.options.violations_max;
        // Without tasks the load of the service alone exceeds the limit, and no eviction helps.
        let worst = self.by_slope(sample, tasks).first().copied();
        if let Some(worst) =
            worst.filter(|_| should_evict && self.eviction_would_help(sample, tasks, now))
        {
            actions.push(Action::Evict { task: worst.key });
        }
        actions
    }

    /// Returns whether the tasks, at the lowest throttle, still add noticeably to the latency
    /// ratio.
    fn eviction_would_help(&self, sample: &Sample, tasks: &[Task], now: Instant) -> bool {
        const CONTRIBUTION_MIN: f64 = 0.02;
        let with = self.estimates.upper_bound(
            &Sample {
                tasks: tasks.to_vec(),
                ..sample.clone()
            },
            now,
        );
        let without = self.estimates.upper_bound(
            &Sample {
                tasks: Vec::new(),
                ..sample.clone()
            },
            now,
        );
        with - without > CONTRIBUTION_MIN
    }

    fn relax_throttles(&self, sample: &Sample, tasks: &[Task], now: Instant) -> Vec<Action> {
        let mut planned: Vec<Task> = tasks.to_vec();
        let mut actions = Vec::new();
        let mut by_slope = self.by_slope(sample, tasks);
        by_slope.reverse();
        for task in by_slope
            .into_iter()
            .filter(|task| task.throttle_percent < 100)
        {
            let percent = self.highest_safe_throttle(sample, &mut planned, task.key, now);
            if percent > task.throttle_percent {
                actions.push(Action::Throttle {
                    task: task.key,
                    percent,
                });
            }
        }
        actions
    }

    /// Highest throttle of one task at which the target ratio is still expected.
    fn highest_safe_throttle(
        &self,
        sample: &Sample,
        planned: &mut [Task],
        key: TaskKey,
        now: Instant,
    ) -> u32 {
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
            // The measured ratio takes precedence where it exceeds its estimate.
            let measured_error =
                (sample.latency_ratio - self.estimates.upper_bound(sample, now)).max(0.0);
            if self.estimates.upper_bound(&next, now) + measured_error > self.options.target_ratio {
                planned[at].throttle_percent = current;
                return current;
            }
        }
    }

    fn by_slope(&self, sample: &Sample, tasks: &[Task]) -> Vec<Task> {
        let mut by_slope = tasks.to_vec();
        by_slope.sort_by(|a, b| self.slope(sample, b).total_cmp(&self.slope(sample, a)));
        by_slope
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
