//! Ends of runs that were given up because their runner was not heard in time.

use super::{Engine, Stage, State, Task};
use crate::{
    fleet::{RunnerKey, NEVER_COMMITTED},
    End, EndKind, Phase, StepSpec, TaskId,
};
use std::time::Instant;

/// The end of a run that succeeded after it was given up, while a newer run may exist.
#[derive(Debug, Clone, Copy)]
pub(super) struct LateEnd {
    runner: RunnerKey,
    number: u64,
    run: u32,
}

impl Engine {
    /// Allows ends to be acknowledged that precede the expiry of a run's lease: they count no more.
    /// Returns whether there are any.
    pub(super) fn invalidate_ends(&mut self, key: RunnerKey, last_lapse: u64) -> bool {
        self.late_ends.retain(|_, late_ends| {
            late_ends.retain(|it| it.runner != key || it.number > last_lapse);
            !late_ends.is_empty()
        });
        let mut has_any = false;
        for end in &mut self.runner_mut(key).pending_ends {
            if end.number < last_lapse && end.version == NEVER_COMMITTED {
                end.version = 0;
                has_any = true;
            }
        }
        has_any
    }

    /// Handles the end of a run that is not the one in the records, most likely one that was given up
    /// because its runner was not heard in time. Returns `false` if the end must not be acknowledged.
    pub(super) fn accept_late_end(&mut self, key: RunnerKey, end: &End, now: Instant) -> bool {
        let is_long_running = |step: &StepSpec| step.long_running;
        if self.step_of(end.task).is_none_or(is_long_running) {
            return true;
        }
        match end.kind {
            EndKind::Done => self.accept_late_success(key, end, now),
            EndKind::Failed => self.accept_late_failure(key, end, now),
            EndKind::Cut | EndKind::Lapsed => true,
        }
    }

    /// Takes a task, and its gang, for done whose run was given up and had succeeded. Returns `false`
    /// if another run was ordered or has started since, which decides for itself.
    fn accept_late_success(&mut self, key: RunnerKey, end: &End, now: Instant) -> bool {
        let id = end.task;
        if self.is_past(id, end.run) {
            return false;
        }
        let is_done = self.task(id).is_some_and(|it| it.state() == State::Done);
        if !is_done && !self.is_final(id) {
            self.complete_late(id, key, end.run, now);
        }
        true
    }

    /// Counts a failed run that was given up. Returns `false` if it was the last attempt and another
    /// run was ordered or has started since. An earlier owner may have counted a run that this one did
    /// not give up itself.
    fn accept_late_failure(&mut self, key: RunnerKey, end: &End, now: Instant) -> bool {
        let id = end.task;
        let attempts_max = self.jobs.get(&id.job).map_or(0, |job| job.attempts_max);
        let is_past = self.is_past(id, end.run);
        let given_up = self.task_mut(id);
        let Some(task) = given_up.filter(|task| task.given_up_run == Some(end.run)) else {
            return true;
        };
        let failures = task.failures + 1;
        let attempts_exhausted = failures >= attempts_max;
        if attempts_exhausted && is_past {
            return false;
        }
        task.failures = failures;
        task.given_up_run = None;
        log::info!(
            "event=run.late_fail task={id} run={} runner={} failures={failures} \
             attempts_max={attempts_max}",
            end.run,
            self.runner(key).info.id
        );
        self.mark_changed(id.job);
        if attempts_exhausted && !self.is_final(id) {
            self.finish(id.job, Phase::Failed, now);
        }
        true
    }

    /// Returns whether the end of this run of a task, or of its gang, comes too late to count.
    fn is_past(&self, id: TaskId, run: u32) -> bool {
        let members = self.tasks_of_run(id);
        let mut tasks = members.iter().map(|&id| self.task(id));
        tasks.any(|task| task.is_none_or(|it| it.is_past(run)))
    }

    /// Takes a task, and its gang, for done by a run on this runner that was given up.
    fn complete_late(&mut self, id: TaskId, key: RunnerKey, run: u32, now: Instant) {
        log::info!(
            "event=run.late_end task={id} run={run} runner={}",
            self.runner(key).info.id
        );
        self.mark_has_run(id);
        for id in self.tasks_of_run(id) {
            self.set_state(id, State::Done);
            // The run that the ends of the other members belong to.
            if let Some(task) = self.task_mut(id) {
                task.run = run;
            }
        }
        self.advance(id, now);
    }

    /// Remembers the success of a run that was given up, while it is not known whether the run that was
    /// ordered since exists.
    pub(super) fn remember_late_end(&mut self, key: RunnerKey, end: &End) {
        if end.kind != EndKind::Done {
            return;
        }
        let members = self.tasks_of_run(end.task);
        let mut tasks = members.iter().filter_map(|&id| self.task(id));
        if tasks.all(|task| task.may_have_ended_in(end.run)) {
            let late_end = LateEnd {
                runner: key,
                number: end.number,
                run: end.run,
            };
            let key = self.late_ends_key(end.task);
            self.late_ends.entry(key).or_default().push(late_end);
        }
    }

    /// Forgets the ends of earlier runs of a task, and of its gang, that were given up: a newer run
    /// has started.
    pub(super) fn forget_late_ends(&mut self, id: TaskId) {
        self.late_ends.remove(&self.late_ends_key(id));
    }

    /// Takes a task, and its gang, for done whose latest run never existed, if an earlier one is
    /// known to have succeeded.
    pub(super) fn settle_late_end(&mut self, id: TaskId, now: Instant) {
        let members = self.tasks_of_run(id);
        let mut tasks = members.iter().filter_map(|&id| self.task(id));
        if !tasks.all(Task::is_waiting) {
            return;
        }
        let Some(late_ends) = self.late_ends.remove(&self.late_ends_key(id)) else {
            return;
        };
        // Only the latest run that succeeded is known to be followed by none.
        let Some(&latest) = late_ends.iter().max_by_key(|it| it.run) else {
            return;
        };
        if self.is_final(id) {
            return;
        }
        self.complete_late(id, latest.runner, latest.run, now);
        let version = self.jobs.get(&id.job).map_or(0, |job| job.version);
        for late_end in late_ends.iter().filter(|it| it.run == latest.run) {
            let ends = self.runner_mut(late_end.runner).pending_ends.iter_mut();
            for end in ends.filter(|end| end.number == late_end.number) {
                end.version = version;
            }
        }
    }

    /// The task by which late ends are kept: the first member of a gang, else the task itself.
    fn late_ends_key(&self, id: TaskId) -> TaskId {
        let index = if self.is_gang(id) { 0 } else { id.index };
        TaskId { index, ..id }
    }

    /// Lists the tasks that one end represents: the members of a gang, else the task itself.
    fn tasks_of_run(&self, id: TaskId) -> Vec<TaskId> {
        match self.step(id).filter(|_| self.is_gang(id)) {
            Some(step) => {
                let indexes = 0..step.tasks.len() as u16;
                indexes.map(|index| TaskId { index, ..id }).collect()
            }
            None => vec![id],
        }
    }
}

impl Task {
    /// Returns whether the end of this run comes too late to count: a newer one was ordered or has
    /// started, or another one is done.
    fn is_past(&self, run: u32) -> bool {
        let is_superseded = match self.state() {
            State::Waiting { .. } => false,
            State::Placed { stage, .. } => {
                self.run != run && !matches!(stage, Stage::Committing(_))
            }
            State::Done => self.run != run,
        };
        is_superseded || !self.may_have_ended_in(run)
    }

    /// Returns whether no newer run than this one has started.
    fn may_have_ended_in(&self, run: u32) -> bool {
        run <= self.run && self.started_run <= run
    }
}
