use crate::support::{job, listed, report, runner, starts, step, stops, task, Bench};
use persimmon_sched::{
    Answer, End, EndKind, JobId, Mark, Phase, Record, Schedule, StepSpec, StoredRecord, TaskRecord,
};

fn end(number: u64, kind: EndKind) -> End {
    End {
        number,
        task: task(1, 0, 0),
        run: 1,
        kind,
        checkpoint: String::new(),
    }
}

fn hear_end(bench: &mut Bench, runner: &str, end: End) {
    let mut report = report(bench.clock_ms(), vec![]);
    report.ended.push(end);
    bench
        .engine
        .handle_report(runner, &report, bench.now, bench.now);
}

fn placed(runner: &str) -> StoredRecord {
    StoredRecord {
        revision: 7,
        record: Record {
            phase: Phase::Active,
            runners: vec![runner.to_owned()],
            tasks: vec![vec![vec![TaskRecord {
                mark: Mark::Placed(0),
                run: 1,
                failures: 0,
                checkpoint: String::new(),
            }]]],
        },
    }
}

#[test]
fn start_waits_for_commit() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    bench.submit(job(1, vec![step(1)]));
    bench.engine.tick(0, bench.now);
    assert!(starts(&bench.engine.take_orders()).is_empty());
    bench.commit();
    let orders = bench.engine.take_orders();
    assert_eq!(starts(&orders), [("a".to_owned(), task(1, 0, 0), 1)]);
}

#[test]
fn steps_follow_those_before() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    bench.submit(job(1, vec![step(1), second]));
    assert_eq!(starts(&bench.round()).len(), 1);
    bench.answer(task(1, 0, 0), 1, Answer::Started);
    assert!(starts(&bench.round()).is_empty());
    hear_end(&mut bench, "a", end(1, EndKind::Done));
    let next = starts(&bench.round());
    assert_eq!(next, [("a".to_owned(), task(1, 1, 0), 1)]);
}

#[test]
fn end_is_acknowledged_after_commit() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    bench.submit(job(1, vec![step(1)]));
    bench.round();
    bench.answer(task(1, 0, 0), 1, Answer::Started);
    hear_end(&mut bench, "a", end(1, EndKind::Done));
    assert_eq!(bench.engine.acknowledged("a"), 0);
    assert_eq!(bench.engine.phase(JobId(1)), Some(Phase::Active));
    bench.commit();
    assert_eq!(bench.engine.acknowledged("a"), 1);
    assert_eq!(bench.engine.phase(JobId(1)), Some(Phase::Completed));
}

#[test]
fn job_fails_after_its_attempts() {
    let mut bench = Bench::with_runners(&["a", "b"], 4_000);
    bench.submit(job(1, vec![step(1)]));
    for run in 1..=2 {
        let started = starts(&bench.round());
        assert_eq!(started.len(), 1);
        assert_eq!(started[0].2, run);
        bench.answer(task(1, 0, 0), run, Answer::Started);
        let failed = End {
            run,
            ..end(u64::from(run), EndKind::Failed)
        };
        hear_end(&mut bench, &started[0].0, failed);
        bench.pass(100);
    }
    assert!(starts(&bench.round()).is_empty());
    assert_eq!(bench.engine.phase(JobId(1)), Some(Phase::Failed));
}

#[test]
fn doubtful_start_is_stopped_before_another() {
    let mut bench = Bench::with_runners(&["a", "b"], 4_000);
    bench.submit(job(1, vec![step(1)]));
    let first = starts(&bench.round());
    bench.answer(task(1, 0, 0), 1, Answer::Unknown);
    bench.pass(300);
    let orders = bench.round();
    assert_eq!(stops(&orders), [(task(1, 0, 0), 1)]);
    assert!(starts(&orders).is_empty());
    bench.engine.handle_stop_answer(task(1, 0, 0), 1, bench.now);
    bench.pass(10);
    assert!(
        starts(&bench.round()).is_empty(),
        "no report since the stop"
    );
    for id in ["a", "b"] {
        bench.hear(id, vec![]);
    }
    bench.pass(700);
    let second = starts(&bench.round());
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].2, 2);
    assert_eq!(first[0].2, 1);
}

#[test]
fn doubtful_start_that_shows_up_goes_on() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    bench.submit(job(1, vec![step(1)]));
    bench.round();
    bench.answer(task(1, 0, 0), 1, Answer::Unknown);
    bench.pass(100);
    bench.hear("a", vec![listed(task(1, 0, 0), 1)]);
    bench.pass(1_000);
    let orders = bench.round();
    assert!(stops(&orders).is_empty() && starts(&orders).is_empty());
}

/// A taker does not know which lease the owner before it gave.
#[test]
fn taker_grants_an_earlier_owners_lease() {
    let mut bench = Bench::new();
    bench.list("a", 4_000);
    bench.list("b", 4_000);
    bench.inherit(job(1, vec![step(1)]), placed("a"));
    bench.hear("a", vec![listed(task(1, 0, 0), 1)]);
    for _ in 0..19 {
        bench.pass(500);
        bench.hear("b", vec![]);
        assert!(starts(&bench.round()).is_empty(), "its lease holds");
    }
    for _ in 0..4 {
        bench.pass(500);
        bench.hear("b", vec![]);
        bench.round();
    }
    bench.submit(job(2, vec![step(1)]));
    let again = starts(&bench.round());
    assert!(!again.is_empty());
    assert!(again.iter().all(|(runner, ..)| runner == "b"));
}

#[test]
fn taker_waits_for_a_runner_it_can_not_reach() {
    let mut bench = Bench::new();
    bench.list("a", 4_000);
    bench.list("b", 4_000);
    bench.hear("b", vec![]);
    bench.inherit(job(1, vec![step(1)]), placed("a"));
    for _ in 0..53 {
        bench.pass(500);
        bench.hear("b", vec![]);
        assert!(starts(&bench.round()).is_empty(), "it may run on a");
    }
    bench.pass(1_000);
    bench.hear("b", vec![]);
    let again = starts(&bench.round());
    assert_eq!(again, [("b".to_owned(), task(1, 0, 0), 2)]);
}

#[test]
fn taker_places_what_its_runner_does_not_list() {
    let mut bench = Bench::new();
    bench.list("a", 4_000);
    bench.inherit(job(1, vec![step(1)]), placed("a"));
    bench.hear("a", vec![]);
    let again = starts(&bench.round());
    assert_eq!(again, [("a".to_owned(), task(1, 0, 0), 2)]);
}

#[test]
fn stray_run_is_stopped() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    bench.hear("a", vec![listed(task(9, 0, 0), 3)]);
    assert_eq!(stops(&bench.round()), [(task(9, 0, 0), 3)]);
}

#[test]
fn cancelled_job_stops_its_runs() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    bench.submit(job(1, vec![step(2)]));
    bench.round();
    assert!(bench.engine.cancel(JobId(1), bench.now));
    let orders = bench.round();
    assert_eq!(stops(&orders).len(), 2);
    assert_eq!(bench.engine.phase(JobId(1)), Some(Phase::Cancelled));
    bench.pass(700);
    assert_eq!(stops(&bench.round()).len(), 2, "without an answer, again");
}

#[test]
fn spread_limits_tasks_on_a_runner() {
    let mut bench = Bench::with_runners(&["a", "b"], 40_000);
    let apart = StepSpec {
        per_runner_max: 2,
        ..step(5)
    };
    bench.submit(job(1, vec![apart]));
    let placed = starts(&bench.round());
    assert_eq!(placed.len(), 4);
    let on_a = placed.iter().filter(|(runner, ..)| runner == "a");
    assert_eq!(on_a.count(), 2);
}

#[test]
fn constraint_names_a_label() {
    let mut bench = Bench::with_runners(&["a"], 40_000);
    let needs = |label: &str| StepSpec {
        constraint: Some(label.to_owned()),
        ..step(1)
    };
    bench.submit(job(1, vec![needs("b")]));
    bench.submit(job(2, vec![needs("a")]));
    let placed = starts(&bench.round());
    assert_eq!(placed, [("a".to_owned(), task(2, 0, 0), 1)]);
}

#[test]
fn gang_starts_whole_or_not_at_all() {
    let mut bench = Bench::with_runners(&["a"], 2_500);
    let gang = |count| StepSpec {
        gang: true,
        ..step(count)
    };
    bench.submit(job(1, vec![gang(3)]));
    assert!(starts(&bench.round()).is_empty(), "two of three have room");
    bench.submit(job(2, vec![gang(2)]));
    let placed = starts(&bench.round());
    assert_eq!(placed.len(), 2);
    assert!(placed
        .iter()
        .all(|&(_, task, run)| task.job == JobId(2) && run == 1));
}

#[test]
fn occurrences_open_when_due() {
    let mut bench = Bench::with_runners(&["a"], 40_000);
    let mut spec = job(1, vec![step(1)]);
    spec.schedule = Some(Schedule {
        first_at_ms: 1_000,
        interval_ms: 500,
        count: 2,
    });
    bench.submit(spec);
    let mut opened = Vec::new();
    for wall_ms in [0, 999, 1_000, 1_499, 1_500, 9_000] {
        bench.engine.tick(wall_ms, bench.now);
        bench.commit();
        for (_, task, _) in starts(&bench.engine.take_orders()) {
            opened.push((wall_ms, task.occurrence));
        }
    }
    assert_eq!(opened, [(1_000, 0), (1_500, 1)]);
}

#[test]
fn capacity_is_never_exceeded() {
    let mut bench = Bench::with_runners(&["a"], 2_500);
    bench.submit(job(1, vec![step(5)]));
    assert_eq!(starts(&bench.round()).len(), 2);
    assert!(starts(&bench.round()).is_empty());
}

/// Tasks that serve claim two of two and a half cores and use about one of them.
#[test]
fn what_fills_takes_what_others_leave_idle() {
    let mut bench = Bench::with_runners(&["a"], 2_500);
    let latency_critical = StepSpec {
        tail_target_ms: 50,
        ..step(2)
    };
    bench.submit(job(1, vec![latency_critical]));
    assert_eq!(starts(&bench.round()).len(), 2);
    let best_effort = StepSpec {
        best_effort: true,
        ..step(3)
    };
    bench.submit(job(2, vec![best_effort]));
    assert_eq!(starts(&bench.round()).len(), 1, "no more than is idle");
}

#[test]
fn draining_runner_gets_no_task() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    let mut leaving = runner("a", 4_000);
    leaving.state = persimmon_sched::RunnerState::Draining;
    bench.engine.update_runner(leaving, bench.now);
    bench.submit(job(1, vec![step(1)]));
    assert!(starts(&bench.round()).is_empty());
}

#[test]
fn reborn_runner_frees_its_runs() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    bench.submit(job(1, vec![step(1)]));
    bench.round();
    bench.answer(task(1, 0, 0), 1, Answer::Started);
    bench.pass(100);
    let mut report = report(5, vec![]);
    report.incarnation_ms = 2;
    bench
        .engine
        .handle_report("a", &report, bench.now, bench.now);
    let again = starts(&bench.round());
    assert_eq!(again, [("a".to_owned(), task(1, 0, 0), 2)]);
}

/// A listing is in order of keys, which is not the order of events.
#[test]
fn cancel_before_submission_is_kept() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    bench.engine.cancel(JobId(1), bench.now);
    bench.submit(job(1, vec![step(1)]));
    assert!(starts(&bench.round()).is_empty());
    assert_eq!(bench.engine.phase(JobId(1)), Some(Phase::Cancelled));
}

#[test]
fn lapsed_run_is_written_as_waiting() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    bench.submit(job(1, vec![step(1)]));
    bench.round();
    bench.answer(task(1, 0, 0), 1, Answer::Started);
    bench.pass(20_000);
    bench.engine.tick(0, bench.now);
    let commits = bench.engine.take_commits(10);
    assert_eq!(commits[0].record.tasks[0][0][0].mark, Mark::Waiting);
}

/// Nobody renews the leases that a process gave before it died.
#[test]
fn taker_need_not_wait_long_for_a_dead_predecessor() {
    let mut bench = Bench::new();
    bench.list("b", 4_000);
    bench.inherit(job(1, vec![step(1)]), placed("gone"));
    bench.engine.predecessor_ended(bench.now);
    bench.pass(5_900);
    bench.hear("b", vec![]);
    assert!(starts(&bench.round()).is_empty(), "its lease may hold");
    bench.pass(700);
    bench.hear("b", vec![]);
    let again = starts(&bench.round());
    assert_eq!(again, [("b".to_owned(), task(1, 0, 0), 2)]);
}

/// Calls that get no answer may renew a lease, so they must not go on for ever.
#[test]
fn silent_runner_lapses_while_it_is_asked() {
    let mut bench = Bench::with_runners(&["a", "b"], 4_000);
    bench.submit(job(1, vec![step(1)]));
    let first = starts(&bench.round())[0].0.clone();
    bench.answer(task(1, 0, 0), 1, Answer::Started);
    let other = if first == "a" { "b" } else { "a" };
    let mut again = Vec::new();
    for _ in 0..60 {
        bench.pass(250);
        bench.engine.lease_deadline_ms(&first, bench.now);
        bench.engine.handle_missed_report(&first, bench.now);
        bench.hear(other, vec![]);
        again.extend(starts(&bench.round()));
    }
    assert_eq!(again, [(other.to_owned(), task(1, 0, 0), 2)]);
}

/// One that is late anyway must not make the next one late too.
#[test]
fn what_can_be_on_time_goes_first() {
    let mut bench = Bench::with_runners(&["a"], 1_000);
    let submitted = |id, at_ms| {
        let mut spec = job(id, vec![step(1)]);
        spec.submitted_at_ms = at_ms;
        spec
    };
    // A chain of 500 ms, stretched twice, and a second more: 2 s are allowed.
    bench.submit(submitted(1, 0));
    bench.submit(submitted(2, 5_000));
    bench.submit(submitted(3, 9_000));
    bench.engine.tick(9_500, bench.now);
    bench.commit();
    let first = starts(&bench.engine.take_orders());
    assert_eq!(first, [("a".to_owned(), task(3, 0, 0), 1)]);
}

/// The owner before lost power between the record and the stops.
#[test]
fn taker_stops_runs_of_an_ended_job() {
    let mut bench = Bench::new();
    bench.list("a", 4_000);
    let mut stored = placed("a");
    stored.record.phase = Phase::Cancelled;
    bench.inherit(job(1, vec![step(1)]), stored);
    bench.hear("a", vec![listed(task(1, 0, 0), 1)]);
    assert_eq!(stops(&bench.round()), [(task(1, 0, 0), 1)]);
}

/// The longest chain counts, not the sum: 500 ms twice over, stretched twice, and a second more.
#[test]
fn allowed_time_follows_the_longest_chain() {
    let mut bench = Bench::with_runners(&["a"], 1_000);
    let last = StepSpec {
        after: vec![0, 1],
        ..step(1)
    };
    let mut long = job(1, vec![step(1), step(1), last]);
    long.submitted_at_ms = 0;
    bench.submit(long);
    let mut short = job(2, vec![step(1)]);
    short.submitted_at_ms = 990;
    bench.submit(short);
    bench.engine.tick(2_900, bench.now);
    bench.commit();
    let first = starts(&bench.engine.take_orders());
    assert_eq!(first[0].1.job, JobId(2), "due at 2990 against 3000");
}

#[test]
fn taker_recalls_what_was_learned() {
    let learned = persimmon_sched::Learned {
        pressure: vec![("counter".to_owned(), "press".to_owned(), 4.5)],
        durations_ms: vec![("quotes".to_owned(), 812.0)],
    };
    let mut bench = Bench::new();
    bench.engine.restore_learned(learned.clone());
    assert_eq!(bench.engine.learned(), learned);
}

/// Everything ends when a runner leaves: what lasts is better elsewhere before, what may still be done
/// in time stays.
#[test]
fn draining_runner_is_evacuated() {
    let mut bench = Bench::with_runners(&["a"], 8_000);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    bench.submit(job(1, vec![long_running]));
    bench.submit(job(2, vec![step(1)]));
    bench.round();
    for job in [1, 2] {
        let task = task(job, 0, 0);
        bench.answer(task, 1, Answer::Started);
    }
    let mut leaving = runner("a", 8_000);
    leaving.state = persimmon_sched::RunnerState::Draining;
    bench.engine.update_runner(leaving, bench.now);
    assert_eq!(stops(&bench.round()), [(task(1, 0, 0), 1)]);
}

/// A start that is on its way, or in doubt, is no beginning.
#[test]
fn waiting_until_a_task_has_run() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    bench.submit(job(1, vec![step(1)]));
    let count = |bench: &Bench| bench.engine.waiting_jobs().values().sum::<u64>();
    assert_eq!(starts(&bench.round()).len(), 1);
    assert_eq!(count(&bench), 1, "ordered");
    let unknown = Answer::Unknown;
    bench.answer(task(1, 0, 0), 1, unknown);
    assert_eq!(count(&bench), 1, "in doubt");
    bench.hear("a", vec![listed(task(1, 0, 0), 1)]);
    assert_eq!(count(&bench), 0, "listed");
}

/// Whoever takes over a job that is only placed does not know whether it has begun.
#[test]
fn waiting_after_a_takeover() {
    let mut bench = Bench::new();
    bench.list("a", 4_000);
    let spec = job(1, vec![step(1)]);
    bench.inherit(spec, placed("a"));
    let count = |bench: &Bench| bench.engine.waiting_jobs().values().sum::<u64>();
    assert_eq!(count(&bench), 1);
    bench.hear("a", vec![listed(task(1, 0, 0), 1)]);
    assert_eq!(count(&bench), 0);
}

/// Small tasks find what room large ones left, though those were refused first.
#[test]
fn refused_demand_rules_out_only_what_asks_for_as_much() {
    let mut bench = Bench::with_runners(&["a"], 4_000);
    let large = StepSpec {
        size: crate::support::size(5_000),
        ..step(1)
    };
    bench.submit(job(1, vec![large.clone()]));
    bench.submit(job(2, vec![large]));
    bench.submit(job(3, vec![step(4)]));
    assert_eq!(starts(&bench.round()).len(), 4);
}

/// A service that is a part short comes before work that has not begun.
#[test]
fn lasting_task_that_ended_goes_before_new_work() {
    let mut bench = Bench::with_runners(&["a"], 1_000);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    bench.submit(job(9, vec![long_running]));
    assert_eq!(starts(&bench.round()).len(), 1);
    let started = Answer::Started;
    bench.answer(task(9, 0, 0), 1, started);
    bench.submit(job(1, vec![step(1)]));
    bench.submit(job(2, vec![step(1)]));
    assert!(starts(&bench.round()).is_empty(), "no room");
    let mut failed = end(1, EndKind::Failed);
    failed.task = task(9, 0, 0);
    hear_end(&mut bench, "a", failed);
    let first = starts(&bench.round());
    assert_eq!(first, [("a".to_owned(), task(9, 0, 0), 2)]);
}

/// The commit of a placement may come after the runner's lease has lapsed: its start is still to be
/// sent, with a new lease, so the task must not be placed a second time.
#[test]
fn lapse_leaves_a_start_that_is_still_to_be_sent() {
    let mut bench = Bench::with_runners(&["a", "b"], 1_000);
    bench.submit(job(1, vec![step(1)]));
    bench.engine.tick(0, bench.now);
    bench.pass(30_000);
    bench.hear("b", vec![]);
    bench.commit();
    let mut found = starts(&bench.round());
    found.extend(starts(&bench.round()));
    assert_eq!(found.len(), 1, "{found:?}");
}
