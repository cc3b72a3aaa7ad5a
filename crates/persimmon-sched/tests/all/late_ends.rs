//! Runs that were given up because their runner was not heard in time.

use crate::support::{job, listed, report, starts, step, task, TestEngine};
use persimmon_sched::{Answer, End, EndKind, Options, Phase, StepSpec};
use std::time::Duration;

/// Longer than the longest lease term and all margins.
const LEASE_EXPIRY_MS: u64 = 12_000;

fn end(number: u64, kind: EndKind) -> End {
    End {
        number,
        task: task(1, 0, 0),
        run: 1,
        kind,
        checkpoint: String::new(),
    }
}

/// Run 1 of the only task of job 1 runs on `a`.
fn running() -> TestEngine {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    harness.submit(job(1, vec![step(1)]));
    assert_eq!(starts(&harness.round()).len(), 1);
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    let now = harness.now;
    harness.engine.lease_deadline_ms("a", now);
    harness
}

/// The task is given up and ordered again on `b`, as run 2.
fn ordered_again() -> TestEngine {
    let mut harness = running();
    harness.advance(LEASE_EXPIRY_MS);
    harness.miss_report("a");
    harness.add_runner("b", 8_000);
    harness.report("b", vec![]);
    let restarts = starts(&harness.round());
    assert_eq!(restarts, [("b".to_owned(), task(1, 0, 0), 2)]);
    harness
}

fn report_ends(harness: &mut TestEngine, runner: &str, ends: Vec<End>) {
    let mut report = report(harness.clock_ms(), vec![]);
    report.ended = ends;
    let now = harness.now;
    harness.engine.handle_report(runner, &report, now, now);
}

#[test]
fn task_of_a_runner_that_nobody_asked_runs_again() {
    let mut harness = running();
    harness.advance(LEASE_EXPIRY_MS);
    harness.add_runner("b", 8_000);
    harness.report("b", vec![]);
    assert!(
        starts(&harness.round()).is_empty(),
        "a may have finished it"
    );
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done)]);
    harness.round();
    let id = persimmon_sched::JobId::new(1);
    assert_eq!(harness.engine.phase(id), Some(Phase::Completed));
}

#[test]
fn silent_runner_holds_its_tasks_for_ever() {
    ordered_again();

    let mut harness = running();
    harness.advance(3 * LEASE_EXPIRY_MS);
    harness.add_runner("b", 8_000);
    harness.report("b", vec![]);
    assert_eq!(starts(&harness.round()).len(), 1, "asked or not");
}

/// An end stays valid when the lease expires while nothing runs any more.
#[test]
fn run_that_succeeded_before_it_was_given_up_runs_again() {
    let mut harness = running();
    harness.advance(LEASE_EXPIRY_MS);
    harness.miss_report("a");
    assert!(
        starts(&harness.round()).is_empty(),
        "there is no other runner"
    );
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done)]);
    assert!(starts(&harness.round()).is_empty());
    let id = persimmon_sched::JobId::new(1);
    assert_eq!(harness.engine.phase(id), Some(Phase::Completed));
    assert_eq!(harness.engine.acknowledged("a"), 1);
}

/// Acknowledged, the end would make the second start one of a task that was done.
#[test]
fn end_is_acknowledged_after_the_task_was_started_again() {
    let mut harness = ordered_again();
    harness.answer_start(task(1, 0, 0), 2, Answer::Started);
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done)]);
    harness.round();
    assert_eq!(harness.engine.acknowledged("a"), 0);
    harness.report("b", vec![listed(task(1, 0, 0), 2)]);

    // What ran on at the expiry shows that the lease did end.
    let lapsed = End {
        task: task(9, 0, 0),
        ..end(2, EndKind::Lapsed)
    };
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done), lapsed]);
    harness.round();
    assert_eq!(harness.engine.acknowledged("a"), 2);
}

/// The end of a run whose lease expired after it counts no more, so the task must run again.
#[test]
fn end_before_an_expiry_makes_a_task_done() {
    let mut harness = running();
    harness.advance(LEASE_EXPIRY_MS);
    harness.miss_report("a");
    harness.round();
    let lapsed = End {
        task: task(9, 0, 0),
        ..end(2, EndKind::Lapsed)
    };
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done), lapsed]);
    // The runner is given no task for a while after a request that it did not answer.
    harness.advance(1_000);
    harness.report("a", vec![]);
    assert_eq!(starts(&harness.round()).len(), 1);
}

#[test]
fn long_running_task_counts_as_done() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    harness.submit(job(1, vec![long_running]));
    harness.round();
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    harness.advance(LEASE_EXPIRY_MS);
    harness.miss_report("a");
    harness.round();
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done)]);
    harness.advance(1_000);
    harness.report("a", vec![]);
    assert_eq!(starts(&harness.round()).len(), 1);
}

/// Whether the newer run exists decides which of the two counts.
#[test]
fn task_that_was_done_starts_again_after_a_start_that_never_happened() {
    let mut harness = ordered_again();
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done)]);
    assert_eq!(
        harness.engine.acknowledged("a"),
        0,
        "run 2 may have started"
    );
    harness.answer_start(task(1, 0, 0), 2, Answer::Withheld);
    harness.advance(1_000);
    harness.report("b", vec![]);
    assert!(starts(&harness.round()).is_empty());
    let id = persimmon_sched::JobId::new(1);
    assert_eq!(harness.engine.phase(id), Some(Phase::Completed));
    assert_eq!(harness.engine.acknowledged("a"), 1);
}

/// A runner repeats it with each report, and only the next commit of some other job would end that.
#[test]
fn end_that_only_an_expired_job_keeps_back_is_never_acknowledged() {
    let mut harness = ordered_again();
    harness.answer_start(task(1, 0, 0), 2, Answer::Started);
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done)]);
    let second = End {
        run: 2,
        ..end(1, EndKind::Done)
    };
    report_ends(&mut harness, "b", vec![second]);
    harness.round();
    assert_eq!(harness.engine.acknowledged("a"), 0);
    harness.now += Options::default().retention + Duration::from_secs(1);
    let now = harness.now;
    assert_eq!(harness.engine.remove_expired_jobs(now).len(), 1);
    assert_eq!(harness.engine.acknowledged("a"), 1);
}

/// The newer run has started after the end of the earlier one.
#[test]
fn late_success_is_not_acknowledged_after_a_newer_run_has_failed() {
    let mut harness = ordered_again();
    harness.answer_start(task(1, 0, 0), 2, Answer::Started);
    let failed = End {
        run: 2,
        ..end(1, EndKind::Failed)
    };
    report_ends(&mut harness, "b", vec![failed]);
    harness.commit();
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done)]);
    harness.commit();
    assert_eq!(harness.engine.acknowledged("a"), 0);
}

/// Nothing tells that the start was carried out but the end of its run.
#[test]
fn late_success_is_not_acknowledged_after_the_end_of_a_run_whose_start_was_not_answered() {
    let mut harness = ordered_again();
    harness.answer_start(task(1, 0, 0), 2, Answer::Unknown);
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done)]);
    let failed = End {
        run: 2,
        ..end(1, EndKind::Failed)
    };
    report_ends(&mut harness, "b", vec![failed.clone()]);
    for run in 3..6 {
        harness.advance(1_000);
        harness.report("a", vec![]);
        report_ends(&mut harness, "b", vec![failed.clone()]);
        harness.round();
        harness.answer_start(task(1, 0, 0), run, Answer::Refused);
        harness.commit();
    }
    assert_eq!(harness.engine.acknowledged("a"), 0);
}

/// The runner of the newer run is not heard either, so nothing tells whether it has started.
#[test]
fn late_success_is_acknowledged_after_a_start_that_was_not_answered_until_its_lease_expired() {
    let mut harness = ordered_again();
    harness.answer_start(task(1, 0, 0), 2, Answer::Unknown);
    harness.advance(LEASE_EXPIRY_MS);
    harness.miss_report("b");
    harness.round();
    report_ends(&mut harness, "a", vec![end(1, EndKind::Done)]);
    harness.round();
    assert_eq!(harness.engine.acknowledged("a"), 0);
}

fn failed_run(run: u32) -> End {
    End {
        run,
        ..end(1, EndKind::Failed)
    }
}

/// The queue allows two failed runs.
#[test]
fn failure_of_a_run_that_was_given_up_is_acknowledged_and_not_counted() {
    let mut harness = ordered_again();
    harness.answer_start(task(1, 0, 0), 2, Answer::Started);
    report_ends(&mut harness, "a", vec![failed_run(1)]);
    assert_eq!(harness.engine.acknowledged("a"), 0, "it is not committed");
    harness.commit();
    assert_eq!(harness.engine.acknowledged("a"), 1);
    report_ends(&mut harness, "b", vec![failed_run(2)]);
    harness.commit();
    let id = persimmon_sched::JobId::new(1);
    assert_eq!(harness.engine.phase(id), Some(Phase::Failed));
}

/// Acknowledged, it would make run 3 the start of a task that had used up its attempts.
#[test]
fn late_failure_is_acknowledged_after_a_run_that_it_would_have_prevented() {
    let mut harness = ordered_again();
    harness.answer_start(task(1, 0, 0), 2, Answer::Started);
    report_ends(&mut harness, "b", vec![failed_run(2)]);
    harness.round();
    harness.advance(1_000);
    harness.report("b", vec![]);
    assert_eq!(starts(&harness.round()).len(), 1);
    harness.answer_start(task(1, 0, 0), 3, Answer::Started);
    report_ends(&mut harness, "a", vec![failed_run(1)]);
    harness.commit();
    assert_eq!(harness.engine.acknowledged("a"), 0);
    let id = persimmon_sched::JobId::new(1);
    assert_eq!(harness.engine.phase(id), Some(Phase::Active));
}

#[test]
fn late_failure_of_the_last_attempt_lets_the_task_run_again() {
    let mut harness = running();
    report_ends(&mut harness, "a", vec![failed_run(1)]);
    harness.round();
    harness.advance(100);
    harness.report("a", vec![]);
    assert_eq!(starts(&harness.round()).len(), 1);
    harness.answer_start(task(1, 0, 0), 2, Answer::Started);
    harness.advance(LEASE_EXPIRY_MS);
    harness.miss_report("a");
    harness.round();
    let failed = End {
        number: 2,
        ..failed_run(2)
    };
    report_ends(&mut harness, "a", vec![failed]);
    harness.commit();
    let id = persimmon_sched::JobId::new(1);
    assert_eq!(harness.engine.phase(id), Some(Phase::Failed));
    assert_eq!(harness.engine.acknowledged("a"), 2);
}

fn gang_end(number: u64, index: u16, kind: EndKind) -> End {
    End {
        task: task(1, 0, index),
        ..end(number, kind)
    }
}

/// Run 1 of a gang of two runs on `a` and `b`.
fn running_gang() -> TestEngine {
    let mut harness = TestEngine::with_runners(&["a", "b"], 1_000);
    let gang = StepSpec {
        gang: true,
        ..step(2)
    };
    harness.submit(job(1, vec![gang]));
    let runs = starts(&harness.round());
    let expected = [("a", 0), ("b", 1)].map(|(id, index)| (id.to_owned(), task(1, 0, index), 1));
    assert_eq!(runs, expected);
    let now = harness.now;
    for (index, id) in ["a", "b"].into_iter().enumerate() {
        harness.answer_start(task(1, 0, index as u16), 1, Answer::Started);
        harness.engine.lease_deadline_ms(id, now);
    }
    harness
}

/// The gang is given up, since neither runner answers.
fn gang_given_up() -> TestEngine {
    let mut harness = running_gang();
    harness.advance(LEASE_EXPIRY_MS);
    harness.miss_report("a");
    harness.miss_report("b");
    assert!(starts(&harness.round()).is_empty());
    harness
}

/// The gang is ordered again on `c` and `d`, as run 2.
fn gang_ordered_again() -> TestEngine {
    let mut harness = gang_given_up();
    for id in ["c", "d"] {
        harness.add_runner(id, 1_000);
        harness.report(id, vec![]);
    }
    assert_eq!(starts(&harness.round()).len(), 2);
    harness
}

#[test]
fn gang_that_succeeded_before_it_was_given_up_runs_again() {
    let mut harness = gang_given_up();
    report_ends(&mut harness, "a", vec![gang_end(1, 0, EndKind::Done)]);
    harness.round();
    let id = persimmon_sched::JobId::new(1);
    assert_eq!(harness.engine.phase(id), Some(Phase::Completed));
    report_ends(&mut harness, "b", vec![gang_end(1, 1, EndKind::Done)]);
    harness.round();
    assert_eq!(harness.engine.acknowledged("a"), 1);
    assert_eq!(harness.engine.acknowledged("b"), 1);
}

/// The other one is being stopped on a runner that leaves before it reports the end.
#[test]
fn gang_that_succeeded_runs_again_after_one_member_was_given_up() {
    let mut harness = running_gang();
    harness.advance(LEASE_EXPIRY_MS);
    harness.miss_report("a");
    harness.report("b", vec![listed(task(1, 0, 1), 1)]);
    harness.round();
    report_ends(&mut harness, "a", vec![gang_end(1, 0, EndKind::Done)]);
    harness.round();
    let id = persimmon_sched::JobId::new(1);
    assert_eq!(harness.engine.phase(id), Some(Phase::Completed));
    assert_eq!(harness.engine.acknowledged("a"), 1);
}

#[test]
fn end_of_a_gang_is_acknowledged_after_it_was_started_again() {
    let mut harness = gang_ordered_again();
    for index in 0..2 {
        harness.answer_start(task(1, 0, index), 2, Answer::Started);
    }
    report_ends(&mut harness, "a", vec![gang_end(1, 0, EndKind::Done)]);
    harness.round();
    assert_eq!(harness.engine.acknowledged("a"), 0);
}

/// One end represents all members, so the start of any of them decides.
#[test]
fn end_of_a_gang_is_acknowledged_after_another_member_was_started_again() {
    let mut harness = gang_ordered_again();
    harness.answer_start(task(1, 0, 1), 2, Answer::Started);
    harness.answer_start(task(1, 0, 0), 2, Answer::Withheld);
    report_ends(&mut harness, "a", vec![gang_end(1, 0, EndKind::Done)]);
    harness.round();
    assert_eq!(harness.engine.acknowledged("a"), 0);
}

#[test]
fn gang_that_was_done_starts_again_after_starts_that_never_happened() {
    let mut harness = gang_ordered_again();
    report_ends(&mut harness, "a", vec![gang_end(1, 0, EndKind::Done)]);
    report_ends(&mut harness, "b", vec![gang_end(1, 1, EndKind::Done)]);
    for index in 0..2 {
        assert_eq!(harness.engine.acknowledged("a"), 0, "{index} may start");
        harness.answer_start(task(1, 0, index), 2, Answer::Withheld);
        harness.commit();
    }
    harness.advance(1_000);
    for id in ["c", "d"] {
        harness.report(id, vec![]);
    }
    assert!(starts(&harness.round()).is_empty());
    let id = persimmon_sched::JobId::new(1);
    assert_eq!(harness.engine.phase(id), Some(Phase::Completed));
    assert_eq!(harness.engine.acknowledged("a"), 1);
    assert_eq!(harness.engine.acknowledged("b"), 1);
}
