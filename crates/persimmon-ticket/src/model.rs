use persimmon_types::Size;
use std::time::Duration;

/// The part of each instance that either kind of work may claim, in hundredths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Shares {
    /// For replicas of latency-critical services.
    pub latency_critical_percent: u32,
    /// For batch tasks.
    pub batch_percent: u32,
}

/// A latency-critical service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, which callers use.
    pub name: String,
    /// Requests that one runner serves at a time.
    pub slots_per_runner: u32,
    /// Connections that one runner accepts.
    pub connections_per_runner: u32,
    /// What one runner claims of its instance.
    pub runner_size: Size,
    /// The latency within which a request counts as good.
    pub objective_latency: Duration,
    /// The part of requests that must be good, in thousandths of a percent (99 000 is 99 %).
    pub objective_millipercent: u32,
    /// The longest time a request may take.
    pub request_timeout: Duration,
    /// The largest request or answer body, in bytes.
    pub body_max_bytes: u64,
}

/// Whether an attempt that was lost without a word may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rerun {
    /// The work is idempotent: a lost attempt is run again.
    Safe,
    /// It is not: a lost attempt ends the job as `unknown`, for an operator to settle.
    Never,
}

/// A class of batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchClass {
    /// Its name, which submissions use.
    pub name: String,
    /// The team whose quota it counts against.
    pub team: String,
    /// What one task claims.
    pub size: Size,
    /// The declared run time.
    pub run_time: Duration,
    /// What follows a lost attempt.
    pub rerun: Rerun,
    /// Attempts that may fail before the job does.
    pub attempts_max: u32,
    /// Starts at once whatever the busiest minute costs.
    pub urgent: bool,
}

/// A team and what its running tasks may claim together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// The most that its running tasks claim in one shard.
    pub quota: Size,
}

/// The kinds of object that have names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// A [`Service`].
    Service,
    /// A [`BatchClass`].
    BatchClass,
    /// A [`Team`].
    Team,
}

/// Names an object of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Object {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name.
    pub name: String,
}

/// A checked change ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// Its number; accepted numbers only rise.
    pub number: u64,
    /// New shares, if it touches them.
    pub shares: Option<Shares>,
    /// Services in their whole new state.
    pub services: Vec<Service>,
    /// Batch classes in their whole new state.
    pub batch_classes: Vec<BatchClass>,
    /// Teams in their whole new state.
    pub teams: Vec<Team>,
    /// Objects that it removes.
    pub removals: Vec<Object>,
}
