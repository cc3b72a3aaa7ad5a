use crate::support::{job, runner, starts, step, task, TestEngine};
use persimmon_sched::{Answer, RunnerInfo, RunnerState};

const MAX_AGE_MS: u64 = 1_000;

fn draining(id: &str) -> RunnerInfo {
    RunnerInfo {
        state: RunnerState::Draining,
        ..runner(id, 8_000)
    }
}

/// A watch that falls behind reports nothing, so a runner that leaves looks ready.
#[test]
fn task_starts_on_a_listing_that_is_too_old() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    harness.advance_without_listing(MAX_AGE_MS);
    harness.report("a", vec![]);
    harness.submit(job(1, vec![step(1)]));
    assert!(starts(&harness.round()).is_empty(), "the list is not known");
    harness.engine.confirm_listing(harness.now);
    assert_eq!(starts(&harness.round()).len(), 1);
}

#[test]
fn new_owner_starts_tasks_before_it_knows_the_instance_list() {
    let now = std::time::Instant::now();
    let mut engine = persimmon_sched::Engine::new(persimmon_sched::Options::default(), now);
    engine.configure(crate::support::policy());
    engine.update_runner(runner("a", 8_000), now);
    engine.handle_report("a", &crate::support::report(1_000, vec![]), now, now);
    engine.add_job(job(1, vec![step(1)]), None, 0, now);
    engine.tick(0, now);
    assert!(engine.take_commits(10).is_empty());
    engine.confirm_listing(now);
    engine.tick(0, now);
    assert_eq!(engine.take_commits(10).len(), 1);
}

/// An ordered start may wait for a connection while the list grows old or the runner leaves.
#[test]
fn ordered_start_is_sent_to_a_runner_that_leaves() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    harness.submit(job(1, vec![step(2)]));
    assert_eq!(starts(&harness.round()).len(), 2);
    let (first, second, now) = (task(1, 0, 0), task(1, 0, 1), harness.now);
    let engine = &mut harness.engine;
    assert!(engine.start_deadline_ms("a", first, 1, now).is_ok());
    harness.engine.update_runner(draining("a"), now);
    let withheld = Err(Answer::Withheld);
    let engine = &mut harness.engine;
    assert_eq!(engine.start_deadline_ms("a", second, 1, now), withheld);

    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    harness.submit(job(1, vec![step(1)]));
    assert_eq!(starts(&harness.round()).len(), 1);
    harness.advance_without_listing(MAX_AGE_MS);
    harness.report("a", vec![]);
    let (engine, now) = (&mut harness.engine, harness.now);
    assert_eq!(engine.start_deadline_ms("a", first, 1, now), withheld);
}

/// An old list says nothing about the runner: it takes tasks again as soon as the list is known.
#[test]
fn withheld_start_counts_against_its_runner() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    for run in 1..=4 {
        if run == 1 {
            harness.submit(job(1, vec![step(1)]));
        }
        assert_eq!(starts(&harness.round()).len(), 1, "run {run}");
        harness.answer_start(task(1, 0, 0), run, Answer::Withheld);
        harness.advance(60);
        harness.report("a", vec![]);
    }
}
