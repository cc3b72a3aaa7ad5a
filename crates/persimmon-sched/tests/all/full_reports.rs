//! Runners with about as many ended runs as fit in a report.

use crate::support::{job, listed, report, starts, step, task, TestEngine};
use persimmon_sched::{Answer, End, EndKind};

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
