//! How long a job can be kept waiting by others.

use crate::support::{class, worker_spec, Shard, CAPACITY};
use persimmon_place::Shares;
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

/// Jobs of its own team take each part of the quota that becomes free.
#[test]
fn placement_wide_job_not_starved_by_narrow_ones_under_a_quota() {
    let mut shard = Shard::new(2);
    let shares = Shares {
        latency_critical_percent: 0,
        batch_percent: 100,
    };
    let quotas = BTreeMap::from([("team".to_owned(), CAPACITY)]);
    shard.core.configure(shares, quotas);
    let narrow = class("narrow", 1_000, RUN_TIME);
    run_beside(&mut shard, &narrow, RUN_TIME * 3);
    let wide = shard.submit(class("wide", 4_000, RUN_TIME), DEADLINE);
    run_beside(&mut shard, &narrow, DONE_WITHIN);
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
