use crate::{Charts, Entry, JobEvent, JobState, Step};
use persimmon_ticket::Rerun;
use persimmon_types::Size;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// The newest lines kept to explain what became of a job.
pub(crate) const REASONS_MAX: usize = 8;

/// A job and its newest attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Its number in the shard.
    pub number: u64,
    /// Its idempotency key.
    pub key: String,
    /// Its batch class.
    pub class: String,
    /// The class's team at submission.
    pub team: String,
    /// What its task claims.
    pub size: Size,
    /// Its declared run time.
    pub run_time: Duration,
    /// What follows a lost attempt.
    pub rerun: Rerun,
    /// Attempts that may fail.
    pub attempts_max: u32,
    /// Whether it starts at once whatever the busiest minute costs.
    pub urgent: bool,
    /// When it must be done.
    pub deadline_unix_ms: u64,
    /// When it was accepted.
    pub submitted_unix_ms: u64,
    /// Its state.
    pub state: JobState,
    /// The newest attempt, or 0.
    pub attempt: u32,
    /// Attempts that failed and count.
    pub failures: u32,
    /// How often it was evicted.
    pub evictions: u32,
    /// The worker of the newest attempt and its incarnation then.
    pub worker: Option<(String, u64)>,
    /// When the newest attempt was placed.
    pub placed_unix_ms: u64,
    /// Where the next attempt resumes.
    pub checkpoint: Option<String>,
    /// When it ended.
    pub ended_unix_ms: Option<u64>,
    /// What happened to it, oldest first.
    pub reasons: Vec<String>,
}

impl Job {
    /// Tells whether nothing more can happen to it.
    pub fn is_ended(&self) -> bool {
        matches!(
            self.state,
            JobState::Done | JobState::Failed | JobState::Cancelled
        )
    }

    /// Tells whether a worker may hold its newest attempt.
    pub fn is_held(&self) -> bool {
        matches!(self.state, JobState::Placed | JobState::Cancelling)
    }

    /// The latest start that meets the deadline, by the declared run time.
    pub fn latest_start_unix_ms(&self) -> u64 {
        self.deadline_unix_ms
            .saturating_sub(self.run_time.as_millis() as u64)
    }
}

/// All jobs of a shard: the fold of its entries.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct JobTable {
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) by_key: HashMap<String, u64>,
    /// Keys that were sent to other shards, and when.
    pub(crate) assigned: BTreeMap<String, (u16, u64)>,
    pub(crate) last_number: u64,
    pub(crate) evictions: u64,
    pub(crate) deadlines_met: u64,
    pub(crate) deadlines_missed: u64,
}

impl JobTable {
    /// Adds an entry. Entries that do not apply change nothing and give `false`.
    pub fn apply(&mut self, charts: &Charts, entry: &Entry) -> bool {
        match entry {
            Entry::Submit { number, key, .. } => {
                if *number <= self.last_number || self.by_key.contains_key(key) {
                    return false;
                }
                self.submit(charts, entry);
                true
            }
            Entry::Step(step) => self.step(charts, step),
            Entry::Assign {
                key,
                shard,
                at_unix_ms,
            } => {
                if self.by_key.contains_key(key) || self.assigned.contains_key(key) {
                    return false;
                }
                self.assigned.insert(key.clone(), (*shard, *at_unix_ms));
                true
            }
        }
    }

    /// Finds a job by number.
    pub fn try_find(&self, number: u64) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// Finds a job by idempotency key.
    pub fn try_find_key(&self, key: &str) -> Option<&Job> {
        self.by_key
            .get(key)
            .and_then(|number| self.jobs.get(number))
    }

    /// The shard that a key was sent to.
    pub fn try_find_assigned(&self, key: &str) -> Option<u16> {
        self.assigned.get(key).map(|(shard, _)| *shard)
    }

    /// All jobs, by number.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The highest number given.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Evictions since the shard was made.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Jobs that completed by their deadline.
    pub fn deadlines_met(&self) -> u64 {
        self.deadlines_met
    }

    /// Jobs that completed late or failed.
    pub fn deadlines_missed(&self) -> u64 {
        self.deadlines_missed
    }

    /// Forgets jobs that ended before `unix_ms`; their keys are then free again.
    pub fn prune(&mut self, unix_ms: u64) {
        let old = |job: &Job| job.ended_unix_ms.is_some_and(|ended| ended < unix_ms);
        self.assigned
            .retain(|_, (_, at_unix_ms)| *at_unix_ms >= unix_ms);
        let by_key = &mut self.by_key;
        self.jobs.retain(|_, job| {
            let keep = !old(job);
            if !keep {
                by_key.remove(&job.key);
            }
            keep
        });
    }

    fn submit(&mut self, charts: &Charts, entry: &Entry) {
        let Entry::Submit {
            number,
            key,
            class,
            team,
            size,
            run_time,
            rerun,
            attempts_max,
            urgent,
            deadline_unix_ms,
            at_unix_ms,
        } = entry
        else {
            return;
        };
        self.last_number = *number;
        self.by_key.insert(key.clone(), *number);
        let job = Job {
            number: *number,
            key: key.clone(),
            class: class.clone(),
            team: team.clone(),
            size: *size,
            run_time: *run_time,
            rerun: *rerun,
            attempts_max: *attempts_max,
            urgent: *urgent,
            deadline_unix_ms: *deadline_unix_ms,
            submitted_unix_ms: *at_unix_ms,
            state: charts.job.initial(),
            attempt: 0,
            failures: 0,
            evictions: 0,
            worker: None,
            placed_unix_ms: 0,
            checkpoint: None,
            ended_unix_ms: None,
            reasons: vec![format!("{at_unix_ms} accepted")],
        };
        self.jobs.insert(*number, job);
    }

    fn step(&mut self, charts: &Charts, step: &Step) -> bool {
        let Some(job) = self.jobs.get_mut(&step.number) else {
            return false;
        };
        let Some(state) = charts.job.try_step(job.state, step.event) else {
            return false;
        };
        job.state = state;
        if step.event == JobEvent::Place {
            job.attempt += 1;
            job.worker = step.worker.clone();
            job.placed_unix_ms = step.at_unix_ms;
        }
        if step.checkpoint.is_some() {
            job.checkpoint = step.checkpoint.clone();
        }
        if step.event == JobEvent::Evict {
            job.evictions += 1;
            self.evictions += 1;
        }
        if step.counts {
            job.failures += 1;
        }
        job.reasons.push(reason(job, step));
        if job.reasons.len() > REASONS_MAX {
            job.reasons.remove(1);
        }
        if job.is_ended() {
            job.ended_unix_ms = Some(step.at_unix_ms);
            let met = job.state == JobState::Done && step.at_unix_ms <= job.deadline_unix_ms;
            self.deadlines_met += u64::from(met);
            self.deadlines_missed += u64::from(!met && job.state != JobState::Cancelled);
        }
        true
    }
}

fn reason(job: &Job, step: &Step) -> String {
    let worker = job.worker.as_ref().map_or("-", |(id, _)| id.as_str());
    let text = match step.event {
        JobEvent::Place => "placed on",
        JobEvent::Complete => "completed on",
        JobEvent::Evict => "stopped with a checkpoint on",
        JobEvent::Retry if step.counts => "failed, to be tried again, on",
        JobEvent::Retry => "failed through the worker's fault on",
        JobEvent::Fail => "failed for good on",
        JobEvent::Lose => "lost with its lease, to be run again, on",
        JobEvent::Doubt => "lost with its lease, may have run, on",
        JobEvent::Cancel => "cancelled; newest worker",
        JobEvent::Stop => "stop confirmed by",
    };
    format!(
        "{} attempt {} {text} {worker}",
        step.at_unix_ms, job.attempt
    )
}
