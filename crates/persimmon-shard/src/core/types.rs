use crate::{JobState, Seq, WorkerState};
use persimmon_lease::ClockDrift;
use persimmon_place::HealthOptions;
use persimmon_ticket::BatchClass;
use persimmon_types::Size;
use std::time::Duration;

/// The options of a [`Core`](crate::Core).
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The term of leases on workers; 10 s by default.
    pub lease_term: Duration,
    /// The maximum drift between the clocks of workers and daemons.
    pub drift: ClockDrift,
    /// The interval between calls to a worker for which there are no commands; 2 s by default.
    pub sync_interval: Duration,
    /// The time without an answer after which a worker gets no new task; 5 s by default.
    pub silence_after: Duration,
    /// When a worker is considered faulty.
    pub health: HealthOptions,
    /// The margin, in percent, added to the declared run time to compute the latest start of a job
    /// whose class has no recorded run times; 25 by default.
    pub run_time_margin_percent: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            lease_term: Duration::from_secs(10),
            drift: ClockDrift::default(),
            sync_interval: Duration::from_secs(2),
            silence_after: Duration::from_secs(5),
            health: HealthOptions::default(),
            run_time_margin_percent: 25,
        }
    }
}

/// A submitted job, with its class as currently configured.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The idempotency key.
    pub key: String,
    /// The batch class.
    pub class: BatchClass,
    /// The deadline.
    pub deadline_unix_ms: u64,
}

/// The result of a submission, to be acknowledged once `seq` is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmitOutcome {
    /// The job's number in the shard.
    pub number: u64,
    /// The sequence number of the entry to wait for.
    pub seq: Seq,
    /// Whether a job with this key existed already.
    pub repeated: bool,
}

/// The reason for which a submission is rejected; the job has not run and will not run.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The size of the task exceeds the batch share of every worker of the shard.
    #[error("can never run: {wanted} is more than any worker's batch share")]
    NeverFits {
        /// The size that a task of the class claims.
        wanted: Size,
    },
    /// The size of the task exceeds the team's quota.
    #[error("can never run: {wanted} is more than the team's quota of {quota}")]
    OverQuota {
        /// The size that a task of the class claims.
        wanted: Size,
        /// The team's quota.
        quota: Size,
    },
    /// The declared run time exceeds the time until the deadline.
    #[error("can never run in time: {needed_ms} ms are needed and {left_ms} ms are left")]
    TooLate {
        /// The declared run time.
        needed_ms: u64,
        /// The time until the deadline.
        left_ms: u64,
    },
    /// The key was used for a job of another class.
    #[error("key {key:?} was used for a job of another class")]
    KeyReused {
        /// The key.
        key: String,
    },
}

/// The result of a cancellation, to be acknowledged once `seq` is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelOutcome {
    /// The sequence number of the entry to wait for.
    pub seq: Seq,
    /// The current state of the job.
    pub state: JobState,
    /// Whether an attempt may have started.
    pub may_have_run: bool,
}

/// The reason for which a cancellation is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CancelError {
    /// No job has this number.
    #[error("no such job")]
    Unknown,
    /// The job has ended.
    #[error("the job has ended as {state}")]
    Ended {
        /// The name of its state.
        state: &'static str,
    },
}

/// The reason for which a queued job was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// The quota of its team is exhausted.
    Quota,
    /// No worker that may be given a task has enough free resources.
    NoRoom,
    /// It or a job ahead of it would exceed the batch budget, which limits the busiest minute, and
    /// it can start later.
    BatchBudget,
}

/// A worker as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// The instance that it runs on.
    pub id: String,
    /// The address at which it listens.
    pub address: String,
    /// The rack of the instance.
    pub rack: String,
    /// The resources of the instance.
    pub capacity: Size,
    /// The resources claimed by runners on the instance.
    pub runners: Size,
    /// Whether the platform has announced its removal.
    pub leaving: bool,
}

/// A call to be made to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncCall {
    /// The index of the worker, for [`Core::end_sync()`](crate::Core::end_sync).
    pub worker: usize,
    /// The address at which it listens.
    pub address: String,
    /// The nonce to echo, which renews the worker's leases; `None` if there is none to echo or the
    /// ownership is not valid.
    pub echo_nonce: Option<u64>,
    /// The commands, empty without a nonce.
    pub commands: Vec<TaskCommand>,
}

/// A command to a worker about a task.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum TaskCommand {
    /// Start an attempt.
    Start {
        number: u64,
        attempt: u32,
        class: String,
        size: Size,
        run_time: Duration,
        checkpoint: Option<String>,
    },
    /// Limit the processors of a task to a percentage of its claim.
    Throttle {
        number: u64,
        attempt: u32,
        percent: u32,
    },
    /// Stop a task with a checkpoint.
    Evict { number: u64, attempt: u32 },
    /// Stop a task without resuming it later.
    Stop { number: u64, attempt: u32 },
    /// Drop the report of an ended task.
    Forget { number: u64, attempt: u32 },
}

/// The answer of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncAnswer {
    /// The incarnation of the worker, which changes with each restart.
    pub incarnation: u64,
    /// The nonce to be echoed by the next call.
    pub nonce: u64,
    /// The tasks of this shard that the worker holds.
    pub tasks: Vec<TaskView>,
    /// The resources in use on the instance.
    pub used: Size,
}

/// A task as reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskView {
    /// The job's number.
    pub number: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The status of the attempt.
    pub status: TaskStatus,
    /// The latest checkpoint.
    pub checkpoint: Option<String>,
}

/// The status of a task on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// It is running.
    Running,
    /// It completed successfully.
    Done,
    /// It ended with an error.
    Failed,
    /// It was stopped by a command.
    Stopped,
    /// It was stopped because its lease expired.
    Lapsed,
}

/// The reason for which a call to a worker failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncFailure {
    /// No valid answer was received.
    NoAnswer,
    /// The worker has seen a higher epoch; this owner must stop.
    Fenced,
}

/// The processor demand of a shard, from which its batch budget is computed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// The processors that batch tasks claim now.
    pub claimed_cpu_millis: u64,
    /// The processors that batch tasks must be able to claim to meet all deadlines.
    pub required_cpu_millis: u64,
    /// The processors that all queued tasks together would claim.
    pub queued_cpu_millis: u64,
    /// The processors that batch tasks may claim on all live workers together.
    pub capacity_cpu_millis: u64,
    /// The largest batch share among live workers, in each dimension separately.
    pub largest: Size,
}

/// The state of a worker, as seen by the shard owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSummary {
    /// The instance that it runs on.
    pub id: String,
    /// The rack of the instance.
    pub rack: String,
    /// The current state.
    pub state: WorkerState,
    /// The resources of the instance.
    pub capacity: Size,
    /// The resources claimed on the instance.
    pub claimed: Size,
    /// The number of batch tasks placed on the worker.
    pub tasks: u32,
}
