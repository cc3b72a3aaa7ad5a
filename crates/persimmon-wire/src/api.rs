//! The daemon's API for callers and operators.
use persimmon_ticket::TicketWire;
use persimmon_types::{JobId, Size};
use serde::{Deserialize, Serialize};

/// Header: the caller's id of a request, passed on to the runner and returned in the answer.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// Header: a key from `POST /v1/request-keys`, with which a caller can safely retry a request.
pub const HEADER_REQUEST_KEY: &str = "x-request-key";
/// Header: the time within which the caller needs the answer, in milliseconds.
pub const HEADER_DEADLINE_MS: &str = "x-deadline-ms";
/// Header of every error answer: the text of a [`RunStatus`].
pub const HEADER_RAN: &str = "x-persimmon-ran";

/// Whether the work of a request that was answered with an error may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// The work did not run and will not.
    NotRun,
    /// The work may have run.
    Unknown,
}

impl RunStatus {
    /// The value of [`HEADER_RAN`].
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
    /// The error code, stable between versions, for example `quota`.
    pub code: String,
    /// The step that failed, for example `job.submit`.
    pub step: String,
    /// The peer at which the step failed, for example a member or an endpoint.
    pub peer: String,
    /// A human-readable description in one line.
    pub message: String,
    /// Whether the work may have run.
    pub ran: RunStatus,
    /// The time after which a retry may succeed, if one may.
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Creates an error for work that did not run and will not.
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

    /// Creates an error for work that may have run.
    pub fn unknown(code: &str, step: &str, peer: &str, message: &str) -> Self {
        Self {
            ran: RunStatus::Unknown,
            ..Self::not_run(code, step, peer, message)
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after_ms(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }
}

/// The answer to a submitted ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketAnswer {
    /// The ticket's number.
    pub number: u64,
    /// The digest of the ticket.
    pub digest: String,
    /// Whether the ticket had already been accepted before this request.
    pub repeated: bool,
    /// Whether every member has put the ticket in force.
    pub in_force: bool,
    /// The ids of the members that have not yet confirmed the ticket.
    pub waiting_for: Vec<String>,
}

/// An accepted ticket and its digest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TicketView {
    /// The digest of the ticket.
    pub digest: String,
    /// The content of the ticket.
    pub ticket: TicketWire,
}

/// The configuration in force and the tickets kept since its last snapshot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TicketList {
    /// The whole configuration, as one ticket.
    pub in_force: TicketWire,
    /// The tickets since the last snapshot, oldest first.
    pub recent: Vec<TicketView>,
}

/// The body of a job submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// The idempotency key; a repeated submission with the same key refers to the same job.
    pub key: String,
    /// The batch class of the job.
    pub class: String,
    /// The deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
}

/// A job and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The id of the job.
    pub id: JobId,
    /// The idempotency key of the job.
    pub key: String,
    /// The batch class of the job.
    pub class: String,
    /// The state of the job, as named in the job state chart.
    pub state: String,
    /// The number of the newest attempt; 0 if there is none.
    pub attempt: u32,
    /// The worker on which the newest attempt was placed.
    pub worker: Option<String>,
    /// The deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// The time at which the job ended, in milliseconds since the Unix epoch.
    pub ended_unix_ms: Option<u64>,
    /// The number of times that the job was evicted.
    pub evictions: u32,
    /// Whether the submission had already been accepted before this request.
    pub repeated: bool,
    /// The reasons for which the job waited, moved or stopped, oldest first.
    pub reasons: Vec<String>,
}

/// The jobs of all shards whose owners answered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// The jobs of these shards.
    pub jobs: Vec<JobView>,
    /// The indexes of the shards whose owners did not answer.
    pub missing_shards: Vec<u16>,
}

/// The status of the group of daemons, as seen by one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusView {
    /// The member id of the daemon that answers.
    pub member: String,
    /// The number of the configuration in force on this daemon.
    pub config_number: u64,
    /// The digest of the configuration.
    pub config_digest: String,
    /// Whether this daemon accepts new work.
    pub ready: Readiness,
    /// All members of the group.
    pub members: Vec<MemberView>,
    /// All services and their endpoints.
    pub services: Vec<ServiceView>,
    /// All shards whose owners answered.
    pub shards: Vec<ShardView>,
    /// The indexes of the shards whose owners did not answer.
    pub missing_shards: Vec<u16>,
}

/// Whether a daemon accepts new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the daemon accepts new work.
    pub ready: bool,
    /// Why the daemon accepts no new work; `None` if it does.
    pub reason: Option<String>,
}

/// A member of the group of daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The member id.
    pub id: String,
    /// The data centre in which the member runs.
    pub data_centre: String,
    /// The number of the configuration in force on the member, if it answered.
    pub config_number: Option<u64>,
    /// Whether the member is draining.
    pub draining: bool,
}

/// A service and its endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceView {
    /// The name of the service.
    pub name: String,
    /// The endpoints of the service.
    pub endpoints: Vec<EndpointView>,
}

/// An endpoint, as seen by one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// The instance id of the endpoint.
    pub id: String,
    /// The state of the endpoint, as named in the endpoint state chart.
    pub state: String,
    /// The number of this daemon's requests in flight to the endpoint.
    pub in_flight: u32,
    /// The maximum number of requests that this daemon may have in flight to the endpoint.
    pub share: u32,
}

/// A shard and its workers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardView {
    /// The index of the shard.
    pub shard: u16,
    /// The member id of the owner.
    pub owner: String,
    /// The ownership epoch.
    pub epoch: u64,
    /// The workers of the shard.
    pub workers: Vec<WorkerView>,
    /// The number of jobs in each state.
    pub jobs: Vec<JobCount>,
    /// The number of commits to the store since `owner` took the shard over.
    pub commits: u64,
    /// The number of evictions since the shard was created.
    pub evictions: u64,
    /// The number of ended jobs that met their deadlines.
    pub deadlines_met: u64,
    /// The number of ended jobs that missed their deadlines.
    pub deadlines_missed: u64,
}

/// The number of jobs in one state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCount {
    /// The state, as named in the job state chart.
    pub state: String,
    /// The number of jobs.
    pub count: u64,
}

/// A worker, as seen by the owner of its shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The instance id of the worker.
    pub id: String,
    /// The rack in which the worker runs.
    pub rack: String,
    /// The state of the worker, as named in the worker state chart.
    pub state: String,
    /// The capacity of the worker.
    pub capacity: Size,
    /// The resources claimed by tasks on the worker.
    pub claimed: Size,
    /// The number of tasks placed on the worker.
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
    /// The id of the member, which drains and then exits.
    pub member: String,
}

/// One daemon's part of the error budget report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberBurnReport {
    /// The member id of the daemon.
    pub member: String,
    /// One record per service.
    pub services: Vec<ServiceBurn>,
    /// The processors that the batch tasks of all shards claimed together, averaged over the
    /// busiest minute that this daemon knows of, in thousandths of a core. The minute is of the
    /// newest month for which this daemon knows one.
    pub busiest_minute_cpu_millis: u64,
    /// The number of deadlines met in the shards that this daemon owns.
    pub deadlines_met: u64,
    /// The number of deadlines missed in these shards.
    pub deadlines_missed: u64,
    /// The number of evictions in these shards.
    pub evictions: u64,
}

/// The requests to a service, by outcome and latency.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The name of the service.
    pub service: String,
    /// The latency of the service-level objective.
    pub objective_latency_ms: u64,
    /// The fraction of all requests that must meet the objective, in thousandths of a percent.
    pub objective_millipercent: u32,
    /// The counts per minute, oldest first.
    pub minutes: Vec<MinuteBurn>,
    /// The latency histogram.
    pub latency: Vec<LatencyCount>,
}

/// The requests to a service in one minute.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinuteBurn {
    /// The minute, as a number of minutes since the Unix epoch.
    pub unix_minute: u64,
    /// The number of requests that were answered completely within the objective's latency.
    pub good: u64,
    /// The number of all other requests.
    pub bad: u64,
}

/// One bucket of a latency histogram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyCount {
    /// The upper bound of the bucket.
    pub up_to_ms: u64,
    /// The number of requests in the bucket.
    pub count: u64,
}

/// The answer to `GET /v1/burn`: the reports of all daemons that answered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReport {
    /// One report per daemon that answered.
    pub shares: Vec<MemberBurnReport>,
    /// The ids of the members that did not answer.
    pub missing_members: Vec<String>,
}
