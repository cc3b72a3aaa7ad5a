//! Failed runs and starts: whether the runner or the job is the cause, and what follows from it.

use super::{backoff::STABLE_RUN_TIME, place::could_take, Engine, Stage, State, Task};
use crate::{fleet::RunnerKey, TaskId};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Fewest runners on which a task must have failed for its job to count as the cause.
const FAILED_RUNNERS_LEAST: usize = 2;
/// Number of such runners that is enough however many there are.
const FAILED_RUNNERS_ENOUGH: usize = 6;
/// Most runners remembered on which a task has failed.
const FAILED_RUNNERS_MAX: usize = 16;
/// Most tasks of a step that are looked at to tell whether its tasks fail.
const COMPARED_TASKS_MAX: usize = 256;
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
    /// The runners, and when the last of them on each was.
    runners: Vec<(RunnerKey, Instant)>,
}

impl RecentFailures {
    fn add(&mut self, runner: RunnerKey, now: Instant) {
        self.count += 1;
        if let Some((_, at)) = self.runners.iter_mut().find(|it| it.0 == runner) {
            *at = now;
        } else if self.runners.len() < FAILED_RUNNERS_MAX {
            self.runners.push((runner, now));
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    pub(crate) fn has_any(&self) -> bool {
        self.count > 0
    }

    /// When the last of the failures on this runner was.
    pub(crate) fn last_on(&self, runner: RunnerKey) -> Option<Instant> {
        let mut runners = self.runners.iter();
        runners.find(|it| it.0 == runner).map(|&(_, at)| at)
    }

    fn runners(&self) -> impl Iterator<Item = RunnerKey> + '_ {
        self.runners.iter().map(|&(runner, _)| runner)
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
            task.recent_failures.add(key, now);
        }
        let failed_runners = self.failed_runners(id, now);
        let other_jobs = failed_runners
            .iter()
            .map(|&it| self.other_failed_jobs(it, id));
        let other_jobs = other_jobs.max().unwrap_or(0);
        let is_refuted = self.jobs.get(&id.job).is_some_and(|job| job.is_refuted);
        // If a runner is the cause, other jobs fail on it as well.
        let is_job = (is_refuted && self.other_failed_jobs(key, id) == 0)
            || (failed_runners.len() >= self.failed_runners_min(id)
                && failed_runners.len() - 1 > other_jobs);
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

    /// Number of jobs other than that of a task of which runs or starts failed on a runner.
    fn other_failed_jobs(&self, key: RunnerKey, id: TaskId) -> usize {
        let runner = self.runner(key);
        let answered_at = runner.last_report_at;
        runner.backoff.other_failed_jobs(id.job, answered_at)
    }

    /// Counts the success of a run of a task, which began at this time, for its runner. The jobs that
    /// had failed there before are the cause of their failures.
    pub(super) fn count_success(
        &mut self,
        key: RunnerKey,
        id: TaskId,
        began_at: Option<Instant>,
        now: Instant,
    ) {
        let refuted = self.runner_mut(key).backoff.run_succeeded(began_at, now);
        for job in refuted {
            if let Some(job) = self.jobs.get_mut(&job) {
                job.is_refuted = true;
            }
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.is_refuted = false;
        }
    }

    /// When a task that failed by this cause may be placed again; `None` for at once.
    pub(super) fn restart_at(&self, id: TaskId, cause: Cause, now: Instant) -> Option<Instant> {
        let failures = self.task(id).map_or(0, |task| task.recent_failures.count);
        let delay = RESTART_BACKOFF_STEP.saturating_mul(failures);
        (cause == Cause::Job).then(|| now + delay.min(RESTART_BACKOFF_MAX))
    }

    /// Lists the runners on which a task has failed, and those of the other tasks of its step if half
    /// of the started ones fail. Of a large step it looks at the tasks near this one.
    fn failed_runners(&self, id: TaskId, now: Instant) -> BTreeSet<RunnerKey> {
        let own = self.task(id).into_iter();
        let own = own.flat_map(|task| task.recent_failures.runners());
        let mut runners: BTreeSet<_> = own.collect();
        let Some(step) = self.step(id) else {
            return runners;
        };
        let before = usize::from(id.index).saturating_sub(COMPARED_TASKS_MAX / 2);
        let first = before.min(step.tasks.len().saturating_sub(COMPARED_TASKS_MAX));
        let near = step.tasks.iter().skip(first).take(COMPARED_TASKS_MAX);
        let started = near.filter(|task| task.run > 0);
        let (failing, sound): (Vec<_>, Vec<_>) = started.partition(|task| task.is_failing(now));
        if failing.len() >= sound.len() {
            let of_step = failing
                .iter()
                .flat_map(|task| task.recent_failures.runners());
            runners.extend(of_step);
        }
        runners
    }

    /// Returns whether a task may be kept off runners that others may be placed on.
    pub(super) fn is_kept_off_runners(&self, id: TaskId) -> bool {
        let has_failed = |task: &Task| task.recent_failures.has_any();
        let mut runners = self.runners.iter();
        self.task(id).is_some_and(has_failed)
            || runners.any(|runner| runner.backoff.keeps_off(id.job))
    }

    /// Number of runners on which a task must have failed for its job to count as the cause: more than
    /// half of those that could take it.
    fn failed_runners_min(&self, id: TaskId) -> usize {
        let Some((job, step)) = self.jobs.get(&id.job).zip(self.step_of(id)) else {
            return FAILED_RUNNERS_ENOUGH;
        };
        let runners = self.runners.iter();
        let able = runners.filter(|it| !it.is_closed() && could_take(job, step, it));
        let able = able.take(2 * FAILED_RUNNERS_ENOUGH).count();
        (able / 2 + 1).clamp(FAILED_RUNNERS_LEAST, FAILED_RUNNERS_ENOUGH)
    }
}

impl Task {
    /// Returns whether the task has failed, and neither succeeded nor been at work for long since.
    fn is_failing(&self, now: Instant) -> bool {
        let is_sound = match self.state() {
            State::Placed {
                stage: Stage::Running(since),
                ..
            } => now >= since + STABLE_RUN_TIME,
            State::Done => true,
            State::Placed { .. } | State::Waiting { .. } => false,
        };
        self.recent_failures.has_any() && !is_sound
    }
}
