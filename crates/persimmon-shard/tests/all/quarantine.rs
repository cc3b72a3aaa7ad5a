//! How long failures keep work off a worker.

use crate::support::{class, Shard};
use persimmon_shard::JobState;
use persimmon_ticket::BatchClass;
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3_600);
const RUN_TIME: Duration = Duration::from_secs(1);
/// The length of the first quarantine.
const QUARANTINE: Duration = Duration::from_secs(30);
/// Enough for a worker to be called and for its tasks to end.
const SETTLE: Duration = Duration::from_secs(5);

fn failing() -> BatchClass {
    BatchClass {
        attempts_max: 1,
        ..class("failing", 1_000, RUN_TIME)
    }
}

/// Returns a shard of one worker on which three jobs run that will fail, and the last job.
fn shard_with_failing_tasks() -> (Shard, u64) {
    let mut shard = Shard::new(1);
    shard.failing_classes = vec!["failing".to_owned()];
    let jobs: Vec<u64> = (0..3).map(|_| shard.submit(failing(), HOUR)).collect();
    shard.run_for(RUN_TIME / 2);
    assert_eq!(shard.running(), 3);
    (shard, jobs[2])
}

#[test]
fn quarantine_not_lengthened_by_repeated_reports_of_a_failure() {
    let (mut shard, last) = shard_with_failing_tasks();
    shard.commits_held = true;
    shard.run_for(SETTLE);
    assert_eq!(shard.state(last), JobState::Queued);
    shard.commits_held = false;
    shard.failing_classes.clear();
    shard.run_for(QUARANTINE + SETTLE);
    assert_eq!(shard.state(last), JobState::Done);
}

#[test]
fn quarantine_is_followed_by_one_task_at_a_time() {
    let (mut shard, last) = shard_with_failing_tasks();
    shard.run_for(SETTLE);
    let mut waiting = vec![last];
    waiting.extend((0..3).map(|_| shard.submit(class("good", 1_000, RUN_TIME), HOUR)));
    shard.failing_classes.clear();
    shard.run_for(QUARANTINE - SETTLE);
    while !waiting
        .iter()
        .any(|job| shard.state(*job) == JobState::Done)
    {
        assert!(shard.running() <= 1, "{} tasks run", shard.running());
        shard.run_for(RUN_TIME / 10);
    }
}

#[test]
fn probation_not_taken_by_a_class_that_fails() {
    let mut shard = Shard::new(2);
    shard.failing_classes = vec!["failing".to_owned()];
    for _ in 0..20 {
        shard.submit(class("failing", 1_000, RUN_TIME), HOUR);
    }
    let good = shard.submit(class("good", 1_000, RUN_TIME), HOUR * 2);
    for _ in 0..(QUARANTINE + SETTLE).as_secs() {
        shard.submit(class("failing", 1_000, RUN_TIME), HOUR);
        shard.run_for(RUN_TIME);
    }
    assert_eq!(shard.state(good), JobState::Done);
}

#[test]
fn probation_not_taken_by_jobs_that_failed_before() {
    let mut shard = Shard::new(2);
    let class = class("class", 1_000, RUN_TIME);
    shard.failing_jobs = (0..8).map(|_| shard.submit(class.clone(), HOUR)).collect();
    let good = shard.submit(class, HOUR * 2);
    shard.run_for(QUARANTINE + SETTLE);
    assert_eq!(shard.state(good), JobState::Done);
}

#[test]
fn quarantine_short_while_no_worker_is_healthy() {
    let mut shard = Shard::new(2);
    shard.failing_classes = vec!["failing".to_owned()];
    let jobs: Vec<u64> = (0..20)
        .map(|_| shard.submit(class("failing", 1_000, RUN_TIME), HOUR))
        .collect();
    shard.run_for(QUARANTINE * 20);
    shard.failing_classes.clear();
    shard.run_for(QUARANTINE + SETTLE * 2);
    let waiting = jobs
        .iter()
        .filter(|job| shard.state(**job) == JobState::Queued);
    assert_eq!(waiting.count(), 0);
}

#[test]
fn job_that_fails_on_all_workers_ends_once_its_deadline_has_passed() {
    let mut shard = Shard::new(2);
    shard.failing_classes = vec!["failing".to_owned()];
    let class = class("failing", 1_000, RUN_TIME);
    let attempts_max = class.attempts_max;
    let deadline = QUARANTINE * 4;
    let jobs: Vec<u64> = (0..8)
        .map(|_| shard.submit(class.clone(), deadline))
        .collect();
    shard.run_for(deadline);
    // Each quarantine of the two workers is followed by one attempt.
    shard.run_for((QUARANTINE + SETTLE) * attempts_max * jobs.len() as u32 / 2);
    for job in jobs {
        assert_eq!(shard.state(job), JobState::Failed);
    }
}
