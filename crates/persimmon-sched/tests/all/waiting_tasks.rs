//! Each task whose turn has come is placed again within a bound, whatever ended its last run.

use crate::support::{job, listed, placed_record, report, starts, step, stops, task, TestEngine};
use persimmon_sched::{
    Answer, End, EndKind, JobId, Options, Order, Phase, Record, Report, RunStatus, RunnerInfo,
    RunnerState, StepSpec, StoredRecord, TaskCrashes, TaskId, TaskRecord, TaskState,
};
use std::collections::BTreeMap;

/// Time within which a task runs while there are no faults and a runner has room for it.
const PLACED_WITHIN_MS: u64 = 3_000;
/// Time after its last run within which a task runs again.
const RUNS_AGAIN_WITHIN_MS: u64 = 6_000 + PLACED_WITHIN_MS;
/// Time after which the leases of an earlier owner have expired.
const LEASE_TERM_MAX_MS: u64 = 10_000;
const ROUND_MS: u64 = 100;

fn long_running(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count)
    }
}

fn checkpointing(count: u32) -> StepSpec {
    StepSpec {
        checkpointing: true,
        ..step(count)
    }
}

/// A gang with at most one member on a runner.
fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        per_runner_max: 1,
        ..checkpointing(count)
    }
}

/// Runners that answer all calls: they start what is ordered and end what is stopped.
struct Fleet {
    harness: TestEngine,
    runners: BTreeMap<String, Vec<(TaskId, u32)>>,
    /// Runs that ended, with the number of their end.
    ends: BTreeMap<String, Vec<End>>,
    /// The started runs, in order.
    started: Vec<(String, TaskId, u32)>,
    stopped: Vec<(TaskId, u32)>,
}

impl Fleet {
    fn new(ids: &[&str], cpu_millis: u32) -> Self {
        Self {
            harness: TestEngine::with_runners(ids, cpu_millis),
            runners: ids.iter().map(|&id| (id.to_owned(), vec![])).collect(),
            ends: BTreeMap::new(),
            started: Vec::new(),
            stopped: Vec::new(),
        }
    }

    /// Ends the answers and reports of a runner, without an end of its runs. Requests for its
    /// report fail from then on.
    fn silence(&mut self, id: &str) {
        self.runners.remove(id);
        self.harness.miss_report(id);
    }

    fn drain(&mut self, id: &str) {
        let info = RunnerInfo {
            state: RunnerState::Draining,
            ..crate::support::runner(id, 4_000)
        };
        self.harness.engine.update_runner(info, self.harness.now);
    }

    /// Lets one round pass.
    fn round(&mut self) {
        self.harness.advance(ROUND_MS);
        for (id, running) in &self.runners {
            let runs = running.iter().map(|&(task, run)| listed(task, run));
            let mut report = report(self.harness.clock_ms(), runs.collect());
            report.ended = self.ends.get(id).cloned().unwrap_or_default();
            let now = self.harness.now;
            self.harness.engine.lease_deadline_ms(id, now);
            self.harness.engine.handle_report(id, &report, now, now);
        }
        for order in self.harness.round() {
            self.execute(order);
        }
    }

    fn execute(&mut self, order: Order) {
        match order {
            Order::Start {
                runner, task, run, ..
            } => {
                if let Some(running) = self.runners.get_mut(&runner) {
                    running.push((task, run));
                    self.harness.answer_start(task, run, Answer::Started);
                    self.started.push((runner, task, run));
                }
            }
            Order::Stop { runner, task, run } => {
                self.stopped.push((task, run));
                if let Some(running) = self.runners.get_mut(&runner) {
                    running.retain(|&it| it != (task, run));
                    let now = self.harness.now;
                    self.harness.engine.handle_stop_answer(task, run, now);
                }
            }
            Order::Throttle { .. } => {}
        }
    }

    fn rounds(&mut self, ms: u64) {
        for _ in 0..ms / ROUND_MS {
            self.round();
        }
    }

    /// Runs in progress of a task.
    fn runs(&self, task: TaskId) -> Vec<(&str, u32)> {
        let all = self.runners.iter();
        let all = all.flat_map(|(id, runs)| runs.iter().map(move |run| (id.as_str(), run)));
        all.filter(|(_, run)| run.0 == task)
            .map(|(id, run)| (id, run.1))
            .collect()
    }
}

/// Starts to drain runner `a` while the only task is placed there, uncommitted; `b` has room.
fn drain_before_commit(step: StepSpec) -> Fleet {
    let mut fleet = Fleet::new(&["a"], 4_000);
    fleet.harness.submit(job(1, vec![step]));
    fleet.harness.engine.tick(0, fleet.harness.now);
    fleet.harness.add_runner("b", 4_000);
    fleet.runners.insert("b".to_owned(), vec![]);
    fleet.drain("a");
    fleet.rounds(PLACED_WITHIN_MS);
    fleet
}

#[test]
fn long_running_task_evacuated_before_its_commit_is_placed_again() {
    let fleet = drain_before_commit(long_running(1));
    assert_eq!(fleet.runs(task(1, 0, 0)), [("b", 2)]);
}

#[test]
fn checkpointing_task_evacuated_before_its_commit_is_placed_again() {
    let fleet = drain_before_commit(checkpointing(1));
    assert_eq!(fleet.runs(task(1, 0, 0)), [("b", 2)]);
}

#[test]
fn gang_with_a_member_evacuated_before_its_commit_is_placed_again() {
    let mut fleet = Fleet::new(&["a", "b"], 4_000);
    fleet.harness.submit(job(1, vec![gang(2)]));
    fleet.harness.engine.tick(0, fleet.harness.now);
    fleet.harness.add_runner("c", 4_000);
    fleet.runners.insert("c".to_owned(), vec![]);
    fleet.drain("a");
    fleet.rounds(PLACED_WITHIN_MS);
    let runs = [0, 1].map(|index| fleet.runs(task(1, 0, index)));
    assert!(runs.iter().all(|runs| runs.len() == 1), "{runs:?}");
    assert_eq!(runs[0][0].1, runs[1][0].1, "one run number");
    assert!(
        fleet.started.iter().all(|&(_, _, run)| run == 2),
        "a member of run 1 would wait alone: {:?}",
        fleet.started
    );
}

#[test]
fn gang_with_a_refused_member_is_placed_again() {
    let mut fleet = Fleet::new(&["a", "b"], 4_000);
    fleet.harness.submit(job(1, vec![gang(2)]));
    let orders = fleet.harness.round();
    assert_eq!(starts(&orders).len(), 2);
    let (refused, started) = (task(1, 0, 0), task(1, 0, 1));
    let runner = starts(&orders)[1].0.clone();
    fleet
        .runners
        .get_mut(&runner)
        .expect("a runner")
        .push((started, 1));
    fleet.harness.answer_start(started, 1, Answer::Started);
    fleet.harness.answer_start(refused, 1, Answer::Room);
    fleet.rounds(PLACED_WITHIN_MS);
    let runs = [0, 1].map(|index| fleet.runs(task(1, 0, index)));
    assert!(runs.iter().all(|runs| runs.len() == 1), "{runs:?}");
    assert_eq!(runs[0][0].1, runs[1][0].1, "one run number");
}

#[test]
fn gang_is_done_although_a_runner_is_lost_before_its_member_reports_the_end() {
    let mut fleet = Fleet::new(&["a", "b"], 4_000);
    fleet.harness.submit(job(1, vec![gang(2)]));
    fleet.round();
    let runner = fleet.started[0].0.clone();
    let lost = fleet.started[1].0.clone();
    fleet.runners.insert(runner.clone(), vec![]);
    let done = End {
        number: 1,
        task: fleet.started[0].1,
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    fleet.ends.insert(runner, vec![done]);
    fleet.silence(&lost);
    fleet.rounds(RUNS_AGAIN_WITHIN_MS);
    assert_eq!(
        fleet.harness.engine.phase(JobId::new(1)),
        Some(Phase::Completed)
    );
}

#[test]
fn start_that_is_never_answered_does_not_hold_its_task_once_the_runner_left() {
    let mut fleet = Fleet::new(&["a"], 4_000);
    fleet.rounds(LEASE_TERM_MAX_MS);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    let orders = fleet.harness.round();
    assert_eq!(starts(&orders).len(), 1);
    fleet.silence("a");
    fleet.harness.engine.unlist_runner("a", fleet.harness.now);
    fleet.harness.add_runner("b", 4_000);
    fleet.runners.insert("b".to_owned(), vec![]);
    fleet.rounds(RUNS_AGAIN_WITHIN_MS);
    assert_eq!(fleet.runs(task(1, 0, 0)), [("b", 2)]);
}

#[test]
fn start_that_is_never_answered_does_not_hold_its_task_on_a_runner_that_reports() {
    let mut fleet = Fleet::new(&["a"], 4_000);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    let orders = fleet.harness.round();
    assert_eq!(starts(&orders).len(), 1);
    fleet.rounds(RUNS_AGAIN_WITHIN_MS);
    assert_eq!(fleet.stopped, [(task(1, 0, 0), 1)]);
    assert_eq!(fleet.runs(task(1, 0, 0)), [("a", 2)]);
}

#[test]
fn run_listed_after_its_acknowledged_stop_is_stopped_again() {
    let mut fleet = Fleet::new(&["a"], 4_000);
    let id = task(1, 0, 0);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    fleet.harness.round();
    fleet.harness.answer_start(id, 1, Answer::Unknown);
    fleet.harness.advance(300);
    assert_eq!(stops(&fleet.harness.round()), [(id, 1)]);
    fleet
        .harness
        .engine
        .handle_stop_answer(id, 1, fleet.harness.now);
    fleet.runners.get_mut("a").expect("a runner").push((id, 1));
    fleet.rounds(RUNS_AGAIN_WITHIN_MS);
    assert_eq!(fleet.runs(id), [("a", 2)]);
}

#[test]
fn evacuated_run_listed_after_its_acknowledged_stop_is_stopped_again() {
    let mut fleet = Fleet::new(&["a", "b"], 4_000);
    let id = task(1, 0, 0);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    fleet.round();
    let runner = fleet.started[0].0.clone();
    fleet.drain(&runner);
    assert_eq!(stops(&fleet.harness.engine.take_orders()), [(id, 1)]);
    fleet
        .harness
        .engine
        .handle_stop_answer(id, 1, fleet.harness.now);
    fleet.rounds(RUNS_AGAIN_WITHIN_MS);
    let runs = fleet.runs(id);
    assert_eq!(runs.len(), 1);
    assert!(runs[0].0 != runner && runs[0].1 == 2, "{runs:?}");
}

#[test]
fn job_cancelled_before_its_commit_frees_the_runner_and_starts_nothing() {
    let mut fleet = Fleet::new(&["a"], 4_000);
    fleet.harness.submit(job(1, vec![long_running(4)]));
    fleet.harness.engine.tick(0, fleet.harness.now);
    fleet
        .harness
        .engine
        .cancel(JobId::new(1), fleet.harness.now);
    fleet.harness.submit(job(2, vec![long_running(4)]));
    fleet.rounds(PLACED_WITHIN_MS);
    assert!(fleet
        .started
        .iter()
        .all(|(_, id, _)| id.job == JobId::new(2)));
    assert_eq!(fleet.started.len(), 4);
}

#[test]
fn job_failed_before_a_commit_frees_the_runner_and_starts_nothing_more() {
    let mut fleet = Fleet::new(&["a"], 4_000);
    fleet.harness.submit(job(1, vec![step(1), step(3)]));
    let failing = task(1, 0, 0);
    for run in 1..=2 {
        fleet.rounds(PLACED_WITHIN_MS);
        assert_eq!(fleet.runs(failing), [("a", run)]);
        // The other runs are gone without an end: their tasks are placed again, uncommitted.
        let running = listed(failing, run);
        fleet.harness.advance(ROUND_MS);
        fleet.harness.report("a", vec![running]);
        fleet.harness.engine.tick(0, fleet.harness.now);
        let failed = End {
            number: u64::from(run),
            task: failing,
            run,
            kind: EndKind::Failed,
            checkpoint: String::new(),
        };
        fleet.runners.insert("a".to_owned(), vec![]);
        fleet.ends.insert("a".to_owned(), vec![failed]);
    }
    let started = fleet.started.len();
    fleet.harness.submit(job(2, vec![long_running(4)]));
    fleet.rounds(PLACED_WITHIN_MS);
    let engine = &fleet.harness.engine;
    assert_eq!(engine.phase(JobId::new(1)), Some(Phase::Failed));
    let later = &fleet.started[started..];
    let is_new = |(_, id, _): &(String, TaskId, u32)| id.job == JobId::new(2);
    assert!(later.iter().all(is_new), "{later:?}");
    assert_eq!(later.len(), 4);
}

#[test]
fn engine_fenced_by_a_runner_places_nothing_more() {
    let mut fleet = Fleet::new(&["a", "b"], 4_000);
    fleet.harness.submit(job(1, vec![long_running(1)]));
    fleet.harness.round();
    fleet.harness.answer_start(task(1, 0, 0), 1, Answer::Fenced);
    fleet.harness.submit(job(2, vec![long_running(1)]));
    fleet.rounds(RUNS_AGAIN_WITHIN_MS);
    assert!(fleet.harness.engine.is_fenced());
    assert!(fleet.started.is_empty(), "{:?}", fleet.started);
}

/// The next owner relies on it that leases of an earlier one end a term after its last call.
#[test]
fn first_lease_that_an_owner_grants_is_no_longer_than_its_term() {
    let mut fleet = Fleet::new(&["a"], 4_000);
    let (clock_ms, now) = (fleet.harness.clock_ms(), fleet.harness.now);
    let term = Options::default().lease_term.as_millis() as u64;
    let deadline_ms = fleet.harness.engine.lease_deadline_ms("a", now);
    assert_eq!(deadline_ms, Some(clock_ms + term));
}

#[test]
fn runner_lost_right_after_a_takeover_does_not_hold_its_tasks_beyond_a_lease_term() {
    let mut fleet = Fleet::new(&["a", "b"], 4_000);
    let id = task(1, 0, 0);
    let spec = job(1, vec![long_running(1)]);
    fleet.harness.restore_job(spec, placed_record("a"));
    fleet.runners.insert("a".to_owned(), vec![(id, 1)]);
    fleet.harness.engine.predecessor_ended(fleet.harness.now);
    fleet.round();
    fleet.silence("a");
    fleet.rounds(RUNS_AGAIN_WITHIN_MS);
    assert_eq!(fleet.runs(id), [("b", 2)]);
}

/// Each commit of an unchanged job delays those of other jobs.
#[test]
fn gang_that_fits_in_part_is_not_committed_in_each_pass() {
    let mut fleet = Fleet::new(&["a"], 4_000);
    fleet.harness.submit(job(1, vec![gang(2)]));
    for _ in 0..10 {
        fleet.harness.advance(ROUND_MS);
        fleet.harness.report("a", vec![]);
        fleet.harness.engine.tick(0, fleet.harness.now);
        assert!(fleet.harness.engine.take_commits(1).is_empty());
    }
    assert_eq!(
        fleet.harness.engine.phase(JobId::new(1)),
        Some(Phase::Queued)
    );
    fleet.harness.add_runner("b", 4_000);
    fleet.runners.insert("b".to_owned(), vec![]);
    fleet.rounds(PLACED_WITHIN_MS);
    assert_eq!(fleet.runs(task(1, 0, 0)).len(), 1);
    assert_eq!(fleet.runs(task(1, 0, 1)).len(), 1);
}

/// Places the only task on runner `a`, lets `leave` take the runner away, then commits.
fn leave_before_commit(leave: impl FnOnce(&mut TestEngine)) -> Vec<Order> {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    harness.engine.tick(0, harness.now);
    let commits = harness.engine.take_commits(10);
    leave(&mut harness);
    for commit in commits {
        harness
            .engine
            .handle_commit(commit.job, commit.version, commit.revision + 1);
    }
    harness.engine.take_orders()
}

#[test]
fn task_is_started_on_a_runner_that_drained_before_its_commit() {
    let orders = leave_before_commit(|harness| {
        let info = RunnerInfo {
            state: RunnerState::Draining,
            ..crate::support::runner("a", 4_000)
        };
        harness.engine.update_runner(info, harness.now);
    });
    assert!(starts(&orders).is_empty(), "{:?}", starts(&orders));
}

#[test]
fn task_is_started_on_a_runner_that_left_before_its_commit() {
    let orders = leave_before_commit(|harness| harness.engine.unlist_runner("a", harness.now));
    assert!(starts(&orders).is_empty(), "{:?}", starts(&orders));
}

#[test]
fn gang_restored_while_one_member_waits_and_the_other_runs_is_placed_again() {
    let mut fleet = Fleet::new(&["a", "b"], 4_000);
    let member = |state| TaskRecord {
        state,
        run: 1,
        failures: 0,
        crashes: TaskCrashes::default(),
        checkpoint: String::new(),
    };
    let record = Record {
        phase: Phase::Active,
        runners: vec!["b".to_owned()],
        tasks: vec![vec![vec![
            member(TaskState::Waiting),
            member(TaskState::Placed(0)),
        ]]],
    };
    let stored = StoredRecord {
        revision: 1,
        record,
    };
    fleet
        .runners
        .insert("b".to_owned(), vec![(task(1, 0, 1), 1)]);
    fleet.harness.restore_job(job(1, vec![gang(2)]), stored);
    fleet.rounds(RUNS_AGAIN_WITHIN_MS);
    let runs = [0, 1].map(|index| fleet.runs(task(1, 0, index)));
    assert!(runs.iter().all(|runs| runs.len() == 1), "{runs:?}");
    assert_eq!((runs[0][0].1, runs[1][0].1), (2, 2), "{runs:?}");
}

/// Places a long-running task on a runner that then drains; returns the harness and the ids of
/// that runner and the other one. The start is not answered.
fn drain_before_the_start_is_answered() -> (TestEngine, String, &'static str) {
    let mut harness = TestEngine::with_runners(&["a", "b"], 4_000);
    harness.submit(job(1, vec![long_running(1)]));
    let on = starts(&harness.round())[0].0.clone();
    let other = if on == "a" { "b" } else { "a" };
    let info = RunnerInfo {
        state: RunnerState::Draining,
        ..crate::support::runner(&on, 4_000)
    };
    harness.engine.update_runner(info, harness.now);
    assert_eq!(stops(&harness.engine.take_orders()), [(task(1, 0, 0), 1)]);
    (harness, on, other)
}

/// Delivers a report of the runner's second incarnation.
fn report_of_second_incarnation(harness: &mut TestEngine, id: &str, running: Vec<RunStatus>) {
    let report = Report {
        incarnation_ms: 2,
        ..report(harness.clock_ms(), running)
    };
    let now = harness.now;
    harness.engine.handle_report(id, &report, now, now);
}

#[test]
fn evacuated_run_with_an_unanswered_start_is_requeued_at_a_restart() {
    let (mut harness, on, other) = drain_before_the_start_is_answered();
    let id = task(1, 0, 0);
    harness.engine.handle_stop_answer(id, 1, harness.now);
    harness.advance(ROUND_MS);
    report_of_second_incarnation(&mut harness, &on, vec![]);
    harness.report(other, vec![]);
    let orders = harness.round();
    assert!(starts(&orders).is_empty(), "{:?}", starts(&orders));
    assert_eq!(
        stops(&orders),
        [(id, 1)],
        "the stop was acknowledged by the first incarnation"
    );
    // The start is carried out late, and the run is stopped.
    harness.advance(ROUND_MS);
    report_of_second_incarnation(&mut harness, &on, vec![listed(id, 1)]);
    harness.engine.handle_stop_answer(id, 1, harness.now);
    assert!(starts(&harness.round()).is_empty());
    harness.advance(ROUND_MS);
    report_of_second_incarnation(&mut harness, &on, vec![]);
    harness.report(other, vec![]);
    assert_eq!(starts(&harness.round()), [(other.to_owned(), id, 2)]);
}

/// Lets a runner start again under its id and answer a start in its second incarnation; returns
/// the harness and the id of that runner.
fn start_answered_by_second_incarnation() -> (TestEngine, String) {
    let mut harness = TestEngine::with_runners(&["a", "b"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    let on = starts(&harness.round())[0].0.clone();
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    harness.advance(ROUND_MS);
    (harness, on)
}

#[test]
fn run_listed_by_a_new_incarnation_is_started_again() {
    let (mut harness, on) = start_answered_by_second_incarnation();
    let id = task(1, 0, 0);
    for _ in 0..3 {
        report_of_second_incarnation(&mut harness, &on, vec![listed(id, 1)]);
        let orders = harness.round();
        assert!(orders.is_empty(), "{orders:?}");
        harness.advance(ROUND_MS);
    }
    report_of_second_incarnation(&mut harness, &on, vec![]);
    assert_eq!(starts(&harness.round()).len(), 1, "the run is gone");
}

#[test]
fn run_done_in_a_new_incarnation_is_started_again() {
    let (mut harness, on) = start_answered_by_second_incarnation();
    let done = End {
        number: 1,
        task: task(1, 0, 0),
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    let report = Report {
        incarnation_ms: 2,
        ended: vec![done],
        ..report(harness.clock_ms(), vec![])
    };
    let now = harness.now;
    harness.engine.handle_report(&on, &report, now, now);
    assert!(starts(&harness.round()).is_empty());
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Completed));
}

#[test]
fn run_started_after_the_first_report_of_a_new_incarnation_is_started_again() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 4_000);
    let id = task(1, 0, 0);
    harness.submit(job(1, vec![step(1)]));
    let on = starts(&harness.round())[0].0.clone();
    let requested_at = harness.now;
    harness.advance(ROUND_MS);
    harness.answer_start(id, 1, Answer::Started);
    let earlier = Report {
        incarnation_ms: 2,
        ..report(harness.clock_ms(), vec![])
    };
    let now = harness.now;
    harness
        .engine
        .handle_report(&on, &earlier, requested_at, now);
    let orders = harness.round();
    assert!(orders.is_empty(), "{orders:?}");
    harness.advance(ROUND_MS);
    report_of_second_incarnation(&mut harness, &on, vec![]);
    assert_eq!(starts(&harness.round()).len(), 1, "the run is gone");
}

#[test]
fn start_held_back_by_its_caller_is_sent_for_a_run_that_is_no_longer_ordered() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 4_000);
    let id = task(1, 0, 0);
    harness.submit(job(1, vec![long_running(1)]));
    let on = starts(&harness.round())[0].0.clone();
    let other = if on == "a" { "b" } else { "a" };
    let now = harness.now;
    let engine = &mut harness.engine;
    assert!(engine.start_deadline_ms(&on, id, 1, now).is_ok());
    assert_eq!(
        engine.start_deadline_ms(other, id, 1, now),
        Err(Answer::Withheld)
    );
    let info = RunnerInfo {
        state: RunnerState::Draining,
        ..crate::support::runner(&on, 4_000)
    };
    engine.update_runner(info, now);
    let deadline_ms = engine.start_deadline_ms(&on, id, 1, now);
    assert_eq!(deadline_ms, Err(Answer::Withheld), "stopped");
    harness.answer_start(id, 1, Answer::NotSent);
    harness.advance(ROUND_MS);
    harness.report(other, vec![]);
    assert_eq!(starts(&harness.round()), [(other.to_owned(), id, 2)]);
    let now = harness.now;
    let engine = &mut harness.engine;
    let deadline_ms = engine.start_deadline_ms(&on, id, 1, now);
    assert_eq!(deadline_ms, Err(Answer::Withheld), "replaced");
}

#[test]
fn final_phase_is_taken_back_at_the_end_of_a_stopped_run() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    let id = task(1, 0, 0);
    harness.submit(job(1, vec![step(1)]));
    harness.round();
    harness.answer_start(id, 1, Answer::Started);
    harness.engine.cancel(JobId::new(1), harness.now);
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Active));
    harness.round();
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Cancelled));
    harness.advance(ROUND_MS);
    let stopped = End {
        number: 1,
        task: id,
        run: 1,
        kind: EndKind::Cut,
        checkpoint: String::new(),
    };
    let mut report = report(harness.clock_ms(), vec![]);
    report.ended = vec![stopped];
    let now = harness.now;
    harness.engine.handle_report("a", &report, now, now);
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Cancelled));
}

#[test]
fn expired_job_is_removed_before_its_end_is_committed() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    harness.round();
    harness.engine.cancel(JobId::new(1), harness.now);
    harness.now += Options::default().retention;
    assert!(harness.engine.remove_expired_jobs(harness.now).is_empty());
    let commits = harness.engine.take_commits(1);
    assert!(harness.engine.remove_expired_jobs(harness.now).is_empty());
    for commit in commits {
        let revision = commit.revision + 1;
        harness
            .engine
            .handle_commit(commit.job, commit.version, revision);
    }
    let removed = harness.engine.remove_expired_jobs(harness.now);
    assert_eq!(removed, [JobId::new(1)]);
}
