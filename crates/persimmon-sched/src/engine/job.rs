use crate::{fleet::RunnerKey, JobSpec, Phase, TaskId};
use std::{sync::Arc, time::Instant};

/// The order in which tasks are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) priority: u8,
    pub(crate) due_ms: u64,
    pub(crate) task: TaskId,
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) service: String,
    pub(crate) priority: u8,
    pub(crate) due_ms: u64,
    /// The time that callers accept from submission to end.
    pub(crate) allowed_ms: u64,
    pub(crate) attempts_max: u32,
    pub(crate) phase: Phase,
    /// A task of it is known to have run.
    pub(crate) begun: bool,
    /// By occurrence, step and index.
    pub(crate) tasks: Vec<Vec<Step>>,
    /// Rises with each change that the store must learn of.
    pub(crate) version: u64,
    pub(crate) committed: u64,
    pub(crate) in_flight: bool,
    pub(crate) revision: u64,
    pub(crate) finished_at: Option<Instant>,
}

#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    pub(crate) open: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) state: State,
    pub(crate) run: u32,
    pub(crate) failures: u32,
    pub(crate) checkpoint: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    Waiting { not_before: Option<Instant> },
    Placed { runner: RunnerKey, stage: Stage },
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its record is on the way to the store, at this version of the job.
    Committing(u64),
    /// Its start was ordered and not answered yet.
    Ordered,
    /// An earlier owner placed it; its runner was not heard yet.
    Adopted,
    /// It was there at this time.
    Running(Instant),
    /// Its start had no answer: it is there, or may come, or never will.
    Doubt {
        asked_at: Instant,
        stopped_at: Option<Instant>,
    },
    /// It is to end.
    Stopping {
        asked_at: Instant,
        stopped_at: Option<Instant>,
    },
}

impl Job {
    /// The rank of one of its tasks.
    pub(crate) fn rank(&self, task: TaskId) -> Rank {
        Rank {
            priority: self.priority,
            due_ms: self.due_ms,
            task,
        }
    }
}

impl Step {
    pub(crate) fn new(count: usize) -> Self {
        let task = Task {
            state: State::Waiting { not_before: None },
            run: 0,
            failures: 0,
            checkpoint: String::new(),
        };
        Self {
            tasks: vec![task; count],
            done: 0,
            open: false,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}
