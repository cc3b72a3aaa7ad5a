//! Tasks that may have crashed their runners, and when they are given up.

use super::{Engine, Stage, State};
use crate::{fleet::RunnerKey, Phase, RunnerState, TaskId};
use std::time::{Duration, Instant};

/// A run counts as new up to this age: a task that crashes its runners does so as it starts.
const NEW_RUN_AGE_MAX: Duration = Duration::from_millis(500);
/// Weight of a crash of which several new runs may be the cause, for each of them.
const SHARED_CRASH_WEIGHT: u32 = 1;
/// Weight of a crash of which only one new run may be the cause.
const SOLE_CRASH_WEIGHT: u32 = 2;
/// Weight of crashes from which on a task is given up, at least two.
const CRASH_WEIGHT_MAX: u32 = 3;
/// As [`CRASH_WEIGHT_MAX`], for a long-running task, at least three: with it a service ends that may
/// have run for long.
const LONG_RUNNING_CRASH_WEIGHT_MAX: u32 = 5;
/// Runners last heard within this time of each other may have been lost together; a report may be this
/// old.
const LOST_TOGETHER_MAX: Duration = Duration::from_secs(1);
/// How long a crash without a new run is remembered, longer than runners take to return.
const UNEXPLAINED_CRASH_MEMORY: Duration = Duration::from_secs(20);

/// The crash of a runner.
pub(super) struct Crash {
    runner: RunnerKey,
    /// When the runner was last heard.
    heard_at: Option<Instant>,
    /// The runs that may be its cause.
    pub(super) suspects: Vec<(TaskId, u32)>,
}

impl Engine {
    /// Lists the runs on a runner that this owner started, with the times.
    fn started_runs(&self, key: RunnerKey) -> Vec<((TaskId, u32), Instant)> {
        let claims = self.runner(key).claims.iter();
        // It is not known when runs of an earlier owner started.
        let own = claims.filter(|(_, claim)| !claim.is_of_earlier_owner());
        let started = own.filter_map(|(&(id, run), claim)| {
            let started_at = match self.stage_on(key, id, run)? {
                Stage::Committing(_) => return None,
                Stage::Running(since) => since,
                Stage::Ordered { .. }
                | Stage::Restored
                | Stage::Unconfirmed { .. }
                | Stage::Stopping { .. } => claim.placed_at,
            };
            Some(((id, run), started_at))
        });
        started.collect()
    }

    /// When a runner was last heard; the answer to a start counts.
    fn heard_at(&self, key: RunnerKey) -> Option<Instant> {
        let last_start = self.started_runs(key).iter().map(|it| it.1).max();
        self.runner(key).last_report_at.max(last_start)
    }

    /// Lists the runs that were new when their runner was last heard, unless it was about to leave.
    fn new_runs(&self, key: RunnerKey) -> Vec<(TaskId, u32)> {
        if self.runner(key).info.state == RunnerState::Draining {
            return Vec::new();
        }
        let heard_at = self.heard_at(key);
        let is_new = |at: Instant| heard_at.is_none_or(|heard| heard < at + NEW_RUN_AGE_MAX);
        let started = self.started_runs(key).into_iter();
        let new = started.filter(|it| is_new(it.1));
        new.map(|(run, _)| run).collect()
    }

    /// Notes that a runner did not answer. The records of the runs that were new then say so, in case
    /// that it has crashed and another owner learns of it.
    pub(super) fn note_silence(&mut self, key: RunnerKey) {
        if std::mem::replace(&mut self.runner_mut(key).has_missed_report, true) {
            return;
        }
        for (id, run) in self.new_runs(key) {
            if let Some(task) = self.task_mut(id) {
                task.new_when_silent = Some(run);
                self.mark_changed(id.job);
            }
        }
    }

    /// Notes that a runner is heard again and has not crashed.
    pub(super) fn end_silence(&mut self, key: RunnerKey) {
        let runner = self.runner_mut(key);
        if !runner.has_missed_report && runner.new_runs_given_up.is_empty() {
            return;
        }
        runner.new_runs_given_up.clear();
        let runs: Vec<_> = runner.claims.keys().copied().collect();
        for (id, run) in runs {
            let task = self.task_mut(id);
            if let Some(task) = task.filter(|it| it.new_when_silent == Some(run)) {
                task.new_when_silent = None;
                self.mark_changed(id.job);
            }
        }
    }

    /// Keeps the new runs of a runner whose runs are given up: it may turn out to have crashed.
    pub(super) fn keep_new_runs(&mut self, key: RunnerKey) {
        let new_runs = self.new_runs(key);
        self.runner_mut(key).new_runs_given_up = new_runs;
    }

    /// Describes the crash of a runner, before its runs are given up.
    pub(super) fn crash_of(&mut self, runner: RunnerKey) -> Crash {
        let heard_at = self.heard_at(runner);
        let mut suspects = std::mem::take(&mut self.runner_mut(runner).new_runs_given_up);
        suspects.extend(self.new_runs(runner));
        Crash {
            runner,
            heard_at,
            suspects,
        }
    }

    /// Handles the first report of a runner: those that were at its address before have ended, and
    /// so have their runs.
    pub(super) fn end_replaced_runners(
        &mut self,
        key: RunnerKey,
        incarnation_ms: u64,
        now: Instant,
    ) {
        let address = &self.runner(key).info.address;
        let is_replaced = |&other: &RunnerKey| {
            let runner = self.runner(other);
            let is_earlier = runner.incarnation_ms.is_some_and(|it| it < incarnation_ms);
            let is_same_address = !address.is_empty() && runner.info.address == *address;
            other != key && is_earlier && is_same_address && !runner.is_replaced
        };
        let keys = (0..self.runners.len()).map(|at| RunnerKey(at as u32));
        let replaced: Vec<_> = keys.filter(is_replaced).collect();
        for other in replaced {
            let runner = self.runner(other);
            log::warn!(
                "event=runner.replaced runner={} by={} runs={}",
                runner.info.id,
                self.runner(key).info.id,
                runner.claims.len()
            );
            let crash = self.crash_of(other);
            self.requeue_lost_runs(other, "replaced", |_, _| true, now);
            self.runner_mut(other).is_replaced = true;
            self.count_crash(&crash, now);
        }
    }

    /// Counts the crash of a runner for the tasks of which a run may be the cause, and gives up those
    /// under which too many have crashed.
    pub(super) fn count_crash(&mut self, crash: &Crash, now: Instant) {
        self.unexplained_crashes
            .retain(|&at| now < at + UNEXPLAINED_CRASH_MEMORY);
        let runner = self.runner(crash.runner);
        let weight = match crash.suspects[..] {
            [] => {
                let is_planned = runner.info.state == RunnerState::Draining;
                let heard_at = crash.heard_at.filter(|_| !is_planned);
                self.unexplained_crashes.extend(heard_at);
                return;
            }
            [_] => SOLE_CRASH_WEIGHT,
            _ => SHARED_CRASH_WEIGHT,
        };
        if self.is_common_loss(crash, now) {
            log::info!(
                "event=runner.common_loss runner={} suspects={}",
                runner.info.id,
                crash.suspects.len()
            );
            return;
        }
        for &(id, run) in &crash.suspects {
            if self.is_final(id) {
                continue;
            }
            let Some(task) = self.task_mut(id) else {
                continue;
            };
            task.crash_weight += weight;
            let crash_weight = task.crash_weight;
            let crash_weight_max = self.crash_weight_max(id);
            log::warn!(
                "event=run.crash task={id} run={run} runner={} suspects={} \
                 crash_weight={crash_weight} crash_weight_max={crash_weight_max}",
                self.runner(crash.runner).info.id,
                crash.suspects.len()
            );
            self.mark_changed(id.job);
            if crash_weight >= crash_weight_max {
                log::warn!("event=task.give_up task={id} reason=\"it crashes its runners\"");
                self.finish(id.job, Phase::Failed, now);
            }
        }
    }

    fn crash_weight_max(&self, id: TaskId) -> u32 {
        if self.step_of(id).is_some_and(|step| step.long_running) {
            LONG_RUNNING_CRASH_WEIGHT_MAX
        } else {
            CRASH_WEIGHT_MAX
        }
    }

    /// Returns whether another runner was lost at the same time on which no run was new: the cause is
    /// then most likely none of the runs.
    fn is_common_loss(&self, crash: &Crash, now: Instant) -> bool {
        let Some(heard_at) = crash.heard_at else {
            return false;
        };
        let is_near =
            |at: Instant| at < heard_at + LOST_TOGETHER_MAX && heard_at < at + LOST_TOGETHER_MAX;
        let is_lost_without_new_runs = |key: RunnerKey| {
            let runner = self.runner(key);
            let is_silent = |at: &Instant| now >= *at + self.report_age_max();
            let silent_since = runner.last_report_at.filter(is_silent);
            runner.has_missed_report
                && !runner.is_replaced
                && runner.info.state != RunnerState::Draining
                && silent_since.is_some_and(is_near)
                && runner.new_runs_given_up.is_empty()
                && self.new_runs(key).is_empty()
        };
        let keys = (0..self.runners.len()).map(|at| RunnerKey(at as u32));
        let mut others = keys.filter(|key| *key != crash.runner);
        self.unexplained_crashes.iter().any(|&at| is_near(at))
            || others.any(is_lost_without_new_runs)
    }

    /// Clears the suspected tasks whose runs were still there in a report once they were new no
    /// more.
    pub(super) fn clear_suspects(&mut self, key: RunnerKey, requested_at: Instant) {
        let suspects = self.runner(key).suspected_runs.clone();
        for (id, run) in suspects {
            let Some(Stage::Running(since)) = self.stage_on(key, id, run) else {
                continue;
            };
            if requested_at < since + NEW_RUN_AGE_MAX {
                continue;
            }
            if let Some(task) = self.task_mut(id) {
                task.crash_weight = 0;
            }
            log::info!("event=task.cleared task={id} run={run}");
            self.mark_changed(id.job);
            self.runner_mut(key).remove_suspected_run((id, run));
        }
    }

    /// Notes the runner of a run whose task may crash it.
    pub(super) fn note_suspected_run(&mut self, id: TaskId) {
        let Some(task) = self.task(id).filter(|it| it.is_suspected()) else {
            return;
        };
        let (run, is_sole) = (task.run, task.crash_weight >= SOLE_CRASH_WEIGHT);
        if let State::Placed { runner, .. } = task.state() {
            let runner = self.runner_mut(runner);
            runner.suspected_runs.insert((id, run));
            runner.has_sole_suspect |= is_sole;
        }
    }
}
