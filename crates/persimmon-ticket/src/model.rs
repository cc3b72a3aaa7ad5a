use persimmon_types::Size;
use std::time::Duration;

/// The share of each instance that each kind of work may claim, in percent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Shares {
    /// The share of the runners of latency-critical services.
    pub latency_critical_percent: u32,
    /// The share of batch tasks.
    pub batch_percent: u32,
}

/// The configuration of a latency-critical service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The name by which callers address it.
    pub name: String,
    /// The number of requests that a runner serves concurrently.
    pub slots_per_runner: u32,
    /// The number of connections that a runner accepts.
    pub connections_per_runner: u32,
    /// The resources that a runner claims on its instance.
    pub runner_size: Size,
    /// The latency objective: a request counts as good if it completes within it.
    pub objective_latency: Duration,
    /// The fraction of requests that must be good, in thousandths of a percent (99 000 is 99 %).
    pub objective_millipercent: u32,
    /// The time after which a request is aborted.
    pub request_timeout: Duration,
    /// The limit on the size of a request or response body, in bytes.
    pub body_max_bytes: u64,
}

/// Whether a job may be rerun after an attempt whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rerun {
    /// The work is idempotent: the job is rerun after a lost attempt.
    Safe,
    /// The work is not idempotent: after a lost attempt the job becomes `unknown` until its
    /// worker reports the outcome or an operator resolves it.
    Never,
}

/// The configuration of a class of batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchClass {
    /// The name by which submissions refer to it.
    pub name: String,
    /// The team whose quota its tasks are charged to.
    pub team: String,
    /// The resources that a task claims.
    pub size: Size,
    /// The declared run time.
    pub run_time: Duration,
    /// Whether a job is rerun after a lost attempt.
    pub rerun: Rerun,
    /// The number of failed attempts after which the job fails.
    pub attempts_max: u32,
    /// Whether jobs start immediately, without regard to the batch budget.
    pub urgent: bool,
}

/// A team and the quota of its running tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// The limit on the total resources claimed by its running tasks.
    pub quota: Size,
}

/// The kinds of named objects in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// A [`Service`].
    Service,
    /// A [`BatchClass`].
    BatchClass,
    /// A [`Team`].
    Team,
}

/// A reference to a named object of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Object {
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name.
    pub name: String,
}

/// A validated change ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    /// The ticket number; the numbers of accepted tickets increase strictly.
    pub number: u64,
    /// The new shares, if the ticket changes them.
    pub shares: Option<Shares>,
    /// Added or replaced services, each with its complete new state.
    pub services: Vec<Service>,
    /// Added or replaced batch classes, each with its complete new state.
    pub batch_classes: Vec<BatchClass>,
    /// Added or replaced teams, each with its complete new state.
    pub teams: Vec<Team>,
    /// The objects to remove.
    pub removals: Vec<Object>,
}
