//! Jobs of two queues with the same number, whose tasks have the same names on runners.

use crate::support::{job, listed, policy, report, runner, starts, step, stops, TestEngine, QUEUE};
use persimmon_sched::{
    Answer, End, EndKind, JobId, JobSpec, Phase, Policy, Queue, Report, RunnerInfo, TaskId,
};

const DESK: &str = "desk";
const FIRST: JobId = JobId::new(1);

fn later() -> JobId {
    JobId::of_queue(1, DESK)
}

fn task(job: JobId) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn policy_with(version: u64, service: &str) -> Policy {
    let mut policy = policy();
    let desk = Queue {
        name: DESK.to_owned(),
        service: service.to_owned(),
        ..policy.queues[0].clone()
    };
    policy.version = version;
    policy.queues.push(desk);
    policy
}

fn job_of(id: JobId, queue: &str) -> JobSpec {
    JobSpec {
        id,
        queue: queue.to_owned(),
        ..job(id.number, vec![step(1)])
    }
}

/// An engine with a runner of each of two services, and a job of each with the same number.
fn two_jobs() -> TestEngine {
    let mut harness = TestEngine::with_runners(&["a"], 4_000);
    harness.engine.configure(policy_with(2, "desks"));
    let desk = RunnerInfo {
        service: "desks".to_owned(),
        ..runner("b", 4_000)
    };
    harness.engine.update_runner(desk, harness.now);
    harness.report("b", vec![]);
    harness.submit(job_of(FIRST, QUEUE));
    harness.submit(job_of(later(), DESK));
    harness
}

fn end(harness: &mut TestEngine, runner: &str, run: u32, kind: EndKind) {
    let end = End {
        number: u64::from(run),
        task: task(FIRST),
        run,
        kind,
        checkpoint: String::new(),
    };
    let report = Report {
        ended: vec![end],
        ..report(harness.clock_ms(), Vec::new())
    };
    let now = harness.now;
    harness.engine.handle_report(runner, &report, now, now);
}

#[test]
fn ids_of_jobs_with_one_number_have_one_name_on_runners() {
    assert_ne!(FIRST, later());
    assert_ne!(FIRST.to_string(), later().to_string());
    assert_eq!(JobId::parse_whole(&later().to_string()), Some(later()));
    assert_eq!(JobId::parse_whole(&FIRST.to_string()), Some(FIRST));
    assert_eq!(task(later()).on_runner(), task(FIRST));
    let text = later().to_string();
    assert!(
        text.parse::<JobId>().is_err(),
        "callers choose numbers alone"
    );
    for text in [
        "",
        "-",
        "0000000000000001-",
        "0000000000000001-0000000000000000",
    ] {
        assert_eq!(JobId::parse_whole(text), None, "{text:?}");
    }
}

/// Guards against an end on one service that counts for the job of another queue.
#[test]
fn ends_count_for_the_job_of_the_runners_service() {
    let mut harness = two_jobs();
    let mut started = starts(&harness.round());
    started.sort();
    let expected = [
        ("a".to_owned(), task(FIRST), 1),
        ("b".to_owned(), task(later()), 1),
    ];
    assert_eq!(started, expected);
    for id in [FIRST, later()] {
        harness.answer_start(task(id), 1, Answer::Started);
    }
    end(&mut harness, "b", 1, EndKind::Done);
    let phase = |harness: &TestEngine, id| harness.engine.phase(id);
    assert!(starts(&harness.round()).is_empty());
    assert_eq!(phase(&harness, later()), Some(Phase::Completed));
    assert_eq!(phase(&harness, FIRST), Some(Phase::Active));
    assert_eq!(harness.engine.phase_of(DESK, 1), Some(Phase::Completed));
    assert_eq!(harness.engine.phase_of(QUEUE, 1), Some(Phase::Active));
    assert_eq!(harness.engine.phase_of("other", 1), None);
}

/// Guards against a run of one job that is taken for one of the other, and lives on after its end.
#[test]
fn listed_run_belongs_to_the_job_of_the_runners_service() {
    let mut harness = two_jobs();
    harness.round();
    for id in [FIRST, later()] {
        harness.answer_start(task(id), 1, Answer::Started);
    }
    harness.advance(1_000);
    harness.report("a", vec![listed(task(FIRST), 1)]);
    harness.report("b", vec![listed(task(FIRST), 1)]);
    assert!(starts(&harness.round()).is_empty(), "both still run");
    let now = harness.now;
    assert!(harness.engine.cancel(later(), now));
    assert_eq!(stops(&harness.round()), [(task(later()), 1)]);
    assert_eq!(harness.engine.phase(FIRST), Some(Phase::Active));
}

/// An earlier owner may have started it.
#[test]
fn unknown_run_is_stopped_where_two_jobs_have_its_number() {
    let mut harness = two_jobs();
    harness.report("b", vec![listed(task(FIRST), 7)]);
    assert_eq!(stops(&harness.round()), [(task(later()), 7)]);
}

/// Guards against two runs with one name on a service after its queues have changed: a runner would
/// take them for one.
#[test]
fn job_waits_while_another_with_its_names_runs_on_its_service() {
    let mut harness = two_jobs();
    harness.engine.configure(policy_with(3, "bookings"));
    let started = starts(&harness.round());
    assert_eq!(started, [("a".to_owned(), task(FIRST), 1)]);
    harness.answer_start(task(FIRST), 1, Answer::Started);
    assert!(starts(&harness.round()).is_empty());
    end(&mut harness, "a", 1, EndKind::Done);
    let started = starts(&harness.round());
    assert_eq!(started, [("a".to_owned(), task(later()), 1)]);
}
