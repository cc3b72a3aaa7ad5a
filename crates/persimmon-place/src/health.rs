use crate::WorkerKey;
use persimmon_types::JobId;
use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// When a worker is thought to be at fault.
#[derive(Debug, Clone, Copy)]
pub struct HealthOptions {
    /// Different jobs that fail in a row before a worker is quarantined; 3 by default.
    pub failed_jobs_max: usize,
    /// The first quarantine; 30 s by default. Each further one is twice as long.
    pub quarantine: Duration,
    /// The longest quarantine; 30 min by default.
    pub quarantine_max: Duration,
}

impl Default for HealthOptions {
    fn default() -> Self {
        Self {
            failed_jobs_max: 3,
            quarantine: Duration::from_secs(30),
            quarantine_max: Duration::from_secs(1800),
        }
    }
}

/// What a worker may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// Any task.
    Healthy,
    /// None.
    Quarantined,
    /// One task at a time.
    Probation,
}

/// Whose fault a failure is taken to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// It counts against the job's attempts.
    Job,
    /// The worker fails whatever it starts; the job's attempt does not count.
    Worker,
}

#[derive(Debug, Clone, Default)]
struct Record {
    failed_in_a_row: BTreeSet<JobId>,
    quarantines: u32,
    quarantined_until: Option<Instant>,
}

/// Tells workers that fail everything from jobs that fail everywhere.
///
/// A worker is suspected only after different jobs fail there with no success between, so that one
/// bad job tried again and again harms no worker.
#[derive(Debug, Clone)]
pub struct Health {
    options: HealthOptions,
    records: HashMap<WorkerKey, Record>,
}

impl Health {
    /// No worker is suspected.
    pub fn new(options: HealthOptions) -> Self {
        Self {
            options,
            records: HashMap::new(),
        }
    }

    /// Notes that a task completed.
    pub fn record_success(&mut self, worker: WorkerKey) {
        self.records.remove(&worker);
    }

    /// Notes that a task of `job` failed.
    pub fn record_failure(&mut self, worker: WorkerKey, job: JobId, now: Instant) -> FailureCause {
        let options = self.options;
        let on_probation = self.state(worker, now) == HealthState::Probation;
        let record = self.records.entry(worker).or_default();
        record.failed_in_a_row.insert(job);
        let suspect = record.failed_in_a_row.len() >= options.failed_jobs_max;
        if !suspect && !on_probation {
            return FailureCause::Job;
        }
        let doubled = options.quarantine * 2u32.saturating_pow(record.quarantines.min(16));
        record.quarantined_until = Some(now + doubled.min(options.quarantine_max));
        record.quarantines += 1;
        FailureCause::Worker
    }

    /// What the worker may be given at `now`.
    pub fn state(&self, worker: WorkerKey, now: Instant) -> HealthState {
        let until = self
            .records
            .get(&worker)
            .and_then(|record| record.quarantined_until);
        match until {
            None => HealthState::Healthy,
            Some(until) if now < until => HealthState::Quarantined,
            Some(_) => HealthState::Probation,
        }
    }
}
