//! An accepted job is run once and stays known, whatever happens around it.

use crate::platform::{phase, request, spec, Cluster};
use persimmon_entry::Rejection;
use persimmon_sched::Phase;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against jobs that never run after a takeover because their queue was removed meanwhile.
#[tokio::test(start_paused = true)]
async fn job_of_a_removed_queue_runs_after_a_takeover() {
    let mut cluster = Cluster::new(&["a"]);
    let handles = [cluster.start("one"), cluster.start("two")];
    cluster.advance(2 * SECOND).await;
    for job in 1..=16 {
        let accepted = cluster
            .run_until(handles[0].submit(request(job), spec(4_000)))
            .await;
        accepted.expect("accepted");
    }
    cluster.write_policy(2, &[]);
    cluster.advance(SECOND).await;
    let rejected = cluster.run_until(handles[1].phase(request(1))).await;
    assert_eq!(rejected, Err(Rejection::NoQueue));
    let owner = cluster.owner_of(0).expect("an owner");
    cluster.kill(usize::from(owner == "two"));
    cluster.advance(30 * SECOND).await;
    for job in 1..=16 {
        assert_eq!(cluster.start_count(job), 1, "starts of job {job}");
    }
}

/// Guards against jobs that run again because their keys outlived their removal from memory.
#[tokio::test(start_paused = true)]
async fn expired_job_whose_keys_remain_does_not_run_again() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(500)))
        .await;
    accepted.expect("accepted");
    cluster.advance(125 * SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
    cluster.state.store_is_down.set(true);
    cluster.advance(15 * SECOND).await;
    cluster.state.store_is_down.set(false);
    cluster.compact();
    cluster.advance(5 * SECOND).await;
    assert_eq!(cluster.start_count(1), 1);
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
}

/// Guards against answers that come after the caller has given up.
#[tokio::test(start_paused = true)]
async fn answers_come_before_the_callers_deadline_while_the_store_is_silent() {
    let mut cluster = Cluster::new(&["a"]);
    let handles = [cluster.start("one"), cluster.start("two")];
    cluster.advance(2 * SECOND).await;
    let owner = cluster.owner_of(0).expect("an owner");
    let handle = &handles[usize::from(owner == "one")];
    let timeout = SECOND / 2;
    let mut request = request(1);
    request.timeout = Some(timeout);
    cluster.state.store_is_down.set(true);
    let started_at = tokio::time::Instant::now();
    let submitted = cluster
        .run_until(handle.submit(request.clone(), spec(100)))
        .await;
    assert_eq!(submitted, Err(Rejection::Unknown));
    assert!(started_at.elapsed() < timeout, "{:?}", started_at.elapsed());
    let started_at = tokio::time::Instant::now();
    let phase = cluster.run_until(handle.phase(request.clone())).await;
    assert!(matches!(phase, Err(Rejection::NotRun { .. })), "{phase:?}");
    assert!(started_at.elapsed() < timeout, "{:?}", started_at.elapsed());
    let started_at = tokio::time::Instant::now();
    request.path = crate::platform::PREFIX.to_owned();
    let waiting = cluster.run_until(handle.waiting(request)).await;
    assert!(
        matches!(waiting, Err(Rejection::NotRun { .. })),
        "{waiting:?}"
    );
    assert!(started_at.elapsed() < timeout, "{:?}", started_at.elapsed());
}
