//! Best-effort runs that use no processor time because they are paused.

use crate::support::{job, listed, starts, step, task, TestEngine};
use persimmon_sched::{Answer, Order, RunStatus, StepSpec, TaskId};

const TARGET_MS: u64 = 100;
/// Between the ratios up to which limits are raised and from which they are lowered.
const NEAR_TARGET_MS: u64 = 90;
const REPORT_INTERVAL_MS: u64 = 400;
/// A run is paused for at most this long while no tail latency reaches its target.
const PAUSED_MAX_MS: u64 = 6_000;

/// A run is paused again within this time while a tail latency is over its target beside it.
const HARM_MAX_MS: u64 = 2_000;

/// A runner with a latency-critical and a best-effort task; the latter can't be moved.
fn colocated() -> TestEngine {
    let mut harness = TestEngine::with_runners(&["a"], 10_000);
    let latency_critical = StepSpec {
        image: "counter".to_owned(),
        tail_target_ms: TARGET_MS,
        long_running: true,
        ..step(1)
    };
    let best_effort = StepSpec {
        image: "batch".to_owned(),
        best_effort: true,
        ..step(1)
    };
    harness.submit(job(1, vec![latency_critical]));
    harness.submit(job(2, vec![best_effort]));
    assert_eq!(starts(&harness.round()).len(), 2);
    for id in [1, 2] {
        harness.answer_start(task(id, 0, 0), 1, Answer::Started);
    }
    harness
}

/// Reports both runs and acknowledges the CPU limits that are ordered; returns them.
fn report(harness: &mut TestEngine, tail_ms: u64, cpu_millis: u64) -> Vec<u8> {
    let status = |task: TaskId, measurement| RunStatus {
        measurement,
        ..listed(task, 1)
    };
    harness.advance(REPORT_INTERVAL_MS);
    let running = vec![
        status(task(1, 0, 0), tail_ms),
        status(task(2, 0, 0), cpu_millis),
    ];
    harness.report("a", running);
    let (orders, now) = (harness.round(), harness.now);
    let mut limits = Vec::new();
    for order in orders {
        if let Order::Throttle {
            task, run, percent, ..
        } = order
        {
            harness
                .engine
                .handle_throttle_answer(task, run, percent, now);
            limits.push(percent);
        }
    }
    limits
}

fn paused() -> TestEngine {
    let mut harness = colocated();
    let mut limits = Vec::new();
    while limits.is_empty() {
        limits = report(&mut harness, TARGET_MS * 2, 1_000);
    }
    assert_eq!(limits, [0]);
    harness
}

/// Returns the limits that are ordered within the bound while the run uses no processor time.
fn limits_while_idle(harness: &mut TestEngine, tail_ms: u64) -> Vec<u8> {
    let reports = PAUSED_MAX_MS / REPORT_INTERVAL_MS;
    (0..reports)
        .flat_map(|_| report(harness, tail_ms, 0))
        .collect()
}

#[test]
fn run_paused_beside_a_tail_near_its_target_waits_for_ever() {
    let mut harness = paused();
    assert_eq!(limits_while_idle(&mut harness, NEAR_TARGET_MS), [50]);
    // It then runs at that limit until the tail is low.
    for _ in 0..20 {
        assert_eq!(report(&mut harness, NEAR_TARGET_MS, 500), []);
    }
    assert_eq!(report(&mut harness, TARGET_MS / 4, 500), [100]);
}

/// A call that pauses a run may be carried out after the one that resumes it was acknowledged.
#[test]
fn pause_that_is_carried_out_late_leaves_run_paused() {
    let mut harness = colocated();
    assert_eq!(limits_while_idle(&mut harness, TARGET_MS / 4), [100]);
}

/// The tail is over its target without the run; with it, the run gives way as before.
#[test]
fn run_resumed_beside_a_tail_over_its_target_goes_on_harming_it() {
    let mut harness = paused();
    assert_eq!(limits_while_idle(&mut harness, TARGET_MS * 2), [50]);
    let mut limits = Vec::new();
    for _ in 0..HARM_MAX_MS / REPORT_INTERVAL_MS {
        limits.extend(report(&mut harness, TARGET_MS * 2, 500));
    }
    assert_eq!(limits, [0]);
}

/// Beside a tail that is over its target without them, one run at a time is resumed.
#[test]
fn same_one_of_two_paused_runs_is_resumed_each_time() {
    const RESUMED_MAX_MS: u64 = 3 * (PAUSED_MAX_MS + HARM_MAX_MS);
    let mut harness = TestEngine::with_runners(&["a"], 10_000);
    let best_effort = StepSpec {
        image: "batch".to_owned(),
        best_effort: true,
        ..step(2)
    };
    let latency_critical = StepSpec {
        image: "counter".to_owned(),
        tail_target_ms: TARGET_MS,
        long_running: true,
        ..step(1)
    };
    harness.submit(job(1, vec![latency_critical]));
    harness.submit(job(2, vec![best_effort]));
    let started = starts(&harness.round());
    assert_eq!(started.len(), 3);
    for (_, task, run) in started {
        harness.answer_start(task, run, Answer::Started);
    }
    let batch = [task(2, 0, 0), task(2, 0, 1)];
    let mut limits = [100_u64; 2];
    let mut resumed = [false; 2];
    for _ in 0..RESUMED_MAX_MS / REPORT_INTERVAL_MS {
        harness.advance(REPORT_INTERVAL_MS);
        let status = |task: TaskId, measurement| RunStatus {
            measurement,
            ..listed(task, 1)
        };
        let mut running = vec![status(task(1, 0, 0), TARGET_MS * 2)];
        let used = limits.iter().map(|limit| limit * 10);
        running.extend(batch.iter().zip(used).map(|(&task, it)| status(task, it)));
        harness.report("a", running);
        let now = harness.now;
        for order in harness.round() {
            let Order::Throttle {
                task, run, percent, ..
            } = order
            else {
                continue;
            };
            let at = usize::from(task.index);
            limits[at] = u64::from(percent);
            resumed[at] |= percent > 0;
            let engine = &mut harness.engine;
            engine.handle_throttle_answer(task, run, percent, now);
        }
    }
    assert_eq!(resumed, [true; 2], "after {RESUMED_MAX_MS} ms");
}
