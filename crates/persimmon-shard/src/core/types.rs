use crate::{JobState, Seq, WorkerState};
use persimmon_lease::ClockDrift;
use persimmon_place::HealthOptions;
use persimmon_ticket::BatchClass;
use persimmon_types::Size;
use std::time::Duration;

/// How a core decides.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// How long leases on workers last; 10 s by default.
    pub lease_term: Duration,
    /// How far the clocks of workers and daemons may part.
    pub drift: ClockDrift,
    /// The time between two calls to a worker without commands; 2 s by default.
    pub sync_interval: Duration,
    /// How long a worker may be silent before it gets no new task; 5 s by default.
    pub silence_after: Duration,
    /// When a worker is thought to be at fault.
    pub health: HealthOptions,
    /// Part of the declared run time added when the latest start is worked out, in hundredths;
    /// 25 by default.
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

/// A job as submitted, with its class as it stands in the configuration.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The idempotency key.
    pub key: String,
    /// The batch class.
    pub class: BatchClass,
    /// When it must be done.
    pub deadline_unix_ms: u64,
}

/// A submission that is acknowledged once `seq` is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SubmitOutcome {
    /// The job's number in the shard.
    pub number: u64,
    /// The entry to wait for.
    pub seq: Seq,
    /// Whether the key was known before.
    pub repeated: bool,
}

/// Why a submission is refused; the job was not run and will not be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// No worker of the shard is large enough.
    #[error("can never run: {wanted} is more than any worker's batch share")]
    NeverFits {
        /// What the class claims.
        wanted: Size,
    },
    /// The team's whole quota is too small.
    #[error("can never run: {wanted} is more than the team's quota of {quota}")]
    OverQuota {
        /// What the class claims.
        wanted: Size,
        /// The team's quota.
        quota: Size,
    },
    /// The declared run time ends after the deadline.
    #[error("can never run in time: {needed_ms} ms are needed and {left_ms} ms are left")]
    TooLate {
        /// The declared run time.
        needed_ms: u64,
        /// The time until the deadline.
        left_ms: u64,
    },
    /// The key names a job of another class.
    #[error("key {key:?} was used for a job of another class")]
    KeyReused {
        /// The key.
        key: String,
    },
}

/// A cancellation that is acknowledged once `seq` is in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CancelOutcome {
    /// The entry to wait for.
    pub seq: Seq,
    /// The job's state now.
    pub state: JobState,
    /// Whether any attempt can have started.
    pub may_have_run: bool,
}

/// Why a cancellation is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CancelError {
    /// There is no such job.
    #[error("no such job")]
    Unknown,
    /// It has ended.
    #[error("the job has ended as {state}")]
    Ended {
        /// The name of its state.
        state: &'static str,
    },
}

/// Why a queued job was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// Its team's quota is used up.
    Quota,
    /// No worker has room.
    NoRoom,
    /// It would raise the busiest minute and has time left.
    BusiestMinute,
}

/// A worker as listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Its instance.
    pub id: String,
    /// Where it listens.
    pub address: String,
    /// Its rack.
    pub rack: String,
    /// What it has.
    pub capacity: Size,
    /// What runners that sit on it claim.
    pub runners: Size,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A call to make to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncCall {
    /// The worker's position, for [`Core::end_sync()`](crate::Core::end_sync).
    pub worker: usize,
    /// Where it listens.
    pub address: String,
    /// The nonce to echo, which renews its leases; `None` when ownership is not valid.
    pub echo_nonce: Option<u64>,
    /// What to do.
    pub commands: Vec<TaskCommand>,
}

/// What a worker is told about a task.
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
    /// Limit its processors.
    Throttle {
        number: u64,
        attempt: u32,
        percent: u32,
    },
    /// Stop it with a checkpoint.
    Evict { number: u64, attempt: u32 },
    /// Stop it for good.
    Stop { number: u64, attempt: u32 },
    /// Drop its report.
    Forget { number: u64, attempt: u32 },
}

/// A worker's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncAnswer {
    /// Differs after each restart of the worker.
    pub incarnation: u64,
    /// To be echoed by the next call.
    pub nonce: u64,
    /// The tasks of this shard that it holds.
    pub tasks: Vec<TaskView>,
    /// What the instance uses.
    pub used: Size,
}

/// A task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskView {
    /// The job's number.
    pub number: u64,
    /// The attempt.
    pub attempt: u32,
    /// How it stands.
    pub status: TaskStatus,
    /// The newest checkpoint.
    pub checkpoint: Option<String>,
}

/// How a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
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

/// Why a call to a worker gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncFailure {
    /// It did not answer.
    NoAnswer,
    /// It has seen a higher epoch: this owner must stop.
    Fenced,
}

/// What a shard uses and needs, for the budget of the busiest minute.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Processors that batch tasks claim now.
    pub claimed_cpu_millis: u64,
    /// Processors that batch tasks must claim from now on to meet all deadlines.
    pub required_cpu_millis: u64,
    /// Processors that queued tasks would claim if all were started.
    pub queued_cpu_millis: u64,
    /// Processors of all live workers that batch tasks may claim.
    pub capacity_cpu_millis: u64,
    /// The largest batch share of any live worker, in each dimension on its own.
    pub largest: Size,
}

/// A worker as its shard's owner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSummary {
    /// Its instance.
    pub id: String,
    /// Its rack.
    pub rack: String,
    /// Its state.
    pub state: WorkerState,
    /// What it has.
    pub capacity: Size,
    /// What is claimed there.
    pub claimed: Size,
    /// Batch tasks placed there.
    pub tasks: u32,
}
