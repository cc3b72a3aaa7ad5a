mod decide;
mod job;
mod sync;
mod types;
mod worker;

pub use types::{
    CancelError, CancelOutcome, Demand, Options, Submission, SubmitError, SubmitOutcome,
    SyncAnswer, SyncCall, SyncFailure, TaskCommand, TaskStatus, TaskView, WaitReason, WorkerSpec,
    WorkerSummary,
};

use crate::{Charts, Entry, Job, JobState, JobTable, Seq};
use persimmon_peak::{Planner, Profile, RunTimeEstimator};
use persimmon_place::{ClaimKey, Health, Ledger, QuotaUsage, Shares, WorkKind};
use persimmon_types::Size;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Instant,
};
use worker::Worker;

/// The place of a job in the queue: urgent work first, then by latest start.
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

/// The decisions of one owner of one shard, for as long as it owns it.
#[derive(Debug)]
pub struct Core {
    options: Options,
    charts: Arc<Charts>,
    owned_since: Instant,
    jobs: JobTable,
    /// Decided, and not yet taken for a commit.
    pending: Vec<Entry>,
    last_seq: Seq,
    committed: Seq,
    /// The newest entry of each job that has one in doubt.
    uncommitted: HashMap<u64, Seq>,
    queue: BTreeSet<QueueKey>,
    waiting: HashMap<u64, WaitReason>,
    ledger: Ledger,
    quotas: QuotaUsage,
    health: Health,
    claims: HashMap<u64, ClaimKey>,
    workers: Vec<Worker>,
    worker_index: HashMap<String, usize>,
    evict_wanted: BTreeSet<u64>,
    throttle_wanted: BTreeMap<u64, u32>,
    team_quotas: BTreeMap<String, Size>,
    team_used_elsewhere: BTreeMap<String, Size>,
    batch_budget_cpu_millis: u64,
    planner: Planner,
    profile: Profile,
    estimate: RunTimeEstimator,
    required_cpu_millis: u64,
    rotation: usize,
}

impl Core {
    /// Takes over a shard whose record holds `jobs`, as its owner since `owned_since`.
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
            options,
            charts,
            owned_since,
            jobs,
            pending: Vec::new(),
            last_seq: Seq(0),
            committed: Seq(0),
            uncommitted: HashMap::new(),
            queue,
            waiting: HashMap::new(),
            ledger: Ledger::new(shares),
            quotas: QuotaUsage::default(),
            claims: HashMap::new(),
            workers: Vec::new(),
            worker_index: HashMap::new(),
            evict_wanted: BTreeSet::new(),
            throttle_wanted: BTreeMap::new(),
            team_quotas: BTreeMap::new(),
            team_used_elsewhere: BTreeMap::new(),
            batch_budget_cpu_millis: u64::MAX,
            planner: Planner::new(persimmon_peak::Options::default()),
            profile: Profile::default(),
            estimate: RunTimeEstimator::default(),
            required_cpu_millis: 0,
            rotation: 0,
        }
    }

    /// The jobs, with decisions that are not yet in the store.
    pub fn jobs(&self) -> &JobTable {
        &self.jobs
    }

    /// Entries decided since the last call, to be committed together; their last position.
    pub fn take_batch(&mut self) -> Option<(Seq, Vec<Entry>)> {
        if self.pending.is_empty() {
            return None;
        }
        Some((self.last_seq, std::mem::take(&mut self.pending)))
    }

    /// Tells whether entries wait to be taken.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Notes that all entries up to `seq` are in the store.
    pub fn commit(&mut self, seq: Seq) {
        self.committed = self.committed.max(seq);
        let committed = self.committed;
        self.uncommitted.retain(|_, newest| *newest > committed);
    }

    /// Tells whether every entry up to `seq` is in the store.
    pub fn is_committed(&self, seq: Seq) -> bool {
        seq <= self.committed
    }

    /// Takes over new shares and quotas from the configuration.
    pub fn configure(&mut self, shares: Shares, team_quotas: BTreeMap<String, Size>) {
        self.ledger.set_shares(shares);
        self.team_quotas = team_quotas;
    }

    /// Takes over what each team's tasks claim in other shards.
    pub fn set_team_used_elsewhere(&mut self, used: BTreeMap<String, Size>) {
        self.team_used_elsewhere = used;
    }

    /// Sets the processors that batch tasks of this shard may claim for the sake of the busiest
    /// minute.
    pub fn set_batch_budget(&mut self, cpu_millis: u64) {
        self.batch_budget_cpu_millis = cpu_millis;
    }

    /// Forgets jobs that ended before `unix_ms` and have no entry in doubt.
    pub fn prune(&mut self, unix_ms: u64) {
        if self.uncommitted.is_empty() {
            self.jobs.prune(unix_ms);
        }
    }

    /// What each team's tasks claim in this shard.
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

    /// Why a queued job was not placed when it was last looked at.
    pub fn wait_reason(&self, number: u64) -> Option<WaitReason> {
        self.waiting.get(&number).copied()
    }

    /// Adds an entry and keeps the queue, the ledger and the quotas in step with it.
    fn push(&mut self, entry: Entry) -> Seq {
        let number = match &entry {
            Entry::Submit { number, .. } => *number,
            Entry::Step(step) => step.number,
            Entry::Assign { .. } => return self.push_assign(entry),
        };
        self.dequeue(number);
        if !self.jobs.apply(&self.charts, &entry) {
            // Callers check the chart first; an entry that changes nothing is not worth a write.
            self.enqueue(number);
            return self.last_seq;
        }
        self.enqueue(number);
        self.last_seq = Seq(self.last_seq.0 + 1);
        self.uncommitted.insert(number, self.last_seq);
        self.pending.push(entry);
        self.last_seq
    }

    /// Adds an entry that concerns no job of this shard.
    fn push_assign(&mut self, entry: Entry) -> Seq {
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
        self.waiting.remove(&number);
    }

    fn enqueue(&mut self, number: u64) {
        let Some(job) = self.jobs.try_find(number) else {
            return;
        };
        let (queued, held) = (job.state == JobState::Queued, job.is_held());
        if queued {
            self.queue.insert(QueueKey::from(job));
        }
        if !held {
            self.unclaim(number);
        }
    }

    /// Gives back what a job claims, if it does, and forgets wishes about its task.
    fn unclaim(&mut self, number: u64) {
        self.evict_wanted.remove(&number);
        self.throttle_wanted.remove(&number);
        for worker in &mut self.workers {
            worker.held.remove(&number);
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

    /// Records a claim that an earlier owner made and that may still be in use.
    fn reclaim(&mut self, number: u64, worker: usize) {
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
        self.workers[worker].held.insert(number);
    }
}
