//! Jobs of which the store keeps only the phase that they ended in.

use crate::support::{job, report, starts, step, stops, TestEngine, QUEUE};
use persimmon_sched::{Answer, End, EndKind, JobId, Phase, TaskId};

const ID: JobId = JobId::new(1);

/// Reports that a run was cut.
fn end_run(harness: &mut TestEngine, task: TaskId, run: u32) {
    let mut report = report(harness.clock_ms(), Vec::new());
    report.ended.push(End {
        number: 1,
        task,
        run,
        kind: EndKind::Cut,
        checkpoint: String::new(),
    });
    let now = harness.now;
    harness.engine.handle_report("a", &report, now, now);
}

#[test]
fn cancelled_job_is_settled_while_a_run_is_left() {
    let mut harness = TestEngine::with_runners(&["a"], 1_000);
    harness.submit(job(ID.number, vec![step(1)]));
    let (_, task, run) = starts(&harness.round())[0].clone();
    harness.answer_start(task, run, Answer::Started);
    assert!(harness.engine.cancel(ID, harness.now));
    assert_eq!(stops(&harness.round()), [(task, run)]);
    assert_eq!(harness.engine.phase(ID), Some(Phase::Cancelled));
    assert!(harness.engine.take_settled_jobs(10).is_empty());
    end_run(&mut harness, task, run);
    assert!(harness.engine.take_settled_jobs(10).is_empty());
    harness.commit();
    let settled = harness.engine.take_settled_jobs(10);
    assert_eq!(settled, [(ID, Phase::Cancelled)]);
    assert!(harness.engine.take_settled_jobs(10).is_empty());
}

#[test]
fn settled_job_that_is_being_shortened_is_removed() {
    let mut harness = TestEngine::with_runners(&["a"], 1_000);
    harness.submit(job(ID.number, vec![step(1)]));
    assert!(harness.engine.cancel(ID, harness.now));
    harness.commit();
    assert_eq!(harness.engine.take_settled_jobs(10).len(), 1);
    harness.advance(1_000_000);
    assert!(harness.engine.remove_expired_jobs(harness.now).is_empty());
    harness.engine.handle_settled(ID, true);
    assert_eq!(harness.engine.remove_expired_jobs(harness.now), [ID]);
}

#[test]
fn ended_job_is_known_by_its_phase() {
    let mut harness = TestEngine::with_runners(&["a"], 1_000);
    let now = harness.now;
    harness
        .engine
        .add_ended_job(ID, QUEUE.to_owned(), Phase::Failed, now);
    harness.submit(job(ID.number, vec![step(1)]));
    assert_eq!(harness.engine.phase(ID), Some(Phase::Failed));
    assert!(!harness.engine.cancel(ID, harness.now));
    harness.engine.tick(0, harness.now);
    assert!(harness.engine.take_orders().is_empty());
    assert!(harness.engine.take_commits(10).is_empty());
    assert!(harness.engine.waiting_jobs().is_empty());
}
