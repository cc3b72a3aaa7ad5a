use serde::{Deserialize, Serialize};

/// Phase of a job as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No task has been placed yet.
    Queued,
    /// At least one task has been placed.
    Active,
    /// All tasks are done.
    Completed,
    /// A task used up the attempts that its queue allows.
    Failed,
    /// The client account cancelled the job.
    Cancelled,
}

/// Durable state of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// No run of the task exists.
    Waiting,
    /// The latest run may exist on the runner at this index of [`Record::runners`].
    Placed(u16),
    /// A run succeeded.
    Done,
}

/// Crashes of runners that a task may be the cause of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskCrashes {
    /// Weight of those that are known.
    pub weight: u32,
    /// The runner of the latest run, if it has been silent since the run was new.
    pub silent_runner: Option<SilentRunner>,
}

/// A runner that may have crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentRunner {
    /// Listen address, `IP:PORT`.
    pub address: String,
    /// The incarnation that was heard last, see [`crate::Report`].
    pub incarnation_ms: u64,
}

/// A task in a [`Record`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Durable state of the task.
    pub state: TaskState,
    /// Number of the latest run; 0 before the first.
    pub run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// What is known of crashes that the task may be the cause of. Encoded after all tasks, where
    /// earlier versions ignore it.
    #[serde(skip)]
    pub crashes: TaskCrashes,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// State of a job as written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Phase of the job.
    pub phase: Phase,
    /// Ids of the runners that [`TaskState::Placed`] refers to.
    pub runners: Vec<String>,
    /// Tasks by occurrence, step and index.
    pub tasks: Vec<Vec<Vec<TaskRecord>>>,
}

/// The bytes do not encode a record.
#[derive(Debug, thiserror::Error)]
#[error("decode record: {0}")]
pub struct RecordError(#[from] postcard::Error);

impl Phase {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Crashes that a task may be the cause of, as stored behind the tasks of a [`Record`].
#[derive(Serialize, Deserialize)]
struct CrashesWire {
    occurrence: u32,
    step: u16,
    index: u16,
    crashes: TaskCrashes,
}

impl Record {
    /// Encodes the record for the store.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let mut bytes = postcard::to_stdvec(self)?;
        let crashes = self.crashes();
        if !crashes.is_empty() {
            bytes.extend(postcard::to_stdvec(&crashes)?);
        }
        Ok(bytes)
    }

    /// Decodes the output of [`Self::encode`], also that of earlier versions.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let (mut record, rest): (Self, _) = postcard::take_from_bytes(bytes)?;
        if !rest.is_empty() {
            let crashes: Vec<CrashesWire> = postcard::from_bytes(rest)?;
            crashes.into_iter().for_each(|it| record.add_crashes(it));
        }
        Ok(record)
    }

    fn crashes(&self) -> Vec<CrashesWire> {
        let mut crashes = Vec::new();
        for (occurrence, steps) in self.tasks.iter().enumerate() {
            for (step, tasks) in steps.iter().enumerate() {
                let suspected = tasks.iter().enumerate();
                let suspected =
                    suspected.filter(|(_, task)| task.crashes != TaskCrashes::default());
                crashes.extend(suspected.map(|(index, task)| CrashesWire {
                    occurrence: occurrence as u32,
                    step: step as u16,
                    index: index as u16,
                    crashes: task.crashes.clone(),
                }));
            }
        }
        crashes
    }

    fn add_crashes(&mut self, wire: CrashesWire) {
        let steps = self.tasks.get_mut(wire.occurrence as usize);
        let tasks = steps.and_then(|it| it.get_mut(usize::from(wire.step)));
        if let Some(task) = tasks.and_then(|it| it.get_mut(usize::from(wire.index))) {
            task.crashes = wire.crashes;
        }
    }

    /// Returns the id of the runner on which the latest run of a placed task may exist.
    pub fn runner(&self, state: TaskState) -> Option<&str> {
        match state {
            TaskState::Placed(at) => self.runners.get(usize::from(at)).map(String::as_str),
            TaskState::Waiting | TaskState::Done => None,
        }
    }
}
