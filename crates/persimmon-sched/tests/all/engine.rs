use crate::support::{
    job, listed, placed_record, report, runner, starts, step, stops, task, TestEngine,
};
use persimmon_sched::{Answer, End, EndKind, JobId, Phase, Schedule, StepSpec, TaskState};

fn end(number: u64, kind: EndKind) -> End {
    End {
        number,
        task: task(1, 0, 0),
        run: 1,
        kind,
        checkpoint: String::new(),
    }
}

fn report_end(harness: &mut TestEngine, runner: &str, end: End) {
    let mut report = report(harness.clock_ms(), vec![]);
    report.ended.push(end);
    harness
        .engine
        .handle_report(runner, &report, harness.now, harness.now);
}

#[test]
fn start_waits_for_commit() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    harness.engine.tick(0, harness.now);
    assert!(starts(&harness.engine.take_orders()).is_empty());
    harness.commit();
    let orders = harness.engine.take_orders();
    assert_eq!(starts(&orders), [("a".to_owned(), task(1, 0, 0), 1)]);
}

#[test]
fn step_starts_after_its_dependencies() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    harness.submit(job(1, vec![step(1), second]));
    assert_eq!(starts(&harness.round()).len(), 1);
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    assert!(starts(&harness.round()).is_empty());
    report_end(&mut harness, "a", end(1, EndKind::Done));
    let next = starts(&harness.round());
    assert_eq!(next, [("a".to_owned(), task(1, 1, 0), 1)]);
}

#[test]
fn end_is_acknowledged_after_commit() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    harness.round();
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    report_end(&mut harness, "a", end(1, EndKind::Done));
    assert_eq!(harness.engine.acknowledged("a"), 0);
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Active));
    harness.commit();
    assert_eq!(harness.engine.acknowledged("a"), 1);
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Completed));
}

#[test]
fn job_fails_after_max_attempts() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    for run in 1..=2 {
        let started = starts(&harness.round());
        assert_eq!(started.len(), 1);
        assert_eq!(started[0].2, run);
        harness.answer_start(task(1, 0, 0), run, Answer::Started);
        let failed = End {
            run,
            ..end(u64::from(run), EndKind::Failed)
        };
        report_end(&mut harness, &started[0].0, failed);
        harness.advance(100);
    }
    assert!(starts(&harness.round()).is_empty());
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Failed));
}

#[test]
fn unanswered_start_is_stopped_before_retry() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    let first = starts(&harness.round());
    harness.answer_start(task(1, 0, 0), 1, Answer::Unknown);
    harness.advance(300);
    let orders = harness.round();
    assert_eq!(stops(&orders), [(task(1, 0, 0), 1)]);
    assert!(starts(&orders).is_empty());
    harness
        .engine
        .handle_stop_answer(task(1, 0, 0), 1, harness.now);
    harness.advance(10);
    assert!(
        starts(&harness.round()).is_empty(),
        "no report since the stop"
    );
    for id in ["a", "b"] {
        harness.report(id, vec![]);
    }
    harness.advance(700);
    let second = starts(&harness.round());
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].2, 2);
    assert_eq!(first[0].2, 1);
}

#[test]
fn unanswered_start_found_in_report_continues() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    harness.round();
    harness.answer_start(task(1, 0, 0), 1, Answer::Unknown);
    harness.advance(100);
    harness.report("a", vec![listed(task(1, 0, 0), 1)]);
    harness.advance(1_000);
    let orders = harness.round();
    assert!(stops(&orders).is_empty() && starts(&orders).is_empty());
}

/// A new owner does not know the lease granted by its predecessor, so it assumes the longest term.
#[test]
fn new_owner_waits_for_lease_of_previous_owner() {
    let mut harness = TestEngine::new();
    harness.add_runner("a", 4_000);
    harness.add_runner("b", 4_000);
    harness.restore_job(job(1, vec![step(1)]), placed_record("a"));
    harness.report("a", vec![listed(task(1, 0, 0), 1)]);
    for _ in 0..19 {
        harness.advance(500);
        harness.report("b", vec![]);
        assert!(starts(&harness.round()).is_empty(), "its lease holds");
    }
    for _ in 0..4 {
        harness.advance(500);
        harness.report("b", vec![]);
        harness.round();
    }
    harness.submit(job(2, vec![step(1)]));
    let restarts = starts(&harness.round());
    assert!(!restarts.is_empty());
    assert!(restarts.iter().all(|(runner, ..)| runner == "b"));
}

#[test]
fn new_owner_waits_for_unreachable_runner() {
    let mut harness = TestEngine::new();
    harness.add_runner("a", 4_000);
    harness.add_runner("b", 4_000);
    harness.report("b", vec![]);
    harness.restore_job(job(1, vec![step(1)]), placed_record("a"));
    for _ in 0..53 {
        harness.advance(500);
        harness.miss_report("a");
        harness.report("b", vec![]);
        assert!(starts(&harness.round()).is_empty(), "it may run on a");
    }
    harness.advance(1_000);
    harness.report("b", vec![]);
    let restarts = starts(&harness.round());
    assert_eq!(restarts, [("b".to_owned(), task(1, 0, 0), 2)]);
}

#[test]
fn new_owner_requeues_run_missing_from_report() {
    let mut harness = TestEngine::new();
    harness.add_runner("a", 4_000);
    harness.restore_job(job(1, vec![step(1)]), placed_record("a"));
    harness.report("a", vec![]);
    let restarts = starts(&harness.round());
    assert_eq!(restarts, [("a".to_owned(), task(1, 0, 0), 2)]);
}

#[test]
fn unknown_run_is_stopped() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.report("a", vec![listed(task(9, 0, 0), 3)]);
    assert_eq!(stops(&harness.round()), [(task(9, 0, 0), 3)]);
}

#[test]
fn cancelled_job_stops_its_runs() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(2)]));
    harness.round();
    assert!(harness.engine.cancel(JobId::new(1), harness.now));
    let orders = harness.round();
    assert_eq!(stops(&orders).len(), 2);
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Cancelled));
    harness.advance(700);
    assert_eq!(
        stops(&harness.round()).len(),
        2,
        "unanswered stops are repeated"
    );
}

#[test]
fn per_runner_max_limits_tasks_on_a_runner() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 40_000);
    let limited = StepSpec {
        per_runner_max: 2,
        ..step(5)
    };
    harness.submit(job(1, vec![limited]));
    let placed = starts(&harness.round());
    assert_eq!(placed.len(), 4);
    let on_a = placed.iter().filter(|(runner, ..)| runner == "a");
    assert_eq!(on_a.count(), 2);
}

#[test]
fn constraint_requires_label() {
    let mut harness = TestEngine::with_runners(&["a"], 40_000);
    let needs = |label: &str| StepSpec {
        constraint: Some(label.to_owned()),
        ..step(1)
    };
    harness.submit(job(1, vec![needs("b")]));
    harness.submit(job(2, vec![needs("a")]));
    let placed = starts(&harness.round());
    assert_eq!(placed, [("a".to_owned(), task(2, 0, 0), 1)]);
}

#[test]
fn gang_starts_all_or_nothing() {
    let mut harness = TestEngine::with_runners(&["a"], 2_500);
    let gang = |count| StepSpec {
        gang: true,
        ..step(count)
    };
    harness.submit(job(1, vec![gang(3)]));
    assert!(
        starts(&harness.round()).is_empty(),
        "only two of three tasks fit"
    );
    harness.submit(job(2, vec![gang(2)]));
    let placed = starts(&harness.round());
    assert_eq!(placed.len(), 2);
    assert!(placed
        .iter()
        .all(|&(_, task, run)| task.job == JobId::new(2) && run == 1));
}

#[test]
fn occurrences_open_when_due() {
    let mut harness = TestEngine::with_runners(&["a"], 40_000);
    let mut spec = job(1, vec![step(1)]);
    spec.schedule = Some(Schedule {
        first_at_ms: 1_000,
        interval_ms: 500,
        count: 2,
    });
    harness.submit(spec);
    let mut opened = Vec::new();
    for wall_ms in [0, 999, 1_000, 1_499, 1_500, 9_000] {
        harness.engine.tick(wall_ms, harness.now);
        harness.commit();
        for (_, task, _) in starts(&harness.engine.take_orders()) {
            opened.push((wall_ms, task.occurrence));
        }
    }
    assert_eq!(opened, [(1_000, 0), (1_500, 1)]);
}

#[test]
fn capacity_is_never_exceeded() {
    let mut harness = TestEngine::with_runners(&["a"], 2_500);
    harness.submit(job(1, vec![step(5)]));
    assert_eq!(starts(&harness.round()).len(), 2);
    assert!(starts(&harness.round()).is_empty());
}

/// Latency-critical tasks claim two of two and a half cores and are assumed to use one.
#[test]
fn best_effort_tasks_use_idle_processor_time() {
    let mut harness = TestEngine::with_runners(&["a"], 2_500);
    let latency_critical = StepSpec {
        tail_target_ms: 50,
        ..step(2)
    };
    harness.submit(job(1, vec![latency_critical]));
    assert_eq!(starts(&harness.round()).len(), 2);
    let best_effort = StepSpec {
        best_effort: true,
        ..step(3)
    };
    harness.submit(job(2, vec![best_effort]));
    assert_eq!(starts(&harness.round()).len(), 1, "no more than is idle");
}

#[test]
fn draining_runner_gets_no_task() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    let mut draining = runner("a", 4_000);
    draining.state = persimmon_sched::RunnerState::Draining;
    harness.engine.update_runner(draining, harness.now);
    harness.submit(job(1, vec![step(1)]));
    assert!(starts(&harness.round()).is_empty());
}

#[test]
fn restarted_runner_requeues_its_runs() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    harness.round();
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    harness.advance(100);
    let mut report = report(5, vec![]);
    report.incarnation_ms = 2;
    harness
        .engine
        .handle_report("a", &report, harness.now, harness.now);
    let restarts = starts(&harness.round());
    assert_eq!(restarts, [("a".to_owned(), task(1, 0, 0), 2)]);
}

#[test]
fn gang_is_started_again_after_different_members_used_up_its_attempts() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 1_000);
    let gang = StepSpec {
        gang: true,
        ..step(2)
    };
    harness.submit(job(1, vec![gang]));
    for failing in 0..2 {
        let runs = starts(&harness.round());
        assert_eq!(runs.len(), 2, "{runs:?}");
        for (runner, task, run) in runs {
            harness.answer_start(task, run, Answer::Started);
            let kind = if task.index == failing {
                EndKind::Failed
            } else {
                EndKind::Cut
            };
            let end = End {
                task,
                run,
                ..end(u64::from(run), kind)
            };
            report_end(&mut harness, &runner, end);
        }
        harness.commit();
        harness.advance(100);
    }
    assert!(starts(&harness.round()).is_empty());
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Failed));
}

/// Two members that fail in one run are one failure of the gang.
#[test]
fn gang_fails_after_one_run_in_which_two_members_failed() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 1_000);
    let gang = StepSpec {
        gang: true,
        ..step(2)
    };
    harness.submit(job(1, vec![gang]));
    for (runner, task, run) in starts(&harness.round()) {
        harness.answer_start(task, run, Answer::Started);
        let failed = End {
            task,
            ..end(1, EndKind::Failed)
        };
        report_end(&mut harness, &runner, failed);
    }
    harness.commit();
    harness.advance(100);
    assert_eq!(starts(&harness.round()).len(), 2);
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Active));
}

/// Keys in the store are listed in key order, so a cancellation may precede its submission.
#[test]
fn cancel_before_submission_is_kept() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.engine.cancel(JobId::new(1), harness.now);
    harness.submit(job(1, vec![step(1)]));
    assert!(starts(&harness.round()).is_empty());
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Cancelled));
}

#[test]
fn expired_run_is_recorded_as_waiting() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    harness.round();
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    harness.advance(20_000);
    harness.engine.tick(0, harness.now);
    let commits = harness.engine.take_commits(10);
    assert_eq!(commits[0].record.tasks[0][0][0].state, TaskState::Waiting);
}

/// Leases granted by a stopped owner are no longer renewed, so a new owner waits for one term only.
#[test]
fn lease_of_stopped_predecessor_expires_after_one_term() {
    let mut harness = TestEngine::new();
    harness.add_runner("b", 4_000);
    harness.restore_job(job(1, vec![step(1)]), placed_record("gone"));
    harness.engine.predecessor_ended(harness.now);
    harness.advance(5_900);
    harness.report("b", vec![]);
    assert!(starts(&harness.round()).is_empty(), "its lease may hold");
    harness.advance(700);
    harness.report("b", vec![]);
    let restarts = starts(&harness.round());
    assert_eq!(restarts, [("b".to_owned(), task(1, 0, 0), 2)]);
}

/// A start that was meant for the earlier incarnation may give the new one a lease of the longest
/// term.
#[test]
fn predecessor_that_ended_shortens_the_wait_for_a_restarted_runner() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    assert_eq!(starts(&harness.round()).len(), 1);
    harness.answer_start(task(1, 0, 0), 1, Answer::Unknown);
    let mut restarted = report(5, vec![]);
    restarted.incarnation_ms = 2;
    let now = harness.now;
    harness.engine.handle_report("a", &restarted, now, now);
    harness.engine.predecessor_ended(now);
    harness.miss_report("a");
    harness.add_runner("b", 4_000);
    harness.advance(10_000);
    harness.report("b", vec![]);
    assert!(starts(&harness.round()).is_empty(), "its lease may hold");
    harness.advance(1_000);
    harness.report("b", vec![]);
    let restarts = starts(&harness.round());
    assert_eq!(restarts, [("b".to_owned(), task(1, 0, 0), 2)]);
}

/// An unanswered call may renew the lease: if each carried a deadline, the lease would never
/// expire.
#[test]
fn lease_of_silent_runner_expires_while_polled() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    let first = starts(&harness.round())[0].0.clone();
    harness.answer_start(task(1, 0, 0), 1, Answer::Started);
    let other = if first == "a" { "b" } else { "a" };
    let mut restarts = Vec::new();
    for _ in 0..60 {
        harness.advance(250);
        harness.engine.lease_deadline_ms(&first, harness.now);
        harness.engine.handle_missed_report(&first, harness.now);
        harness.report(other, vec![]);
        restarts.extend(starts(&harness.round()));
    }
    assert_eq!(restarts, [(other.to_owned(), task(1, 0, 0), 2)]);
}

/// A job that is already late must not delay one that can still be on time.
#[test]
fn job_that_can_be_on_time_precedes_late_ones() {
    let mut harness = TestEngine::with_runners(&["a"], 1_000);
    let submitted = |id, at_ms| {
        let mut spec = job(id, vec![step(1)]);
        spec.submitted_at_ms = at_ms;
        spec
    };
    // Time budget: critical path of 500 ms times 2, plus 1 s, is 2 s.
    harness.submit(submitted(1, 0));
    harness.submit(submitted(2, 5_000));
    harness.submit(submitted(3, 9_000));
    harness.engine.tick(9_500, harness.now);
    harness.commit();
    let first = starts(&harness.engine.take_orders());
    assert_eq!(first, [("a".to_owned(), task(3, 0, 0), 1)]);
}

/// The previous owner may crash after it committed the end of a job and before it ordered the
/// stops.
#[test]
fn new_owner_stops_runs_of_ended_job() {
    let mut harness = TestEngine::new();
    harness.add_runner("a", 4_000);
    let mut stored = placed_record("a");
    stored.record.phase = Phase::Cancelled;
    harness.restore_job(job(1, vec![step(1)]), stored);
    harness.report("a", vec![listed(task(1, 0, 0), 1)]);
    assert_eq!(stops(&harness.round()), [(task(1, 0, 0), 1)]);
}

/// The time budget uses the critical path, not the sum of the steps: 2 x 500 ms, times 2, plus 1 s.
#[test]
fn time_budget_follows_critical_path() {
    let mut harness = TestEngine::with_runners(&["a"], 1_000);
    let last = StepSpec {
        after: vec![0, 1],
        ..step(1)
    };
    let mut long = job(1, vec![step(1), step(1), last]);
    long.submitted_at_ms = 0;
    harness.submit(long);
    let mut short = job(2, vec![step(1)]);
    short.submitted_at_ms = 990;
    harness.submit(short);
    harness.engine.tick(2_900, harness.now);
    harness.commit();
    let first = starts(&harness.engine.take_orders());
    assert_eq!(first[0].1.job, JobId::new(2), "due at 2990 against 3000");
}

#[test]
fn learned_estimates_survive_takeover() {
    let learned = persimmon_sched::Learned {
        interference_weights: vec![("counter".to_owned(), "press".to_owned(), 4.5)],
        durations_ms: vec![("quotes".to_owned(), 812.0)],
    };
    let mut harness = TestEngine::new();
    harness.engine.restore_learned(learned.clone());
    assert_eq!(harness.engine.learned(), learned);
}

/// All runs end when a draining runner leaves: long-running tasks move at once, while others may
/// still finish in time.
#[test]
fn draining_runner_is_evacuated() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    harness.submit(job(1, vec![long_running]));
    harness.submit(job(2, vec![step(1)]));
    harness.round();
    for job in [1, 2] {
        let task = task(job, 0, 0);
        harness.answer_start(task, 1, Answer::Started);
    }
    let mut draining = runner("a", 8_000);
    draining.state = persimmon_sched::RunnerState::Draining;
    harness.engine.update_runner(draining, harness.now);
    assert_eq!(stops(&harness.round()), [(task(1, 0, 0), 1)]);
}

/// A job with an ordered or unconfirmed start still counts as waiting.
#[test]
fn job_counts_as_waiting_until_a_task_has_run() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.submit(job(1, vec![step(1)]));
    let count = |harness: &TestEngine| harness.engine.waiting_jobs().values().sum::<u64>();
    assert_eq!(starts(&harness.round()).len(), 1);
    assert_eq!(count(&harness), 1, "ordered");
    let unknown = Answer::Unknown;
    harness.answer_start(task(1, 0, 0), 1, unknown);
    assert_eq!(count(&harness), 1, "unconfirmed");
    harness.report("a", vec![listed(task(1, 0, 0), 1)]);
    assert_eq!(count(&harness), 0, "listed");
}

/// A new owner does not know whether a placed task has started.
#[test]
fn placed_job_counts_as_waiting_after_takeover() {
    let mut harness = TestEngine::new();
    harness.add_runner("a", 4_000);
    let spec = job(1, vec![step(1)]);
    harness.restore_job(spec, placed_record("a"));
    let count = |harness: &TestEngine| harness.engine.waiting_jobs().values().sum::<u64>();
    assert_eq!(count(&harness), 1);
    harness.report("a", vec![listed(task(1, 0, 0), 1)]);
    assert_eq!(count(&harness), 0);
}

/// Small tasks are placed although larger ones before them did not fit.
#[test]
fn infeasible_demand_skips_only_larger_ones() {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    let large = StepSpec {
        size: crate::support::size(5_000),
        ..step(1)
    };
    harness.submit(job(1, vec![large.clone()]));
    harness.submit(job(2, vec![large]));
    harness.submit(job(3, vec![step(4)]));
    assert_eq!(starts(&harness.round()).len(), 4);
}

/// A service that lacks a task is restored before new work starts.
#[test]
fn ended_long_running_task_precedes_new_work() {
    let mut harness = TestEngine::with_runners(&["a"], 1_000);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    harness.submit(job(9, vec![long_running]));
    assert_eq!(starts(&harness.round()).len(), 1);
    let started = Answer::Started;
    harness.answer_start(task(9, 0, 0), 1, started);
    harness.submit(job(1, vec![step(1)]));
    harness.submit(job(2, vec![step(1)]));
    assert!(starts(&harness.round()).is_empty(), "no free capacity");
    let mut failed = end(1, EndKind::Failed);
    failed.task = task(9, 0, 0);
    report_end(&mut harness, "a", failed);
    let first = starts(&harness.round());
    assert_eq!(first, [("a".to_owned(), task(9, 0, 0), 2)]);
}

/// A placement may be committed after the lease of its runner has expired. Its start is sent with a
/// new lease, so requeueing the task on expiry would run it twice.
#[test]
fn lease_expiry_keeps_pending_start() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 1_000);
    harness.submit(job(1, vec![step(1)]));
    harness.engine.tick(0, harness.now);
    harness.advance(30_000);
    harness.report("b", vec![]);
    harness.commit();
    let mut started = starts(&harness.round());
    started.extend(starts(&harness.round()));
    assert_eq!(started.len(), 1, "{started:?}");
}

/// An owner whose pass takes seconds loses its session, and so does the next one.
#[test]
fn pass_over_thousands_of_runners_and_tasks_has_no_end() {
    const RUNNERS: usize = 3_000;
    let ids: Vec<_> = (0..RUNNERS).map(|at| format!("r{at}")).collect();
    let ids: Vec<_> = ids.iter().map(String::as_str).collect();
    let mut harness = TestEngine::with_runners(&ids, 1_000);
    for id in 1..=30 {
        harness.submit(job(id, vec![step(100)]));
    }
    let first = start_all(&mut harness);
    assert!(
        (1..=200).contains(&first),
        "{first} tasks in the first pass"
    );
    let mut total = first;
    for _ in 0..20 {
        total += start_all(&mut harness);
    }
    assert_eq!(total, RUNNERS, "the others follow");
}

/// Runs one scheduling pass, and starts what it places; returns the number of tasks.
fn start_all(harness: &mut TestEngine) -> usize {
    let started = starts(&harness.round());
    for &(_, task, run) in &started {
        harness.answer_start(task, run, Answer::Started);
    }
    started.len()
}

#[test]
fn demands_that_never_fit_do_not_hold_up_those_behind_them() {
    const RUNNERS: usize = 3_000;
    let ids: Vec<_> = (0..RUNNERS).map(|at| format!("r{at}")).collect();
    let ids: Vec<_> = ids.iter().map(String::as_str).collect();
    let mut harness = TestEngine::with_runners(&ids, 1_000);
    for id in 1..=300 {
        let nowhere = StepSpec {
            constraint: Some("nowhere".to_owned()),
            ..step(1)
        };
        harness.submit(job(id, vec![nowhere]));
    }
    harness.submit(job(1_000, vec![step(1)]));
    let placed = (0..5).any(|_| !starts(&harness.round()).is_empty());
    assert!(
        placed,
        "a task that fits everywhere is placed within 5 passes"
    );
}
