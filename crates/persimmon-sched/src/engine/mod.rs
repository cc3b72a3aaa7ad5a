mod commit;
mod disturb;
mod durations;
mod learned;
mod load;
mod lost;
mod place;
mod report;
mod start;

pub use learned::Learned;
pub use load::Load;

use self::durations::Durations;

use crate::{
    fleet::{Claim, Image, Runner, RunnerKey},
    JobId, JobSpec, Mark, Phase, Policy, Record, RunnerInfo, StepSpec, TaskId, TaskRecord,
};
use persimmon_interference::Pressure;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

/// A runner's clock may be slow by this much over a lease.
const LEASE_SLACK: Duration = Duration::from_millis(500);

/// Limits of an [`Engine`].
#[derive(Debug, Clone)]
pub struct Options {
    /// A runner gets no new task unless it was heard within this time.
    pub heard_within: Duration,
    /// How long a run lives without a renewal of its lease.
    pub lease: Duration,
    /// What runners shorten longer leases to, whoever asks for them.
    pub lease_max: Duration,
    /// How long runs of an earlier owner may live on a runner that can't be reached.
    pub orphans: Duration,
    /// How long an ended job's state is kept.
    pub retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heard_within: Duration::from_millis(1_800),
            lease: Duration::from_secs(6),
            lease_max: Duration::from_secs(10),
            orphans: Duration::from_secs(27),
            retention: Duration::from_secs(130),
        }
    }
}

/// A call to make to a runner.
#[derive(Debug, Clone)]
pub enum Order {
    /// Start a run.
    Start {
        /// The runner's id.
        runner: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The job that the task belongs to.
        job: Arc<JobSpec>,
        /// The checkpoint to resume from; empty for none.
        saved: String,
    },
    /// Stop a run, or keep one that is not there yet from starting.
    Stop {
        /// The runner's id.
        runner: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
    /// Let a run work at a share only.
    Pace {
        /// The runner's id.
        runner: String,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
        /// The share, 0 to 100.
        percent: u8,
    },
}

/// What a runner answered to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The run is there.
    Started,
    /// It has a higher fence: this engine no longer owns the group.
    Fenced,
    /// The run's number is not above one that ended there.
    Old,
    /// It has no room.
    Room,
    /// It did nothing: the deadline had passed, it was unwell, or another incarnation was meant.
    Refused,
    /// No byte of the call was sent.
    NotSent,
    /// The call may have been carried out, or may be later.
    Unknown,
}

/// A record to write under a condition.
#[derive(Debug, Clone)]
pub struct Commit {
    /// The job.
    pub job: JobId,
    /// The version of its state that the record holds.
    pub version: u64,
    /// The revision that the record's key must have; 0 if it must not exist.
    pub revision: u64,
    /// The record.
    pub record: Record,
}

/// A job's record as read from the store.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The key's revision.
    pub revision: u64,
    /// The record.
    pub record: Record,
}

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
    timers: BTreeMap<(u64, JobId, u32), ()>,
    dirty: BTreeSet<JobId>,
    orders: Vec<Order>,
    images: HashMap<String, Image>,
    pressure: Pressure,
    durations: Durations,
    /// Jobs whose cancellation came before they did.
    cancelled_early: HashSet<JobId>,
    /// When runs of an earlier owner on runners that can't be reached have ended.
    orphans_until: Instant,
    fenced: bool,
}

/// The order in which tasks are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    due_ms: u64,
    task: TaskId,
}

#[derive(Debug)]
struct Job {
    spec: Arc<JobSpec>,
    service: String,
    priority: u8,
    due_ms: u64,
    /// The time that callers accept from submission to end.
    allowed_ms: u64,
    attempts_max: u32,
    phase: Phase,
    /// By occurrence, step and index.
    tasks: Vec<Vec<Step>>,
    /// Rises with each change that the store must learn of.
    version: u64,
    committed: u64,
    in_flight: bool,
    revision: u64,
    finished_at: Option<Instant>,
}

#[derive(Debug)]
struct Step {
    tasks: Vec<Task>,
    done: u32,
    open: bool,
}

#[derive(Debug, Clone)]
struct Task {
    state: State,
    run: u32,
    failures: u32,
    saved: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting { not_before: Option<Instant> },
    Placed { runner: RunnerKey, stage: Stage },
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its record is on the way to the store, at this version of the job.
    Committing(u64),
    /// Its start was ordered and not answered yet.
    Ordered,
    /// An earlier owner placed it; its runner was not heard yet.
    Adopted,
    /// It was there at this time.
    Running(Instant),
    /// Its start had no answer: it is there, or may come, or never will.
    Doubt {
        asked_at: Instant,
        stopped_at: Option<Instant>,
    },
    /// It is to end.
    Stopping {
        asked_at: Instant,
        stopped_at: Option<Instant>,
    },
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
            timers: BTreeMap::new(),
            dirty: BTreeSet::new(),
            orders: Vec::new(),
            images: HashMap::new(),
            pressure: Pressure::default(),
            durations: Durations::default(),
            cancelled_early: HashSet::new(),
            orphans_until: now + options.orphans,
            options,
            fenced: false,
        }
    }

    /// Takes the operators' latest policy.
    pub fn configure(&mut self, policy: Policy) {
        if policy.version < self.policy.version {
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

    /// Takes a job with its record, if one was written. A job that is already here stays as it is.
    pub fn adopt(&mut self, spec: JobSpec, stored: Option<Stored>, wall_ms: u64, now: Instant) {
        if self.jobs.contains_key(&spec.id) {
            return;
        }
        let queue = self.policy.queue(&spec.queue).cloned().unwrap_or_default();
        let chain_ms = self.durations.chain_ms(&spec);
        let allowed_ms = (chain_ms * queue.stretch.max(1.0)) as u64 + queue.target_ms;
        let id = spec.id;
        let mut job = Job {
            service: queue.service,
            priority: queue.priority,
            due_ms: spec.submitted_at_ms + allowed_ms,
            allowed_ms,
            attempts_max: queue.attempts_max.max(1),
            phase: Phase::Queued,
            tasks: Vec::new(),
            version: 0,
            committed: 0,
            in_flight: false,
            revision: 0,
            finished_at: None,
            spec: Arc::new(spec),
        };
        if let Some(stored) = stored {
            job.revision = stored.revision;
            job.phase = stored.record.phase;
            job.finished_at = job.phase.is_final().then_some(now);
            self.restore(&mut job, &stored.record, now);
        }
        let is_final = job.phase.is_final();
        self.jobs.insert(id, job);
        if is_final {
            // An earlier owner may have ended the job without stopping what ran.
            for task in self.tasks_of(id) {
                self.end_run(task, now);
            }
        }
        if self.cancelled_early.remove(&id) {
            self.cancel(id, now);
        }
        self.open_occurrences(id, wall_ms);
    }

    fn restore(&mut self, job: &mut Job, record: &Record, now: Instant) {
        let spec = Arc::clone(&job.spec);
        for (occurrence, steps) in record.tasks.iter().enumerate() {
            let mut restored = Vec::with_capacity(steps.len());
            for (step, tasks) in steps.iter().enumerate() {
                let mut into = Step::new(0);
                for (index, task) in tasks.iter().enumerate() {
                    let id = TaskId {
                        job: spec.id,
                        occurrence: occurrence as u32,
                        step: step as u16,
                        index: index as u16,
                    };
                    into.done += u32::from(task.mark == Mark::Done);
                    let state = self.restore_task(&spec, id, task, record, now);
                    into.tasks.push(Task {
                        state,
                        run: task.run,
                        failures: task.failures,
                        saved: task.saved.clone(),
                    });
                }
                restored.push(into);
            }
            job.tasks.push(restored);
        }
    }

    fn restore_task(
        &mut self,
        spec: &JobSpec,
        id: TaskId,
        task: &TaskRecord,
        record: &Record,
        now: Instant,
    ) -> State {
        let Some(runner) = record.runner(task.mark) else {
            return if task.mark == Mark::Done {
                State::Done
            } else {
                State::Waiting { not_before: None }
            };
        };
        let key = self.runner_key(runner);
        let claim = self.claim_of_step(&spec.steps[usize::from(id.step)], now);
        self.runner_mut(key).claim(id, task.run, claim);
        State::Placed {
            runner: key,
            stage: Stage::Adopted,
        }
    }

    /// Opens the occurrences that are due and sets timers for the others.
    fn open_occurrences(&mut self, id: JobId, wall_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        let spec = Arc::clone(&job.spec);
        while (job.tasks.len() as u32) < spec.occurrences() {
            let next = job.tasks.len() as u32;
            let due_ms = spec.schedule.map_or(0, |schedule| {
                schedule.first_at_ms + u64::from(next) * schedule.interval_ms
            });
            if due_ms > wall_ms {
                self.timers.insert((due_ms, id, next), ());
                break;
            }
            let steps = spec.steps.iter();
            job.tasks
                .push(steps.map(|it| Step::new(it.count as usize)).collect());
        }
        for occurrence in 0..job.tasks.len() as u32 {
            self.open_steps(id, occurrence);
        }
    }

    /// Opens the steps of an occurrence whose earlier steps are done.
    fn open_steps(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        let steps = &mut job.tasks[occurrence as usize];
        for at in 0..steps.len() {
            let after = &job.spec.steps[at].after;
            let is_done = |&it: &u16| steps[usize::from(it)].is_done();
            if steps[at].open || !after.iter().all(is_done) {
                continue;
            }
            steps[at].open = true;
            for (index, task) in steps[at].tasks.iter().enumerate() {
                if matches!(task.state, State::Waiting { .. }) {
                    self.ready.insert(Rank {
                        priority: job.priority,
                        due_ms: job.due_ms,
                        task: TaskId {
                            job: id,
                            occurrence,
                            step: at as u16,
                            index: index as u16,
                        },
                    });
                }
            }
        }
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
        self.timers.retain(|&(_, job, _), ()| job != id);
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
                self.order_stop(runner, id, run);
            }
        }
    }

    fn order_stop(&mut self, runner: RunnerKey, task: TaskId, run: u32) {
        let runner = self.runner(runner).info.id.clone();
        self.orders.push(Order::Stop { runner, task, run });
    }

    /// Takes a runner of the instance list.
    pub fn list(&mut self, info: RunnerInfo) {
        let key = self.runner_key(&info.id);
        let runner = self.runner_mut(key);
        runner.info = info;
        runner.listed = true;
    }

    /// Takes note that the instance list no longer names a runner.
    pub fn unlist(&mut self, id: &str) {
        if let Some(&key) = self.runner_keys.get(id) {
            self.runner_mut(key).listed = false;
        }
    }

    /// The orders that have come up since the last call.
    pub fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// When the next occurrence is due, in milliseconds since the Unix epoch.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.timers.keys().next().map(|&(due_ms, ..)| due_ms)
    }

    /// Opens occurrences that have come due, takes lapsed runs as ended, and places what is ready.
    pub fn step(&mut self, wall_ms: u64, now: Instant) {
        while let Some((&(due_ms, job, _), ())) = self.timers.first_key_value() {
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

    /// Jobs that were accepted and have no task started, by queue. Jobs with due times don't count.
    pub fn waiting(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values() {
            if job.phase == Phase::Queued && job.spec.schedule.is_none() {
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
    pub fn expire(&mut self, now: Instant) -> Vec<JobId> {
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
        let fill_cpu_millis = if step.fills { step.size.cpu_millis } else { 0 };
        Claim {
            size: step.claim(),
            fill_cpu_millis,
            serves: step.serves(),
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
            state: crate::RunnerState::Draining,
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

impl Step {
    fn new(count: usize) -> Self {
        let task = Task {
            state: State::Waiting { not_before: None },
            run: 0,
            failures: 0,
            saved: String::new(),
        };
        Self {
            tasks: vec![task; count],
            done: 0,
            open: false,
        }
    }

    fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}
