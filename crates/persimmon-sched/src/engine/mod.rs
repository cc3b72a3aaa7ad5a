mod add_job;
mod backoff;
mod candidates;
mod commit;
mod crash;
mod dirty;
mod durations;
mod evacuation;
mod failure;
mod gang;
mod infeasible;
mod interference;
mod job;
mod kept_free;
mod late_end;
mod learned;
mod lease_expiry;
mod load;
mod namesakes;
mod place;
mod report;
mod settled;
mod stalled;
mod start;
mod start_window;
mod task;
mod types;
mod work;

pub use learned::Learned;
pub use load::Load;
pub use stalled::{StallCause, Stalled};

pub use types::{Answer, Commit, Options, Order, StoredRecord};

pub(crate) use backoff::Backoff;
pub(crate) use job::{Job, Rank, Stage, State, Step};
pub(crate) use task::Task;

use self::{
    dirty::DirtyJobs,
    durations::Durations,
    evacuation::{Evacuations, Listings},
};

use crate::{
    fleet::{Claim, ImageKey, Runner, RunnerKey, LEASE_CLOCK_SLACK},
    JobId, Phase, Policy, Queue, RunnerInfo, RunnerState, StepSpec, TaskId,
};
use persimmon_interference::InterferenceModel;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

/// Schedules the jobs of one group on its runners.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    policy: Policy,
    /// Queues of accepted jobs as of the acceptance, used while the policy has none of the name.
    accepted_queues: HashMap<String, Queue>,
    jobs: HashMap<JobId, Job>,
    runners: Vec<Runner>,
    runner_keys: HashMap<String, RunnerKey>,
    ready: BTreeSet<Rank>,
    /// Those of [`Self::ready`] that are long-running and have run before.
    restarts: BTreeSet<Rank>,
    /// Each scheduled job's next occurrence, while it is not due: due time in milliseconds since
    /// the Unix epoch, job and number of the occurrence, counted from 0. An occurrence is one
    /// repetition of a scheduled job; other jobs have a single one.
    timers: BTreeSet<(u64, JobId, u32)>,
    dirty: DirtyJobs,
    /// Where the next pass goes on with the steps that others keep from their turn, and with those
    /// among them whose jobs have nothing running.
    resume_at: Option<candidates::Candidate>,
    resume_idle_at: Option<candidates::Candidate>,
    /// The last step that was considered in turn while there were too many for one pass.
    listed_until: Option<Rank>,
    start_window: start_window::StartWindow,
    kept_free: Option<kept_free::KeptFree>,
    /// Whether the next trial is of the step that has waited for longest.
    is_next_trial_by_wait: bool,
    /// Jobs that had ended and had no runs left when they were committed.
    settled: VecDeque<JobId>,
    orders: Vec<Order>,
    idle_tasks: stalled::IdleTasks,
    /// Runs with an unanswered or unconfirmed start, or an ordered stop.
    unsettled_runs: BTreeSet<(TaskId, u32)>,
    image_keys: HashMap<String, ImageKey>,
    interference: InterferenceModel,
    durations: Durations,
    /// Ends of runs that succeeded after they were given up, while a newer run may exist; by task,
    /// those of a gang by its first one.
    late_ends: HashMap<TaskId, Vec<late_end::LateEnd>>,
    /// When runners were last heard that crashed without a new run.
    unexplained_crashes: Vec<Instant>,
    /// Jobs that were cancelled before their submission arrived.
    cancelled_before_submission: HashSet<JobId>,
    later_jobs: namesakes::LaterJobs,
    /// When all runs started by earlier owners on unreachable runners have ended.
    orphan_runs_until: Instant,
    /// Added to the maximum age of reports in the options.
    extra_report_age: Duration,
    listings: Listings,
    evacuations: Evacuations,
    fenced: bool,
}

impl Engine {
    /// Creates an engine without jobs or runners that takes over its group at `now`.
    pub fn new(options: Options, now: Instant) -> Self {
        Self {
            policy: Policy::default(),
            accepted_queues: HashMap::new(),
            jobs: HashMap::new(),
            runners: Vec::new(),
            runner_keys: HashMap::new(),
            ready: BTreeSet::new(),
            restarts: BTreeSet::new(),
            timers: BTreeSet::new(),
            dirty: DirtyJobs::default(),
            resume_at: None,
            resume_idle_at: None,
            listed_until: None,
            start_window: start_window::StartWindow::default(),
            kept_free: None,
            is_next_trial_by_wait: true,
            settled: VecDeque::new(),
            orders: Vec::new(),
            idle_tasks: stalled::IdleTasks::new(),
            unsettled_runs: BTreeSet::new(),
            image_keys: HashMap::new(),
            interference: InterferenceModel::default(),
            durations: Durations::default(),
            late_ends: HashMap::new(),
            unexplained_crashes: Vec::new(),
            cancelled_before_submission: HashSet::new(),
            later_jobs: namesakes::LaterJobs::new(),
            orphan_runs_until: now + options.orphan_run_max,
            options,
            extra_report_age: Duration::ZERO,
            listings: Listings::default(),
            evacuations: Evacuations::default(),
            fenced: false,
        }
    }

    /// Version of the policy in effect; 0 before the first.
    pub fn policy_version(&self) -> u64 {
        self.policy.version
    }

    /// Applies a policy, unless the one in effect is at least as new.
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

    /// Sets the terms under which jobs of a queue are added while the policy has no such queue: it
    /// may have been removed after a job was accepted.
    pub fn remember_queue(&mut self, queue: Queue) {
        self.accepted_queues.insert(queue.name.clone(), queue);
    }

    /// Returns whether a runner has rejected this engine's fencing token.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Records that earlier owners renew no leases after `ended_at`, so the last of their leases
    /// expires within one lease term from then.
    pub fn predecessor_ended(&mut self, ended_at: Instant) {
        let until = ended_at + self.options.lease_term + LEASE_CLOCK_SLACK;
        self.orphan_runs_until = self.orphan_runs_until.min(until);
        for runner in &mut self.runners {
            runner.lease.limit_earlier_owners(until);
        }
    }

    /// Cancels a job; returns `false` if it has ended. An unknown job is cancelled as soon as it is
    /// added.
    pub fn cancel(&mut self, id: JobId, now: Instant) -> bool {
        if !self.jobs.contains_key(&id) {
            self.cancelled_before_submission.insert(id);
            return true;
        }
        let is_open = |job: &Job| !job.phase.is_final();
        if !self.jobs.get(&id).is_some_and(is_open) {
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
        // The change of the phase makes this version.
        job.final_version = job.version + 1;
        self.mark_changed(id);
        self.timers.retain(|&(_, job, _)| job != id);
        for task in self.task_ids(id) {
            self.end_run(task, now);
            self.update_ready(task);
        }
    }

    /// Ids of all tasks of a job.
    fn task_ids(&self, id: JobId) -> Vec<TaskId> {
        let occurrences = self.jobs.get(&id).map_or(&[][..], |job| &job.tasks);
        let mut tasks = Vec::new();
        for (occurrence, steps) in occurrences.iter().enumerate() {
            for (step, step_state) in steps.iter().enumerate() {
                tasks.extend((0..step_state.tasks.len()).map(|index| TaskId {
                    job: id,
                    occurrence: occurrence as u32,
                    step: step as u16,
                    index: index as u16,
                }));
            }
        }
        tasks
    }

    fn order_stop(&mut self, runner: RunnerKey, task: TaskId, run: u32) {
        let runner = self.runner(runner).info.id.clone();
        self.orders.push(Order::Stop { runner, task, run });
    }

    /// Adds or updates a runner from the instance list.
    pub fn update_runner(&mut self, info: RunnerInfo, now: Instant) {
        let key = self.runner_key(&info.id);
        let is_evacuated = self.is_evacuated(&info.data_centre);
        let runner = self.runner_mut(key);
        runner.is_evacuated = is_evacuated;
        let is_draining = info.state == RunnerState::Draining;
        let starts_draining =
            is_draining && (!runner.listed || runner.info.state != RunnerState::Draining);
        if !info.capacity.fits(runner.info.capacity) {
            // What an earlier refusal lacked may be free now.
            runner.backoff.room_freed();
        }
        runner.update(info, now);
        if starts_draining {
            self.move_off_draining(key, now);
        } else if is_evacuated {
            self.release_uncommitted(key, now);
        }
    }

    /// Moves long-running and checkpointing tasks off a draining runner: they would be killed when
    /// it leaves and lose nothing by moving now. Other tasks may still finish in time.
    fn move_off_draining(&mut self, key: RunnerKey, now: Instant) {
        self.release_uncommitted(key, now);
        let claims = self.runner(key).claims.keys();
        let tasks: Vec<_> = claims.map(|&(task, _)| task).collect();
        let can_move = |step: &StepSpec| step.long_running || step.checkpointing;
        for task in tasks {
            if self.step_of(task).is_some_and(can_move) {
                log::info!(
                    "event=run.evacuate task={task} runner={}",
                    self.runner(key).info.id
                );
                self.end_run(task, now);
            }
        }
    }

    /// Requeues the tasks on a runner whose placement is not committed, as their starts would come
    /// after the runner was known to leave.
    fn release_uncommitted(&mut self, key: RunnerKey, now: Instant) {
        let claims: Vec<_> = self.runner(key).claims.keys().copied().collect();
        for (task, run) in claims {
            if let Some(Stage::Committing(_)) = self.stage_on(key, task, run) {
                log::info!(
                    "event=run.release task={task} run={run} runner={}",
                    self.runner(key).info.id
                );
                self.end_run(task, now);
            }
        }
    }

    /// Records that the instance list no longer contains a runner.
    pub fn unlist_runner(&mut self, id: &str, now: Instant) {
        if let Some(&key) = self.runner_keys.get(id) {
            self.runner_mut(key).listed = false;
            self.release_uncommitted(key, now);
        }
    }

    /// Returns the orders issued since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Does what [`Self::settle`] and [`Self::place`] do.
    pub fn tick(&mut self, wall_ms: u64, now: Instant) {
        self.settle(wall_ms, now);
        self.place(wall_ms, now);
    }

    /// Opens due occurrences, requeues runs whose lease has expired and orders the stops that are due.
    pub fn settle(&mut self, wall_ms: u64, now: Instant) {
        while let Some(&(due_ms, job, _)) = self.timers.first() {
            if due_ms > wall_ms {
                break;
            }
            self.timers.pop_first();
            self.open_occurrences(job, wall_ms);
        }
        self.expire_leases(now);
        self.settle_runs(now);
    }

    /// Places ready tasks.
    pub fn place(&mut self, wall_ms: u64, now: Instant) {
        self.place_ready(wall_ms, now);
    }

    /// Counts, by queue, accepted jobs of which no task is known to have run. Jobs with a schedule
    /// are not counted.
    pub fn waiting_jobs(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values() {
            if !job.has_run && !job.phase.is_final() && job.spec.schedule.is_none() {
                *counts.entry(job.spec.queue.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Phase of a job, or `None` for an unknown job. A job that has ended is reported as active
    /// until its final phase is committed.
    pub fn phase(&self, id: JobId) -> Option<Phase> {
        let job = self.jobs.get(&id)?;
        let is_certain = !job.phase.is_final() || job.is_end_committed();
        Some(if is_certain { job.phase } else { Phase::Active })
    }

    /// Removes jobs that ended longer ago than the retention and returns their ids. A job whose end
    /// is not committed, or that is being written, is kept.
    pub fn remove_expired_jobs(&mut self, now: Instant) -> Vec<JobId> {
        let retention = self.options.retention;
        let expired = |job: &Job| {
            job.finished_at.is_some_and(|at| now >= at + retention)
                && job.is_end_committed()
                && !job.commit_in_flight
        };
        let ids = self.jobs.iter().filter(|(_, job)| expired(job));
        let ids = ids.map(|(&id, _)| id);
        let ids: Vec<_> = ids.filter(|&id| !self.has_later_jobs(id)).collect();
        if ids.is_empty() {
            return ids;
        }
        for &id in &ids {
            self.jobs.remove(&id);
            self.forget_number(id);
        }
        let jobs = &self.jobs;
        self.late_ends
            .retain(|task, _| jobs.contains_key(&task.job));
        self.dirty.retain(|id| jobs.contains_key(&id));
        self.unsettled_runs
            .retain(|(task, _)| jobs.contains_key(&task.job));
        // Ends that only their job kept back count no more.
        self.acknowledge();
        ids
    }

    /// Resources that a run of a task reserves; `None` for a task of an unknown job.
    fn claim_of(&mut self, id: TaskId, now: Instant) -> Option<Claim> {
        let spec = Arc::clone(&self.jobs.get(&id.job)?.spec);
        let step = spec.steps.get(usize::from(id.step))?;
        Some(self.claim_of_step(step, now))
    }

    fn claim_of_step(&mut self, step: &StepSpec, now: Instant) -> Claim {
        Claim::new(step, self.image_key(&step.image), now)
    }

    fn runner_key(&mut self, id: &str) -> RunnerKey {
        if let Some(&key) = self.runner_keys.get(id) {
            return key;
        }
        let key = RunnerKey(self.runners.len() as u32);
        let info = RunnerInfo {
            id: id.to_owned(),
            address: String::new(),
            data_centre: String::new(),
            service: String::new(),
            state: RunnerState::Draining,
            cold_remaining: Duration::ZERO,
            capacity: persimmon_types::Size::ZERO,
            labels: Vec::new(),
        };
        let mut runner = Runner::new(info, self.orphan_runs_until);
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

    fn step(&self, id: TaskId) -> Option<&Step> {
        self.jobs.get(&id.job)?.step(id)
    }

    fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id)?.tasks.get(usize::from(id.index))
    }

    fn step_mut(&mut self, id: TaskId) -> Option<&mut Step> {
        let job = self.jobs.get_mut(&id.job)?;
        let steps = job.tasks.get_mut(id.occurrence as usize)?;
        steps.get_mut(usize::from(id.step))
    }

    fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id)?.tasks.get_mut(usize::from(id.index))
    }
}
