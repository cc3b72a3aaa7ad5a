use crate::{Charts, Entry, JobEvent, JobState, Step};
use persimmon_ticket::Rerun;
use persimmon_types::Size;
use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

/// The number of lines kept in a job's history: the first line and the newest ones.
pub(crate) const REASONS_MAX: usize = 8;

/// A job and its latest attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The number in the shard.
    pub number: u64,
    /// The idempotency key.
    pub key: String,
    /// The batch class.
    pub class: String,
    /// The team of the class at submission.
    pub team: String,
    /// The resources that its task claims.
    pub size: Size,
    /// The declared run time.
    pub run_time: Duration,
    /// Whether the job is rerun after a lost attempt.
    pub rerun: Rerun,
    /// The number of failed attempts after which the job fails.
    pub attempts_max: u32,
    /// Whether it starts without regard to the batch budget.
    pub urgent: bool,
    /// The deadline.
    pub deadline_unix_ms: u64,
    /// The time of acceptance.
    pub submitted_unix_ms: u64,
    /// The current state.
    pub state: JobState,
    /// The number of the latest attempt, or 0 if there is none.
    pub attempt: u32,
    /// The number of failed attempts that count towards `attempts_max`.
    pub failures: u32,
    /// The number of evictions.
    pub evictions: u32,
    /// The worker of the latest attempt, and its incarnation at placement.
    pub worker: Option<(String, u64)>,
    /// The time at which the latest attempt was placed.
    pub placed_unix_ms: u64,
    /// The checkpoint from which the next attempt resumes.
    pub checkpoint: Option<String>,
    /// The time at which the job reached a terminal state.
    pub ended_unix_ms: Option<u64>,
    /// The history of the job, oldest line first.
    pub reasons: Vec<String>,
}

impl Job {
    /// Returns whether the job is in a terminal state.
    pub fn is_ended(&self) -> bool {
        matches!(
            self.state,
            JobState::Done | JobState::Failed | JobState::Cancelled
        )
    }

    /// Returns whether a worker may hold the latest attempt.
    pub fn is_held(&self) -> bool {
        matches!(self.state, JobState::Placed | JobState::Cancelling)
    }

    /// Returns the latest start that meets the deadline if the task takes its declared run time.
    pub fn latest_start_unix_ms(&self) -> u64 {
        self.deadline_unix_ms
            .saturating_sub(self.run_time.as_millis() as u64)
    }
}

/// All jobs of a shard, as they result from the entries of its journal.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct JobTable {
    pub(crate) jobs: BTreeMap<u64, Job>,
    pub(crate) by_key: HashMap<String, u64>,
    /// Keys that were assigned to other shards, with the shard and the time of assignment.
    pub(crate) assigned: BTreeMap<String, (u16, u64)>,
    pub(crate) last_number: u64,
    pub(crate) evictions: u64,
    pub(crate) deadlines_met: u64,
    pub(crate) deadlines_missed: u64,
}

impl JobTable {
    /// Applies an entry. Returns `false` and changes nothing if the entry is not applicable.
    pub fn apply(&mut self, charts: &Charts, entry: &Entry) -> bool {
        match entry {
            Entry::Submit { number, key, .. } => {
                if *number <= self.last_number || self.by_key.contains_key(key) {
                    return false;
                }
                self.apply_submission(charts, entry);
                true
            }
            Entry::Step(step) => self.apply_step(charts, step),
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

    /// Returns the job with the given number.
    pub fn try_find(&self, number: u64) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// Returns the job with the given idempotency key.
    pub fn try_find_key(&self, key: &str) -> Option<&Job> {
        self.by_key
            .get(key)
            .and_then(|number| self.jobs.get(number))
    }

    /// Returns the other shard that a key was assigned to.
    pub fn try_find_assigned(&self, key: &str) -> Option<u16> {
        self.assigned.get(key).map(|(shard, _)| *shard)
    }

    /// Iterates over all jobs, ordered by number.
    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the highest job number assigned so far.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns the number of evictions since the shard was created.
    pub fn evictions(&self) -> u64 {
        self.evictions
    }

    /// Returns the number of jobs that completed by their deadline.
    pub fn deadlines_met(&self) -> u64 {
        self.deadlines_met
    }

    /// Returns the number of jobs that completed late or failed.
    pub fn deadlines_missed(&self) -> u64 {
        self.deadlines_missed
    }

    /// Removes jobs that ended, and assignments that were made, before `unix_ms`; their keys may be
    /// used again.
    pub fn prune(&mut self, unix_ms: u64) {
        self.prune_unless(unix_ms, |_| false);
    }

    /// Like [`JobTable::prune()`], but keeps the jobs for whose number `is_kept` returns `true`.
    pub(crate) fn prune_unless(&mut self, unix_ms: u64, is_kept: impl Fn(u64) -> bool) {
        let ended_before = |job: &Job| job.ended_unix_ms.is_some_and(|ended| ended < unix_ms);
        self.assigned
            .retain(|_, (_, at_unix_ms)| *at_unix_ms >= unix_ms);
        let by_key = &mut self.by_key;
        self.jobs.retain(|_, job| {
            let keep = !ended_before(job) || is_kept(job.number);
            if !keep {
                by_key.remove(&job.key);
            }
            keep
        });
    }

    fn apply_submission(&mut self, charts: &Charts, entry: &Entry) {
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

    fn apply_step(&mut self, charts: &Charts, step: &Step) -> bool {
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
        job.reasons.push(history_line(job, step));
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

fn history_line(job: &Job, step: &Step) -> String {
    let worker = job.worker.as_ref().map_or("-", |(id, _)| id.as_str());
    let text = match step.event {
        JobEvent::Place => "placed on",
        JobEvent::Complete => "completed on",
        JobEvent::Evict => "stopped with a checkpoint on",
        JobEvent::Retry if step.counts => "failed, to be tried again, on",
        JobEvent::Retry => "failed through the worker's fault on",
        JobEvent::Fail => "failed for good on",
        JobEvent::Lose if step.counts => "lost as it crashed, to be tried again, on",
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
