use persimmon_chart::{labels, Machine, ParseError};

labels! {
    /// The state of a job; see `charts/job.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
    pub enum JobState {
        /// It waits for a worker.
        Queued = "queued",
        /// A worker was chosen for its newest attempt.
        Placed = "placed",
        /// It is to be stopped for good.
        Cancelling = "cancelling",
        /// What became of its newest attempt is not known.
        Unknown = "unknown",
        /// It completed.
        Done = "done",
        /// It failed too often.
        Failed = "failed",
        /// It was cancelled.
        Cancelled = "cancelled",
    }
}

labels! {
    /// What can happen to a job; see `charts/job.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum JobEvent {
        /// A worker was chosen.
        Place = "place",
        /// An attempt completed.
        Complete = "complete",
        /// An attempt was stopped with a checkpoint.
        Evict = "evict",
        /// An attempt failed and another is allowed.
        Retry = "retry",
        /// An attempt failed and no other is allowed.
        Fail = "fail",
        /// An attempt was lost and may be run again.
        Lose = "lose",
        /// An attempt was lost and must not be run again.
        Doubt = "doubt",
        /// A caller or operator cancelled it.
        Cancel = "cancel",
        /// The stop of a cancelled job is confirmed.
        Stop = "stop",
    }
}

labels! {
    /// The state of a worker; see `charts/worker.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum WorkerState {
        /// It is listed but has not answered.
        Listed = "listed",
        /// It answers.
        Live = "live",
        /// It has stopped answering.
        Silent = "silent",
        /// The platform says that it is leaving.
        Leaving = "leaving",
        /// It is listed no longer.
        Gone = "gone",
    }
}

labels! {
    /// What can happen to a worker; see `charts/worker.toml`.
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    pub enum WorkerEvent {
        /// It answered a call.
        Answer = "answer",
        /// It has not answered for a while.
        Silence = "silence",
        /// The platform says that it is leaving.
        Leave = "leave",
        /// It is listed no longer.
        Vanish = "vanish",
        /// It is listed as live again.
        Return = "return",
    }
}

/// The charts of this crate, read once at the start of a process.
#[derive(Debug, Clone)]
pub struct Charts {
    /// Jobs.
    pub job: Machine<JobState, JobEvent>,
    /// Workers.
    pub worker: Machine<WorkerState, WorkerEvent>,
}

impl Charts {
    /// Reads the charts that the crate was built with.
    pub fn load() -> Result<Self, ParseError> {
        Ok(Self {
            job: Machine::parse("job.toml", include_str!("../charts/job.toml"))?,
            worker: Machine::parse("worker.toml", include_str!("../charts/worker.toml"))?,
        })
    }
}
