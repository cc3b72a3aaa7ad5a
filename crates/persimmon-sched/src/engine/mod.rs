mod adopt;
mod commit;
mod disturb;
mod durations;
mod job;
mod learned;
mod load;
mod lost;
mod place;
mod refusals;
mod report;
mod start;
mod types;

pub use learned::Learned;
pub use load::Load;

pub use types::{Answer, Commit, Options, Order, StoredRecord};

pub(crate) use job::{Job, Rank, Stage, State, Step, Task};

use self::durations::Durations;

use crate::{
    fleet::{Claim, Image, Runner, RunnerKey},
    JobId, Phase, Policy, RunnerInfo, RunnerState, StepSpec, TaskId,
};
use persimmon_interference::InterferenceModel;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

/// A runner's clock may be slow by this much over a lease.
const LEASE_SLACK: Duration = Duration::from_millis(500);

/// Schedules the jobs of one group on its runners.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    policy: Policy,
    jobs: HashMap<JobId, Job>,
    runners: Vec<Runner>,
    runner_keys: HashMap<String, RunnerKey>,
    ready: BTreeSet<Rank>,
    /// Occurrences that are not due yet, by their time since the Unix epoch.
    timers: BTreeSet<(u64, JobId, u32)>,
    dirty: BTreeSet<JobId>,
    orders: Vec<Order>,
    /// Runs in doubt or about to stop; some may have ended.
    unsettled: HashSet<(TaskId, u32)>,
    images: HashMap<String, Image>,
    pressure: InterferenceModel,
    durations: Durations,
    /// Jobs whose cancellation came before they did.
    cancelled_early: HashSet<JobId>,
    /// When runs of an earlier owner on runners that can't be reached have ended.
    orphans_until: Instant,
    fenced: bool,
}

impl Engine {
    /// An engine without jobs and runners that takes its group over at `now`.
    pub fn new(options: Options, now: Instant) -> Self {
        Self {
            policy: Policy::default(),
            jobs: HashMap::new(),
            runners: Vec::new(),
            runner_keys: HashMap::new(),
            ready: BTreeSet::new(),
            timers: BTreeSet::new(),
            dirty: BTreeSet::new(),
            orders: Vec::new(),
            unsettled: HashSet::new(),
            images: HashMap::new(),
            pressure: InterferenceModel::default(),
            durations: Durations::default(),
            cancelled_early: HashSet::new(),
            orphans_until: now + options.orphans,
            options,
            fenced: false,
        }
    }

    /// The version of the policy that is followed; 0 before the first.
    pub fn policy_version(&self) -> u64 {
        self.policy.version
    }

    /// Takes the operators' policy unless a newer one is followed.
    pub fn configure(&mut self, policy: Policy) {
        if policy.version <= self.policy.version {
            return;
        }
        self.policy = policy;
        let policy = &self.policy;
        for job in self.jobs.values_mut() {
            if let Some(queue) = policy.queue(&job.spec.queue) {
                job.service.clone_from(&queue.service);
                job.attempts_max = queue.attempts_max;
            }
        }
    }

    /// Tells whether a runner has refused this engine's fence.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Takes note that whoever owned the group before has ended: its leases end within their longest
    /// term from `now`.
    pub fn predecessor_ended(&mut self, now: Instant) {
        let until = now + self.options.lease + LEASE_SLACK;
        self.orphans_until = self.orphans_until.min(until);
        for runner in &mut self.runners {
            runner.lease.unknown_until = runner.lease.unknown_until.min(until);
        }
    }

    /// Cancels a job; returns `false` if it has ended. One that is not here yet never runs.
    pub fn cancel(&mut self, id: JobId, now: Instant) -> bool {
        if !self.jobs.contains_key(&id) {
            self.cancelled_early.insert(id);
            return true;
        }
        let open = |job: &Job| !job.phase.is_final();
        if !self.jobs.get(&id).is_some_and(open) {
            return false;
        }
        self.finish(id, Phase::Cancelled, now);
        true
    }

    fn finish(&mut self, id: JobId, phase: Phase, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        log::info!("event=job.end job={id} phase={phase:?}");
        job.phase = phase;
        job.finished_at = Some(now);
        job.version += 1;
        self.dirty.insert(id);
        self.ready.retain(|rank| rank.task.job != id);
        self.timers.retain(|&(_, job, _)| job != id);
        for task in self.tasks_of(id) {
            self.end_run(task, now);
        }
    }

    /// The names of a job's tasks.
    fn tasks_of(&self, id: JobId) -> Vec<TaskId> {
        let occurrences = self.jobs.get(&id).map_or(&[][..], |job| &job.tasks);
        let mut tasks = Vec::new();
        for (occurrence, steps) in occurrences.iter().enumerate() {
            for (step, it) in steps.iter().enumerate() {
                tasks.extend((0..it.tasks.len()).map(|index| TaskId {
                    job: id,
                    occurrence: occurrence as u32,
                    step: step as u16,
                    index: index as u16,
                }));
            }
        }
        tasks
    }

    /// Makes a task's run end: unplaces it if its start was never ordered, else stops it.
    fn end_run(&mut self, id: TaskId, now: Instant) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        let run = task.run;
        let State::Placed { runner, stage } = task.state else {
            return;
        };
        match stage {
            Stage::Committing(_) => {
                task.state = State::Waiting { not_before: None };
                self.runner_mut(runner).release(id, run);
            }
            Stage::Stopping { .. } => {}
            Stage::Ordered | Stage::Adopted | Stage::Running(_) | Stage::Doubt { .. } => {
                task.state = State::Placed {
                    runner,
                    stage: Stage::Stopping {
                        asked_at: now,
                        stopped_at: None,
                    },
                };
                self.unsettled.insert((id, run));
                self.order_stop(runner, id, run);
            }
        }
    }

    fn order_stop(&mut self, runner: RunnerKey, task: TaskId, run: u32) {
        let runner = self.runner(runner).info.id.clone();
        self.orders.push(Order::Stop { runner, task, run });
    }

    /// Takes a runner of the instance list.
    pub fn update_runner(&mut self, info: RunnerInfo, now: Instant) {
        let key = self.runner_key(&info.id);
        let runner = self.runner_mut(key);
        let leaves = info.state == RunnerState::Draining;
        let is_news = leaves && (!runner.listed || runner.info.state != RunnerState::Draining);
        runner.info = info;
        runner.listed = true;
        if is_news {
            self.evacuate(key, now);
        }
    }

    /// Ends what would be cut when a runner leaves and loses nothing by moving now: tasks that last, and
    /// those that go on from a checkpoint. The others may still be done in time.
    fn evacuate(&mut self, key: RunnerKey, now: Instant) {
        let claims = self.runner(key).claims.keys();
        let tasks: Vec<_> = claims.map(|&(task, _)| task).collect();
        let moves = |step: &StepSpec| step.long_running || step.checkpointing;
        for task in tasks {
            if self.step_of(task).is_some_and(moves) {
                log::info!(
                    "event=run.evacuate task={task} runner={}",
                    self.runner(key).info.id
                );
                self.end_run(task, now);
            }
        }
    }

    /// Takes note that the instance list no longer names a runner.
    pub fn unlist_runner(&mut self, id: &str) {
        if let Some(&key) = self.runner_keys.get(id) {
            self.runner_mut(key).listed = false;
        }
    }

    /// The orders that have come up since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Opens occurrences that have come due, takes lapsed runs as ended, and places what is ready.
    pub fn tick(&mut self, wall_ms: u64, now: Instant) {
        while let Some(&(due_ms, job, _)) = self.timers.first() {
            if due_ms > wall_ms {
                break;
            }
            self.timers.pop_first();
            self.open_occurrences(job, wall_ms);
        }
        self.lapse(now);
        self.send_stops(now);
        self.place_ready(wall_ms, now);
    }

    /// Jobs that were accepted and no task of which is known to have run, by queue. Jobs with due times
    /// don't count.
    pub fn waiting_jobs(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values() {
            if !job.begun && !job.phase.is_final() && job.spec.schedule.is_none() {
                *counts.entry(job.spec.queue.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// The phase of a job as last committed; `None` for a job that is not here.
    pub fn phase(&self, id: JobId) -> Option<Phase> {
        let job = self.jobs.get(&id)?;
        let certain = !job.phase.is_final() || job.committed == job.version;
        Some(if certain { job.phase } else { Phase::Active })
    }

    /// Forgets jobs that ended longer ago than the retention and returns them.
    pub fn remove_expired_jobs(&mut self, now: Instant) -> Vec<JobId> {
        let retention = self.options.retention;
        let expired = |job: &Job| job.finished_at.is_some_and(|at| now >= at + retention);
        let ids: Vec<_> = self.jobs.iter().filter(|(_, job)| expired(job)).collect();
        let ids: Vec<_> = ids.into_iter().map(|(&id, _)| id).collect();
        ids.iter().for_each(|id| {
            self.jobs.remove(id);
        });
        ids
    }

    /// What a run of a task claims; `None` for a task of a job that is not here.
    fn claim_of(&mut self, id: TaskId, now: Instant) -> Option<Claim> {
        let spec = Arc::clone(&self.jobs.get(&id.job)?.spec);
        let step = spec.steps.get(usize::from(id.step))?;
        Some(self.claim_of_step(step, now))
    }

    fn claim_of_step(&mut self, step: &StepSpec, now: Instant) -> Claim {
        let fill_cpu_millis = if step.best_effort {
            step.size.cpu_millis
        } else {
            0
        };
        Claim {
            size: step.claim(),
            fill_cpu_millis,
            latency_critical: step.is_latency_critical(),
            image: self.image(&step.image),
            percent: 100,
            placed_at: now,
        }
    }

    fn runner_key(&mut self, id: &str) -> RunnerKey {
        if let Some(&key) = self.runner_keys.get(id) {
            return key;
        }
        let key = RunnerKey(self.runners.len() as u32);
        let info = RunnerInfo {
            id: id.to_owned(),
            address: String::new(),
            service: String::new(),
            state: RunnerState::Draining,
            capacity: persimmon_types::Size::ZERO,
            labels: Vec::new(),
        };
        let mut runner = Runner::new(info, self.orphans_until);
        runner.listed = false;
        self.runners.push(runner);
        self.runner_keys.insert(id.to_owned(), key);
        key
    }

    fn runner(&self, key: RunnerKey) -> &Runner {
        &self.runners[key.0 as usize]
    }

    fn runner_mut(&mut self, key: RunnerKey) -> &mut Runner {
        &mut self.runners[key.0 as usize]
    }

    fn task(&self, id: TaskId) -> Option<&Task> {
        let steps = self.jobs.get(&id.job)?.tasks.get(id.occurrence as usize)?;
        let step = steps.get(usize::from(id.step))?;
        step.tasks.get(usize::from(id.index))
    }

    fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&id.job)?;
        let steps = job.tasks.get_mut(id.occurrence as usize)?;
        let step = steps.get_mut(usize::from(id.step))?;
        step.tasks.get_mut(usize::from(id.index))
    }
}
