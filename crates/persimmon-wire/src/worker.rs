//! The API of a worker: `POST /v1/sync` takes a [`SyncRequest`] and returns a [`SyncResponse`].
//!
//! One call renews the leases of all tasks, delivers commands and returns reports. The worker
//!
//! - refuses a lower `epoch` than it has seen for the shard (409 with [`StaleEpoch`]);
//! - returns a new `nonce` in every answer; the term of a renewed lease counts from the time at
//!   which the worker issued the nonce that the renewal echoes;
//! - ignores the commands of a call that does not echo its newest nonce, so that a delayed or
//!   duplicated call changes nothing;
//! - ignores the commands of a call if the echoed nonce was issued `lease_term_ms` ago or earlier;
//! - records a stop or evict of an attempt that it does not hold as a stopped task, so that a later
//!   start of the same attempt has no effect;
//! - reports an ended task until it receives a `forget`.
use persimmon_types::{JobId, Size};
use serde::{Deserialize, Serialize};

/// A call from the owner of a shard to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The index of the shard.
    pub shard: u16,
    /// The ownership epoch of the sender.
    pub epoch: u64,
    /// The member id of the sender.
    pub owner: String,
    /// The newest nonce received from the worker; without it, the worker renews no lease and
    /// carries out no command.
    pub echo_nonce: Option<u64>,
    /// The term of the leases.
    pub lease_term_ms: u64,
    /// The commands to carry out, in this order.
    pub commands: Vec<Command>,
}

/// Identifies one attempt to run a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The id of the job.
    pub job: JobId,
    /// The number of the attempt, counted from 1.
    pub attempt: u32,
}

/// A command to a worker; commands are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Command {
    /// Starts an attempt under a lease.
    Start {
        /// The attempt that the command applies to.
        #[serde(flatten)]
        attempt: AttemptId,
        /// The batch class of the job.
        class: String,
        /// The resources that the task claims.
        size: Size,
        /// The run time declared by the batch class.
        run_time_ms: u64,
        /// The checkpoint to resume from, if any.
        checkpoint: Option<String>,
    },
    /// Limits the processors that a task may use.
    Throttle {
        /// The attempt that the command applies to.
        #[serde(flatten)]
        attempt: AttemptId,
        /// The limit, in percent of the processors that the task claims.
        percent: u32,
    },
    /// Stops a task after a checkpoint, so that a later attempt can resume it.
    Evict {
        /// The attempt that the command applies to.
        #[serde(flatten)]
        attempt: AttemptId,
    },
    /// Stops a task that is not to be resumed.
    Stop {
        /// The attempt that the command applies to.
        #[serde(flatten)]
        attempt: AttemptId,
    },
    /// Removes an ended task from the worker's reports.
    Forget {
        /// The attempt that the command applies to.
        #[serde(flatten)]
        attempt: AttemptId,
    },
}

/// A worker's answer to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// Identifies the worker's process; it changes with each restart, which loses all tasks.
    pub incarnation: u64,
    /// The nonce that the next call must echo.
    pub nonce: u64,
    /// Whether the worker carried out the commands of the call.
    pub applied: bool,
    /// All tasks that the worker holds, including ended ones.
    pub tasks: Vec<TaskReport>,
    /// The resource usage of the instance.
    pub usage: Usage,
}

/// A worker's report on one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt that the task runs.
    #[serde(flatten)]
    pub attempt: AttemptId,
    /// The state of the task.
    pub state: TaskState,
    /// The newest checkpoint, if any.
    pub checkpoint: Option<String>,
}

/// The state of a task on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task completed.
    Done,
    /// The task ended with an error.
    Failed,
    /// The task was stopped by a command.
    Stopped,
    /// The worker stopped the task because its lease expired.
    Lapsed,
}

/// A measurement of an instance's resource usage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The age of the measurement.
    pub age_ms: u64,
    /// The processors and memory in use.
    pub used: Size,
}

/// The body of a 409 answer: the request carried a lower epoch than the worker has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaleEpoch {
    /// The highest epoch that the worker has seen for the shard.
    pub epoch: u64,
}
