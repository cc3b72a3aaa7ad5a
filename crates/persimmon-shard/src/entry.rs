use crate::JobEvent;
use persimmon_ticket::Rerun;
use persimmon_types::Size;
use std::time::Duration;

/// The sequence number of an entry among those appended by one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Seq(pub u64);

/// An entry of a shard's journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// A job was accepted.
    Submit {
        /// The job's number in the shard.
        number: u64,
        /// The idempotency key.
        key: String,
        /// The batch class.
        class: String,
        /// The team of the class at submission.
        team: String,
        /// The resources that its task claims.
        size: Size,
        /// The declared run time.
        run_time: Duration,
        /// Whether the job is rerun after a lost attempt.
        rerun: Rerun,
        /// The number of failed attempts after which the job fails.
        attempts_max: u32,
        /// Whether it starts without regard to the batch budget.
        urgent: bool,
        /// The deadline.
        deadline_unix_ms: u64,
        /// The time of acceptance.
        at_unix_ms: u64,
    },
    /// A job changed its state.
    Step(Step),
    /// A submission was assigned to another shard, since this one has no room for the job.
    Assign {
        /// The idempotency key.
        key: String,
        /// The shard that the job was assigned to.
        shard: u16,
        /// The time of the assignment.
        at_unix_ms: u64,
    },
}

/// A state transition of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The job's number in the shard.
    pub number: u64,
    /// The event that caused the transition.
    pub event: JobEvent,
    /// The time of the event.
    pub at_unix_ms: u64,
    /// For [`JobEvent::Place`], the worker and its incarnation.
    pub worker: Option<(String, u64)>,
    /// The checkpoint from which the next attempt resumes.
    pub checkpoint: Option<String>,
    /// Whether this is a failure that counts towards `attempts_max`.
    pub counts: bool,
}
