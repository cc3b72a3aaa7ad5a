//! Jobs that crash the workers they start on.

use crate::support::{class, Shard};
use persimmon_shard::JobState;
use persimmon_ticket::BatchClass;
use std::time::Duration;

const RUN_TIME: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(3_600);
/// Attempts that the class of the jobs allows.
const ATTEMPTS_MAX: u32 = 3;

fn attempts(shard: &Shard, number: u64) -> u32 {
    let job = shard.core.jobs().try_find(number);
    job.expect("the job").attempt
}

#[test]
fn job_that_crashes_its_workers_is_given_up() {
    let mut shard = Shard::new(4);
    let beside: Vec<_> = (0..8)
        .map(|_| shard.submit(class("beside", 1_000, RUN_TIME), DEADLINE))
        .collect();
    shard.run_for(Duration::from_secs(2));
    let crashing = shard.submit(class("crashing", 1_000, RUN_TIME), DEADLINE);
    shard.crashing_jobs = vec![crashing];
    shard.run_for(Duration::from_secs(60));
    assert_eq!(shard.state(crashing), JobState::Failed);
    assert_eq!(attempts(&shard, crashing), ATTEMPTS_MAX);
    for number in beside {
        assert_eq!(shard.state(number), JobState::Done);
    }
}

/// Its class allows a single attempt, and the worker restarts by itself.
#[test]
fn job_is_not_given_up_for_a_single_crash() {
    let mut shard = Shard::new(2);
    let class = BatchClass {
        attempts_max: 1,
        ..class("once", 1_000, RUN_TIME)
    };
    let number = shard.submit(class, DEADLINE);
    shard.run_for(Duration::from_millis(500));
    shard.crash(shard.worker_of(number));
    shard.run_for(RUN_TIME * 3);
    assert_eq!(shard.state(number), JobState::Done);
}

#[test]
fn job_whose_workers_restart_later_is_not_given_up() {
    let mut shard = Shard::new(2);
    let number = shard.submit(class("long", 1_000, RUN_TIME * 10), DEADLINE);
    for _ in 0..2 * ATTEMPTS_MAX {
        shard.run_for(RUN_TIME);
        shard.crash(shard.worker_of(number));
    }
    shard.run_for(RUN_TIME * 12);
    assert_eq!(shard.state(number), JobState::Done);
}
