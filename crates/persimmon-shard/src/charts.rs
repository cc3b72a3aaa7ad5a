use persimmon_chart::{labels, Machine, ParseError};

labels! {
    /// The state of a job; see `charts/job.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
    pub enum JobState {
        /// It waits to be placed on a worker.
        Queued = "queued",
        /// The latest attempt was placed on a worker.
        Placed = "placed",
        /// Its cancellation is not yet confirmed by the worker.
        Cancelling = "cancelling",
        /// The outcome of the latest attempt is unknown.
        Unknown = "unknown",
        /// It completed successfully.
        Done = "done",
        /// It failed permanently.
        Failed = "failed",
        /// It was cancelled.
        Cancelled = "cancelled",
    }
}

labels! {
    /// An event of a job; see `charts/job.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum JobEvent {
        /// An attempt was placed on a worker.
        Place = "place",
        /// An attempt completed.
        Complete = "complete",
        /// An attempt was stopped and can be resumed or rerun.
        Evict = "evict",
        /// An attempt failed and another is allowed.
        Retry = "retry",
        /// An attempt failed and no other is allowed.
        Fail = "fail",
        /// An attempt was lost and may be rerun.
        Lose = "lose",
        /// An attempt was lost, or stopped without a checkpoint, and must not be rerun.
        Doubt = "doubt",
        /// A caller or operator cancelled the job.
        Cancel = "cancel",
        /// A cancelled attempt no longer runs.
        Stop = "stop",
    }
}

labels! {
    /// The state of a worker, as seen by the shard owner; see `charts/worker.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum WorkerState {
        /// It is listed but has not responded yet.
        Listed = "listed",
        /// It responds to calls.
        Live = "live",
        /// It has stopped responding.
        Silent = "silent",
        /// The platform has announced its removal.
        Leaving = "leaving",
        /// It is no longer listed.
        Gone = "gone",
    }
}

labels! {
    /// An event of a worker; see `charts/worker.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum WorkerEvent {
        /// It responded to a call.
        Answer = "answer",
        /// It has not responded within [`Options::silence_after`](crate::Options::silence_after).
        Silence = "silence",
        /// The platform announced its removal.
        Leave = "leave",
        /// It is no longer listed.
        Vanish = "vanish",
        /// It is listed again without an announced removal.
        Return = "return",
    }
}

/// The state charts of this crate.
#[derive(Debug, Clone)]
pub struct Charts {
    /// The chart of jobs.
    pub job: Machine<JobState, JobEvent>,
    /// The chart of workers.
    pub worker: Machine<WorkerState, WorkerEvent>,
}

impl Charts {
    /// Parses the charts that are embedded in the crate.
    pub fn load() -> Result<Self, ParseError> {
        Ok(Self {
            job: Machine::parse("job.toml", include_str!("../charts/job.toml"))?,
            worker: Machine::parse("worker.toml", include_str!("../charts/worker.toml"))?,
        })
    }
}
