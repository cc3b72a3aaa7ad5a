use crate::support::{job, listed, starts, step, task, TestEngine};
use persimmon_sched::{Answer, RunStatus, StallCause, StepSpec};
use std::time::Duration;

const MIN: Duration = Duration::from_secs(4);

fn serving_step() -> StepSpec {
    StepSpec {
        long_running: true,
        tail_target_ms: 100,
        ..step(1)
    }
}

fn causes(harness: &mut TestEngine) -> Vec<StallCause> {
    let stalled = harness.engine.stalled(MIN, harness.now);
    stalled.into_iter().map(|it| it.cause).collect()
}

#[test]
fn unanswered_start_is_stalled_after_the_minimum() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![serving_step()]));
    assert_eq!(starts(&harness.round()).len(), 1);
    assert!(causes(&mut harness).is_empty(), "it was just placed");
    harness.advance(4_000);
    let cause = StallCause::NotRunning {
        runner: "a".to_owned(),
        listed: true,
        stage: "ordered",
    };
    assert_eq!(causes(&mut harness), [cause]);
}

#[test]
fn running_task_is_not_stalled() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![serving_step()]));
    harness.round();
    assert!(causes(&mut harness).is_empty());
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    harness.advance(10_000);
    assert!(causes(&mut harness).is_empty());
}

#[test]
fn queued_task_is_stalled_only_where_it_fits() {
    let mut harness = TestEngine::with_runners(&["a"], 500);
    harness.submit(job(1, vec![serving_step()]));
    causes(&mut harness);
    harness.advance(4_000);
    assert!(causes(&mut harness).is_empty(), "no runner has room");
    harness.add_runner("b", 4_000);
    assert!(causes(&mut harness).is_empty(), "the runner is new");
    let cause = StallCause::NotPlaced {
        schedulable: 0,
        interfering: 0,
        backing_off: 0,
        silent: 1,
    };
    assert_eq!(causes(&mut harness), [cause]);
}

#[test]
fn runner_that_is_backed_off_from_is_counted() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![serving_step()]));
    assert!(causes(&mut harness).is_empty(), "it was just submitted");
    harness.advance(4_000);
    harness.report("a", vec![]);
    harness.engine.handle_missed_report("a", harness.now);
    assert!(
        causes(&mut harness).is_empty(),
        "it may be placed in the next pass"
    );
    let cause = StallCause::NotPlaced {
        schedulable: 0,
        interfering: 0,
        backing_off: 1,
        silent: 0,
    };
    assert_eq!(causes(&mut harness), [cause]);
}

#[test]
fn best_effort_task_kept_off_by_a_tail_latency_is_stalled() {
    let mut harness = TestEngine::with_runners(&["a"], 10_000);
    harness.submit(job(1, vec![serving_step()]));
    harness.round();
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    let over_target = RunStatus {
        measurement: 200,
        ..listed(task(1, 0, 0), 1)
    };
    harness.report("a", vec![over_target.clone()]);
    let best_effort = StepSpec {
        best_effort: true,
        ..step(1)
    };
    harness.submit(job(2, vec![best_effort]));
    assert!(starts(&harness.round()).is_empty());
    causes(&mut harness);
    harness.advance(4_000);
    harness.report("a", vec![over_target]);
    assert!(
        causes(&mut harness).is_empty(),
        "it may be placed in the next pass"
    );
    let cause = StallCause::NotPlaced {
        schedulable: 0,
        interfering: 1,
        backing_off: 0,
        silent: 0,
    };
    assert_eq!(causes(&mut harness), [cause]);
}
