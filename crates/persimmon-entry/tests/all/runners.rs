//! Runners that leave the instance list and return to it.

use crate::platform::{phase, request, submit, Cluster};
use persimmon_sched::Phase;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn runner_is_no_longer_polled_after_it_was_unlisted_for_a_while() {
    for unlisted_ms in [10, 100, 400, 900, 1_700, 2_500, 10_000] {
        let mut cluster = Cluster::new(&["a"]);
        let handle = cluster.start("one");
        cluster.advance(2 * SECOND).await;
        submit(&mut cluster, &handle, 1, 300).await;
        cluster.advance(SECOND).await;
        cluster.unlist_runner("a");
        cluster.advance(Duration::from_millis(unlisted_ms)).await;
        cluster.list_runner("a");
        submit(&mut cluster, &handle, 2, 300).await;
        cluster.advance(3 * SECOND).await;
        let phase = phase(&mut cluster, &handle, 2).await;
        assert_eq!(phase, Some(Phase::Completed), "after {unlisted_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn end_of_a_run_is_missed_on_an_unlisted_runner() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    submit(&mut cluster, &handle, 1, 9_000).await;
    cluster.advance(SECOND).await;
    cluster.unlist_runner("a");
    cluster.advance(12 * SECOND).await;
    let phase = phase(&mut cluster, &handle, 1).await;
    assert_eq!(phase, Some(Phase::Completed));
    assert_eq!(cluster.start_count(1), 1);
}

/// The new owner knows the runner from a record alone, so the stop can't be sent at first.
#[tokio::test(start_paused = true)]
async fn stop_is_not_repeated_for_a_runner_that_the_owner_learns_of_later() {
    for unlisted_s in [2, 6, 12] {
        let mut cluster = Cluster::new(&["a"]);
        let handles = [cluster.start("one"), cluster.start("two")];
        cluster.advance(2 * SECOND).await;
        submit(&mut cluster, &handles[0], 1, 60_000).await;
        cluster.advance(SECOND).await;
        cluster.unlist_runner("a");
        cluster.kill(0);
        cluster.advance(3 * SECOND).await;
        let cancelled = cluster.run_until(handles[1].cancel(request(1))).await;
        cancelled.expect("cancelled");
        cluster.advance(unlisted_s * SECOND).await;
        cluster.list_runner("a");
        cluster.advance(2 * SECOND).await;
        assert_eq!(cluster.running_count("a"), 0, "after {unlisted_s} s");
        submit(&mut cluster, &handles[1], 2, 300).await;
        cluster.advance(3 * SECOND).await;
        let phase = phase(&mut cluster, &handles[1], 2).await;
        assert_eq!(phase, Some(Phase::Completed), "after {unlisted_s} s");
    }
}
