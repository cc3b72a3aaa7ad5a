//! The state of a task, and all that follows from it.

use super::{failure::RecentFailures, Engine, Job, Stage, State};
use crate::{
    fleet::{Claim, RunnerKey},
    JobId, TaskId, TaskRecord,
};
use std::time::Instant;

/// A task. Its state is changed by [`Engine::set_state`] and [`Engine::place_run`] alone.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    state: State,
    pub(crate) run: u32,
    /// Highest number of a run that may have started, as far as answers and reports tell.
    pub(crate) started_run: u32,
    pub(crate) failures: u32,
    /// Weight of the crashes of runners that the task may be the cause of, since a run of it was last
    /// known to do no harm.
    pub(crate) crash_weight: u32,
    /// The last run that was new when its runner fell silent.
    pub(crate) new_when_silent: Option<u32>,
    /// The last run that was given up because its runner was not heard in time.
    pub(crate) given_up_run: Option<u32>,
    /// The runner on which its last failed run, or that of its gang, was.
    pub(crate) failed_on: Option<RunnerKey>,
    pub(crate) recent_failures: RecentFailures,
    pub(crate) checkpoint: String,
    /// How often its runs have been evicted since its latest checkpoint.
    pub(crate) unsaved_evictions: u32,
}

impl Task {
    /// A task that has not run.
    pub(crate) fn new() -> Self {
        Self {
            state: State::Waiting { not_before: None },
            run: 0,
            started_run: 0,
            failures: 0,
            crash_weight: 0,
            new_when_silent: None,
            given_up_run: None,
            failed_on: None,
            recent_failures: RecentFailures::default(),
            checkpoint: String::new(),
            unsaved_evictions: 0,
        }
    }

    /// A task in this state, with what else its record holds.
    pub(crate) fn restored(state: State, record: &TaskRecord) -> Self {
        Self {
            state,
            run: record.run,
            started_run: record.run,
            failures: record.failures,
            crash_weight: record.crashes.weight,
            new_when_silent: record.crashes.silent_runner.as_ref().map(|_| record.run),
            checkpoint: record.checkpoint.clone(),
            ..Self::new()
        }
    }

    /// Returns whether the task may crash the runner that it starts on.
    pub(crate) fn is_suspected(&self) -> bool {
        self.crash_weight > 0
    }

    /// Records the latest checkpoint that a run reports; empty for none.
    pub(crate) fn note_checkpoint(&mut self, checkpoint: &str) {
        if !checkpoint.is_empty() && checkpoint != self.checkpoint {
            checkpoint.clone_into(&mut self.checkpoint);
            self.unsaved_evictions = 0;
        }
    }

    pub(crate) fn state(&self) -> State {
        self.state
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting { .. })
    }

    /// Returns whether the task waits and may be placed now.
    pub(crate) fn may_place(&self, now: Instant) -> bool {
        match self.state {
            State::Waiting { not_before } => not_before.is_none_or(|at| now >= at),
            State::Placed { .. } | State::Done => false,
        }
    }
}

impl State {
    /// The runner that holds a claim of the task.
    fn runner(self) -> Option<RunnerKey> {
        match self {
            Self::Placed { runner, .. } => Some(runner),
            Self::Waiting { .. } | Self::Done => None,
        }
    }

    /// Returns whether a record holds the same for both states of a run.
    fn is_recorded_as(self, other: Self) -> bool {
        match (self, other) {
            (Self::Waiting { .. }, Self::Waiting { .. }) | (Self::Done, Self::Done) => true,
            _ => self.runner().is_some() && self.runner() == other.runner(),
        }
    }

    /// Returns whether the run is known to have started.
    fn has_started(self) -> bool {
        match self {
            Self::Placed { stage, .. } => match stage {
                Stage::Running(_) => true,
                Stage::Stopping { start_answered, .. } => start_answered,
                Stage::Committing(_)
                | Stage::Ordered { .. }
                | Stage::Restored
                | Stage::Unconfirmed { .. } => false,
            },
            Self::Waiting { .. } | Self::Done => false,
        }
    }

    /// Returns whether the run is on its way: it is placed, and its start is not answered.
    fn is_on_its_way(self) -> bool {
        match self {
            Self::Placed { stage, .. } => match stage {
                Stage::Committing(_) | Stage::Ordered { .. } => true,
                Stage::Restored
                | Stage::Running(_)
                | Stage::Unconfirmed { .. }
                | Stage::Stopping { .. } => false,
            },
            Self::Waiting { .. } | Self::Done => false,
        }
    }

    /// When the run is known to have started.
    fn running_since(self) -> Option<Instant> {
        match self {
            Self::Placed {
                stage: Stage::Running(since),
                ..
            } => Some(since),
            Self::Placed { .. } | Self::Waiting { .. } | Self::Done => None,
        }
    }

    /// Returns whether the run must be settled by time if neither an answer nor a report does.
    fn is_unsettled(self) -> bool {
        match self {
            Self::Placed { stage, .. } => match stage {
                Stage::Ordered { .. } | Stage::Unconfirmed { .. } | Stage::Stopping { .. } => true,
                Stage::Committing(_) | Stage::Restored | Stage::Running(_) => false,
            },
            Self::Waiting { .. } | Self::Done => false,
        }
    }
}

impl Engine {
    /// Sets the state of a task, except that of a new run, see [`Self::place_run`]. Updates all
    /// that follows from it: the ready queue, the claim on the runner, the runs to settle, the
    /// number of tasks done, and the version to commit.
    pub(super) fn set_state(&mut self, id: TaskId, state: State) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        let (run, old) = (task.run, std::mem::replace(&mut task.state, state));
        if state.has_started() {
            self.note_started(id, run);
        }
        if let Some(runner) = old.runner().filter(|&it| state.runner() != Some(it)) {
            self.runner_mut(runner).release(id, run);
        }
        if state.is_unsettled() {
            self.unsettled_runs.insert((id, run));
        } else {
            self.unsettled_runs.remove(&(id, run));
        }
        if !state.is_recorded_as(old) {
            self.mark_changed(id.job);
        }
        self.count_placed(id, old, state);
        self.count_done(id, old, state);
        self.update_ready(id);
        debug_assert!(
            state
                .runner()
                .is_none_or(|runner| self.runner(runner).claims.contains_key(&(id, run))),
            "{id} has no claim on its runner"
        );
    }

    /// Notes that a run has started. A success of an earlier one that is heard of later counts no
    /// more.
    pub(super) fn note_started(&mut self, id: TaskId, run: u32) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        task.started_run = run.max(task.started_run);
        if run == task.run {
            self.forget_late_ends(id);
        }
    }

    /// Sets the stage of a placed task.
    pub(super) fn set_stage(&mut self, id: TaskId, stage: Stage) {
        if let Some(State::Placed { runner, .. }) = self.task(id).map(Task::state) {
            self.set_state(id, State::Placed { runner, stage });
        }
    }

    /// Places a waiting task with a new run, which starts once the placement is committed.
    pub(super) fn place_run(&mut self, id: TaskId, run: u32, runner: RunnerKey, claim: Claim) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        task.run = run;
        self.runner_mut(runner).claim(id, run, claim);
        // The change of the state makes this version.
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let version = job.version + 1;
        job.committing.push_back((version, id));
        let stage = Stage::Committing(version);
        self.set_state(id, State::Placed { runner, stage });
    }

    /// Marks a change of a job that must be committed to the store.
    pub(super) fn mark_changed(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.version += 1;
            self.dirty.insert(id);
        }
    }

    /// Adds a task to the ready queue if it can be placed, else removes it.
    pub(super) fn update_ready(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let rank = job.rank(id);
        if !is_ready(job, id) {
            self.ready.remove(&rank);
            self.restarts.remove(&rank);
            return;
        }
        self.ready.insert(rank);
        let is_long_running = job.spec.steps[usize::from(id.step)].long_running;
        if is_long_running && self.task(id).is_some_and(|task| task.run > 0) {
            self.restarts.insert(rank);
        }
    }

    /// Updates the numbers of placed runs.
    fn count_placed(&mut self, id: TaskId, old: State, state: State) {
        match (old.is_on_its_way(), state.is_on_its_way()) {
            (false, true) => self.start_window.run_placed(),
            (true, false) => self.start_window.run_settled(state.running_since()),
            _ => {}
        }
        let (was_placed, is_placed) = (old.runner().is_some(), state.runner().is_some());
        let Some(job) = self
            .jobs
            .get_mut(&id.job)
            .filter(|_| was_placed != is_placed)
        else {
            return;
        };
        let is_long_running = job.spec.steps[usize::from(id.step)].long_running;
        let placed = job.placed_batch_tasks.get_mut(id.occurrence as usize);
        if let Some(placed) = placed.filter(|_| !is_long_running) {
            *placed = if is_placed {
                *placed + 1
            } else {
                placed.saturating_sub(1)
            };
        }
    }

    fn count_done(&mut self, id: TaskId, old: State, state: State) {
        if old == State::Done || state != State::Done {
            return;
        }
        let Some(step) = self.step_mut(id) else {
            return;
        };
        step.done += 1;
        if !step.is_done() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.done_steps += 1;
        }
    }

    /// The task if `run` is its latest run and is placed on a runner; with the runner and stage.
    pub(super) fn placement(&self, id: TaskId, run: u32) -> Option<(RunnerKey, Stage)> {
        let task = self.task(id).filter(|task| task.run == run)?;
        match task.state {
            State::Placed { runner, stage } => Some((runner, stage)),
            State::Waiting { .. } | State::Done => None,
        }
    }

    /// Returns the stage of a run if it is the latest of its task and placed on `runner`.
    pub(super) fn stage_on(&self, runner: RunnerKey, id: TaskId, run: u32) -> Option<Stage> {
        let placement = self.placement(id, run);
        placement.filter(|it| it.0 == runner).map(|it| it.1)
    }

    /// Requeues a task whose run has ended or never started. The other members of a gang can't go
    /// on without it, so their runs end as well.
    pub(crate) fn requeue(
        &mut self,
        id: TaskId,
        run: u32,
        not_before: Option<Instant>,
        now: Instant,
    ) {
        if self.placement(id, run).is_none() {
            return;
        }
        self.set_state(id, State::Waiting { not_before });
        for member in self.other_members(id, run) {
            self.release_or_stop(member, now);
        }
    }

    /// Ends a task's run: releases the placement if its start was not ordered yet, else orders a
    /// stop.
    pub(super) fn end_run(&mut self, id: TaskId, now: Instant) {
        let Some(run) = self.task(id).map(|task| task.run) else {
            return;
        };
        if self.release_or_stop(id, now) {
            for member in self.other_members(id, run) {
                self.release_or_stop(member, now);
            }
        }
    }

    /// Ends a task's run like [`Self::end_run`], without regard to its gang. Returns whether the
    /// placement was released.
    pub(super) fn release_or_stop(&mut self, id: TaskId, now: Instant) -> bool {
        let Some(State::Placed { runner, stage }) = self.task(id).map(Task::state) else {
            return false;
        };
        match stage {
            Stage::Committing(_) => {
                self.set_state(id, State::Waiting { not_before: None });
                return true;
            }
            Stage::Stopping { .. } => {}
            Stage::Ordered { .. }
            | Stage::Restored
            | Stage::Running(_)
            | Stage::Unconfirmed { .. } => {
                self.set_stage(id, Stage::stopping(!stage.is_start_unanswered(), now));
                let run = self.task(id).map_or(0, |task| task.run);
                self.order_stop(runner, id, run);
            }
        }
        false
    }

    /// Lists the other tasks that take part in a run of a gang.
    pub(super) fn other_members(&self, id: TaskId, run: u32) -> Vec<TaskId> {
        let Some(step) = self.step(id).filter(|_| self.is_gang(id)) else {
            return Vec::new();
        };
        let members = step.tasks.iter().enumerate();
        let members = members.map(|(index, task)| (index as u16, task.run));
        members
            .filter(|&(index, number)| index != id.index && number == run)
            .map(|(index, _)| TaskId { index, ..id })
            .collect()
    }

    pub(super) fn is_gang(&self, id: TaskId) -> bool {
        self.step_of(id).is_some_and(|step| step.gang)
    }
}

/// Returns whether a task waits and its turn has come.
fn is_ready(job: &Job, id: TaskId) -> bool {
    let step = job.step(id);
    let Some(step) = step.filter(|step| step.open && !job.phase.is_final()) else {
        return false;
    };
    let task = step.tasks.get(usize::from(id.index));
    task.is_some_and(Task::is_waiting)
}
