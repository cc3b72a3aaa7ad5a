//! Tasks that have not run for long although nothing seems to prevent it.

use super::{
    place::{idle_cpu_millis, satisfies_constraints, Admission},
    work::Work,
    Engine, Job, Stage, State, Step,
};
use crate::{
    fleet::{Claim, Runner},
    TaskId,
};
use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::{Duration, Instant},
};

/// Tasks that did not run when last looked at.
pub(super) type IdleTasks = BTreeMap<TaskId, Idle>;

/// Maximum number of queued tasks for which runners with free capacity are sought in one call.
const SEARCHES_MAX: usize = 64;

/// Most tasks of a step, and of all, that are looked at. They are alike, and the tasks of all jobs may be
/// more than the memory holds twice.
const STEP_TASKS_MAX: usize = 16;
const TASKS_MAX: usize = 10_000;

/// A task that does not run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Idle {
    /// Number of its latest run.
    run: u32,
    /// When it was first seen not to run.
    since: Instant,
    /// Whether it was queued while a runner had free capacity for it.
    had_room: bool,
}

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
        /// Runners that a best-effort task is kept off for its interference.
        interfering: usize,
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
                interfering,
                backing_off,
                silent,
            } => write!(
                out,
                "cause=not_placed schedulable={schedulable} interfering={interfering} \
                 backing_off={backing_off} silent={silent}"
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
    /// calls saw. A queued task is listed only if a ready runner has free capacity for it in two
    /// calls in a row, which for a best-effort task includes idle processors.
    pub fn stalled(&mut self, min: Duration, now: Instant) -> Vec<Stalled> {
        let idle = self.idle_tasks();
        let mut seen = std::mem::take(&mut self.idle_tasks);
        seen.retain(|id, it| idle.get(id) == Some(&it.run));
        for (id, run) in idle {
            seen.entry(id).or_insert(Idle {
                run,
                since: now,
                had_room: false,
            });
        }
        let mut stalled = Vec::new();
        let mut searches_left = SEARCHES_MAX;
        for (&id, it) in seen.iter_mut().filter(|(_, it)| now >= it.since + min) {
            let cause = self.stall_cause(id, &mut searches_left, now);
            let had_room = it.had_room;
            it.had_room = matches!(cause, Some(StallCause::NotPlaced { .. }));
            if let Some(cause) = cause.filter(|_| had_room || !it.had_room) {
                stalled.push(self.describe(id, it, cause, now));
            }
        }
        self.idle_tasks = seen;
        stalled
    }

    fn describe(&self, id: TaskId, idle: &Idle, cause: StallCause, now: Instant) -> Stalled {
        let is_uncommitted = |job: &Job| job.version > job.committed_version;
        Stalled {
            task: id,
            run: idle.run,
            idle: now.saturating_duration_since(idle.since),
            uncommitted: self.jobs.get(&id.job).is_some_and(is_uncommitted),
            cause,
        }
    }

    /// Tasks of open steps that neither run nor are done, with their run, up to [`TASKS_MAX`].
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
                    let of_step = idle_tasks_of(state).take(STEP_TASKS_MAX);
                    idle.extend(of_step.map(|(at, run)| (task_id(at), run)));
                    if idle.len() >= TASKS_MAX {
                        return idle;
                    }
                }
            }
        }
        idle
    }

    fn stall_cause(
        &self,
        id: TaskId,
        searches_left: &mut usize,
        now: Instant,
    ) -> Option<StallCause> {
        let job = self.jobs.get(&id.job)?;
        match self.task(id)?.state() {
            State::Waiting { .. } if !self.ready.contains(&job.rank(id)) => {
                Some(StallCause::NotQueued)
            }
            State::Waiting { .. } => {
                *searches_left = searches_left.checked_sub(1)?;
                self.not_placed(job, id, now)
            }
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
        let siblings = self.siblings(id, &mut Work::default());
        let image = self.image_keys.get(&step.image);
        let claim = image.map(|&image| Claim::new(step, image, now));
        let idle_needed = claim.map_or(0, |it| i64::from(it.best_effort_cpu_millis));
        let fits = |(at, runner): &(usize, &Runner)| {
            let key = crate::fleet::RunnerKey(*at as u32);
            let sibling_count = siblings.get(&key).copied().unwrap_or(0);
            !runner.is_closed()
                && runner.info.service == job.service
                && satisfies_constraints(step, runner, sibling_count)
                && (idle_needed == 0 || idle_cpu_millis(runner) >= idle_needed)
        };
        let (mut schedulable, mut interfering) = (0, 0);
        let (mut backing_off, mut silent) = (0, 0);
        for (_, runner) in self.runners.iter().enumerate().filter(fits) {
            let admits = runner.backoff.admits(step.claim(), now);
            if self.is_schedulable(runner, now) && admits {
                let penalty =
                    |claim| self.interference_penalty(runner, &claim, Admission::Predicted, now);
                if claim.is_some_and(|it| penalty(it).is_none()) {
                    interfering += 1;
                } else {
                    schedulable += 1;
                }
            } else if runner.is_backed_off(now) || !admits {
                backing_off += 1;
            } else {
                silent += 1;
            }
        }
        let ready = schedulable + interfering + backing_off + silent;
        (ready > 0).then_some(StallCause::NotPlaced {
            schedulable,
            interfering,
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
