//! Tasks that crash the runners they start on, beside other tasks.

use crate::support::{job, listed, policy, report, runner, starts, step, stops, task, TestEngine};
use persimmon_sched::{
    Answer, Engine, JobId, JobSpec, Options, Phase, Record, RunnerInfo, RunnerState, Schedule,
    StepSpec, StoredRecord, TaskCrashes, TaskId,
};
use std::collections::{BTreeMap, BTreeSet};

const TICK_MS: u64 = 20;
/// Time from a crash until the runner serves again.
const DOWN_MS: u64 = 3_000;
/// Time after which a silent runner is removed from the instance list.
const UNLISTED_AFTER_MS: u64 = 3_300;
/// A task is started at most this often once three runners have crashed under it, and before.
const STARTS_MAX: usize = 5;
/// Run time of a task that ends.
const RUN_MS: u64 = 800;
const RUNNERS: usize = 8;

/// How a runner comes back after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    /// Under its id, as another incarnation.
    SameId,
    /// Under another id, at the same address.
    NewId,
}

struct Worker {
    id: String,
    address: String,
    incarnation_ms: u64,
    running: BTreeMap<TaskId, (u32, u64)>,
    /// When it crashed, while it is down.
    crashed_at_ms: Option<u64>,
    unlisted: bool,
}

/// Runners that crash under some tasks, and an engine.
struct Fleet {
    harness: TestEngine,
    returns: Return,
    workers: Vec<Worker>,
    specs: Vec<JobSpec>,
    records: BTreeMap<JobId, (u64, Record)>,
    crashing: BTreeSet<TaskId>,
    starts: Vec<TaskId>,
    crashes: usize,
    next_end: u64,
}

impl Fleet {
    fn new(returns: Return, crashing: &[TaskId]) -> Self {
        let workers = (0..RUNNERS).map(|at| Worker {
            id: format!("w{at}-0"),
            address: format!("10.0.0.{at}:80"),
            incarnation_ms: 1,
            running: BTreeMap::new(),
            crashed_at_ms: None,
            unlisted: false,
        });
        let mut fleet = Self {
            harness: TestEngine::new(),
            returns,
            workers: workers.collect(),
            specs: Vec::new(),
            records: BTreeMap::new(),
            crashing: crashing.iter().copied().collect(),
            starts: Vec::new(),
            crashes: 0,
            next_end: 0,
        };
        fleet.list_all();
        fleet
    }

    fn info(worker: &Worker) -> RunnerInfo {
        RunnerInfo {
            address: worker.address.clone(),
            ..runner(&worker.id, 16_000)
        }
    }

    fn list_all(&mut self) {
        for worker in self.workers.iter().filter(|it| !it.unlisted) {
            let now = self.harness.now;
            self.harness.engine.update_runner(Self::info(worker), now);
        }
    }

    fn submit(&mut self, spec: JobSpec) {
        self.specs.push(spec.clone());
        self.harness.submit(spec);
    }

    /// Another owner takes over with what is in the records.
    fn take_over(&mut self) {
        let now = self.harness.now;
        self.harness.engine = Engine::new(Options::default(), now);
        self.harness.engine.configure(policy());
        self.harness.engine.predecessor_ended(now);
        self.harness.engine.confirm_listing(now);
        for spec in self.specs.clone() {
            let stored = self.records.get(&spec.id);
            let stored = stored.map(|(revision, record)| StoredRecord {
                revision: *revision,
                record: Record::decode(&record.encode().expect("encoded")).expect("decoded"),
            });
            self.harness.engine.add_job(spec, stored, 0, now);
        }
        self.list_all();
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.harness.advance(TICK_MS);
            self.crash_workers();
            self.return_workers();
            self.report();
            self.place();
        }
    }

    fn now_ms(&self) -> u64 {
        self.harness.clock_ms()
    }

    /// Crashes the workers that a crashing task was started on.
    fn crash_workers(&mut self) {
        let now_ms = self.now_ms();
        for worker in &mut self.workers {
            if worker.running.keys().any(|it| self.crashing.contains(it)) {
                worker.running.clear();
                worker.crashed_at_ms = Some(now_ms);
                self.crashes += 1;
            }
        }
    }

    fn crash(&mut self, at: usize) {
        self.workers[at].running.clear();
        self.workers[at].crashed_at_ms = Some(self.now_ms());
    }

    fn return_workers(&mut self) {
        let (now_ms, now) = (self.now_ms(), self.harness.now);
        for worker in &mut self.workers {
            let Some(crashed_at_ms) = worker.crashed_at_ms else {
                continue;
            };
            if now_ms >= crashed_at_ms + DOWN_MS {
                worker.crashed_at_ms = None;
                worker.incarnation_ms = now_ms;
                if self.returns == Return::NewId {
                    worker.id = format!("{}-{now_ms}", worker.id);
                }
                worker.unlisted = false;
                self.harness.engine.update_runner(Self::info(worker), now);
            } else if now_ms >= crashed_at_ms + UNLISTED_AFTER_MS && !worker.unlisted {
                worker.unlisted = true;
                self.harness.engine.unlist_runner(&worker.id, now);
            }
        }
    }

    fn report(&mut self) {
        let (now_ms, now) = (self.now_ms(), self.harness.now);
        let runs = self.workers.iter().flat_map(|it| it.running.keys());
        let idle: BTreeSet<_> = runs.copied().filter(|id| !self.is_at_work(*id)).collect();
        for worker in &mut self.workers {
            if worker.crashed_at_ms.is_some() {
                if now_ms % 200 == 0 {
                    self.harness.engine.handle_missed_report(&worker.id, now);
                }
                continue;
            }
            let mut report = report(now_ms, vec![]);
            report.incarnation_ms = worker.incarnation_ms;
            let is_due = |id: &TaskId, since: u64| {
                !is_lasting(id) && !idle.contains(id) && now_ms >= since + RUN_MS
            };
            for (&id, &(run, since_ms)) in &worker.running {
                if is_due(&id, since_ms) {
                    self.next_end += 1;
                    report.ended.push(persimmon_sched::End {
                        number: self.next_end,
                        task: id,
                        run,
                        kind: persimmon_sched::EndKind::Done,
                        checkpoint: String::new(),
                    });
                } else {
                    report.running.push(listed(id, run));
                }
            }
            worker.running.retain(|id, it| !is_due(id, it.1));
            let engine = &mut self.harness.engine;
            engine.handle_report(&worker.id, &report, now, now);
            engine.lease_deadline_ms(&worker.id, now);
        }
    }

    fn place(&mut self) {
        self.harness.engine.tick(0, self.harness.now);
        for commit in self.harness.engine.take_commits(100) {
            let revision = commit.revision + 1;
            let (job, version) = (commit.job, commit.version);
            self.records.insert(job, (revision, commit.record));
            self.harness.engine.handle_commit(job, version, revision);
        }
        let orders = self.harness.engine.take_orders();
        for (task, run) in stops(&orders) {
            self.stop(task, run);
        }
        for (id, task, run) in starts(&orders) {
            self.starts.push(task);
            let now_ms = self.now_ms();
            let worker = self.workers.iter_mut().find(|it| it.id == id);
            let worker = worker.filter(|it| it.crashed_at_ms.is_none());
            let answer = if let Some(worker) = worker {
                worker.running.insert(task, (run, now_ms));
                Answer::Started
            } else {
                Answer::Refused
            };
            self.harness.answer_start(task, run, answer);
        }
    }

    /// Stops a run at once; the next report does not list it.
    fn stop(&mut self, task: TaskId, run: u32) {
        let is_run = |it: &(u32, u64)| it.0 == run;
        for worker in &mut self.workers {
            if worker.running.get(&task).is_some_and(is_run) {
                worker.running.remove(&task);
            }
        }
        let now = self.harness.now;
        self.harness.engine.handle_stop_answer(task, run, now);
    }

    /// Returns whether a run makes progress: the members of a gang do only together.
    fn is_at_work(&self, id: TaskId) -> bool {
        let spec = self.specs.iter().find(|it| it.id == id.job);
        let step = &spec.expect("a submitted job").steps[usize::from(id.step)];
        let present = self.workers.iter().flat_map(|it| it.running.keys());
        let members = present.filter(|it| it.job == id.job && it.step == id.step);
        !step.gang || members.count() == step.count as usize
    }

    fn phase(&self, id: u64) -> Phase {
        let phase = self.harness.engine.phase(JobId::new(id));
        phase.expect("a known job")
    }

    /// Index of the runner that a task runs on.
    fn runner_of(&self, id: TaskId) -> usize {
        let is_there = |it: &Worker| it.running.contains_key(&id);
        self.workers.iter().position(is_there).expect("it runs")
    }

    fn starts_of(&self, id: TaskId) -> usize {
        self.starts.iter().filter(|it| **it == id).count()
    }
}

/// Jobs from this id on consist of long-running tasks.
const LASTING_JOBS: u64 = 100;

fn is_lasting(id: &TaskId) -> bool {
    id.job.number >= LASTING_JOBS
}

fn lasting_step(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count)
    }
}

/// Plays a job with one crashing task beside long-running tasks.
fn play_beside_lasting_tasks(returns: Return, spec: JobSpec, crashing: TaskId) -> Fleet {
    let mut fleet = Fleet::new(returns, &[crashing]);
    fleet.run(200);
    fleet.submit(job(LASTING_JOBS, vec![lasting_step(12)]));
    fleet.run(2_000);
    fleet.submit(spec);
    fleet.run(60_000);
    fleet
}

fn check_given_up(fleet: &Fleet, crashing: TaskId) {
    let starts = fleet.starts_of(crashing);
    assert!(starts <= STARTS_MAX, "started {starts} times");
    assert_eq!(fleet.phase(crashing.job.number), Phase::Failed);
}

#[test]
fn task_that_crashes_its_runners_is_given_up() {
    for returns in [Return::NewId, Return::SameId] {
        let crashing = task(1, 0, 1);
        let fleet = play_beside_lasting_tasks(returns, job(1, vec![step(3)]), crashing);
        check_given_up(&fleet, crashing);
        assert_eq!(fleet.phase(LASTING_JOBS), Phase::Active);
    }
}

#[test]
fn long_running_task_that_crashes_its_runners_is_given_up() {
    let crashing = task(101, 0, 2);
    let spec = job(101, vec![lasting_step(3)]);
    let fleet = play_beside_lasting_tasks(Return::NewId, spec, crashing);
    check_given_up(&fleet, crashing);
    assert_eq!(fleet.phase(LASTING_JOBS), Phase::Active);
}

#[test]
fn gang_member_that_crashes_its_runners_is_given_up() {
    let crashing = task(1, 0, 2);
    let gang = StepSpec {
        gang: true,
        ..step(4)
    };
    let fleet = play_beside_lasting_tasks(Return::NewId, job(1, vec![gang]), crashing);
    check_given_up(&fleet, crashing);
}

#[test]
fn task_of_a_later_occurrence_that_crashes_its_runners_is_given_up() {
    let crashing = TaskId {
        occurrence: 1,
        ..task(1, 0, 0)
    };
    let mut spec = job(1, vec![step(1)]);
    spec.schedule = Some(Schedule {
        first_at_ms: 0,
        interval_ms: 0,
        count: 3,
    });
    let fleet = play_beside_lasting_tasks(Return::NewId, spec, crashing);
    check_given_up(&fleet, crashing);
}

#[test]
fn task_that_crashes_its_runners_is_given_up_although_owners_change() {
    let crashing = task(1, 0, 0);
    let mut fleet = Fleet::new(Return::NewId, &[crashing]);
    fleet.run(200);
    fleet.submit(job(1, vec![step(2)]));
    for _ in 0..8 {
        fleet.run(9_000);
        fleet.take_over();
    }
    fleet.run(9_000);
    check_given_up(&fleet, crashing);
}

/// Each owner ends after the crash and before the runner is back.
#[test]
fn crash_of_which_the_owner_saw_only_the_silence_counts() {
    let crashing = task(1, 0, 0);
    let mut fleet = Fleet::new(Return::NewId, &[crashing]);
    fleet.run(200);
    fleet.submit(job(LASTING_JOBS, vec![lasting_step(12)]));
    fleet.run(2_000);
    fleet.submit(job(1, vec![step(2)]));
    for _ in 0..8 {
        let starts = fleet.starts_of(crashing);
        for _ in 0..500 {
            if fleet.starts_of(crashing) == starts {
                fleet.run(TICK_MS);
            }
        }
        fleet.run(500);
        fleet.take_over();
    }
    check_given_up(&fleet, crashing);
    assert_eq!(fleet.phase(LASTING_JOBS), Phase::Active);
}

/// Runs that were new when their runner was silent for a moment are still there when it crashes,
/// long after.
#[test]
fn silence_that_passed_is_no_sign_of_a_crash() {
    let mut fleet = Fleet::new(Return::NewId, &[]);
    fleet.run(200);
    for at in 0..6 {
        let id = LASTING_JOBS + at;
        fleet.submit(job(id, vec![lasting_step(1)]));
        fleet.run(100);
        let worker = &fleet.workers[fleet.runner_of(task(id, 0, 0))];
        let (silent, now) = (worker.id.clone(), fleet.harness.now);
        fleet.harness.engine.handle_missed_report(&silent, now);
        fleet.place();
        fleet.run(10_000);
        fleet.take_over();
        fleet.run(1_000);
        fleet.crash(fleet.runner_of(task(id, 0, 0)));
        fleet.run(10_000);
        let record = &fleet.records[&JobId::new(id)].1;
        assert_eq!(record.tasks[0][0][0].crashes, TaskCrashes::default());
    }
}

/// Every tenth job has a task that crashes its runners; the others share their runners with it.
#[test]
fn tasks_that_start_beside_crashing_ones_are_not_given_up() {
    let jobs = 1..=60;
    let crashing: Vec<_> = jobs.clone().filter(|id| id % 10 == 0).collect();
    let crashing: Vec<_> = crashing.into_iter().map(|id| task(id, 0, 1)).collect();
    let mut fleet = Fleet::new(Return::NewId, &crashing);
    fleet.run(200);
    fleet.submit(job(LASTING_JOBS, vec![lasting_step(12)]));
    for id in jobs.clone() {
        fleet.submit(job(id, vec![step(4)]));
        fleet.run(200);
    }
    fleet.run(90_000);
    for id in jobs {
        let expected = if id % 10 == 0 {
            Phase::Failed
        } else {
            Phase::Completed
        };
        assert_eq!(fleet.phase(id), expected, "job {id}");
    }
    assert_eq!(fleet.phase(LASTING_JOBS), Phase::Active);
    for id in crashing {
        check_given_up(&fleet, id);
    }
}

/// The runners crash in turn, whatever runs on them.
#[test]
fn tasks_on_runners_that_crash_by_themselves_are_not_given_up() {
    let mut fleet = Fleet::new(Return::NewId, &[]);
    fleet.run(200);
    fleet.submit(job(LASTING_JOBS, vec![lasting_step(12)]));
    for id in 1..=20 {
        fleet.submit(job(id, vec![step(4)]));
        fleet.run(1_500);
        fleet.crash(id as usize % RUNNERS);
    }
    fleet.run(60_000);
    for id in 1..=20 {
        assert_eq!(fleet.phase(id), Phase::Completed, "job {id}");
    }
    assert_eq!(fleet.phase(LASTING_JOBS), Phase::Active);
}

/// Half of the runners crash together, time and again, soon after what ran on them was started again.
#[test]
fn tasks_on_runners_that_crash_together_are_not_given_up() {
    let mut fleet = Fleet::new(Return::NewId, &[]);
    fleet.run(200);
    fleet.submit(job(LASTING_JOBS, vec![lasting_step(40)]));
    for wave in 0..10 {
        fleet.run(DOWN_MS + 200);
        let half = (0..RUNNERS).filter(|at| at % 2 == wave % 2);
        half.for_each(|at| fleet.crash(at));
    }
    fleet.run(60_000);
    assert_eq!(fleet.phase(LASTING_JOBS), Phase::Active);
}

/// The second of its runs shows that it does not crash its runners.
#[test]
fn crashes_before_a_run_that_stayed_do_not_count() {
    let id = task(LASTING_JOBS, 0, 0);
    let mut fleet = Fleet::new(Return::NewId, &[]);
    fleet.run(200);
    fleet.submit(job(LASTING_JOBS, vec![lasting_step(1)]));
    for _ in 0..6 {
        let starts = fleet.starts_of(id);
        while fleet.starts_of(id) == starts {
            fleet.run(TICK_MS);
        }
        fleet.crash(fleet.runner_of(id));
        fleet.run(15_000);
        fleet.crash(fleet.runner_of(id));
    }
    assert_eq!(fleet.phase(LASTING_JOBS), Phase::Active);
}

/// Its runs lapse again and again, without any sign of a crash.
#[test]
fn task_whose_runners_were_cut_off_is_not_given_up() {
    let runners = ["a", "b", "c"];
    let mut harness = TestEngine::with_runners(&runners, 8_000);
    harness.submit(job(1, vec![step(1)]));
    for run in 1..=6 {
        let (cut_off, id, number) = starts(&harness.round()).remove(0);
        assert_eq!((id, number), (task(1, 0, 0), run));
        harness.answer_start(id, run, Answer::Started);
        harness.engine.lease_deadline_ms(&cut_off, harness.now);
        for _ in 0..24 {
            harness.advance(500);
            harness.miss_report(&cut_off);
            for id in runners.iter().filter(|id| **id != cut_off) {
                harness.report(id, vec![]);
            }
        }
        harness.report(&cut_off, vec![]);
        assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Active));
    }
}

#[test]
fn runs_of_a_replaced_runner_are_placed_again_before_their_lease_expires() {
    let mut fleet = Fleet::new(Return::NewId, &[]);
    fleet.run(200);
    fleet.submit(job(LASTING_JOBS, vec![lasting_step(12)]));
    fleet.run(2_000);
    let lost = fleet.workers.iter().position(|it| !it.running.is_empty());
    let started = fleet.starts.len();
    fleet.crash(lost.expect("a runner with runs"));
    fleet.run(DOWN_MS + 200);
    assert!(fleet.starts.len() > started, "nothing was placed again");
}

#[test]
fn runs_of_a_draining_runner_that_was_replaced_are_no_crash() {
    let mut harness = TestEngine::new();
    let add = |harness: &mut TestEngine, id: &str, state, incarnation_ms| {
        let info = RunnerInfo {
            state,
            address: "10.0.0.9:80".to_owned(),
            ..runner(id, 8_000)
        };
        harness.engine.update_runner(info, harness.now);
        if state == RunnerState::Ready {
            let mut report = report(harness.clock_ms(), vec![]);
            report.incarnation_ms = incarnation_ms;
            let now = harness.now;
            harness.engine.handle_report(id, &report, now, now);
        }
    };
    add(&mut harness, "a0", RunnerState::Ready, 1);
    harness.submit(job(1, vec![step(1)]));
    for at in 0..6_u64 {
        let orders = starts(&harness.round());
        let (runner, id, run) = orders.first().expect("a start").clone();
        assert_eq!(runner, format!("a{at}"));
        harness.answer_start(id, run, Answer::Started);
        add(&mut harness, &runner, RunnerState::Draining, 0);
        harness.advance(5_000);
        add(
            &mut harness,
            &format!("a{}", at + 1),
            RunnerState::Ready,
            at + 2,
        );
        assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Active));
    }
}
