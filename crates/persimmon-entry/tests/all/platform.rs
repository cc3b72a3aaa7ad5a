//! A platform in memory: a store with leases and watches, and runners that keep their promises.

use persimmon_entry::{
    front, run, Catalog, Change, Effect, Expected, Fault, Front, Hold, Item, Lease, Options, Page,
    Request, Run, Runners, Store, Txn, TxnOutcome, Watched, Write,
};
use persimmon_sched::{
    Answer, End, EndKind, JobId, JobSpec, Phase, Policy, Queue, Report, RunStatus, RunnerInfo,
    RunnerState, StepSpec, TaskId,
};
use persimmon_types::{Clock, Size};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    future::{poll_fn, Future},
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::Poll,
    time::{Duration, Instant, SystemTime},
};
use tokio::{sync::Notify, task::LocalSet};

pub(crate) const PREFIX: &str = "/quotes/";
const HOST: &str = "bookings.example";
const SERVICE: &str = "bookings";
const POLICY: &str = "policy";
const RUNNERS: &str = "runners/";

fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Time that the test moves.
struct VirtualClock {
    began_at: Instant,
}

impl Clock for VirtualClock {
    fn now(&self) -> Instant {
        now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + (now() - self.began_at)
    }
}

#[derive(Default)]
pub(crate) struct World {
    revision: Cell<u64>,
    items: RefCell<BTreeMap<String, (Item, Option<u64>)>>,
    history: RefCell<Vec<(u64, Change)>>,
    changed: Notify,
    leases: RefCell<HashMap<u64, Instant>>,
    /// No call to the store is answered.
    pub(crate) is_dark: Cell<bool>,
    /// Every so many writes the answer is lost; 0 for never.
    pub(crate) lose_every: Cell<u64>,
    writes: Cell<u64>,
    runners: RefCell<BTreeMap<String, Worker>>,
    /// Every start that was carried out.
    pub(crate) starts: RefCell<Vec<(TaskId, u32, String)>>,
    /// Runs that were killed because their lease lapsed.
    pub(crate) lapses: Cell<u32>,
}

#[derive(Default)]
struct Worker {
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<TaskId, (u32, Instant)>,
    closed: HashMap<TaskId, u32>,
    ended: Vec<End>,
    next_end: u64,
}

impl Worker {
    fn end(&mut self, task: TaskId, run: u32, kind: EndKind) {
        self.running.remove(&task);
        self.closed.insert(task, run);
        self.next_end += 1;
        self.ended.push(End {
            number: self.next_end,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
    }
}

/// The platform as one process reaches it.
#[derive(Clone)]
pub(crate) struct Link {
    world: Rc<World>,
    began_at: Instant,
}

fn fault(step: &'static str, effect: Effect) -> Fault {
    Fault {
        step,
        peer: "memory".to_owned(),
        reason: "no answer".to_owned(),
        effect,
    }
}

impl Link {
    /// A call's way there; fails after its time limit while the store is dark.
    async fn reach(&self, step: &'static str) -> Result<(), Fault> {
        if self.world.is_dark.get() {
            tokio::time::sleep(Duration::from_millis(700)).await;
            return Err(fault(step, Effect::Unknown));
        }
        tokio::time::sleep(Duration::from_millis(4)).await;
        self.expire();
        Ok(())
    }

    /// Removes the keys of leases that have run out; they pause while the store is dark.
    fn expire(&self) {
        let lapsed = |until: &Instant| now() >= *until;
        let mut leases = self.world.leases.borrow_mut();
        let ended: Vec<_> = leases.iter().filter(|(_, it)| lapsed(it)).collect();
        let ended: Vec<_> = ended.into_iter().map(|(&lease, _)| lease).collect();
        for lease in ended {
            leases.remove(&lease);
            let items = self.world.items.borrow();
            let bound = items.values().filter(|(_, it)| *it == Some(lease));
            let keys: Vec<_> = bound.map(|(item, _)| item.key.clone()).collect();
            drop(items);
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn next_revision(&self) -> u64 {
        self.world.revision.set(self.world.revision.get() + 1);
        self.world.revision.get()
    }

    fn remove(&self, key: &str) {
        if self.world.items.borrow_mut().remove(key).is_some() {
            let revision = self.next_revision();
            let key = key.to_owned();
            self.record(revision, Change::Gone { key, revision });
        }
    }

    fn record(&self, revision: u64, change: Change) {
        self.world.history.borrow_mut().push((revision, change));
        self.world.changed.notify_waiters();
    }

    fn put(&self, write: &Write, revision: u64) {
        let item = Item {
            key: write.key.clone(),
            value: write.value.clone(),
            revision,
        };
        let lease = write.lease.map(|it| it.0);
        let mut items = self.world.items.borrow_mut();
        items.insert(write.key.clone(), (item.clone(), lease));
        drop(items);
        self.record(revision, Change::Put(item));
    }

    fn holds(&self, expected: &Expected) -> bool {
        let items = self.world.items.borrow();
        let known = items.get(&expected.key).map_or(0, |(it, _)| it.revision);
        known == expected.revision
    }

    /// What changed under `prefix` after `revision`.
    fn changes(&self, prefix: &str, revision: u64) -> Vec<Change> {
        let history = self.world.history.borrow();
        let news = history.iter().filter(|(at, change)| {
            let key = match change {
                Change::Put(item) => &item.key,
                Change::Gone { key, .. } => key,
            };
            *at > revision && key.starts_with(prefix)
        });
        news.map(|(_, change)| change.clone()).collect()
    }

    fn clock_ms(&self) -> u64 {
        (now() - self.began_at).as_millis() as u64 + 1
    }

    /// Lets a runner's tasks end or lapse.
    fn work(&self, worker: &mut Worker) {
        let lapsed = self.clock_ms() > worker.deadline_ms;
        let over = |until: &Instant| now() >= *until;
        let running = worker.running.iter();
        let due: Vec<_> = running
            .filter(|(_, (_, until))| lapsed || over(until))
            .map(|(&task, &(run, until))| (task, run, over(&until)))
            .collect();
        for (task, run, is_done) in due {
            if lapsed && !is_done {
                self.world.lapses.set(self.world.lapses.get() + 1);
            }
            let kind = if is_done { EndKind::Done } else { EndKind::Cut };
            worker.end(task, run, kind);
        }
    }
}

impl Store for Link {
    async fn get(&self, key: &str) -> Result<Option<Item>, Fault> {
        self.reach("get").await?;
        let items = self.world.items.borrow();
        Ok(items.get(key).map(|(item, _)| item.clone()))
    }

    async fn range(&self, prefix: &str, after: &str) -> Result<Page, Fault> {
        self.reach("range").await?;
        let items = self.world.items.borrow();
        let found = items
            .values()
            .map(|(item, _)| item)
            .filter(|item| item.key.starts_with(prefix) && item.key.as_str() > after);
        Ok(Page {
            items: found.cloned().collect(),
            has_more: false,
            revision: self.world.revision.get(),
        })
    }

    async fn watch(&self, prefix: &str, revision: u64, wait: Duration) -> Result<Watched, Fault> {
        self.reach("watch").await?;
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.world.changed.notified();
            self.expire();
            let changes = self.changes(prefix, revision);
            let is_over = tokio::time::Instant::now() >= until;
            if !changes.is_empty() || is_over || self.world.is_dark.get() {
                let revision = self.world.revision.get();
                return Ok(Watched::Changes { changes, revision });
            }
            // Leases end without a change that wakes a watch.
            let step = Duration::from_millis(100);
            let _ = tokio::time::timeout(step, changed).await;
        }
    }

    async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, Fault> {
        self.reach("txn").await?;
        if !txn.expected.iter().all(|it| self.holds(it)) {
            let items = self.world.items.borrow();
            let named = txn.expected.iter().filter_map(|it| items.get(&it.key));
            let items = named.map(|(item, _)| item.clone()).collect();
            return Ok(TxnOutcome::Conflict { items });
        }
        let leases = txn.writes.iter().filter_map(|write| write.lease);
        for lease in leases {
            if !self.world.leases.borrow().contains_key(&lease.0) {
                return Ok(TxnOutcome::NoLease);
            }
        }
        let revision = self.next_revision();
        txn.writes
            .iter()
            .for_each(|write| self.put(write, revision));
        txn.remove.iter().for_each(|key| self.remove(key));
        self.world.writes.set(self.world.writes.get() + 1);
        let lose_every = self.world.lose_every.get();
        if lose_every > 0 && self.world.writes.get() % lose_every == 0 {
            return Err(fault("txn", Effect::Unknown));
        }
        Ok(TxnOutcome::Done { revision })
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Fault> {
        self.reach("grant").await?;
        let lease = self.next_revision();
        // The term is kept beside the end, in the lease's own number, by `keep`.
        self.world.leases.borrow_mut().insert(lease, now() + ttl);
        Ok(Lease(lease))
    }

    async fn keep(&self, lease: Lease) -> Result<bool, Fault> {
        self.reach("keep").await?;
        let mut leases = self.world.leases.borrow_mut();
        let Some(until) = leases.get_mut(&lease.0) else {
            return Ok(false);
        };
        *until = now() + Duration::from_secs(2);
        Ok(true)
    }

    async fn end(&self, lease: Lease) -> Result<(), Fault> {
        self.reach("end").await?;
        self.world.leases.borrow_mut().insert(lease.0, now());
        self.expire();
        Ok(())
    }
}

impl Runners for Link {
    async fn hold(&self, runner: &RunnerInfo, hold: Hold) -> Result<Report, Fault> {
        let until = now() + hold.wait;
        loop {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let mut runners = self.world.runners.borrow_mut();
            let worker = runners.get_mut(&runner.id);
            let worker = worker.ok_or_else(|| fault("hold", Effect::None))?;
            self.work(worker);
            if hold.fence < worker.fence {
                return Err(fault("hold", Effect::None));
            }
            worker.fence = hold.fence;
            worker.deadline_ms = worker.deadline_ms.max(hold.deadline_ms.unwrap_or(0));
            worker.ended.retain(|end| end.number > hold.acknowledged);
            if worker.ended.is_empty() && now() < until {
                continue;
            }
            let running = worker.running.iter().map(|(&task, &(run, _))| RunStatus {
                task,
                run,
                checkpoint: String::new(),
                measurement: 0,
                percent: 50,
            });
            return Ok(Report {
                incarnation_ms: 1,
                clock_ms: self.clock_ms(),
                running: running.collect(),
                ended: worker.ended.clone(),
            });
        }
    }

    async fn start(
        &self,
        runner: &RunnerInfo,
        run: Run,
        job: &JobSpec,
        _saved: &str,
        deadline_ms: u64,
    ) -> Answer {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let mut runners = self.world.runners.borrow_mut();
        let Some(worker) = runners.get_mut(&runner.id) else {
            return Answer::Unknown;
        };
        self.work(worker);
        if run.fence < worker.fence {
            return Answer::Fenced;
        }
        let closed = worker.closed.get(&run.task).copied().unwrap_or(0);
        if run.number <= closed {
            return Answer::Old;
        }
        worker.fence = run.fence;
        worker.deadline_ms = worker.deadline_ms.max(deadline_ms);
        let step = &job.steps[usize::from(run.task.step)];
        let lasts = Duration::from_millis(step.estimate_ms);
        worker.running.insert(run.task, (run.number, now() + lasts));
        let start = (run.task, run.number, runner.id.clone());
        self.world.starts.borrow_mut().push(start);
        Answer::Started
    }

    async fn stop(&self, runner: &RunnerInfo, run: Run) -> Result<(), Fault> {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let mut runners = self.world.runners.borrow_mut();
        let worker = runners.get_mut(&runner.id);
        let worker = worker.ok_or_else(|| fault("stop", Effect::Unknown))?;
        if run.fence < worker.fence {
            return Err(fault("stop", Effect::None));
        }
        if worker.running.get(&run.task).map(|it| it.0) == Some(run.number) {
            worker.end(run.task, run.number, EndKind::Cut);
        }
        worker.closed.insert(run.task, run.number);
        Ok(())
    }

    async fn pace(&self, _: &RunnerInfo, _: Run, _: u8) -> Result<(), Fault> {
        Ok(())
    }
}

impl Catalog for Link {
    fn policy_key(&self) -> &str {
        POLICY
    }

    fn runners_prefix(&self) -> &str {
        RUNNERS
    }

    fn policy(&self, _value: &[u8]) -> Result<Policy, Fault> {
        Ok(Policy {
            version: 1,
            queues: vec![Queue {
                name: "quotes".to_owned(),
                host: HOST.to_owned(),
                prefix: PREFIX.to_owned(),
                service: SERVICE.to_owned(),
                attempts_max: 2,
                stretch: 2.0,
                ..Queue::default()
            }],
            ..Policy::default()
        })
    }

    fn runner(&self, id: &str, _value: &[u8]) -> Result<RunnerInfo, Fault> {
        Ok(RunnerInfo {
            id: id.to_owned(),
            address: String::new(),
            service: SERVICE.to_owned(),
            state: RunnerState::Ready,
            capacity: Size {
                cpu_millis: 8_000,
                memory_mib: 8_000,
                accelerators: 0,
            },
            labels: vec!["a".to_owned(), "r1".to_owned()],
        })
    }
}

/// A process on its own task set, so that it can be killed with everything in it.
pub(crate) struct Process {
    tasks: LocalSet,
}

/// A platform with its processes.
pub(crate) struct Site {
    pub(crate) world: Rc<World>,
    began_at: Instant,
    pub(crate) processes: Vec<Option<Process>>,
}

impl Site {
    /// A platform with some runners and a policy, and no process yet.
    pub(crate) fn new(runners: &[&str]) -> Self {
        let site = Self {
            world: Rc::default(),
            began_at: now(),
            processes: Vec::new(),
        };
        let link = site.link();
        let put = |key: &str| {
            let write = Write::lasting(key.to_owned(), Vec::new());
            link.put(&write, link.next_revision());
        };
        put(POLICY);
        for id in runners {
            put(&format!("{RUNNERS}{id}"));
            let worker = Worker::default();
            let mut workers = site.world.runners.borrow_mut();
            workers.insert((*id).to_owned(), worker);
        }
        site
    }

    fn link(&self) -> Link {
        Link {
            world: Rc::clone(&self.world),
            began_at: self.began_at,
        }
    }

    /// Starts a process.
    pub(crate) fn start(&mut self, name: &str) -> Front {
        self.start_sized(name, 500, 1)
    }

    /// Starts a process that can carry so much, beside a number of groups.
    pub(crate) fn start_sized(
        &mut self,
        name: &str,
        capacity_millis: u32,
        group_count: u16,
    ) -> Front {
        let (front, calls) = front();
        let options = Options {
            name: name.to_owned(),
            incarnation: self.processes.len() as u64,
            peer_address: "127.0.0.1:0".parse().expect("an address"),
            capacity_millis,
            group_count,
            engine: persimmon_sched::Options::default(),
        };
        let clock = Arc::new(VirtualClock {
            began_at: self.began_at,
        });
        let tasks = LocalSet::new();
        let link = self.link();
        tasks.spawn_local(run(link, options, clock, calls, std::future::pending()));
        self.processes.push(Some(Process { tasks }));
        front
    }

    /// Kills the process that was started as number `at`.
    pub(crate) fn kill(&mut self, at: usize) {
        self.processes[at] = None;
    }

    /// Lets all processes run until `until` completes.
    pub(crate) async fn play<T>(&mut self, until: impl Future<Output = T>) -> T {
        let mut until = Box::pin(until);
        poll_fn(|context| {
            for process in self.processes.iter_mut().flatten() {
                // A process never completes: its duties run for good.
                let _ = Pin::new(&mut process.tasks).poll(context);
            }
            match until.as_mut().poll(context) {
                Poll::Ready(value) => Poll::Ready(value),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Lets all processes run for a time.
    pub(crate) async fn pass(&mut self, time: Duration) {
        self.play(tokio::time::sleep(time)).await;
    }

    /// The name of the process that owns a group.
    pub(crate) fn owner_of(&self, group: u16) -> Option<String> {
        let items = self.world.items.borrow();
        let (item, _) = items.get(&format!("ps/m/own/{group}"))?;
        let text = String::from_utf8_lossy(&item.value).into_owned();
        Some(text.split_once('#')?.0.to_owned())
    }

    /// The number of starts of a job's tasks.
    pub(crate) fn starts_of(&self, job: u64) -> usize {
        let starts = self.world.starts.borrow();
        starts
            .iter()
            .filter(|(task, ..)| task.job == JobId(job))
            .count()
    }
}

pub(crate) fn request(job: u64) -> Request {
    Request {
        host: HOST.to_owned(),
        path: format!("{PREFIX}{}", JobId(job)),
        patience: Some(Duration::from_secs(3)),
    }
}

/// A job with one task that runs for `ms`.
pub(crate) fn spec(ms: u64) -> JobSpec {
    JobSpec {
        id: JobId(0),
        queue: String::new(),
        payload: String::new(),
        submitted_at_ms: 0,
        steps: vec![StepSpec {
            count: 1,
            size: Size {
                cpu_millis: 1_000,
                memory_mib: 100,
                accelerators: 0,
            },
            estimate_ms: ms,
            ..StepSpec::default()
        }],
        schedule: None,
    }
}

/// Asks for a job's phase.
pub(crate) async fn phase(site: &mut Site, front: &Front, job: u64) -> Option<Phase> {
    let asked = site.play(front.phase(request(job))).await;
    asked.expect("an answer")
}
