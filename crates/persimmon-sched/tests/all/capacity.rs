//! Runners whose capacity changes while they run tasks.

use crate::support::{job, listed, runner, size, starts, step, task, TestEngine};
use persimmon_sched::{Answer, Order, RunnerInfo, StepSpec};
use persimmon_types::Size;

fn set_capacity(harness: &mut TestEngine, id: &str, capacity: Size) {
    let info = RunnerInfo {
        capacity,
        ..runner(id, 0)
    };
    harness.engine.update_runner(info, harness.now);
}

fn set_cpu(harness: &mut TestEngine, id: &str, cpu_millis: u32) {
    set_capacity(harness, id, runner(id, cpu_millis).capacity);
}

/// Whether the start of a run may be sent now; hands the answer to the engine if not.
fn may_send(harness: &mut TestEngine, order: &Order) -> bool {
    let Order::Start {
        runner, task, run, ..
    } = order
    else {
        panic!("not a start");
    };
    let now = harness.now;
    match harness.engine.start_deadline_ms(runner, *task, *run, now) {
        Ok(_) => true,
        Err(answer) => {
            harness.answer_start(*task, *run, answer);
            false
        }
    }
}

#[test]
fn start_ordered_before_the_capacity_shrank_is_not_sent() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    harness.submit(job(1, vec![step(4)]));
    let orders = harness.round();
    assert_eq!(orders.len(), 4);
    set_cpu(&mut harness, "a", 2_500);
    let sent = orders.iter().filter(|it| may_send(&mut harness, it));
    assert_eq!(sent.count(), 2);
}

#[test]
fn start_committed_after_the_capacity_shrank_is_not_sent() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    harness.submit(job(1, vec![step(4)]));
    harness.engine.tick(0, harness.now);
    set_cpu(&mut harness, "a", 0);
    harness.commit();
    let orders = harness.engine.take_orders();
    assert!(!orders.iter().any(|it| may_send(&mut harness, it)));
}

/// Its memory fits, and it reserves no processors.
#[test]
fn best_effort_start_is_sent_though_claimed_processors_exceed_the_capacity() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    let best_effort = StepSpec {
        best_effort: true,
        image: "batch".to_owned(),
        ..step(1)
    };
    harness.submit(job(1, vec![step(4)]));
    harness.round();
    harness.submit(job(2, vec![best_effort]));
    let orders = harness.round();
    assert_eq!(orders.len(), 1);
    set_cpu(&mut harness, "a", 2_000);
    assert!(may_send(&mut harness, &orders[0]));
}

#[test]
fn nothing_is_placed_or_stopped_on_a_runner_that_has_shrunk_below_its_claims() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    let lasting = StepSpec {
        long_running: true,
        ..step(6)
    };
    harness.submit(job(1, vec![lasting]));
    let running: Vec<_> = (0..6).map(|at| listed(task(1, 0, at), 1)).collect();
    for (_, id, run) in starts(&harness.round()) {
        harness.answer_start(id, run, Answer::Started);
    }
    set_cpu(&mut harness, "a", 3_000);
    harness.submit(job(2, vec![step(1)]));
    for _ in 0..100 {
        harness.advance(100);
        harness.report("a", running.clone());
        assert!(harness.round().is_empty());
    }
    set_cpu(&mut harness, "a", 7_000);
    assert_eq!(starts(&harness.round()).len(), 1);
}

/// The runner may be smaller than its entry in the instance list says.
#[test]
fn demand_that_was_refused_is_placed_once_the_capacity_has_grown() {
    let mut harness = TestEngine::with_runners(&["a"], 8_000);
    harness.submit(job(1, vec![step(1)]));
    for _ in 0..10 {
        for (_, id, run) in starts(&harness.round()) {
            harness.answer_start(id, run, Answer::Room);
        }
        harness.advance(700);
        harness.report("a", vec![]);
    }
    for (_, id, run) in starts(&harness.round()) {
        harness.answer_start(id, run, Answer::Room);
    }
    set_cpu(&mut harness, "a", 4_000);
    harness.advance(100);
    harness.report("a", vec![]);
    assert!(harness.round().is_empty(), "it has shrunk");
    set_cpu(&mut harness, "a", 8_000);
    harness.advance(100);
    harness.report("a", vec![]);
    assert_eq!(starts(&harness.round()).len(), 1);
}

/// Memory and accelerators count like processors.
#[test]
fn start_is_not_sent_when_another_resource_has_shrunk() {
    for capacity in [
        Size {
            memory_mib: 50,
            ..runner("a", 8_000).capacity
        },
        Size {
            accelerators: 0,
            ..runner("a", 8_000).capacity
        },
    ] {
        let mut harness = TestEngine::new();
        let full = Size {
            accelerators: 1,
            ..runner("a", 8_000).capacity
        };
        set_capacity(&mut harness, "a", full);
        harness.report("a", vec![]);
        let on_accelerator = StepSpec {
            size: Size {
                accelerators: 1,
                ..size(1_000)
            },
            ..step(1)
        };
        harness.submit(job(1, vec![on_accelerator]));
        let orders = harness.round();
        assert_eq!(orders.len(), 1);
        set_capacity(&mut harness, "a", capacity);
        assert!(!may_send(&mut harness, &orders[0]));
    }
}
