//! Failed runs and starts: whether the runner or the job is the cause, and what follows from it.

use super::{backoff::STABLE_RUN_TIME, place::is_eligible, Engine, Stage, State, Task};
use crate::{fleet::RunnerKey, TaskId};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Runners on which a task must have failed for its job to count as the cause.
const FAILED_RUNNERS_MIN: usize = 3;
/// As [`FAILED_RUNNERS_MIN`], where no other runner could take the task.
const FAILED_RUNNERS_MIN_OF_FEW: usize = 2;
/// Most runners remembered on which a task has failed.
const FAILED_RUNNERS_MAX: usize = 16;
/// Delay before a task that failed by its own fault is placed again, multiplied by its number of
/// failures.
const RESTART_BACKOFF_STEP: Duration = Duration::from_millis(300);
/// Longest delay before a task that failed by its own fault is placed again. A long-running one counts
/// as lost 9 s after its last run.
const RESTART_BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Failures of a task since one of its runs was last sound.
#[derive(Debug, Clone, Default)]
pub(crate) struct RecentFailures {
    count: u32,
    runners: Vec<RunnerKey>,
}

impl RecentFailures {
    fn add(&mut self, runner: RunnerKey) {
        self.count += 1;
        if self.runners.len() < FAILED_RUNNERS_MAX && !self.runners.contains(&runner) {
            self.runners.push(runner);
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns whether one of the failures was on this runner.
    pub(crate) fn were_on(&self, runner: RunnerKey) -> bool {
        self.runners.contains(&runner)
    }
}

/// What failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failed {
    /// A run.
    Run,
    /// A start, which was refused or not answered.
    Start,
}

/// What a failure is put down to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Cause {
    Runner,
    Job,
}

impl Engine {
    /// Counts a failed run or start against its runner, unless its job is the cause.
    pub(super) fn count_failure(
        &mut self,
        key: RunnerKey,
        (id, run): (TaskId, u32),
        failed: Failed,
        now: Instant,
    ) -> Cause {
        if let Some(task) = self.task_mut(id) {
            task.recent_failures.add(key);
        }
        let failed_runners = self.failed_runners(id, now);
        let runner = self.runner_mut(key);
        let answered_at = runner.last_report_at;
        let other_jobs = runner.backoff.other_failed_jobs(id.job, answered_at);
        // What one job does to this runner, other jobs do as well if the runner is the cause.
        let is_job = failed_runners.len() >= self.failed_runners_min(id)
            && failed_runners.len() - 1 > other_jobs;
        let cause = if is_job { Cause::Job } else { Cause::Runner };
        log::info!(
            "event=failure.count task={id} run={run} runner={} failed={failed:?} cause={cause:?} \
             failed_runners={} other_jobs={other_jobs}",
            self.runner(key).info.id,
            failed_runners.len()
        );
        match cause {
            Cause::Job => {
                for runner in failed_runners {
                    self.runner_mut(runner).backoff.forget_job(id.job);
                }
            }
            Cause::Runner => self.back_off_runner(key, id.job, failed, now),
        }
        cause
    }

    /// When a task that failed by this cause may be placed again; `None` for at once.
    pub(super) fn restart_at(&self, id: TaskId, cause: Cause, now: Instant) -> Option<Instant> {
        let failures = self.task(id).map_or(0, |task| task.recent_failures.count);
        let delay = RESTART_BACKOFF_STEP.saturating_mul(failures);
        (cause == Cause::Job).then(|| now + delay.min(RESTART_BACKOFF_MAX))
    }

    /// Lists the runners on which a task has failed, and those of the other tasks of its step if half
    /// of the started ones fail.
    fn failed_runners(&self, id: TaskId, now: Instant) -> BTreeSet<RunnerKey> {
        let own = self.task(id).into_iter();
        let own = own.flat_map(|task| &task.recent_failures.runners);
        let mut runners: BTreeSet<_> = own.copied().collect();
        let Some(step) = self.step(id) else {
            return runners;
        };
        let started = step.tasks.iter().filter(|task| task.run > 0);
        let (failing, sound): (Vec<_>, Vec<_>) = started.partition(|task| task.is_failing(now));
        if failing.len() >= sound.len() {
            let of_step = failing
                .iter()
                .flat_map(|task| &task.recent_failures.runners);
            runners.extend(of_step);
        }
        runners
    }

    /// Number of runners on which a task must have failed for its job to count as the cause.
    fn failed_runners_min(&self, id: TaskId) -> usize {
        let Some((job, step)) = self.jobs.get(&id.job).zip(self.step_of(id)) else {
            return FAILED_RUNNERS_MIN;
        };
        let could_take = self.runners.iter().filter(|runner| {
            runner.info.service == job.service
                && !runner.is_leaving()
                && is_eligible(step, runner)
                && step.claim().fits(runner.info.capacity)
        });
        let could_take = could_take.take(FAILED_RUNNERS_MIN).count();
        could_take.max(FAILED_RUNNERS_MIN_OF_FEW)
    }
}

impl Task {
    /// Returns whether the task has failed and not been at work for long since.
    fn is_failing(&self, now: Instant) -> bool {
        let is_stable = match self.state() {
            State::Placed {
                stage: Stage::Running(since),
                ..
            } => now >= since + STABLE_RUN_TIME,
            State::Placed { .. } | State::Waiting { .. } | State::Done => false,
        };
        self.recent_failures.count > 0 && !is_stable
    }
}
