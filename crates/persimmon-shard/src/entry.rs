use crate::JobEvent;
use persimmon_ticket::Rerun;
use persimmon_types::Size;
use std::time::Duration;

/// The position of an entry among those that one owner has made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Seq(pub u64);

/// One line of a shard's journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// A job was accepted.
    Submit {
        /// Its number in the shard.
        number: u64,
        /// Its idempotency key.
        key: String,
        /// Its batch class.
        class: String,
        /// The class's team at submission.
        team: String,
        /// What its task claims.
        size: Size,
        /// Its declared run time.
        run_time: Duration,
        /// What follows a lost attempt.
        rerun: Rerun,
        /// Attempts that may fail.
        attempts_max: u32,
        /// Whether it starts at once whatever the busiest minute costs.
        urgent: bool,
        /// When it must be done.
        deadline_unix_ms: u64,
        /// When it was accepted.
        at_unix_ms: u64,
    },
    /// Something happened to a job.
    Step(Step),
    /// A key was sent to another shard, since this one has no room for its job.
    Assign {
        /// The idempotency key.
        key: String,
        /// The shard that takes the job.
        shard: u16,
        /// When.
        at_unix_ms: u64,
    },
}

/// Something that happened to a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// The job's number in the shard.
    pub number: u64,
    /// What happened.
    pub event: JobEvent,
    /// When.
    pub at_unix_ms: u64,
    /// With [`JobEvent::Place`], the worker and its incarnation.
    pub worker: Option<(String, u64)>,
    /// Where the next attempt resumes.
    pub checkpoint: Option<String>,
    /// Whether a failed attempt counts against the job.
    pub counts: bool,
}
