//! Runners with about as many ended runs as fit in a report.

use crate::support::{job, listed, placed_record, report, starts, step, task, TestEngine};
use persimmon_sched::{Answer, End, EndKind, JobId, Phase};

/// Most ends in a report.
const ENDS_MAX: u64 = 500;
/// Longer than the longest lease term and all margins.
const LEASE_EXPIRY_MS: u64 = 12_000;

fn end(number: u64, job: u64, run: u32) -> End {
    End {
        number,
        task: task(job, 0, 0),
        run,
        kind: EndKind::Done,
        checkpoint: String::new(),
    }
}

/// Ends of runs of jobs that are not known any more.
fn other_ends(numbers: std::ops::RangeInclusive<u64>) -> Vec<End> {
    numbers
        .map(|number| end(number, 1_000 + number, 1))
        .collect()
}

fn report_ends(harness: &mut TestEngine, runner: &str, ended: Vec<End>) {
    let mut report = report(harness.clock_ms(), vec![]);
    report.ended = ended;
    let now = harness.now;
    harness.engine.handle_report(runner, &report, now, now);
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

/// A report of `a` with the ends that fit, which come before that of the run.
fn report_without_the_last_end(harness: &mut TestEngine, incarnation_ms: u64) {
    let mut report = report(harness.clock_ms(), vec![]);
    report.incarnation_ms = incarnation_ms;
    report.ended = other_ends(1..=ENDS_MAX);
    report.has_more_ends = true;
    let now = harness.now;
    harness.engine.handle_report("a", &report, now, now);
}

#[test]
fn run_whose_end_does_not_fit_in_a_report_runs_again() {
    let mut harness = running();
    harness.advance(1_000);
    report_without_the_last_end(&mut harness, 1);
    assert!(starts(&harness.round()).is_empty());
    assert_eq!(harness.engine.acknowledged("a"), ENDS_MAX);
    report_ends(&mut harness, "a", vec![end(ENDS_MAX + 1, 1, 1)]);
    assert!(starts(&harness.round()).is_empty());
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Completed));
}

#[test]
fn run_whose_end_does_not_fit_in_the_first_report_runs_again_after_a_takeover() {
    let mut harness = TestEngine::new();
    harness.add_runner("a", 8_000);
    harness.restore_job(job(1, vec![step(1)]), placed_record("a"));
    report_without_the_last_end(&mut harness, 1);
    assert!(starts(&harness.round()).is_empty());
    report_ends(&mut harness, "a", vec![end(ENDS_MAX + 1, 1, 1)]);
    assert!(starts(&harness.round()).is_empty());
    assert_eq!(harness.engine.phase(JobId::new(1)), Some(Phase::Completed));
}

/// The run is one of the new incarnation, whose start was answered before the report was requested.
#[test]
fn run_whose_end_does_not_fit_in_the_first_report_of_an_incarnation_runs_again() {
    let mut harness = running();
    harness.advance(1_000);
    report_without_the_last_end(&mut harness, 2);
    assert!(starts(&harness.round()).is_empty());
}

#[test]
fn run_that_no_complete_report_lists_is_not_requeued_after_a_full_one() {
    let mut harness = running();
    harness.advance(1_000);
    report_without_the_last_end(&mut harness, 1);
    harness.round();
    harness.report("a", vec![]);
    assert_eq!(starts(&harness.round()).len(), 1);
}

/// A success of a run that was given up is kept back while the newer run is: the ends after it must
/// not fill the report meanwhile.
#[test]
fn late_end_keeps_back_all_ends_after_it() {
    let mut harness = running();
    harness.advance(LEASE_EXPIRY_MS);
    harness.miss_report("a");
    harness.add_runner("b", 8_000);
    harness.report("b", vec![]);
    assert_eq!(starts(&harness.round()).len(), 1);
    harness.answer_start(task(1, 0, 0), 2, Answer::Started);
    for last in 1..ENDS_MAX {
        let mut ends = vec![end(1, 1, 1)];
        ends.extend(other_ends(2..=last));
        report_ends(&mut harness, "a", ends);
        harness.report("b", vec![listed(task(1, 0, 0), 2)]);
        harness.round();
        if last == 2 {
            assert_eq!(harness.engine.acknowledged("a"), 0);
        }
    }
    assert_eq!(harness.engine.acknowledged("a"), ENDS_MAX - 1);
}

/// Something else than a runner may answer at an address.
#[test]
fn report_with_numbers_out_of_range_ends_nothing() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    for clock_ms in [0, u64::MAX, 1, u64::MAX - 1] {
        let mut report = report(clock_ms, vec![listed(task(7, 9, 9), u32::MAX)]);
        report.incarnation_ms = clock_ms;
        let now = harness.now;
        harness.engine.handle_report("a", &report, now, now);
        harness.engine.lease_deadline_ms("a", now);
        harness.advance(20_000);
        harness.miss_report("a");
        harness.round();
    }
}
