//! Tasks that have not run for long although nothing seems to prevent it.

use super::{place::satisfies_constraints, Engine, Job, Stage, State, Step};
use crate::{fleet::Runner, RunnerState, TaskId};
use std::{
    collections::HashMap,
    fmt,
    time::{Duration, Instant},
};

/// When each task that does not run was first seen so, with the number of its latest run.
pub(super) type IdleTasks = HashMap<TaskId, (u32, Instant)>;

/// A task whose turn has come and that has not run for long.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stalled {
    /// The task.
    pub task: TaskId,
    /// Number of its latest run; 0 before the first.
    pub run: u32,
    /// For how long it is known not to have run.
    pub idle: Duration,
    /// Whether a change of its job is not committed yet.
    pub uncommitted: bool,
    /// What it waits for.
    pub cause: StallCause,
}

/// What a stalled task waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StallCause {
    /// It waits, but is not in the ready queue.
    NotQueued,
    /// It is in the ready queue. The fields count the ready runners with free capacity for it.
    NotPlaced {
        /// Runners that may be given new tasks.
        schedulable: usize,
        /// Runners that are backed off from or refused such a demand.
        backing_off: usize,
        /// Runners without a recent report.
        silent: usize,
    },
    /// It was placed and does not run.
    NotRunning {
        /// Id of the runner.
        runner: String,
        /// Whether the instance list contains the runner.
        listed: bool,
        /// Stage of the placement.
        stage: &'static str,
    },
}

impl fmt::Display for Stalled {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (task, run, idle_ms) = (self.task, self.run, self.idle.as_millis());
        let uncommitted = self.uncommitted;
        write!(
            out,
            "task={task} run={run} idle_ms={idle_ms} uncommitted={uncommitted} {}",
            self.cause
        )
    }
}

impl fmt::Display for StallCause {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotQueued => out.write_str("cause=not_queued"),
            Self::NotPlaced {
                schedulable,
                backing_off,
                silent,
            } => write!(
                out,
                "cause=not_placed schedulable={schedulable} backing_off={backing_off} silent={silent}"
            ),
            Self::NotRunning {
                runner,
                listed,
                stage,
            } => write!(
                out,
                "cause=not_running runner={runner} listed={listed} stage={stage}"
            ),
        }
    }
}

impl Engine {
    /// Lists tasks whose turn has come and that have not run for at least `min`, as far as earlier
    /// calls saw. A queued task is listed only if a ready runner has free capacity for it;
    /// best-effort tasks are not listed, as capacity alone does not decide about them.
    pub fn stalled(&mut self, min: Duration, now: Instant) -> Vec<Stalled> {
        let idle = self.idle_tasks();
        let mut seen = std::mem::take(&mut self.idle_tasks);
        seen.retain(|id, (run, _)| idle.get(id) == Some(run));
        for (id, run) in idle {
            seen.entry(id).or_insert((run, now));
        }
        let long_idle = seen.iter().filter(|(_, &(_, since))| now >= since + min);
        let stalled = long_idle.filter_map(|(&id, &(run, since))| {
            let job = self.jobs.get(&id.job)?;
            Some(Stalled {
                task: id,
                run,
                idle: now - since,
                uncommitted: job.version > job.committed_version,
                cause: self.stall_cause(job, id, now)?,
            })
        });
        let stalled = stalled.collect();
        self.idle_tasks = seen;
        stalled
    }

    /// Tasks of open steps that neither run nor are done, with their run.
    fn idle_tasks(&self) -> HashMap<TaskId, u32> {
        let mut idle = HashMap::new();
        for (&id, job) in self.jobs.iter().filter(|(_, job)| !job.phase.is_final()) {
            for (occurrence, steps) in job.tasks.iter().enumerate() {
                for (step, state) in steps.iter().enumerate() {
                    let task_id = |index| TaskId {
                        job: id,
                        occurrence: occurrence as u32,
                        step: step as u16,
                        index,
                    };
                    if !job.spec.steps[step].best_effort {
                        idle.extend(idle_tasks_of(state).map(|(at, run)| (task_id(at), run)));
                    }
                }
            }
        }
        idle
    }

    fn stall_cause(&self, job: &Job, id: TaskId, now: Instant) -> Option<StallCause> {
        match self.task(id)?.state() {
            State::Waiting { .. } if !self.ready.contains(&job.rank(id)) => {
                Some(StallCause::NotQueued)
            }
            State::Waiting { .. } => self.not_placed(job, id, now),
            State::Placed { runner, stage } => {
                let runner = self.runner(runner);
                Some(StallCause::NotRunning {
                    runner: runner.info.id.clone(),
                    listed: runner.listed,
                    stage: stage.name(),
                })
            }
            State::Done => None,
        }
    }

    /// Counts the ready runners with free capacity for a task; `None` if there are none.
    fn not_placed(&self, job: &Job, id: TaskId, now: Instant) -> Option<StallCause> {
        let step = &job.spec.steps[usize::from(id.step)];
        let siblings = self.siblings(id);
        let fits = |(at, runner): &(usize, &Runner)| {
            let key = crate::fleet::RunnerKey(*at as u32);
            let sibling_count = siblings.get(&key).copied().unwrap_or(0);
            runner.listed
                && runner.info.state == RunnerState::Ready
                && runner.info.service == job.service
                && satisfies_constraints(step, runner, sibling_count)
        };
        let (mut schedulable, mut backing_off, mut silent) = (0, 0, 0);
        for (_, runner) in self.runners.iter().enumerate().filter(fits) {
            let admits = runner.backoff.admits(step.claim(), now);
            if self.is_schedulable(runner, now) && admits {
                schedulable += 1;
            } else if !runner.backoff.is_over(now) || !admits {
                backing_off += 1;
            } else {
                silent += 1;
            }
        }
        (schedulable + backing_off + silent > 0).then_some(StallCause::NotPlaced {
            schedulable,
            backing_off,
            silent,
        })
    }
}

/// Lists index and run of the tasks of a step that neither run nor are done.
fn idle_tasks_of(step: &Step) -> impl Iterator<Item = (u16, u32)> + '_ {
    let is_idle = |state: State| match state {
        State::Placed { stage, .. } => !matches!(stage, Stage::Running(_)),
        State::Waiting { .. } => true,
        State::Done => false,
    };
    let tasks = step.tasks.iter().enumerate().filter(|_| step.open);
    tasks
        .filter(move |(_, task)| is_idle(task.state()))
        .map(|(index, task)| (index as u16, task.run))
}
