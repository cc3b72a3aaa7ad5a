use crate::{JobId, JobSpec, Record, TaskId};
use std::{sync::Arc, time::Duration};

/// Limits of an [`Engine`].
#[derive(Debug, Clone)]
pub struct Options {
    /// A runner gets no new task unless it was heard within this time.
    pub heard_within: Duration,
    /// How long a run lives without a renewal of its lease.
    pub lease: Duration,
    /// What runners shorten longer leases to, whoever asks for them.
    pub lease_max: Duration,
    /// How long runs of an earlier owner may live on a runner that can't be reached.
    pub orphans: Duration,
    /// How long an ended job's state is kept.
    pub retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heard_within: Duration::from_millis(1_800),
            lease: Duration::from_secs(6),
            lease_max: Duration::from_secs(10),
            orphans: Duration::from_secs(27),
            retention: Duration::from_secs(130),
        }
    }
}

/// A call to make to a runner.
#[derive(Debug, Clone)]
pub enum Order {
    /// Start a run.
    Start {
        /// The runner's id.
        runner: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The job that the task belongs to.
        job: Arc<JobSpec>,
        /// The checkpoint to resume from; empty for none.
        checkpoint: String,
    },
    /// Stop a run, or keep one that is not there yet from starting.
    Stop {
        /// The runner's id.
        runner: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
    /// Let a run work at a share only.
    Throttle {
        /// The runner's id.
        runner: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The share, 0 to 100.
        percent: u8,
    },
}

/// What a runner answered to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The run is there.
    Started,
    /// It has a higher fence: this engine no longer owns the group.
    Fenced,
    /// The run's number is not above one that ended there.
    Old,
    /// It has no room.
    Room,
    /// It did nothing: the deadline had passed, it was unwell, or another incarnation was meant.
    Refused,
    /// No byte of the call was sent.
    NotSent,
    /// The call may have been carried out, or may be later.
    Unknown,
}

/// A record to write under a condition.
#[derive(Debug, Clone)]
pub struct Commit {
    /// The job.
    pub job: JobId,
    /// The version of its state that the record holds.
    pub version: u64,
    /// The revision that the record's key must have; 0 if it must not exist.
    pub revision: u64,
    /// The record.
    pub record: Record,
}

/// A job's record as read from the store.
#[derive(Debug, Clone)]
pub struct StoredRecord {
    /// The key's revision.
    pub revision: u64,
    /// The record.
    pub record: Record,
}
