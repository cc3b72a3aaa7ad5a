//! A runner that is given no best-effort tasks until a task which lacks their memory has room.

use super::{
    place::{is_eligible, Pass},
    Engine, Task,
};
use crate::{
    fleet::{Claim, Runner, RunnerKey},
    TaskId,
};
use persimmon_types::Size;
use std::time::{Duration, Instant};

/// Longest time for which a runner is kept free, and shortest until another one is: best-effort tasks
/// may run for longer.
const KEPT_FREE_MAX: Duration = Duration::from_secs(10);

/// The runner that was last kept free.
#[derive(Debug, Clone, Copy)]
pub(super) struct KeptFree {
    runner: RunnerKey,
    task: TaskId,
    since: Instant,
}

impl Engine {
    /// Keeps a runner free for a task that fits nowhere if it would fit there without best-effort
    /// tasks. These reserve no processors, so it is their memory or accelerators that it lacks.
    /// Only the first such task of a pass is considered.
    pub(super) fn keep_runner_free(
        &mut self,
        id: TaskId,
        claim: &Claim,
        pass: &mut Pass,
        now: Instant,
    ) {
        if std::mem::replace(&mut pass.has_sought_runner, true) {
            return;
        }
        let is_due = |it: KeptFree| now >= it.since + 2 * KEPT_FREE_MAX;
        let is_waiting = |it: KeptFree| self.task(it.task).is_some_and(Task::is_waiting);
        if self
            .kept_free
            .is_some_and(|it| is_waiting(it) && !is_due(it))
        {
            return;
        }
        let Some((job, step)) = self.jobs.get(&id.job).zip(self.step_of(id)) else {
            return;
        };
        let runners = self.runners.iter().enumerate();
        let fitting = runners.filter(|(_, runner)| {
            runner.info.service == job.service
                && self.is_schedulable(runner, now)
                && is_eligible(step, runner)
                && !claim.size.fits(runner.free_capacity())
                && claim.size.fits(capacity_beside_best_effort(runner))
        });
        let most_free = fitting.max_by_key(|(_, runner)| runner.free_capacity().memory_mib);
        let Some((at, runner)) = most_free else {
            return;
        };
        log::info!(
            "event=runner.keep_free task={id} runner={} free=\"{}\" demand=\"{}\"",
            runner.info.id,
            runner.free_capacity(),
            claim.size
        );
        self.kept_free = Some(KeptFree {
            runner: RunnerKey(at as u32),
            task: id,
            since: now,
        });
    }

    /// Returns whether a runner is kept free of best-effort tasks.
    pub(super) fn is_kept_free(&self, key: RunnerKey, now: Instant) -> bool {
        self.kept_free.is_some_and(|it| {
            it.runner == key
                && now < it.since + KEPT_FREE_MAX
                && self.task(it.task).is_some_and(Task::is_waiting)
                && !self.is_final(it.task)
        })
    }
}

/// What would be free on a runner without its best-effort runs.
fn capacity_beside_best_effort(runner: &Runner) -> Size {
    let best_effort = |claim: &&Claim| claim.best_effort_cpu_millis > 0;
    let claims = runner.claims.values().filter(best_effort);
    let others = claims.fold(runner.used, |used, claim| used.saturating_sub(claim.size));
    runner.info.capacity.saturating_sub(others)
}
