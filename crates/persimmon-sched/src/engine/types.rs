use crate::{JobId, JobSpec, Record, TaskId};
use std::{sync::Arc, time::Duration};

/// Timing limits of an [`crate::Engine`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Maximum age of the last report of a runner that is given new tasks.
    pub report_age_max: Duration,
    /// Maximum age of what is known of the instance list for tasks to be placed and started; well
    /// below the time in which starts must stop on a runner that leaves.
    pub listing_age_max: Duration,
    /// Whether operators may evacuate data centres; then the list of evacuations must be known as well
    /// as the instance list.
    pub follows_evacuations: bool,
    /// Lease term: how long a run may continue without a renewal.
    pub lease_term: Duration,
    /// Longest lease term that a runner grants; it shortens longer ones.
    pub lease_term_max: Duration,
    /// How long runs of an earlier owner may continue on an unreachable runner.
    pub orphan_run_max: Duration,
    /// How long the state of an ended job is kept.
    pub retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            report_age_max: Duration::from_millis(1_800),
            listing_age_max: Duration::from_secs(1),
            follows_evacuations: false,
            lease_term: Duration::from_secs(6),
            lease_term_max: Duration::from_secs(10),
            orphan_run_max: Duration::from_secs(27),
            retention: Duration::from_secs(130),
        }
    }
}

/// A call to a runner, to be made by the caller of the engine.
#[derive(Debug, Clone)]
pub enum Order {
    /// Start a run.
    Start {
        /// Id of the runner.
        runner: String,
        /// Id of the task.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// The job that the task belongs to.
        job: Arc<JobSpec>,
        /// The checkpoint to resume from; empty for none.
        checkpoint: String,
    },
    /// Stop a run, or prevent it from starting if its start has not arrived yet.
    Stop {
        /// Id of the runner.
        runner: String,
        /// Id of the task.
        task: TaskId,
        /// Number of the run.
        run: u32,
    },
    /// Limit the processor time of a run.
    Throttle {
        /// Id of the runner.
        runner: String,
        /// Id of the task.
        task: TaskId,
        /// Number of the run.
        run: u32,
        /// Percentage of its processor time, 0 to 100; 0 pauses the run.
        percent: u8,
    },
}

impl Order {
    /// Id of the runner.
    pub fn runner(&self) -> &str {
        let (Self::Start { runner, .. }
        | Self::Stop { runner, .. }
        | Self::Throttle { runner, .. }) = self;
        runner
    }
}

/// Answer of a runner to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The run has started.
    Started,
    /// The runner has seen a higher fencing token: this engine no longer owns the group.
    Fenced,
    /// The run's number is not above that of a run which ended on the runner.
    Old,
    /// The runner lacks the free resources.
    Room,
    /// The runner did nothing, for example because the lease deadline had passed, it was unhealthy,
    /// or the call was meant for another incarnation.
    Refused,
    /// Nothing of the call was sent.
    NotSent,
    /// Nothing of the call was sent, for a reason that says nothing about the runner.
    Withheld,
    /// The call may have been carried out, or may still be.
    Unknown,
}

/// A conditional write of a record.
#[derive(Debug, Clone)]
pub struct Commit {
    /// Id of the job.
    pub job: JobId,
    /// Version of the job's state held by the record.
    pub version: u64,
    /// Expected revision of the record's key in the store; 0 if the key must not exist.
    pub revision: u64,
    /// The record.
    pub record: Record,
}

/// A record as read from the store.
#[derive(Debug, Clone)]
pub struct StoredRecord {
    /// Revision of its key.
    pub revision: u64,
    /// The record.
    pub record: Record,
}
