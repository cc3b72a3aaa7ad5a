//! A shard whose workers run tasks for their declared run time; commits take effect at once unless
//! they are held back.

use persimmon_place::Shares;
use persimmon_shard::{
    Charts, Core, JobState, JobTable, Options, Seq, Submission, SyncAnswer, TaskCommand,
    TaskStatus, TaskView, WorkerSpec,
};
use persimmon_ticket::{BatchClass, Rerun};
use persimmon_types::Size;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

pub(crate) const START_UNIX_MS: u64 = 1_000_000;
/// The capacity of each worker.
pub(crate) const CAPACITY: Size = Size {
    cpu_millis: 4_000,
    memory_mib: 4_000,
    accelerators: 0,
};
pub(crate) const SHARES: Shares = Shares {
    latency_critical_percent: 0,
    batch_percent: 100,
};

struct Task {
    status: TaskStatus,
    fails: bool,
    size: Size,
    ends_at_ms: u64,
}

pub(crate) struct Shard {
    pub(crate) core: Core,
    charts: Arc<Charts>,
    pub(crate) commits_held: bool,
    /// The classes of which every task fails.
    pub(crate) failing_classes: Vec<String>,
    /// The classes whose tasks never end.
    pub(crate) hanging_classes: Vec<String>,
    /// What each worker reports as used beside its tasks.
    pub(crate) used_beside: Vec<Size>,
    /// The jobs of which every task fails.
    pub(crate) failing_jobs: Vec<u64>,
    /// The jobs whose tasks crash their workers as they start.
    pub(crate) crashing_jobs: Vec<u64>,
    /// The incarnation of each worker.
    incarnations: Vec<u64>,
    started_at: Instant,
    now_ms: u64,
    uncommitted: Option<Seq>,
    workers: Vec<BTreeMap<(u64, u32), Task>>,
}

pub(crate) fn class(name: &str, cpu_millis: u32, run_time: Duration) -> BatchClass {
    BatchClass {
        name: name.to_owned(),
        team: "team".to_owned(),
        size: Size {
            cpu_millis,
            memory_mib: 100,
            accelerators: 0,
        },
        run_time,
        rerun: Rerun::Safe,
        attempts_max: 3,
        urgent: false,
    }
}

pub(crate) fn worker_spec(index: usize) -> WorkerSpec {
    WorkerSpec {
        id: format!("w{index}"),
        address: format!("w{index}"),
        rack: "rack".to_owned(),
        capacity: CAPACITY,
        runners: Size::ZERO,
        leaving: false,
    }
}

fn core(charts: &Arc<Charts>, jobs: JobTable, owned_since: Instant) -> Core {
    let charts = Arc::clone(charts);
    Core::new(Options::default(), charts, SHARES, jobs, owned_since)
}

impl Shard {
    pub(crate) fn new(workers: usize) -> Self {
        let charts = Arc::new(Charts::load().expect("valid charts"));
        let started_at = Instant::now();
        let mut core = core(&charts, JobTable::default(), started_at);
        let specs: Vec<WorkerSpec> = (0..workers).map(worker_spec).collect();
        core.set_workers(&specs, started_at);
        let mut shard = Self {
            core,
            charts,
            commits_held: false,
            failing_classes: Vec::new(),
            hanging_classes: Vec::new(),
            used_beside: vec![Size::ZERO; workers],
            failing_jobs: Vec::new(),
            crashing_jobs: Vec::new(),
            incarnations: vec![1; workers],
            started_at,
            now_ms: 0,
            uncommitted: None,
            workers: (0..workers).map(|_| BTreeMap::new()).collect(),
        };
        shard.sync_due_workers();
        shard
    }

    pub(crate) fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now_ms)
    }

    pub(crate) fn now_unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_ms
    }

    /// Submits a job that is due `deadline` from now, and returns its number.
    pub(crate) fn submit(&mut self, class: BatchClass, deadline: Duration) -> u64 {
        let submission = Submission {
            key: format!("key-{}", self.core.jobs().last_number()),
            class,
            deadline_unix_ms: self.now_unix_ms() + deadline.as_millis() as u64,
        };
        let outcome = self.core.submit(submission, self.now_unix_ms());
        outcome.expect("accepted").number
    }

    pub(crate) fn state(&self, number: u64) -> JobState {
        self.core.jobs().try_find(number).expect("the job").state
    }

    /// The index of the worker on which a job was last placed.
    pub(crate) fn worker_of(&self, number: u64) -> usize {
        let job = self.core.jobs().try_find(number).expect("the job");
        let (id, _) = job.worker.as_ref().expect("a placement");
        let is_same = |index: &usize| worker_spec(*index).id == *id;
        (0..self.workers.len())
            .find(is_same)
            .expect("a known worker")
    }

    /// Lets another owner take the shard over, for which `specs` are listed.
    pub(crate) fn take_over(&mut self, specs: &[WorkerSpec]) {
        let jobs = self.core.jobs().clone();
        self.core = core(&self.charts, jobs, self.now());
        self.core.set_workers(specs, self.now());
    }

    /// The number of tasks that run on all workers.
    pub(crate) fn running(&self) -> usize {
        let tasks = self.workers.iter().flat_map(BTreeMap::values);
        tasks
            .filter(|task| task.status == TaskStatus::Running)
            .count()
    }

    /// Lets `duration` pass in steps of 100 ms.
    pub(crate) fn run_for(&mut self, duration: Duration) {
        const STEP_MS: u64 = 100;
        for _ in 0..duration.as_millis() as u64 / STEP_MS {
            self.now_ms += STEP_MS;
            self.round();
        }
    }

    /// Places jobs, commits, and calls the workers that are due.
    pub(crate) fn round(&mut self) {
        self.core.tick(self.now(), self.now_unix_ms());
        self.core.place_queued(self.now(), self.now_unix_ms());
        self.commit();
        self.sync_due_workers();
        self.commit();
    }

    fn commit(&mut self) {
        if let Some((seq, _)) = self.core.take_batch() {
            self.uncommitted = Some(seq);
        }
        if !self.commits_held {
            if let Some(seq) = self.uncommitted.take() {
                self.core.commit(seq);
            }
        }
    }

    fn sync_due_workers(&mut self) {
        for index in self.core.due_workers(self.now()) {
            let call = self.core.begin_sync(index, true);
            for command in &call.commands {
                self.execute(index, command);
            }
            self.end_tasks(index);
            let answer = self.answer(index);
            self.core
                .end_sync(index, Ok(answer), self.now(), self.now_unix_ms());
        }
    }

    /// Restarts a worker, which then runs nothing.
    pub(crate) fn crash(&mut self, index: usize) {
        self.workers[index].clear();
        self.incarnations[index] += 1;
    }

    fn execute(&mut self, index: usize, command: &TaskCommand) {
        if let TaskCommand::Start { number, .. } = command {
            if self.crashing_jobs.contains(number) {
                self.crash(index);
                return;
            }
        }
        let tasks = &mut self.workers[index];
        match command {
            TaskCommand::Start {
                number,
                attempt,
                class,
                size,
                run_time,
                ..
            } => {
                let run_ms = match self.hanging_classes.contains(class) {
                    true => u64::MAX / 2,
                    false => run_time.as_millis() as u64,
                };
                let task = Task {
                    status: TaskStatus::Running,
                    fails: self.failing_classes.contains(class)
                        || self.failing_jobs.contains(number),
                    size: *size,
                    ends_at_ms: self.now_ms + run_ms,
                };
                tasks.entry((*number, *attempt)).or_insert(task);
            }
            TaskCommand::Evict { number, attempt } | TaskCommand::Stop { number, attempt } => {
                if let Some(task) = tasks.get_mut(&(*number, *attempt)) {
                    task.status = TaskStatus::Stopped;
                }
            }
            TaskCommand::Forget { number, attempt } => {
                tasks.remove(&(*number, *attempt));
            }
            TaskCommand::Throttle { .. } => {}
        }
    }

    fn end_tasks(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let running = self.workers[index]
            .values_mut()
            .filter(|task| task.status == TaskStatus::Running && task.ends_at_ms <= now_ms);
        for task in running {
            task.status = match task.fails {
                true => TaskStatus::Failed,
                false => TaskStatus::Done,
            };
        }
    }

    fn answer(&self, index: usize) -> SyncAnswer {
        let tasks = &self.workers[index];
        let running = tasks
            .values()
            .filter(|task| task.status == TaskStatus::Running);
        let used = running.fold(self.used_beside[index], |sum, task| {
            sum.checked_add(task.size).expect("the sum of small sizes")
        });
        let report = |((number, attempt), task): (&(u64, u32), &Task)| TaskView {
            number: *number,
            attempt: *attempt,
            status: task.status,
            checkpoint: None,
        };
        SyncAnswer {
            incarnation: self.incarnations[index],
            nonce: self.now_ms + 1,
            tasks: tasks.iter().map(report).collect(),
            used,
        }
    }
}
