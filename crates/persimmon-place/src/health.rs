use crate::WorkerKey;
use persimmon_types::JobId;
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// When a worker is considered faulty, and how long it is quarantined.
#[derive(Debug, Clone, Copy)]
pub struct HealthOptions {
    /// The number of different jobs that must fail on a worker, without a success in between,
    /// before it is quarantined; 3 by default.
    pub failed_jobs_max: usize,
    /// The length of the first quarantine; 30 s by default. Each further one is twice as long.
    pub quarantine_initial: Duration,
    /// The longest quarantine; 30 min by default.
    pub quarantine_max: Duration,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            failed_jobs_max: 3,
            quarantine_initial: Duration::from_secs(30),
            quarantine_max: Duration::from_secs(1800),
        }
    }
}

/// How many tasks a worker may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// Any number of tasks.
    Healthy,
    /// No tasks.
    Quarantined,
    /// One task at a time.
    Probation,
}

/// What a failure is attributed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// The job; the failure counts against its attempts.
    Job,
    /// The worker, which fails whatever it starts; the attempt does not count against the job.
    Worker,
}

#[derive(Debug, Clone, Default)]
struct FailureRecord {
    failed_jobs: BTreeSet<JobId>,
    quarantine_count: u32,
    quarantine: Option<Quarantine>,
}

#[derive(Debug, Clone, Copy)]
struct Quarantine {
    since: Instant,
    until: Instant,
}

/// Distinguishes workers on which every task fails from jobs that fail on every worker.
///
/// A worker is suspected only after several different jobs fail on it without a success in between,
/// so that the retries of one faulty job don't quarantine workers.
#[derive(Debug, Clone)]
pub struct Health {
    options: HealthOptions,
    records: HashMap<WorkerKey, FailureRecord>,
}

impl Health {
    /// Creates a tracker in which all workers are healthy.
    pub fn new(options: HealthOptions) -> Self {
        Self {
            options,
            records: HashMap::new(),
        }
    }

    /// Records that a task completed on `worker`, which makes it healthy.
    pub fn record_success(&mut self, worker: WorkerKey) {
        self.records.remove(&worker);
    }

    /// Records that a task of `job` failed on `worker`; quarantines the worker if the failure is
    /// attributed to it.
    ///
    /// A task that fails during a quarantine was started before it, so the quarantine stays as long
    /// as it is.
    pub fn record_failure(&mut self, worker: WorkerKey, job: JobId, now: Instant) -> FailureCause {
        let options = self.options;
        let state = self.state(worker, now);
        if state == HealthState::Quarantined {
            return FailureCause::Worker;
        }
        let record = self.records.entry(worker).or_default();
        record.failed_jobs.insert(job);
        let is_suspect = record.failed_jobs.len() >= options.failed_jobs_max;
        if !is_suspect && state != HealthState::Probation {
            return FailureCause::Job;
        }
        let backoff =
            options.quarantine_initial * 2u32.saturating_pow(record.quarantine_count.min(16));
        record.quarantine = Some(Quarantine {
            since: now,
            until: now + backoff.min(options.quarantine_max),
        });
        record.quarantine_count += 1;
        FailureCause::Worker
    }

    /// Ends a quarantine after the length of a first one, however many came before it. For a time in
    /// which there is no healthy worker, as a longer one saves no task from a failure then.
    pub fn shorten_quarantine(&mut self, worker: WorkerKey) {
        let initial = self.options.quarantine_initial;
        let record = self.records.get_mut(&worker);
        if let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) {
            quarantine.until = quarantine.until.min(quarantine.since + initial);
        }
    }

    /// Returns the health of the worker at `now`.
    pub fn state(&self, worker: WorkerKey, now: Instant) -> HealthState {
        let until = self
            .records
            .get(&worker)
            .and_then(|record| record.quarantine)
            .map(|quarantine| quarantine.until);
        match until {
            None => HealthState::Healthy,
            Some(until) if now < until => HealthState::Quarantined,
            Some(_) => HealthState::Probation,
        }
    }
}
