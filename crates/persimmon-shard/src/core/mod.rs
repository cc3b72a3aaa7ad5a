mod failures;
mod job;
mod placement;
mod reservation;
mod sync;
mod types;
mod worker;

pub use types::{
    CancelError, CancelOutcome, Demand, Options, Submission, SubmitError, SubmitOutcome,
    SyncAnswer, SyncCall, SyncFailure, TaskCommand, TaskStatus, TaskView, WaitReason, WorkerSpec,
    WorkerSummary,
};

use crate::{Charts, Entry, Job, JobState, JobTable, Seq};
use failures::FailureHistory;
use persimmon_peak::{Planner, Profile, RunTimeEstimator};
use persimmon_place::{ClaimKey, Health, Ledger, QuotaUsage, Shares, WorkKind, WorkerKey};
use persimmon_types::Size;
use reservation::Reservation;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Instant,
};
use worker::Worker;

/// The position of a job in the queue: urgent jobs first, then by latest start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    not_urgent: bool,
    latest_start_unix_ms: u64,
    number: u64,
}

impl From<&Job> for QueueKey {
    fn from(job: &Job) -> Self {
        Self {
            not_urgent: !job.urgent,
            latest_start_unix_ms: job.latest_start_unix_ms(),
            number: job.number,
        }
    }
}

/// The state machine of one owner of one shard, for the duration of the ownership.
#[derive(Debug)]
pub struct Core {
    options: Options,
    charts: Arc<Charts>,
    owned_since: Instant,
    jobs: JobTable,
    /// Entries that were appended and not yet taken by [`Core::take_batch()`].
    pending: Vec<Entry>,
    last_seq: Seq,
    committed: Seq,
    /// The latest entry of each job that has uncommitted entries.
    uncommitted: HashMap<u64, Seq>,
    queue: BTreeSet<QueueKey>,
    wait_reasons: HashMap<u64, WaitReason>,
    reservation: Option<Reservation>,
    /// For queued jobs, the workers whose reservation has expired.
    expired_reservations: BTreeMap<u64, BTreeSet<WorkerKey>>,
    ledger: Ledger,
    quotas: QuotaUsage,
    health: Health,
    failures: FailureHistory,
    claims: HashMap<u64, ClaimKey>,
    workers: Vec<Worker>,
    worker_index: HashMap<String, usize>,
    eviction_requests: BTreeSet<u64>,
    throttle_requests: BTreeMap<u64, u32>,
    team_quotas: BTreeMap<String, Size>,
    team_used_elsewhere: BTreeMap<String, Size>,
    batch_budget_cpu_millis: u64,
    planner: Planner,
    profile: Profile,
    run_time_estimator: RunTimeEstimator,
    required_cpu_millis: u64,
    /// The worker at which the next search for a placement starts, so that searches are spread.
    search_start: usize,
}

impl Core {
    /// Creates the state machine of an owner that took over a shard with `jobs` at `owned_since`.
    pub fn new(
        options: Options,
        charts: Arc<Charts>,
        shares: Shares,
        jobs: JobTable,
        owned_since: Instant,
    ) -> Self {
        let queued = jobs.iter().filter(|job| job.state == JobState::Queued);
        let queue = queued.map(QueueKey::from).collect();
        Self {
            health: Health::new(options.health),
            failures: FailureHistory::default(),
            options,
            charts,
            owned_since,
            jobs,
            pending: Vec::new(),
            last_seq: Seq(0),
            committed: Seq(0),
            uncommitted: HashMap::new(),
            queue,
            wait_reasons: HashMap::new(),
            reservation: None,
            expired_reservations: BTreeMap::new(),
            ledger: Ledger::new(shares),
            quotas: QuotaUsage::default(),
            claims: HashMap::new(),
            workers: Vec::new(),
            worker_index: HashMap::new(),
            eviction_requests: BTreeSet::new(),
            throttle_requests: BTreeMap::new(),
            team_quotas: BTreeMap::new(),
            team_used_elsewhere: BTreeMap::new(),
            batch_budget_cpu_millis: u64::MAX,
            planner: Planner::new(persimmon_peak::Options::default()),
            profile: Profile::default(),
            run_time_estimator: RunTimeEstimator::default(),
            required_cpu_millis: 0,
            search_start: 0,
        }
    }

    /// Returns the jobs, including changes that are not yet in the store.
    pub fn jobs(&self) -> &JobTable {
        &self.jobs
    }

    /// Takes the entries appended since the last call, to be committed together, and the sequence
    /// number of the last one.
    pub fn take_batch(&mut self) -> Option<(Seq, Vec<Entry>)> {
        if self.pending.is_empty() {
            return None;
        }
        Some((self.last_seq, std::mem::take(&mut self.pending)))
    }

    /// Returns whether there are entries for [`Core::take_batch()`].
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Records that all entries up to `seq` are in the store.
    pub fn commit(&mut self, seq: Seq) {
        self.committed = self.committed.max(seq);
        let committed = self.committed;
        self.uncommitted.retain(|_, newest| *newest > committed);
    }

    /// Returns whether all entries up to `seq` are in the store.
    pub fn is_committed(&self, seq: Seq) -> bool {
        seq <= self.committed
    }

    /// Sets the shares and quotas of the current configuration.
    pub fn configure(&mut self, shares: Shares, team_quotas: BTreeMap<String, Size>) {
        self.ledger.set_shares(shares);
        self.team_quotas = team_quotas;
    }

    /// Sets the resources that the tasks of each team claim in other shards.
    pub fn set_team_used_elsewhere(&mut self, used: BTreeMap<String, Size>) {
        self.team_used_elsewhere = used;
    }

    /// Sets the limit on the processors that batch tasks of this shard claim, by which the busiest
    /// minute is limited.
    pub fn set_batch_budget(&mut self, cpu_millis: u64) {
        self.batch_budget_cpu_millis = cpu_millis;
    }

    /// Removes jobs that ended, and assignments that were made, before `unix_ms`, but no job with an
    /// uncommitted entry.
    pub fn prune(&mut self, unix_ms: u64) {
        let uncommitted = &self.uncommitted;
        self.jobs
            .prune_unless(unix_ms, |number| uncommitted.contains_key(&number));
    }

    /// Returns the resources that the tasks of each team claim in this shard.
    pub fn team_used(&self) -> BTreeMap<String, Size> {
        let held = self
            .jobs
            .iter()
            .filter(|job| self.claims.contains_key(&job.number));
        let teams: BTreeSet<&str> = held.map(|job| job.team.as_str()).collect();
        teams
            .into_iter()
            .map(|team| (team.to_owned(), self.quotas.used(team)))
            .collect()
    }

    /// Returns why the latest call of [`Core::place_queued()`] did not place a queued job.
    pub fn wait_reason(&self, number: u64) -> Option<WaitReason> {
        self.wait_reasons.get(&number).copied()
    }

    /// Appends an entry and updates the queue, the ledger and the quotas accordingly.
    fn append(&mut self, entry: Entry) -> Seq {
        let number = match &entry {
            Entry::Submit { number, .. } => *number,
            Entry::Step(step) => step.number,
            Entry::Assign { .. } => return self.append_assignment(entry),
        };
        self.dequeue(number);
        if !self.jobs.apply(&self.charts, &entry) {
            // Not applicable in the job's state, for example after a repeated report of an attempt
            // that has ended. An entry that changes nothing is not written.
            self.enqueue(number);
            return self.last_seq;
        }
        self.enqueue(number);
        self.last_seq = Seq(self.last_seq.0 + 1);
        self.uncommitted.insert(number, self.last_seq);
        self.pending.push(entry);
        self.last_seq
    }

    /// Appends an entry that concerns no job of this shard.
    fn append_assignment(&mut self, entry: Entry) -> Seq {
        if self.jobs.apply(&self.charts, &entry) {
            self.last_seq = Seq(self.last_seq.0 + 1);
            self.pending.push(entry);
        }
        self.last_seq
    }

    fn dequeue(&mut self, number: u64) {
        if let Some(job) = self.jobs.try_find(number) {
            self.queue.remove(&QueueKey::from(job));
        }
        self.wait_reasons.remove(&number);
        self.expired_reservations.remove(&number);
    }

    /// Adds a job to the queue if its state is `Queued`, and releases its claim unless a worker may
    /// hold its latest attempt.
    fn enqueue(&mut self, number: u64) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let (queued, held) = (job.state == JobState::Queued, job.is_held());
        if job.is_ended() {
            self.failures.forget(number);
        }
        if queued {
            self.queue.insert(QueueKey::from(job));
        }
        if !held {
            self.release_claim(number);
        }
    }

    /// Releases the claim of a job, if any, removes the job from the held jobs of its worker, and
    /// drops eviction and throttling requests for it.
    fn release_claim(&mut self, number: u64) {
        self.eviction_requests.remove(&number);
        self.throttle_requests.remove(&number);
        for worker in &mut self.workers {
            worker.held_jobs.remove(&number);
        }
        let Some(claim) = self.claims.remove(&number) else {
            return;
        };
        if self.ledger.release(claim).is_ok() {
            if let Some(job) = self.jobs.try_find(number) {
                self.quotas.remove(&job.team, job.size);
            }
        }
    }

    /// Restores a claim that was made by an earlier owner and may still be in use.
    fn restore_claim(&mut self, number: u64, worker: usize) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let (team, size) = (job.team.clone(), job.size);
        if self.claims.contains_key(&number) {
            return;
        }
        let claim = self
            .ledger
            .restore(self.workers[worker].key, WorkKind::Batch, size);
        self.claims.insert(number, claim);
        self.quotas.add(&team, size);
        self.workers[worker].held_jobs.insert(number);
    }
}
