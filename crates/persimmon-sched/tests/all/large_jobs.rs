//! Jobs of as many tasks as are allowed. No part of the owner's work may take so long that its session
//! ends meanwhile, and no job waits for the tasks of another while there is room for both.

use crate::support::{job, listed, step, task, TestEngine};
use persimmon_sched::{RunStatus, StepSpec};
use persimmon_types::Size;
use std::time::{Duration, Instant};

/// An owner's session ends 1.4 s after its last renewal, and the smallest usual instance has a quarter
/// of a core.
const PART_MAX: Duration = Duration::from_millis(1_400 / 4);
const RUNNERS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
const RUNNER_CPU_MILLIS: u32 = 32_000;
/// Tasks of one step, and steps of that size that one job may have.
const TASKS: u32 = 10_000;

/// A step of small tasks, 10,000 of which fit on a runner.
fn small(count: u32) -> StepSpec {
    StepSpec {
        size: Size {
            cpu_millis: 2,
            memory_mib: 4,
            accelerators: 0,
        },
        ..step(count)
    }
}

fn latency_critical(image: &str, count: u32) -> StepSpec {
    StepSpec {
        image: image.to_owned(),
        tail_target_ms: 100,
        long_running: true,
        ..small(count)
    }
}

fn best_effort(image: &str, count: u32) -> StepSpec {
    StepSpec {
        image: image.to_owned(),
        best_effort: true,
        ..small(count)
    }
}

/// Does a part of the owner's work; returns how long it takes.
fn time(work: impl FnOnce()) -> Duration {
    let started_at = Instant::now();
    work();
    started_at.elapsed()
}

/// Guards against passes whose looks at a runner take longer the more claims there are on it.
#[test]
fn pass_over_a_large_latency_critical_job_ends_in_time() {
    let mut harness = TestEngine::with_runners(&RUNNERS, RUNNER_CPU_MILLIS);
    harness.submit(job(1, vec![latency_critical("i", TASKS); 3]));
    let duration = time(|| harness.engine.tick(0, harness.now));
    assert!(duration < PART_MAX, "{duration:?}");
}

/// Guards against reports whose handling takes longer than they are long: each tail latency was sought
/// among all, and compared with each best-effort run.
#[test]
fn report_of_many_runs_that_interfere_is_handled_in_time() {
    let mut harness = TestEngine::with_runners(&RUNNERS[..1], RUNNER_CPU_MILLIS);
    let steps = vec![latency_critical("i", TASKS), best_effort("j", TASKS)];
    harness.submit(job(1, steps));
    let ids = (0..2).flat_map(|step| (0..TASKS as u16).map(move |at| task(1, step, at)));
    let measured = ids.map(|id| RunStatus {
        // Latency-critical tasks are over their target.
        measurement: if id.step == 0 { 110 } else { 2 },
        percent: 100,
        ..listed(id, 1)
    });
    let running: Vec<_> = measured.collect();
    for _ in 0..10 {
        harness.round();
        harness.report("a", running.clone());
        harness.advance(100);
    }
    let duration = time(|| harness.report("a", running));
    assert!(duration < PART_MAX, "{duration:?}");
}
