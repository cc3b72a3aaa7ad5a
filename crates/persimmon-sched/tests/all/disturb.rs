use crate::support::{job, listed, starts, step, stops, task, Bench};
use persimmon_sched::{Answer, Order, RunStatus, StepSpec, TaskId};

const TARGET_MS: u64 = 100;

fn serving(count: u32) -> StepSpec {
    StepSpec {
        image: "counter".to_owned(),
        tail_target_ms: TARGET_MS,
        long_running: true,
        ..step(count)
    }
}

fn filling(image: &str, checkpointing: bool) -> StepSpec {
    StepSpec {
        image: image.to_owned(),
        best_effort: true,
        checkpointing,
        ..step(1)
    }
}

fn with_figure(task: TaskId, run: u32, measurement: u64) -> RunStatus {
    RunStatus {
        measurement,
        percent: 100,
        ..listed(task, run)
    }
}

/// A runner with one serving task, and one that fills if it is `checkpointing` or not.
fn beside(checkpointing: bool) -> Bench {
    let mut bench = Bench::with_runners(&["a"], 10_000);
    bench.submit(job(1, vec![serving(1)]));
    bench.submit(job(2, vec![filling("press", checkpointing)]));
    assert_eq!(starts(&bench.round()).len(), 2);
    for job in [1, 2] {
        let task = task(job, 0, 0);
        bench.answer(task, 1, Answer::Started);
    }
    bench
}

fn report(bench: &mut Bench, tail_ms: u64) -> Vec<Order> {
    bench.pass(400);
    let running = vec![
        with_figure(task(1, 0, 0), 1, tail_ms),
        with_figure(task(2, 0, 0), 1, 1_000),
    ];
    bench.hear("a", running);
    bench.round()
}

fn paces(orders: &[Order]) -> Vec<u8> {
    let pace = |order: &Order| match order {
        Order::Throttle { percent, .. } => Some(*percent),
        _ => None,
    };
    orders.iter().filter_map(pace).collect()
}

#[test]
fn calm_tail_leaves_what_fills_alone() {
    let mut bench = beside(true);
    for _ in 0..20 {
        let orders = report(&mut bench, TARGET_MS / 2);
        assert!(orders.is_empty(), "{orders:?}");
    }
}

#[test]
fn tail_over_target_makes_what_fills_move() {
    let mut bench = beside(true);
    let stopped = (0..4).any(|_| {
        let orders = report(&mut bench, TARGET_MS * 2);
        stops(&orders) == [(task(2, 0, 0), 1)]
    });
    assert!(stopped, "within 1.6 s, by a checkpoint");
}

/// Work without checkpoints would be lost: it stands still, and goes on once the tail is calm.
#[test]
fn tail_over_target_makes_what_can_not_move_stand_still() {
    let mut bench = beside(false);
    let mut slowed = Vec::new();
    for _ in 0..4 {
        slowed.extend(paces(&report(&mut bench, TARGET_MS * 2)));
    }
    assert_eq!(slowed, [0]);
    let mut sped = Vec::new();
    for _ in 0..8 {
        sped.extend(paces(&report(&mut bench, TARGET_MS / 4)));
    }
    assert_eq!(sped, [50, 100]);
}

#[test]
fn nothing_that_fills_is_placed_beside_a_tail_near_its_target() {
    let mut bench = beside(false);
    report(&mut bench, TARGET_MS * 95 / 100);
    bench.submit(job(3, vec![filling("other", false)]));
    assert!(starts(&bench.round()).is_empty());
    for _ in 0..4 {
        report(&mut bench, TARGET_MS / 4);
    }
    bench.pass(100);
    bench.hear("a", vec![with_figure(task(1, 0, 0), 1, TARGET_MS / 4)]);
    assert_eq!(starts(&bench.round()).len(), 1);
}

/// Batch work that disturbs one image finds runners where only others serve.
#[test]
fn images_that_serve_are_kept_apart() {
    let mut bench = Bench::with_runners(&["a", "b"], 10_000);
    for (id, image) in [(1, "x"), (2, "y"), (3, "x"), (4, "y")] {
        let step = StepSpec {
            image: image.to_owned(),
            ..serving(2)
        };
        bench.submit(job(id, vec![step]));
    }
    let placed = starts(&bench.round());
    let runner_of = |id| {
        let mut found = placed.iter().filter(|(_, task, _)| task.job.0 == id);
        found.next().map(|(runner, ..)| runner.clone())
    };
    assert_eq!(placed.len(), 8);
    assert_eq!(runner_of(1), runner_of(3));
    assert_eq!(runner_of(2), runner_of(4));
    assert_ne!(runner_of(1), runner_of(2));
}
