use serde::{Deserialize, Serialize};

/// How far a job has come, as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No task has been placed yet.
    Queued,
    /// At least one task has been placed.
    Active,
    /// All tasks are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Its client account cancelled it.
    Cancelled,
}

/// What is known for certain of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mark {
    /// No run of it exists.
    Waiting,
    /// Its latest run may exist on the runner at this index of [`Record::runners`].
    Placed(u16),
    /// A run ended as done.
    Done,
}

/// A task in a [`Record`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// What is known of it.
    pub mark: Mark,
    /// The number of its latest run; 0 before the first.
    pub run: u32,
    /// Runs that ended as failed.
    pub failures: u32,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
}

/// A job's state as it lies in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// How far the job has come.
    pub phase: Phase,
    /// The runners that [`Mark::Placed`] refers to.
    pub runners: Vec<String>,
    /// The tasks by occurrence, step and index; empty once the job has ended.
    pub tasks: Vec<Vec<Vec<TaskRecord>>>,
}

/// Bytes in the store are no record.
#[derive(Debug, thiserror::Error)]
#[error("decode record: {0}")]
pub struct RecordError(#[from] postcard::Error);

impl Phase {
    /// Tells whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl Record {
    /// The bytes for the store.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Reads what [`Self::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// The runner that holds a placed task's latest run.
    pub fn runner(&self, mark: Mark) -> Option<&str> {
        match mark {
            Mark::Placed(at) => self.runners.get(usize::from(at)).map(String::as_str),
            Mark::Waiting | Mark::Done => None,
        }
    }
}
