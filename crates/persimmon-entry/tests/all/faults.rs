use crate::platform::{phase, request, spec, Cluster};
use persimmon_entry::Rejection;
use persimmon_sched::{JobId, JobSpec, Phase};
use persimmon_types::Size;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// The first of two processes takes the group. Its death must neither lose a job nor run one twice.
#[tokio::test(start_paused = true)]
async fn owner_killed_with_running_and_waiting_jobs() {
    let mut cluster = Cluster::new(&["a"]);
    let handles = [cluster.start("one"), cluster.start("two")];
    cluster.advance(2 * SECOND).await;
    for job in 1..=20 {
        let accepted = cluster
            .run_until(handles[0].submit(request(job), spec(4_000)))
            .await;
        accepted.expect("accepted");
    }
    cluster.kill(0);
    cluster.advance(30 * SECOND).await;
    for job in 1..=20 {
        let phase = phase(&mut cluster, &handles[1], job).await;
        assert_eq!(phase, Some(Phase::Completed), "job {job}");
        assert_eq!(cluster.start_count(job), 1, "job {job}");
    }
    assert_eq!(cluster.state.lapsed_runs.get(), 0);
}

/// The only process dies right after accepting a job and restarts with a new incarnation and no
/// state.
#[tokio::test(start_paused = true)]
async fn process_killed_right_after_accepting_a_job() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(500)))
        .await;
    accepted.expect("accepted");
    cluster.kill(0);
    let handle = cluster.start("one");
    cluster.advance(6 * SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
    assert_eq!(cluster.start_count(1), 1);
}

#[tokio::test(start_paused = true)]
async fn store_outage_rejects_submissions_and_keeps_jobs_running() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(50_000)))
        .await;
    accepted.expect("accepted");
    cluster.advance(SECOND).await;
    cluster.state.store_is_down.set(true);
    cluster.advance(40 * SECOND).await;
    assert_eq!(phase(&mut cluster, &handle, 1).await, Some(Phase::Active));
    let requested_at = tokio::time::Instant::now();
    let rejected = cluster
        .run_until(handle.submit(request(2), spec(100)))
        .await;
    assert!(
        matches!(rejected, Err(Rejection::NotRun { .. })),
        "{rejected:?}"
    );
    assert_eq!(requested_at.elapsed().as_millis(), 0, "rejected at once");
    assert!(!handle.is_ready(), "it can't accept jobs");
    cluster.state.store_is_down.set(false);
    cluster.advance(15 * SECOND).await;
    assert!(handle.is_ready());
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
    assert_eq!(cluster.start_count(1), 1);
    assert_eq!(cluster.start_count(2), 0, "a rejected job does not run");
}

#[tokio::test(start_paused = true)]
async fn lost_store_answers_start_no_job_twice() {
    let mut cluster = Cluster::new(&["a", "b"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    cluster.state.lose_every_nth_write.set(3);
    for job in 1..=30 {
        let accepted = cluster
            .run_until(handle.submit(request(job), spec(300)))
            .await;
        accepted.expect("accepted in the end");
    }
    cluster.advance(10 * SECOND).await;
    cluster.state.lose_every_nth_write.set(0);
    for job in 1..=30 {
        let phase = phase(&mut cluster, &handle, job).await;
        assert_eq!(phase, Some(Phase::Completed), "job {job}");
        assert_eq!(cluster.start_count(job), 1, "job {job}");
    }
}

/// The answer must not be delayed: another process may reach the store when this one does not, so
/// the caller can retry there.
#[tokio::test(start_paused = true)]
async fn submit_fails_soon_when_the_store_stops_answering() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    cluster.state.store_is_down.set(true);
    let requested_at = tokio::time::Instant::now();
    let unknown = cluster
        .run_until(handle.submit(request(1), spec(100)))
        .await;
    assert_eq!(unknown, Err(Rejection::Unknown), "it may have been written");
    assert!(
        requested_at.elapsed() < 2 * SECOND,
        "{:?}",
        requested_at.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn failed_throttle_call_does_not_leave_run_interfering() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let (mut latency_critical, mut best_effort) = (spec(60_000), spec(60_000));
    latency_critical.steps[0].tail_target_ms = 100;
    best_effort.steps[0].best_effort = true;
    for (job, spec) in [(1, latency_critical), (2, best_effort)] {
        let accepted = cluster.run_until(handle.submit(request(job), spec)).await;
        accepted.expect("accepted");
    }
    cluster.advance(SECOND).await;
    assert_eq!((cluster.start_count(1), cluster.start_count(2)), (1, 1));

    cluster.state.throttles_fail.set(true);
    let measurements = [(JobId::new(1), 200), (JobId::new(2), 1_000)];
    cluster.state.measurements.borrow_mut().extend(measurements);
    cluster.advance(8 * SECOND).await;
    let failed = cluster.state.throttles.take();
    assert!(failed.len() >= 5, "repeated: {failed:?}");
    assert!(failed
        .iter()
        .all(|&(task, _, percent)| (task.job, percent) == (JobId::new(2), 0)));

    cluster.state.throttles_fail.set(false);
    cluster.advance(8 * SECOND).await;
    let acknowledged = cluster.state.throttles.take();
    assert_eq!(acknowledged.len(), 1, "{acknowledged:?}");
}

/// Returns a job whose record is much longer than its submission.
fn spec_with_long_record() -> JobSpec {
    let mut spec = spec(60_000);
    spec.steps[0].count = 1_000;
    spec.steps[0].size = Size {
        cpu_millis: 1,
        memory_mib: 1,
        accelerators: 0,
    };
    spec
}

#[tokio::test(start_paused = true)]
async fn rejected_records_do_not_block_other_jobs() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    cluster.state.value_bytes_max.set(1_000);
    for job in 1..=6 {
        let submission = handle.submit(request(job), spec_with_long_record());
        let accepted = cluster.run_until(submission).await;
        accepted.expect("accepted");
        let submission = handle.submit(request(10 + job), spec(100));
        let accepted = cluster.run_until(submission).await;
        accepted.expect("accepted");
    }
    cluster.advance(2 * SECOND).await;
    for job in 1..=6 {
        assert_eq!(cluster.start_count(job), 0, "its record was rejected");
        let phase = phase(&mut cluster, &handle, 10 + job).await;
        assert_eq!(phase, Some(Phase::Completed), "job {}", 10 + job);
    }
    cluster.state.value_bytes_max.set(0);
    cluster.advance(6 * SECOND).await;
    for job in 1..=6 {
        assert!(cluster.start_count(job) > 0, "job {job} waits for ever");
    }
}

/// The record of the cancelled job is shorter, as it names no runners.
#[tokio::test(start_paused = true)]
async fn rejected_record_is_written_again_as_it_was_after_a_cancellation() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    cluster.state.value_bytes_max.set(4_200);
    let submission = handle.submit(request(1), spec_with_long_record());
    let accepted = cluster.run_until(submission).await;
    accepted.expect("accepted");
    cluster.advance(2 * SECOND).await;
    assert_eq!(cluster.start_count(1), 0, "its record was rejected");
    let cancelled = cluster.run_until(handle.cancel(request(1))).await;
    assert!(cancelled.is_ok(), "{cancelled:?}");
    cluster.advance(6 * SECOND).await;
    let phase = phase(&mut cluster, &handle, 1).await;
    assert_eq!(phase, Some(Phase::Cancelled));
    assert_eq!(cluster.start_count(1), 0);
}
