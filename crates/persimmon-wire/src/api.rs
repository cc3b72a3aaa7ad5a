//! The daemon's interface towards callers and operators.
use persimmon_ticket::TicketWire;
use persimmon_types::{JobId, Size};
use serde::{Deserialize, Serialize};

/// Header: the caller's name of a request, given to the runner and echoed in the answer.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// Header: a key from `POST /v1/request-keys` that makes a caller's own retry safe.
pub const HEADER_REQUEST_KEY: &str = "x-request-key";
/// Header: the milliseconds within which the caller needs the answer.
pub const HEADER_DEADLINE_MS: &str = "x-deadline-ms";
/// Header of every error answer: a [`RunStatus`].
pub const HEADER_RAN: &str = "x-persimmon-ran";

/// What is known of work whose answer is an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

impl RunStatus {
    /// The text used in headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The body of every error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// A stable code, for example `quota`.
    pub code: String,
    /// The step at which it arose, for example `job.submit`.
    pub step: String,
    /// The peer at which it arose, for example a member or an endpoint.
    pub peer: String,
    /// One line for people.
    pub message: String,
    /// What is known of the work.
    pub ran: RunStatus,
    /// When a retry may help.
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// An error of work that did not run and will not.
    pub fn not_run(code: &str, step: &str, peer: &str, message: &str) -> Self {
        Self {
            code: code.to_owned(),
            step: step.to_owned(),
            peer: peer.to_owned(),
            message: message.to_owned(),
            ran: RunStatus::NotRun,
            retry_after_ms: None,
        }
    }

    /// An error of work that may have run.
    pub fn unknown(code: &str, step: &str, peer: &str, message: &str) -> Self {
        Self {
            ran: RunStatus::Unknown,
            ..Self::not_run(code, step, peer, message)
        }
    }

    /// The same error, with a time after which a retry may help.
    pub fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }
}

/// The answer to a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// The ticket's number.
    pub number: u64,
    /// Its digest.
    pub digest: String,
    /// Whether it had been accepted before.
    pub repeated: bool,
    /// Whether every member has it in force.
    pub in_force: bool,
    /// The members that have not confirmed it.
    pub waiting_for: Vec<String>,
}

/// A ticket as listed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TicketView {
    /// Its digest.
    pub digest: String,
    /// Its content.
    pub ticket: TicketWire,
}

/// The whole configuration and the tickets kept since the last snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TicketList {
    /// The whole configuration as one ticket.
    pub in_force: TicketWire,
    /// Recent tickets, oldest first.
    pub recent: Vec<TicketView>,
}

/// A job submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// The idempotency key: a repeat with the same key is the same job.
    pub key: String,
    /// The batch class.
    pub class: String,
    /// When it must be done, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
}

/// A job as shown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Its id.
    pub id: JobId,
    /// Its idempotency key.
    pub key: String,
    /// Its batch class.
    pub class: String,
    /// Its state, as named by the job chart.
    pub state: String,
    /// The newest attempt, or 0.
    pub attempt: u32,
    /// Where the newest attempt was placed.
    pub worker: Option<String>,
    /// When it must be done.
    pub deadline_unix_ms: u64,
    /// When it ended.
    pub ended_unix_ms: Option<u64>,
    /// How often it was evicted.
    pub evictions: u32,
    /// Whether the submission had been accepted before.
    pub repeated: bool,
    /// Why it waits, moved or stopped, oldest first.
    pub reasons: Vec<String>,
}

/// The jobs of all shards that could be asked.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// The jobs.
    pub jobs: Vec<JobView>,
    /// Shards whose owner did not answer.
    pub missing_shards: Vec<u16>,
}

/// What a daemon sees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The daemon that answers.
    pub member: String,
    /// The number of the configuration in force there.
    pub config_number: u64,
    /// Its digest.
    pub config_digest: String,
    /// Whether the daemon takes new work, and if not, why.
    pub ready: Readiness,
    /// All members.
    pub members: Vec<MemberView>,
    /// All services.
    pub services: Vec<ServiceView>,
    /// All shards that could be asked.
    pub shards: Vec<ShardView>,
    /// Shards whose owner did not answer.
    pub missing_shards: Vec<u16>,
}

/// Whether a daemon takes new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it does.
    pub ready: bool,
    /// Why not.
    pub reason: Option<String>,
}

/// A member of the group of daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Its id.
    pub id: String,
    /// Its data centre.
    pub data_centre: String,
    /// The configuration that it has in force, where it answered.
    pub config_number: Option<u64>,
    /// Whether it is draining.
    pub draining: bool,
}

/// A service and its endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Its name.
    pub name: String,
    /// Its endpoints.
    pub endpoints: Vec<EndpointView>,
}

/// An endpoint as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// Its instance.
    pub id: String,
    /// Its state, as named by the endpoint chart.
    pub state: String,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// The most that this daemon may have in flight there.
    pub share: u32,
}

/// A shard and its workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    /// Its index.
    pub shard: u16,
    /// Its owner.
    pub owner: String,
    /// The ownership epoch.
    pub epoch: u64,
    /// Its workers.
    pub workers: Vec<WorkerView>,
    /// Jobs by state.
    pub jobs: Vec<JobCount>,
    /// Commits to the store by this owner.
    pub commits: u64,
    /// Evictions since the shard was made.
    pub evictions: u64,
    /// Deadlines met by ended jobs.
    pub deadlines_met: u64,
    /// Deadlines missed by ended jobs.
    pub deadlines_missed: u64,
}

/// The jobs in one state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCount {
    /// The state.
    pub state: String,
    /// How many.
    pub count: u64,
}

/// A worker as its shard's owner sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// Its instance.
    pub id: String,
    /// Its rack.
    pub rack: String,
    /// Its state, as named by the worker chart.
    pub state: String,
    /// Its capacity.
    pub capacity: Size,
    /// What is claimed there.
    pub claimed: Size,
    /// Tasks placed there.
    pub tasks: u32,
}

/// The answer to `POST /v1/request-keys`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestKey {
    /// The key, to be sent in [`HEADER_REQUEST_KEY`].
    pub key: String,
}

/// The answer to `POST /v1/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// The member that drains and then exits.
    pub member: String,
}

/// One daemon's share of the report on service-level burn.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBurnReport {
    /// The member.
    pub member: String,
    /// One record a service.
    pub services: Vec<ServiceBurn>,
    /// The month's busiest minute, in thousandths of a core claimed, as this daemon's shards saw it.
    pub busiest_minute_cpu_millis: u64,
    /// Deadlines met in this daemon's shards.
    pub deadlines_met: u64,
    /// Deadlines missed there.
    pub deadlines_missed: u64,
    /// Evictions there.
    pub evictions: u64,
}

/// Requests to a service by outcome and latency.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: String,
    /// The objective's latency.
    pub objective_latency_ms: u64,
    /// The part that must be good, in thousandths of a percent.
    pub objective_millipercent: u32,
    /// Counts by minute, newest last.
    pub minutes: Vec<MinuteBurn>,
    /// Counts by upper bound of latency.
    pub latency: Vec<LatencyCount>,
}

/// One minute of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinuteBurn {
    /// The minute, counted from the Unix epoch.
    pub unix_minute: u64,
    /// Requests answered whole within the objective.
    pub good: u64,
    /// All other requests.
    pub bad: u64,
}

/// Requests up to a latency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyCount {
    /// The bucket's upper bound.
    pub up_to_ms: u64,
    /// Requests in the bucket.
    pub count: u64,
}

/// The merged report of `GET /v1/burn`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReport {
    /// One share a daemon that answered.
    pub shares: Vec<MemberBurnReport>,
    /// Members that did not answer.
    pub missing_members: Vec<String>,
}
