use crate::platform::{phase, request, spec, Cluster};
use persimmon_entry::{Cancelled, Rejection};
use persimmon_sched::Phase;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn submitted_job_completes() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    assert!(handle.is_ready());
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(500)))
        .await;
    assert!(accepted.expect("accepted").is_new);
    cluster.advance(SECOND / 4).await;
    assert_eq!(phase(&mut cluster, &handle, 1).await, Some(Phase::Active));
    cluster.advance(SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
    assert_eq!(phase(&mut cluster, &handle, 2).await, None);
}

#[tokio::test(start_paused = true)]
async fn resubmission_at_another_process_is_the_same_job() {
    let mut cluster = Cluster::new(&["a"]);
    let handles = [cluster.start("one"), cluster.start("two")];
    cluster.advance(2 * SECOND).await;
    for (handle, is_new) in handles.iter().zip([true, false]) {
        let accepted = cluster
            .run_until(handle.submit(request(1), spec(100)))
            .await;
        assert_eq!(accepted.expect("accepted").is_new, is_new);
        cluster.advance(SECOND).await;
    }
    assert_eq!(cluster.start_count(1), 1);
}

#[tokio::test(start_paused = true)]
async fn cancel_prevents_an_unknown_job_from_running() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let cancelled = cluster.run_until(handle.cancel(request(1))).await;
    assert_eq!(cancelled, Ok(Cancelled::Unknown));
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(100)))
        .await;
    assert!(!accepted.expect("one job").is_new);
    cluster.advance(SECOND).await;
    assert_eq!(cluster.start_count(1), 0);
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Cancelled)
    );
}

#[tokio::test(start_paused = true)]
async fn cancel_stops_a_running_job() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(60_000)))
        .await;
    accepted.expect("accepted");
    cluster.advance(SECOND).await;
    let cancelled = cluster.run_until(handle.cancel(request(1))).await;
    assert_eq!(cancelled, Ok(Cancelled::Known));
    cluster.advance(SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Cancelled)
    );
}

#[tokio::test(start_paused = true)]
async fn submit_to_an_unknown_queue_is_rejected() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let mut unknown_queue = request(1);
    unknown_queue.path = "/elsewhere/1".to_owned();
    let rejected = cluster
        .run_until(handle.submit(unknown_queue, spec(100)))
        .await;
    assert_eq!(rejected, Err(Rejection::NoQueue));
    let mut invalid_id = request(1);
    invalid_id.path = "/quotes/xyz".to_owned();
    let rejected = cluster
        .run_until(handle.submit(invalid_id, spec(100)))
        .await;
    assert!(matches!(rejected, Err(Rejection::Invalid { .. })));
}

#[tokio::test(start_paused = true)]
async fn waiting_counts_jobs_without_a_start() {
    let mut cluster = Cluster::new(&["a"]);
    let handles = [cluster.start("one"), cluster.start("two")];
    cluster.advance(2 * SECOND).await;
    for job in 1..=11 {
        let accepted = cluster
            .run_until(handles[0].submit(request(job), spec(60_000)))
            .await;
        accepted.expect("accepted");
    }
    cluster.advance(2 * SECOND).await;
    let mut queue = request(0);
    queue.path = crate::platform::PREFIX.to_owned();
    for handle in &handles {
        let waiting = cluster.run_until(handle.waiting(queue.clone())).await;
        assert_eq!(waiting, Ok(3), "8 of 11 jobs fit on the runner");
    }
}
