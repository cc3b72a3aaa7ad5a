use crate::support::{job, listed, placed_record, starts, step, stops, task, TestEngine};
use persimmon_sched::{Answer, JobId, Order, RunStatus, StepSpec, TaskId};

const TARGET_MS: u64 = 100;

fn latency_critical(count: u32) -> StepSpec {
    StepSpec {
        image: "counter".to_owned(),
        tail_target_ms: TARGET_MS,
        long_running: true,
        ..step(count)
    }
}

fn best_effort(image: &str, checkpointing: bool) -> StepSpec {
    StepSpec {
        image: image.to_owned(),
        best_effort: true,
        checkpointing,
        ..step(1)
    }
}

/// Status of a run that is not throttled; see [`RunStatus::measurement`].
fn with_measurement(task: TaskId, run: u32, measurement: u64) -> RunStatus {
    RunStatus {
        measurement,
        percent: 100,
        ..listed(task, run)
    }
}

/// A runner with one latency-critical and one best-effort task; the latter may be `checkpointing`.
fn colocated(checkpointing: bool) -> TestEngine {
    let mut harness = TestEngine::with_runners(&["a"], 10_000);
    harness.submit(job(1, vec![latency_critical(1)]));
    harness.submit(job(2, vec![best_effort("batch", checkpointing)]));
    assert_eq!(starts(&harness.round()).len(), 2);
    for job in [1, 2] {
        let task = task(job, 0, 0);
        harness.answer_start(task, 1, Answer::Started);
    }
    harness
}

/// As [`colocated`] without checkpoints, under a new owner that has not had a report yet.
fn restored() -> TestEngine {
    let mut harness = TestEngine::new();
    for (id, step) in [(1, latency_critical(1)), (2, best_effort("batch", false))] {
        harness.restore_job(job(id, vec![step]), placed_record("a"));
    }
    harness.add_runner("a", 10_000);
    harness
}

/// Reports both tasks 400 ms after the last report, with this tail latency of the latency-critical
/// one, and acknowledges the CPU limits that are ordered.
fn report(harness: &mut TestEngine, tail_ms: u64) -> Vec<Order> {
    let orders = report_unacknowledged(harness, tail_ms);
    acknowledge(harness, &orders);
    orders
}

/// As [`report`], but the calls that set CPU limits are lost.
fn report_unacknowledged(harness: &mut TestEngine, tail_ms: u64) -> Vec<Order> {
    // The best-effort task uses one core.
    report_use(harness, tail_ms, 1_000)
}

/// As [`report_unacknowledged`], with this use of processors by the best-effort task.
fn report_use(harness: &mut TestEngine, tail_ms: u64, cpu_millis: u64) -> Vec<Order> {
    harness.advance(400);
    let running = vec![
        with_measurement(task(1, 0, 0), 1, tail_ms),
        with_measurement(task(2, 0, 0), 1, cpu_millis),
    ];
    harness.report("a", running);
    harness.round()
}

fn acknowledge(harness: &mut TestEngine, orders: &[Order]) {
    let now = harness.now;
    for order in orders {
        if let Order::Throttle {
            task, run, percent, ..
        } = order
        {
            harness
                .engine
                .handle_throttle_answer(*task, *run, *percent, now);
        }
    }
}

fn throttles(orders: &[Order]) -> Vec<u8> {
    let throttle = |order: &Order| match order {
        Order::Throttle { percent, .. } => Some(*percent),
        _ => None,
    };
    orders.iter().filter_map(throttle).collect()
}

#[test]
fn low_tail_latency_causes_no_orders() {
    let mut harness = colocated(true);
    for _ in 0..20 {
        let orders = report(&mut harness, TARGET_MS / 2);
        assert!(orders.is_empty(), "{orders:?}");
    }
}

#[test]
fn tail_over_target_evicts_checkpointing_run() {
    let mut harness = colocated(true);
    let stopped = (0..4).any(|_| {
        let orders = report(&mut harness, TARGET_MS * 2);
        stops(&orders) == [(task(2, 0, 0), 1)]
    });
    assert!(stopped, "evicted within 1.6 s");
}

/// Evicting a task without checkpoints would lose its work: it is paused, and resumed once the tail
/// latency is low.
#[test]
fn tail_over_target_pauses_run_without_checkpoints() {
    let mut harness = colocated(false);
    let mut paused = Vec::new();
    for _ in 0..4 {
        paused.extend(throttles(&report(&mut harness, TARGET_MS * 2)));
    }
    assert_eq!(paused, [0]);
    let mut resumed = Vec::new();
    for _ in 0..8 {
        resumed.extend(throttles(&report(&mut harness, TARGET_MS / 4)));
    }
    assert_eq!(resumed, [50, 100]);
}

#[test]
fn lost_pause_does_not_leave_run_interfering() {
    let mut harness = colocated(false);
    let mut ordered = Vec::new();
    for _ in 0..20 {
        ordered.extend(throttles(&report_unacknowledged(
            &mut harness,
            TARGET_MS * 2,
        )));
    }
    assert!(ordered.len() >= 5, "repeated within 8 s: {ordered:?}");
    assert!(ordered.iter().all(|&percent| percent == 0), "{ordered:?}");
    harness.advance(600);
    let repeated = report(&mut harness, TARGET_MS * 2);
    assert_eq!(throttles(&repeated), [0]);
    for _ in 0..10 {
        let orders = report(&mut harness, TARGET_MS * 2);
        assert!(orders.is_empty(), "acknowledged: {orders:?}");
    }
}

#[test]
fn lost_resume_does_not_leave_run_paused() {
    let mut harness = colocated(false);
    for _ in 0..4 {
        report(&mut harness, TARGET_MS * 2);
    }
    for _ in 0..10 {
        report_unacknowledged(&mut harness, TARGET_MS / 4);
    }
    let mut ordered = Vec::new();
    for _ in 0..10 {
        ordered.extend(throttles(&report(&mut harness, TARGET_MS / 4)));
    }
    assert_eq!(ordered, [100]);
}

/// The runner may have carried out the resume first.
#[test]
fn late_answer_to_pause_does_not_leave_run_paused() {
    let mut harness = colocated(false);
    let mut paused = Vec::new();
    while paused.is_empty() {
        paused = report_unacknowledged(&mut harness, TARGET_MS * 2);
    }
    assert_eq!(throttles(&paused), [0]);
    for _ in 0..8 {
        report(&mut harness, TARGET_MS / 4);
    }
    acknowledge(&mut harness, &paused);
    let orders = report(&mut harness, TARGET_MS / 4);
    assert_eq!(throttles(&orders), [100]);
}

#[test]
fn stop_ends_repetition_of_lost_pause() {
    let mut harness = colocated(false);
    let mut ordered = Vec::new();
    while ordered.is_empty() {
        ordered = throttles(&report_unacknowledged(&mut harness, TARGET_MS * 2));
    }
    assert!(harness.engine.cancel(JobId::new(2), harness.now));
    for _ in 0..10 {
        let orders = report_unacknowledged(&mut harness, TARGET_MS * 2);
        assert!(throttles(&orders).is_empty(), "{orders:?}");
    }
}

#[test]
fn run_paused_by_an_earlier_owner_is_resumed() {
    let mut harness = restored();
    let mut ordered = Vec::new();
    for cpu_millis in [0, 0, 0, 500, 500, 1_000, 1_000, 1_000] {
        let orders = report_use(&mut harness, TARGET_MS / 4, cpu_millis);
        acknowledge(&mut harness, &orders);
        ordered.extend(throttles(&orders));
    }
    assert_eq!(ordered, [50, 100]);
}

#[test]
fn run_limited_by_an_earlier_owner_is_unthrottled() {
    let mut harness = restored();
    let mut ordered = Vec::new();
    for _ in 0..4 {
        let orders = report_use(&mut harness, TARGET_MS / 4, 500);
        acknowledge(&mut harness, &orders);
        ordered.extend(throttles(&orders));
    }
    assert_eq!(ordered, [100]);
}

/// The first measurement of a new owner may be from before the pause.
#[test]
fn run_paused_right_before_a_takeover_is_resumed() {
    let mut harness = restored();
    let mut ordered = Vec::new();
    for cpu_millis in [1_000, 0, 0, 500, 500, 1_000] {
        let orders = report_use(&mut harness, TARGET_MS / 4, cpu_millis);
        acknowledge(&mut harness, &orders);
        ordered.extend(throttles(&orders));
    }
    assert_eq!(ordered, [50, 100]);
}

#[test]
fn restored_run_that_interferes_is_paused() {
    let mut harness = restored();
    let mut ordered = Vec::new();
    for _ in 0..8 {
        ordered.extend(throttles(&report(&mut harness, TARGET_MS * 2)));
    }
    assert_eq!(ordered, [0]);
}

#[test]
fn takeover_causes_no_orders_for_unthrottled_run() {
    let mut harness = restored();
    for _ in 0..10 {
        let orders = report(&mut harness, TARGET_MS / 4);
        assert!(orders.is_empty(), "{orders:?}");
    }
}

#[test]
fn best_effort_task_is_not_placed_beside_tail_near_target() {
    let mut harness = colocated(false);
    report(&mut harness, TARGET_MS * 95 / 100);
    harness.submit(job(3, vec![best_effort("other", false)]));
    assert!(starts(&harness.round()).is_empty());
    for _ in 0..4 {
        report(&mut harness, TARGET_MS / 4);
    }
    harness.advance(100);
    harness.report("a", vec![with_measurement(task(1, 0, 0), 1, TARGET_MS / 4)]);
    assert_eq!(starts(&harness.round()).len(), 1);
}

/// Keeping latency-critical images apart leaves runners for batch work that interferes with one of
/// them.
#[test]
fn latency_critical_images_are_kept_apart() {
    let mut harness = TestEngine::with_runners(&["a", "b"], 10_000);
    for (id, image) in [(1, "x"), (2, "y"), (3, "x"), (4, "y")] {
        let step = StepSpec {
            image: image.to_owned(),
            ..latency_critical(2)
        };
        harness.submit(job(id, vec![step]));
    }
    let placed = starts(&harness.round());
    let runner_of = |id| {
        let mut found = placed.iter().filter(|(_, task, _)| task.job.number == id);
        found.next().map(|(runner, ..)| runner.clone())
    };
    assert_eq!(placed.len(), 8);
    assert_eq!(runner_of(1), runner_of(3));
    assert_eq!(runner_of(2), runner_of(4));
    assert_ne!(runner_of(1), runner_of(2));
}
