//! Fixtures: jobs, runners, reports, and an engine with a simulated clock.

use persimmon_sched::{
    Answer, Engine, JobId, JobSpec, Options, Order, Phase, Policy, Queue, Record, Report,
    RunStatus, RunnerInfo, RunnerState, StepSpec, StoredRecord, TaskCrashes, TaskId, TaskRecord,
    TaskState,
};
use persimmon_types::Size;
use std::time::{Duration, Instant};

pub(crate) const QUEUE: &str = "quotes";
pub(crate) const SERVICE: &str = "bookings";

pub(crate) fn size(cpu_millis: u32) -> Size {
    Size {
        cpu_millis,
        memory_mib: 100,
        accelerators: 0,
    }
}

pub(crate) fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        size: size(1_000),
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

pub(crate) fn job(id: u64, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        id: JobId::new(id),
        queue: QUEUE.to_owned(),
        payload: "work".to_owned(),
        submitted_at_ms: 0,
        steps,
        schedule: None,
    }
}

pub(crate) fn task(job: u64, step: u16, index: u16) -> TaskId {
    TaskId {
        job: JobId::new(job),
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn policy() -> Policy {
    Policy {
        version: 1,
        queues: vec![Queue {
            name: QUEUE.to_owned(),
            service: SERVICE.to_owned(),
            attempts_max: 2,
            stretch: 2.0,
            target_ms: 1_000,
            ..Queue::default()
        }],
        ..Policy::default()
    }
}

pub(crate) fn runner(id: &str, cpu_millis: u32) -> RunnerInfo {
    RunnerInfo {
        id: id.to_owned(),
        address: format!("{id}:80"),
        data_centre: String::new(),
        service: SERVICE.to_owned(),
        state: RunnerState::Ready,
        cold_remaining: Duration::ZERO,
        capacity: Size {
            memory_mib: 100_000,
            ..size(cpu_millis)
        },
        labels: vec!["a".to_owned(), "r1".to_owned()],
    }
}

pub(crate) fn report(clock_ms: u64, running: Vec<RunStatus>) -> Report {
    Report {
        incarnation_ms: 1,
        clock_ms,
        running,
        ended: Vec::new(),
        has_more_ends: false,
    }
}

pub(crate) fn listed(task: TaskId, run: u32) -> RunStatus {
    RunStatus {
        task,
        run,
        checkpoint: String::new(),
        measurement: 0,
        percent: 0,
    }
}

/// Returns the record of an earlier owner in which run 1 of the only task is placed on `runner`.
pub(crate) fn placed_record(runner: &str) -> StoredRecord {
    StoredRecord {
        revision: 7,
        record: Record {
            phase: Phase::Active,
            runners: vec![runner.to_owned()],
            tasks: vec![vec![vec![TaskRecord {
                state: TaskState::Placed(0),
                run: 1,
                failures: 0,
                crashes: TaskCrashes::default(),
                checkpoint: String::new(),
            }]]],
        },
    }
}

/// An engine with a simulated clock.
pub(crate) struct TestEngine {
    pub(crate) engine: Engine,
    pub(crate) started_at: Instant,
    pub(crate) now: Instant,
}

impl TestEngine {
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        let mut engine = Engine::new(Options::default(), now);
        engine.configure(policy());
        engine.confirm_listing(now);
        Self {
            engine,
            started_at: now,
            now,
        }
    }

    pub(crate) fn with_runners(ids: &[&str], cpu_millis: u32) -> Self {
        let mut harness = Self::new();
        for id in ids {
            harness.add_runner(id, cpu_millis);
            harness.report(id, vec![]);
        }
        harness
    }

    /// Lets time pass, at the end of which the instance list is up to date.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.advance_without_listing(ms);
        self.engine.confirm_listing(self.now);
    }

    /// Lets time pass in which nothing is heard of the instance list.
    pub(crate) fn advance_without_listing(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    pub(crate) fn clock_ms(&self) -> u64 {
        (self.now - self.started_at).as_millis() as u64 + 1_000
    }

    /// Delivers a report of a runner that was requested now.
    pub(crate) fn report(&mut self, runner: &str, running: Vec<RunStatus>) {
        let report = report(self.clock_ms(), running);
        self.engine
            .handle_report(runner, &report, self.now, self.now);
    }

    /// A runner does not answer a request for its report.
    pub(crate) fn miss_report(&mut self, runner: &str) {
        self.engine.handle_missed_report(runner, self.now);
    }

    pub(crate) fn submit(&mut self, spec: JobSpec) {
        self.engine.add_job(spec, None, 0, self.now);
    }

    /// Adds a runner to the instance list.
    pub(crate) fn add_runner(&mut self, id: &str, cpu_millis: u32) {
        self.engine.update_runner(runner(id, cpu_millis), self.now);
    }

    /// Adds a job with the record of an earlier owner.
    pub(crate) fn restore_job(&mut self, spec: JobSpec, stored: StoredRecord) {
        self.engine.add_job(spec, Some(stored), 0, self.now);
    }

    /// Delivers the answer of a runner to the start of a run.
    pub(crate) fn answer_start(&mut self, task: TaskId, run: u32, answer: Answer) {
        self.engine.handle_start_answer(task, run, answer, self.now);
    }

    /// Runs one scheduling pass, commits all records and returns the orders.
    pub(crate) fn round(&mut self) -> Vec<Order> {
        self.engine.tick(0, self.now);
        self.commit();
        self.engine.take_orders()
    }

    pub(crate) fn commit(&mut self) {
        for commit in self.engine.take_commits(100) {
            let revision = commit.revision + 1;
            self.engine
                .handle_commit(commit.job, commit.version, revision);
        }
    }
}

/// Returns the starts among `orders`: runner, task and run.
pub(crate) fn starts(orders: &[Order]) -> Vec<(String, TaskId, u32)> {
    let start = |order: &Order| match order {
        Order::Start {
            runner, task, run, ..
        } => Some((runner.clone(), *task, *run)),
        _ => None,
    };
    orders.iter().filter_map(start).collect()
}

/// Returns the stops among `orders`: task and run.
pub(crate) fn stops(orders: &[Order]) -> Vec<(TaskId, u32)> {
    let stop = |order: &Order| match order {
        Order::Stop { task, run, .. } => Some((*task, *run)),
        _ => None,
    };
    orders.iter().filter_map(stop).collect()
}
