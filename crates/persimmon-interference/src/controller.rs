use crate::{Estimates, Pairing, Sample, Task, TaskKey, WorkerKey};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Settings of a [`Controller`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Latency ratio that CPU limits are set for; 0.93 by default.
    pub latency_ratio_target: f64,
    /// Latency ratio above which tasks are throttled or evicted; 1.0 by default.
    pub latency_ratio_limit: f64,
    /// Lowest CPU limit of a throttled task, in percent of its claim; 20 by default.
    pub cpu_limit_min_percent: u32,
    /// Step in which CPU limits are set, in percent of the claim; 10 by default.
    pub step_percent: u32,
    /// Number of consecutive samples above the limit at which a task is evicted if all are at the
    /// lowest CPU limit; 3 by default.
    pub violations_before_eviction: u32,
    /// Time in which a sample loses half its weight; 30 min by default.
    pub half_life: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            latency_ratio_target: 0.93,
            latency_ratio_limit: 1.0,
            cpu_limit_min_percent: 20,
            step_percent: 10,
            violations_before_eviction: 3,
            half_life: Duration::from_secs(1800),
        }
    }
}

/// An action on a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Set the task's CPU limit; 100 removes the throttle.
    Throttle {
        /// The task.
        task: TaskKey,
        /// The CPU limit, see [`Task::cpu_limit_percent`].
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
/// It throttles first, to the CPU limits at which its estimates predict the target ratio. It evicts
/// only when the lowest CPU limits have not helped for several samples. It raises CPU limits only
/// as far as the upper bound of its estimates stays within the target ratio.
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
        let over = sample.latency_ratio > self.options.latency_ratio_limit;
        state.violations = if over { state.violations + 1 } else { 0 };
        let violations = state.violations;
        let actions = if over {
            self.throttle_or_evict(sample, tasks, violations, now)
        } else {
            self.raise_cpu_limits(sample, tasks, now)
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
        let cpu_limit_min = self.options.cpu_limit_min_percent;
        let mut excess = sample.latency_ratio - self.options.latency_ratio_target;
        let mut actions = Vec::new();
        for task in self.by_slope(sample, tasks) {
            if excess <= 0.0 {
                break;
            }
            if task.cpu_limit_percent <= cpu_limit_min {
                continue;
            }
            // A learned slope may be 0. The minimum avoids a division by zero, and a class with a
            // smaller slope is throttled as if it had this one.
            let slope = self.slope(sample, &task).max(0.02);
            let wanted = (excess / slope * 100.0).ceil() as u32;
            let percent = task
                .cpu_limit_percent
                .saturating_sub(wanted)
                .max(cpu_limit_min);
            let percent = self.round_down(percent).max(cpu_limit_min);
            excess -= slope * f64::from(task.cpu_limit_percent - percent) / 100.0;
            actions.push(Action::Throttle {
                task: task.key,
                percent,
            });
        }
        let should_evict =
            actions.is_empty() && violations >= self.options.violations_before_eviction;
        // Unless the tasks add noticeably to the ratio, the load of the service alone exceeds the
        // limit, and an eviction would not help.
        let worst = self.by_slope(sample, tasks).first().copied();
        if let Some(worst) =
            worst.filter(|_| should_evict && self.eviction_would_help(sample, tasks, now))
        {
            actions.push(Action::Evict { task: worst.key });
        }
        actions
    }

    /// Returns whether the tasks, at their current CPU limits, still add noticeably to the latency
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

    fn raise_cpu_limits(&self, sample: &Sample, tasks: &[Task], now: Instant) -> Vec<Action> {
        let mut planned: Vec<Task> = tasks.to_vec();
        let mut actions = Vec::new();
        let mut by_slope = self.by_slope(sample, tasks);
        by_slope.reverse();
        for task in by_slope
            .into_iter()
            .filter(|task| task.cpu_limit_percent < 100)
        {
            let percent = self.raise_cpu_limit(sample, &mut planned, task.key, now);
            if percent > task.cpu_limit_percent {
                actions.push(Action::Throttle {
                    task: task.key,
                    percent,
                });
            }
        }
        actions
    }

    /// Raises the CPU limit of one task in `planned`, step by step, while the upper bound of the
    /// latency ratio expected for `planned` stays within the target ratio. Returns the new limit,
    /// or 0 if the task is not in `planned`.
    fn raise_cpu_limit(
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
            let current = planned[at].cpu_limit_percent;
            if current >= 100 {
                return 100;
            }
            planned[at].cpu_limit_percent = (current + self.options.step_percent).min(100);
            let next = Sample {
                tasks: planned.to_vec(),
                ..sample.clone()
            };
            // Where the measured ratio exceeds its upper bound, the prediction is raised by the
            // difference.
            let underestimate =
                (sample.latency_ratio - self.estimates.upper_bound(sample, now)).max(0.0);
            if self.estimates.upper_bound(&next, now) + underestimate
                > self.options.latency_ratio_target
            {
                planned[at].cpu_limit_percent = current;
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
