//! Simulation of owners and runners under faults that checks the invariants on the running tasks.

use crate::support::{job, policy, runner, step};
use persimmon_sched::{
    Answer, Commit, End, EndKind, Engine, JobId, JobSpec, Options, Order, Record, Report,
    RunStatus, StepSpec, StoredRecord, TaskId,
};
use proptest::prelude::{any, proptest, ProptestConfig};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

const RUNNERS: usize = 4;
const JOBS: u64 = 8;
const TICK_MS: u64 = 20;
const FAULTS_MS: u64 = 30_000;
const RECOVERY_MS: u64 = 60_000;
/// Longest lease term that a worker grants.
const LEASE_MAX_MS: u64 = 10_000;

/// A simulated runner that follows the contract of the platform.
struct Worker {
    id: String,
    incarnation_ms: u64,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<TaskId, Running>,
    /// Highest run of each task that ended or was stopped on this worker.
    highest_ended_run: HashMap<TaskId, u32>,
    ended: Vec<End>,
    next_end: u64,
    /// Ended runs below this number precede the last expiry of the lease; acknowledging them later
    /// does not make a task done.
    first_valid_end: u64,
    unreachable_until_ms: u64,
}

struct Running {
    run: u32,
    until_ms: u64,
    fails: bool,
}

/// A start in transit, to be delivered at a given time.
#[derive(Clone, Copy)]
struct StartCall {
    at_ms: u64,
    worker: usize,
    /// Incarnation that the start is meant for.
    incarnation_ms: u64,
    task: TaskId,
    run: u32,
    fence: u64,
    deadline_ms: u64,
}

struct Owner {
    engine: Engine,
    fence: u64,
    /// Last known incarnation of each worker.
    incarnation_ms: HashMap<usize, u64>,
    /// Records being written, and whether the store applied them without an answer.
    pending_writes: Vec<(Commit, bool)>,
}

struct Simulation {
    rng: ChaCha8Rng,
    started_at: Instant,
    now_ms: u64,
    workers: Vec<Worker>,
    delayed_starts: Vec<StartCall>,
    specs: BTreeMap<JobId, JobSpec>,
    records: BTreeMap<JobId, (u64, Record)>,
    revision: u64,
    /// The last one is the current owner; the others do not know yet that they were replaced.
    owners: Vec<Owner>,
    done: BTreeSet<TaskId>,
    faults_enabled: bool,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let workers = (0..RUNNERS).map(|at| Worker {
            id: format!("w{at}"),
            incarnation_ms: 1,
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            highest_ended_run: HashMap::new(),
            ended: Vec::new(),
            next_end: 1,
            first_valid_end: 0,
            unreachable_until_ms: 0,
        });
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at: Instant::now(),
            now_ms: 0,
            workers: workers.collect(),
            delayed_starts: Vec::new(),
            specs: BTreeMap::new(),
            records: BTreeMap::new(),
            revision: 0,
            owners: Vec::new(),
            done: BTreeSet::new(),
            faults_enabled: true,
        };
        simulation.take_over();
        simulation
    }

    fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now_ms)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.faults_enabled && self.rng.random_range(0..100) < percent
    }

    fn take_over(&mut self) {
        self.revision += 1;
        let fence = self.revision;
        let mut engine = Engine::new(Options::default(), self.now());
        engine.configure(policy());
        for worker in &self.workers {
            engine.update_runner(runner(&worker.id, 4_000), self.now());
        }
        for (id, spec) in &self.specs {
            let stored = self.records.get(id).map(|(revision, record)| StoredRecord {
                revision: *revision,
                record: record.clone(),
            });
            engine.add_job(spec.clone(), stored, 0, self.now());
        }
        self.owners.push(Owner {
            engine,
            fence,
            incarnation_ms: HashMap::new(),
            pending_writes: Vec::new(),
        });
        if self.owners.len() > 3 {
            self.owners.remove(0);
        }
    }

    fn submit(&mut self, id: u64) {
        let second = StepSpec {
            after: vec![0],
            ..step(2)
        };
        let spec = job(id, vec![step(3), second]);
        self.specs.insert(spec.id, spec.clone());
        let now = self.now();
        let owner = self.owners.last_mut().expect("an owner");
        owner.engine.add_job(spec, None, 0, now);
    }

    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.end_due_runs();
        self.deliver_delayed_starts();
        for at in 0..self.owners.len() {
            self.run_owner(at);
        }
        if self.chance(1) && self.rng.random_range(0..4) == 0 {
            self.take_over();
        }
        if self.chance(1) {
            let at = self.rng.random_range(0..RUNNERS);
            self.inject_runner_fault(at);
        }
    }

    fn inject_runner_fault(&mut self, at: usize) {
        let restarts = self.rng.random_range(0..3) == 0;
        let unreachable_ms = self.rng.random_range(100..12_000);
        let worker = &mut self.workers[at];
        worker.unreachable_until_ms = self.now_ms + unreachable_ms;
        if restarts {
            worker.incarnation_ms = self.now_ms + 2;
            worker.fence = 0;
            worker.deadline_ms = 0;
            worker.running.clear();
            worker.highest_ended_run.clear();
            worker.ended.clear();
            worker.next_end = 1;
            worker.first_valid_end = 0;
        }
    }

    fn clock_ms(&self, worker: usize) -> u64 {
        self.now_ms - self.workers[worker].incarnation_ms.min(self.now_ms)
    }

    fn end_due_runs(&mut self) {
        for at in 0..self.workers.len() {
            let clock_ms = self.clock_ms(at);
            let now_ms = self.now_ms;
            let worker = &mut self.workers[at];
            let lapsed = clock_ms > worker.deadline_ms;
            if lapsed {
                worker.first_valid_end = worker.next_end;
            }
            let ended: Vec<_> = worker
                .running
                .iter()
                .filter(|(_, it)| lapsed || now_ms >= it.until_ms)
                .map(|(&task, it)| (task, it.run, it.fails))
                .collect();
            for (task, run, fails) in ended {
                let kind = match (lapsed, fails) {
                    (true, _) => EndKind::Cut,
                    (false, true) => EndKind::Failed,
                    (false, false) => EndKind::Done,
                };
                worker.end(task, run, kind);
            }
        }
    }

    fn deliver_delayed_starts(&mut self) {
        let now_ms = self.now_ms;
        let (due, rest) = self
            .delayed_starts
            .drain(..)
            .partition(|it| it.at_ms <= now_ms);
        self.delayed_starts = rest;
        let due: Vec<StartCall> = due;
        for it in due {
            self.start(&it);
        }
    }

    fn run_owner(&mut self, at: usize) {
        let now = self.now();
        self.owners[at].engine.tick(0, now);
        self.write_records(at);
        for order in self.owners[at].engine.take_orders() {
            self.execute(at, order);
        }
        for worker in 0..RUNNERS {
            if self.rng.random_range(0..4) == 0 {
                self.poll(at, worker);
            }
        }
    }

    /// Performs conditional writes of records; repeats those without an answer.
    fn write_records(&mut self, at: usize) {
        let commits = self.owners[at].engine.take_commits(15);
        let fresh = commits.into_iter().map(|commit| (commit, false));
        let mut pending_writes = std::mem::take(&mut self.owners[at].pending_writes);
        pending_writes.extend(fresh);
        let is_current = at + 1 == self.owners.len();
        for (commit, is_applied) in pending_writes {
            if !is_applied && (!is_current || self.chance(10)) {
                self.owners[at].pending_writes.push((commit, false));
                continue;
            }
            if !is_applied {
                let known = self.records.get(&commit.job).map_or(0, |it| it.0);
                assert_eq!(known, commit.revision, "one owner writes a record");
                self.revision += 1;
                let record = (self.revision, commit.record.clone());
                self.records.insert(commit.job, record);
            }
            if self.chance(10) {
                self.owners[at].pending_writes.push((commit, true));
                continue;
            }
            let revision = self.records[&commit.job].0;
            let engine = &mut self.owners[at].engine;
            engine.handle_commit(commit.job, commit.version, revision);
        }
    }

    fn worker(&self, id: &str) -> usize {
        let found = self.workers.iter().position(|worker| worker.id == id);
        found.expect("a known worker")
    }

    fn execute(&mut self, at: usize, order: Order) {
        let now = self.now();
        let fence = self.owners[at].fence;
        match order {
            Order::Start {
                runner, task, run, ..
            } => {
                let worker = self.worker(&runner);
                let engine = &mut self.owners[at].engine;
                let deadline_ms = engine.lease_deadline_ms(&runner, now).unwrap_or(0);
                let start = StartCall {
                    at_ms: self.now_ms,
                    worker,
                    incarnation_ms: self.owners[at]
                        .incarnation_ms
                        .get(&worker)
                        .copied()
                        .unwrap_or(0),
                    task,
                    run,
                    fence,
                    deadline_ms,
                };
                let answer = self.send_start(start);
                let engine = &mut self.owners[at].engine;
                engine.handle_start_answer(task, run, answer, now);
            }
            Order::Stop { runner, task, run } => {
                let worker = self.worker(&runner);
                if self.chance(10) || self.is_unreachable(worker) {
                    return;
                }
                if self.workers[worker].stop(task, run, fence) {
                    self.owners[at].engine.handle_stop_answer(task, run, now);
                }
            }
            Order::Throttle { .. } => {}
        }
    }

    fn is_unreachable(&self, worker: usize) -> bool {
        self.now_ms < self.workers[worker].unreachable_until_ms
    }

    fn send_start(&mut self, start: StartCall) -> Answer {
        if self.chance(8) {
            let at_ms = self.now_ms + self.rng.random_range(2_000..12_000);
            self.delayed_starts.push(StartCall { at_ms, ..start });
            return Answer::Unknown;
        }
        if self.is_unreachable(start.worker) {
            return Answer::Unknown;
        }
        let answer = self.start(&start);
        if self.chance(5) {
            return Answer::Unknown;
        }
        answer
    }

    /// Delivers a start to its worker; checks that no task runs twice.
    fn start(&mut self, start: &StartCall) -> Answer {
        let clock_ms = self.clock_ms(start.worker);
        let run_time_ms = self.rng.random_range(100..3_000);
        let fails = self.chance(5);
        let until_ms = self.now_ms + run_time_ms;
        let worker = &mut self.workers[start.worker];
        if start.incarnation_ms != worker.incarnation_ms {
            return Answer::Refused;
        }
        if start.fence < worker.fence {
            return Answer::Fenced;
        }
        worker.fence = start.fence;
        worker.renew(start.deadline_ms, clock_ms);
        if worker.running.get(&start.task).map(|it| it.run) == Some(start.run) {
            return Answer::Started;
        }
        let highest_ended_run = worker
            .highest_ended_run
            .get(&start.task)
            .copied()
            .unwrap_or(0);
        if start.run <= highest_ended_run || worker.running.contains_key(&start.task) {
            return Answer::Old;
        }
        if clock_ms > start.deadline_ms {
            return Answer::Refused;
        }
        worker.running.insert(
            start.task,
            Running {
                run: start.run,
                until_ms,
                fails,
            },
        );
        let task = start.task;
        let copies = self.workers.iter();
        let copies = copies.filter(|it| it.running.contains_key(&task)).count();
        assert_eq!(copies, 1, "{task} runs twice at {} ms", self.now_ms);
        assert!(!self.done.contains(&task), "{task} starts after its end");
        let load = self.workers[start.worker].running.len();
        assert!(load <= 4, "{} is over its capacity", start.worker);
        Answer::Started
    }

    fn poll(&mut self, at: usize, worker: usize) {
        if self.is_unreachable(worker) || self.chance(3) {
            return;
        }
        let now = self.now();
        let clock_ms = self.clock_ms(worker);
        let id = self.workers[worker].id.clone();
        let owner = &mut self.owners[at];
        let deadline_ms = owner.engine.lease_deadline_ms(&id, now);
        let acknowledged = owner.engine.acknowledged(&id);
        let fence = owner.fence;
        let it = &mut self.workers[worker];
        if fence < it.fence {
            return;
        }
        it.fence = fence;
        if let Some(deadline_ms) = deadline_ms {
            it.renew(deadline_ms, clock_ms);
        }
        let is_new = |end: &End| end.number > acknowledged;
        let (new, seen): (Vec<_>, Vec<_>) = it.ended.drain(..).partition(is_new);
        it.ended = new;
        for end in seen {
            if end.kind == EndKind::Done && end.number >= it.first_valid_end {
                self.done.insert(end.task);
            }
        }
        let running = it.running.iter().map(|(&task, it)| RunStatus {
            task,
            run: it.run,
            checkpoint: String::new(),
            measurement: 0,
            percent: 0,
        });
        let report = Report {
            incarnation_ms: it.incarnation_ms,
            clock_ms,
            running: running.collect(),
            ended: it.ended.clone(),
        };
        let requested_at = now;
        self.owners[at]
            .incarnation_ms
            .insert(worker, report.incarnation_ms);
        let owner = &mut self.owners[at];
        owner.engine.handle_report(&id, &report, requested_at, now);
    }
}

impl Worker {
    fn renew(&mut self, deadline_ms: u64, clock_ms: u64) {
        let shortened = deadline_ms.min(clock_ms + LEASE_MAX_MS);
        self.deadline_ms = self.deadline_ms.max(shortened);
    }

    fn end(&mut self, task: TaskId, run: u32, kind: EndKind) {
        self.running.remove(&task);
        let highest_ended_run = self.highest_ended_run.entry(task).or_default();
        *highest_ended_run = run.max(*highest_ended_run);
        self.ended.push(End {
            number: self.next_end,
            task,
            run,
            kind,
            checkpoint: String::new(),
        });
        self.next_end += 1;
    }

    fn stop(&mut self, task: TaskId, run: u32, fence: u64) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        if self.running.get(&task).map(|it| it.run) == Some(run) {
            self.end(task, run, EndKind::Cut);
        } else {
            let highest_ended_run = self.highest_ended_run.entry(task).or_default();
            *highest_ended_run = run.max(*highest_ended_run);
        }
        true
    }
}

fn run_simulation(seed: u64) {
    let mut simulation = Simulation::new(seed);
    let mut next = 0;
    while simulation.now_ms < FAULTS_MS {
        if next < JOBS && simulation.now_ms >= next * 1_500 {
            next += 1;
            simulation.submit(next);
        }
        simulation.tick();
    }
    simulation.faults_enabled = false;
    while simulation.now_ms < FAULTS_MS + RECOVERY_MS {
        simulation.tick();
    }
    for id in simulation.specs.keys() {
        let phase = simulation.records.get(id).map(|(_, record)| record.phase);
        let ended = phase.is_some_and(persimmon_sched::Phase::is_final);
        assert!(ended, "{id} is {phase:?} after a minute without faults");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn no_task_runs_twice_under_faults(seed in any::<u64>()) {
        run_simulation(seed);
    }
}
