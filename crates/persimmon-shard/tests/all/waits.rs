//! How long a job can be kept waiting by others.

use crate::support::{class, worker_spec, Shard, CAPACITY, SHARES};
use persimmon_shard::{JobState, WorkerSpec};
use persimmon_ticket::BatchClass;
use persimmon_types::Size;
use std::{collections::BTreeMap, time::Duration};

const RUN_TIME: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(60);
const LATER_DEADLINE: Duration = Duration::from_secs(3_600);
/// The latest start after 47.5 s, the others that were due by then, 10 s until a worker is kept free,
/// a run there, and the job itself.
const DONE_WITHIN: Duration = Duration::from_secs(100);

/// Lets time pass while a job of `others` is submitted each second, which is a quarter more than two
/// workers can run.
fn run_beside(shard: &mut Shard, others: &BatchClass, duration: Duration) {
    for _ in 0..duration.as_secs() {
        shard.submit(others.clone(), LATER_DEADLINE);
        shard.run_for(Duration::from_secs(1));
    }
}

#[test]
fn placement_wide_job_not_starved_by_narrow_ones() {
    let mut shard = Shard::new(2);
    let narrow = class("narrow", 1_000, RUN_TIME);
    run_beside(&mut shard, &narrow, RUN_TIME * 3);
    let wide = shard.submit(class("wide", 4_000, RUN_TIME), DEADLINE);
    run_beside(&mut shard, &narrow, DONE_WITHIN);
    assert_eq!(shard.state(wide), JobState::Done);
}

#[test]
fn placement_wide_job_not_starved_behind_one_that_fits_no_worker() {
    let mut shard = Shard::new(2);
    let narrow = class("narrow", 1_000, RUN_TIME);
    run_beside(&mut shard, &narrow, RUN_TIME * 3);
    shard.submit(class("widest", 4_000, RUN_TIME), DEADLINE / 2);
    let capacity = Size {
        cpu_millis: 3_000,
        ..CAPACITY
    };
    let smaller = |index| WorkerSpec {
        capacity,
        ..worker_spec(index)
    };
    let now = shard.now();
    shard.core.set_workers(&[smaller(0), smaller(1)], now);
    let wide = shard.submit(class("wide", 3_000, RUN_TIME), DEADLINE);
    run_beside(&mut shard, &narrow, DONE_WITHIN);
    assert_eq!(shard.state(wide), JobState::Done);
}

#[test]
fn placement_late_job_not_starved_by_urgent_ones() {
    let mut shard = Shard::new(2);
    let urgent = BatchClass {
        urgent: true,
        ..class("urgent", 1_000, RUN_TIME)
    };
    run_beside(&mut shard, &urgent, RUN_TIME * 3);
    let late = shard.submit(class("late", 1_000, RUN_TIME), DEADLINE);
    run_beside(&mut shard, &urgent, DONE_WITHIN);
    assert_eq!(shard.state(late), JobState::Done);
}

#[test]
fn takeover_evicts_tasks_of_a_worker_that_is_leaving() {
    let mut shard = Shard::new(2);
    let job = shard.submit(class("long", 1_000, DEADLINE), LATER_DEADLINE);
    shard.run_for(RUN_TIME);
    let worker = shard.worker_of(job);
    let leaving = |index| WorkerSpec {
        leaving: index == worker,
        ..worker_spec(index)
    };
    shard.take_over(&[leaving(0), leaving(1)]);
    shard.run_for(RUN_TIME);
    assert_ne!(shard.worker_of(job), worker);
}

#[test]
fn placement_wide_job_of_a_team_not_starved_of_its_quota() {
    let mut shard = Shard::new(2);
    let quota = Size {
        cpu_millis: 4_000,
        ..CAPACITY
    };
    shard
        .core
        .configure(SHARES, BTreeMap::from([("team".to_owned(), quota)]));
    let narrow = class("narrow", 1_000, RUN_TIME);
    run_beside(&mut shard, &narrow, RUN_TIME * 3);
    let wide = shard.submit(class("wide", 4_000, RUN_TIME), DEADLINE);
    run_beside(&mut shard, &narrow, DONE_WITHIN);
    assert_eq!(shard.state(wide), JobState::Done);
}

#[test]
fn placement_job_not_starved_behind_a_reservation_that_does_not_drain() {
    let mut shard = Shard::new(2);
    shard.hanging_classes = vec!["hanging".to_owned()];
    let capacity = Size {
        cpu_millis: 3_000,
        ..CAPACITY
    };
    let smaller = WorkerSpec {
        capacity,
        ..worker_spec(1)
    };
    let now = shard.now();
    shard.core.set_workers(&[worker_spec(0), smaller], now);
    shard.submit(class("hanging", 3_500, RUN_TIME), DEADLINE);
    let narrow = class("narrow", 1_000, RUN_TIME);
    run_beside(&mut shard, &narrow, RUN_TIME * 3);
    shard.submit(class("widest", 4_000, RUN_TIME), DEADLINE / 2);
    let wide = shard.submit(class("wide", 3_000, RUN_TIME), DEADLINE);
    run_beside(&mut shard, &narrow, DONE_WITHIN * 3);
    assert_eq!(shard.state(wide), JobState::Done);
}

/// The larger job fits on no worker since the only one that is large enough leaves.
#[test]
fn placement_wide_job_not_starved_behind_one_that_fits_on_no_worker() {
    let mut shard = Shard::new(3);
    let large = |leaving| WorkerSpec {
        capacity: Size {
            cpu_millis: 2 * CAPACITY.cpu_millis,
            ..CAPACITY
        },
        leaving,
        ..worker_spec(2)
    };
    let specs = [worker_spec(0), worker_spec(1), large(false)];
    shard.core.set_workers(&specs, shard.now());
    let narrow = class("narrow", 1_000, RUN_TIME);
    run_beside(&mut shard, &narrow, RUN_TIME);
    let specs = [worker_spec(0), worker_spec(1), large(true)];
    let largest = BatchClass {
        urgent: true,
        ..class("largest", 8_000, RUN_TIME)
    };
    shard.submit(largest, DEADLINE);
    shard.core.set_workers(&specs, shard.now());
    run_beside(&mut shard, &narrow, RUN_TIME * 2);
    let wide = shard.submit(class("wide", 4_000, RUN_TIME), DEADLINE);
    run_beside(&mut shard, &narrow, DONE_WITHIN);
    assert_eq!(shard.state(wide), JobState::Done);
}

#[test]
fn placement_wide_job_not_starved_behind_a_worker_on_probation() {
    let mut shard = Shard::new(2);
    // Only the first worker fits jobs of this class, whose tasks fail.
    shard.failing_classes = vec!["failing".to_owned()];
    shard.used_beside[1] = Size {
        cpu_millis: 3_500,
        ..Size::ZERO
    };
    shard.run_for(RUN_TIME);
    for _ in 0..3 {
        let failing = BatchClass {
            attempts_max: 1,
            ..class("failing", 1_000, RUN_TIME / 10)
        };
        shard.submit(failing, LATER_DEADLINE);
    }
    shard.run_for(RUN_TIME);
    shard.used_beside.swap(0, 1);
    let narrow = class("narrow", 1_000, RUN_TIME);
    run_beside(&mut shard, &narrow, RUN_TIME * 3);
    let wide = shard.submit(class("wide", 4_000, RUN_TIME), DEADLINE);
    run_beside(&mut shard, &narrow, DONE_WITHIN);
    assert_eq!(shard.state(wide), JobState::Done);
}

#[test]
fn placement_team_not_kept_out_of_its_quota_by_a_job_that_fits_no_worker() {
    let mut shard = Shard::new(2);
    let quota = Size {
        cpu_millis: 4_000,
        ..CAPACITY
    };
    shard
        .core
        .configure(SHARES, BTreeMap::from([("team".to_owned(), quota)]));
    let capacity = Size {
        cpu_millis: 3_000,
        ..CAPACITY
    };
    let smaller = |index| WorkerSpec {
        capacity,
        ..worker_spec(index)
    };
    shard.submit(class("widest", 4_000, RUN_TIME), RUN_TIME);
    let now = shard.now();
    shard.core.set_workers(&[smaller(0), smaller(1)], now);
    let narrow = shard.submit(class("narrow", 1_000, RUN_TIME), DEADLINE);
    shard.run_for(DEADLINE);
    assert_eq!(shard.state(narrow), JobState::Done);
}

#[test]
fn placement_wide_job_not_starved_behind_workers_that_are_used_by_others() {
    let mut shard = Shard::new(3);
    let narrow = class("narrow", 1_000, RUN_TIME);
    for index in 0..2 {
        shard.used_beside[index] = Size {
            cpu_millis: 3_500,
            ..Size::ZERO
        };
    }
    run_beside(&mut shard, &narrow, RUN_TIME * 3);
    let wide = shard.submit(class("wide", 4_000, RUN_TIME), DEADLINE);
    // Each of the two workers is kept free for 10 s in vain.
    run_beside(&mut shard, &narrow, DONE_WITHIN + RUN_TIME * 2);
    assert_eq!(shard.state(wide), JobState::Done);
}
