use super::Task;
use crate::{fleet::RunnerKey, JobSpec, Phase, TaskId};
use std::{collections::VecDeque, sync::Arc, time::Instant};

/// Key of the ready queue; orders tasks for placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Rank {
    pub(crate) priority: u8,
    pub(crate) deadline_ms: u64,
    pub(crate) task: TaskId,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) service: String,
    pub(crate) priority: u8,
    pub(crate) deadline_ms: u64,
    /// Time that callers accept from submission to completion, in milliseconds.
    pub(crate) time_budget_ms: u64,
    pub(crate) attempts_max: u32,
    pub(crate) phase: Phase,
    /// Whether a task of the job is known to have run.
    pub(crate) has_run: bool,
    /// Whether a job succeeded on a runner right after this one had failed there, and no run of this
    /// one has been sound since.
    pub(crate) is_refuted: bool,
    /// Tasks by occurrence, step and index.
    pub(crate) tasks: Vec<Vec<Step>>,
    /// Number of placed tasks of each occurrence that are not long-running.
    pub(crate) placed_batch_tasks: Vec<u32>,
    /// Number of steps of all occurrences whose tasks are done.
    pub(crate) done_steps: usize,
    /// Tasks that were placed, with the version of the job that they wait for, in placement order.
    pub(crate) committing: VecDeque<(u64, TaskId)>,
    /// Incremented by each change that must be committed to the store.
    pub(crate) version: u64,
    pub(crate) committed_version: u64,
    /// Version that made the phase final; later ones are ends of runs.
    pub(crate) final_version: u64,
    pub(crate) commit_in_flight: bool,
    pub(crate) store_revision: u64,
    pub(crate) finished_at: Option<Instant>,
}

#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    pub(crate) open: bool,
    /// Since when ready tasks of a best-effort step fit nowhere by prediction, while none of them
    /// was placed by it.
    pub(crate) held_since: Option<Instant>,
    /// When a task of the step was last placed on trial.
    pub(crate) tried_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    Waiting { not_before: Option<Instant> },
    Placed { runner: RunnerKey, stage: Stage },
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits until this version of the job is committed to the store.
    Committing(u64),
    /// The start was ordered and has not been answered yet. Without an answer by this time, which
    /// the next tick sets, the run counts as unconfirmed.
    Ordered { answer_due_at: Option<Instant> },
    /// Placed by an earlier owner; the runner has sent no report yet.
    Restored,
    /// Known to have been running at this time.
    Running(Instant),
    /// The start was not answered: the run may exist, appear later or never exist. It is stopped
    /// unless a report lists it by the time that the first stop is due.
    Unconfirmed {
        stop_due_at: Instant,
        stop_acknowledged_at: Option<Instant>,
    },
    /// A stop has been ordered; it is repeated until the run is known to have ended.
    Stopping {
        /// Without an answer the start may still be carried out, also by a later incarnation.
        start_answered: bool,
        stop_due_at: Instant,
        stop_acknowledged_at: Option<Instant>,
    },
}

impl Rank {
    /// Lower than the ranks of this priority with this deadline or a later one.
    pub(crate) fn before(priority: u8, deadline_ms: u64) -> Self {
        Self {
            priority,
            deadline_ms: deadline_ms.saturating_sub(1),
            task: TaskId::MAX,
        }
    }

    /// Not lower than any rank of this priority.
    pub(crate) fn last_of(priority: u8) -> Self {
        Self {
            priority,
            deadline_ms: u64::MAX,
            task: TaskId::MAX,
        }
    }

    /// Not lower than the rank of any task of the same step.
    pub(crate) fn last_of_step(self) -> Self {
        let task = TaskId {
            index: u16::MAX,
            ..self.task
        };
        Self { task, ..self }
    }
}

impl Job {
    /// Adds the tasks of the next occurrence.
    pub(crate) fn add_occurrence(&mut self, steps: Vec<Step>) {
        let spec = Arc::clone(&self.spec);
        self.done_steps += steps.iter().filter(|step| step.is_done()).count();
        let batch_steps = steps.iter().zip(&spec.steps);
        let batch_steps = batch_steps.filter(|(_, spec)| !spec.long_running);
        let tasks = batch_steps.flat_map(|(step, _)| &step.tasks);
        let placed = tasks.filter(|task| matches!(task.state(), State::Placed { .. }));
        self.placed_batch_tasks.push(placed.count() as u32);
        self.tasks.push(steps);
    }

    pub(crate) fn rank(&self, task: TaskId) -> Rank {
        Rank {
            priority: self.priority,
            deadline_ms: self.deadline_ms,
            task,
        }
    }

    /// Number of tasks of the occurrences that have begun.
    pub(crate) fn task_count(&self) -> usize {
        self.tasks.len() * self.spec.tasks_each() as usize
    }

    /// Returns whether any of its tasks is placed on a runner.
    pub(crate) fn has_claims(&self) -> bool {
        let mut tasks = self.tasks.iter().flatten().flat_map(|step| &step.tasks);
        tasks.any(|task| matches!(task.state(), State::Placed { .. }))
    }

    /// Returns whether a final phase is committed.
    pub(crate) fn is_end_committed(&self) -> bool {
        self.phase.is_final() && self.committed_version >= self.final_version
    }

    /// The step of a task.
    pub(crate) fn step(&self, id: TaskId) -> Option<&Step> {
        let steps = self.tasks.get(id.occurrence as usize)?;
        steps.get(usize::from(id.step))
    }
}

impl Stage {
    /// Name used in log lines.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Committing(_) => "committing",
            Self::Ordered { .. } => "ordered",
            Self::Restored => "restored",
            Self::Running(_) => "running",
            Self::Unconfirmed { .. } => "unconfirmed",
            Self::Stopping { .. } => "stopping",
        }
    }
}

impl Step {
    pub(crate) fn new(count: usize) -> Self {
        Self {
            tasks: vec![Task::new(); count],
            done: 0,
            open: false,
            held_since: None,
            tried_at: None,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}
