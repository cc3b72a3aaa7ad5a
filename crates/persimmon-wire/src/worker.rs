//! A worker: `POST /v1/sync` takes a [`SyncRequest`] and answers a [`SyncResponse`].
//!
//! One call renews every lease, carries commands and brings reports. The worker
//!
//! - refuses a lower `epoch` than it has seen for the shard (409 with [`StaleEpoch`]);
//! - gives a new `nonce` in every answer and counts a renewal from the moment at which it gave the
//!   nonce that the renewal echoes;
//! - ignores the commands of a call that does not echo its newest nonce, so that a call delivered
//!   late or twice changes nothing;
//! - ignores them as well when a lease counted from that nonce has lapsed already;
//! - notes a stop or evict of an attempt that it does not hold as a stopped task, so that a start
//!   of the same attempt does nothing;
//! - keeps an ended task in its reports until a `forget`.
use persimmon_types::{JobId, Size};
use serde::{Deserialize, Serialize};

/// What the owner of a shard says to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The shard.
    pub shard: u16,
    /// The ownership epoch of the sender.
    pub epoch: u64,
    /// The sender's member id.
    pub owner: String,
    /// The worker's newest nonce; without it nothing is renewed and no command is carried out.
    pub echo_nonce: Option<u64>,
    /// How long leases last.
    pub lease_term_ms: u64,
    /// What to do, in order.
    pub commands: Vec<Command>,
}

/// Names one attempt of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The job.
    pub job: JobId,
    /// The attempt, counted from 1.
    pub attempt: u32,
}

/// One command; repeats change nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum Command {
    /// Starts an attempt under a lease.
    Start {
        /// Which.
        #[serde(flatten)]
        attempt: AttemptId,
        /// The batch class.
        class: String,
        /// What it claims.
        size: Size,
        /// The declared run time.
        run_time_ms: u64,
        /// Where to resume.
        checkpoint: Option<String>,
    },
    /// Limits a task's processors.
    Throttle {
        /// Which.
        #[serde(flatten)]
        attempt: AttemptId,
        /// The hundredths of its claim that it may use.
        percent: u32,
    },
    /// Stops a task, keeping a checkpoint.
    Evict {
        /// Which.
        #[serde(flatten)]
        attempt: AttemptId,
    },
    /// Stops a task for good.
    Stop {
        /// Which.
        #[serde(flatten)]
        attempt: AttemptId,
    },
    /// Drops the report of an ended task.
    Forget {
        /// Which.
        #[serde(flatten)]
        attempt: AttemptId,
    },
}

/// What a worker answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncResponse {
    /// Differs after each restart of the worker, which loses its tasks.
    pub incarnation: u64,
    /// To be echoed by the next call.
    pub nonce: u64,
    /// Whether the call's commands were carried out.
    pub applied: bool,
    /// All tasks that it holds, ended ones included.
    pub tasks: Vec<TaskReport>,
    /// What the instance uses.
    pub usage: Usage,
}

/// One task as its worker sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Which.
    #[serde(flatten)]
    pub attempt: AttemptId,
    /// How it stands.
    pub state: TaskState,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
}

/// How a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It completed.
    Done,
    /// It ended with an error.
    Failed,
    /// It was stopped by a command.
    Stopped,
    /// Its lease lapsed and it was stopped.
    Lapsed,
}

/// What an instance uses, measured some time ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The age of the measurement.
    pub age_ms: u64,
    /// Processors and memory in use.
    pub used: Size,
}

/// A refusal by epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StaleEpoch {
    /// The highest epoch that the worker has seen for the shard.
    pub epoch: u64,
}
