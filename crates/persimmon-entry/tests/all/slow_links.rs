//! Owners whose link carries less from the store than the time limit of a call allows for.

use crate::platform::{phase, request, spec, Cluster};
use persimmon_entry::{Handle, Request};
use persimmon_sched::{JobId, Phase};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// A link of 2 Mbit/s.
const LINK_BYTES_PER_S: u64 = 250_000;

/// Spreads the ids of jobs, as those of random ids are.
fn job_id(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// Submits jobs whose single task runs for `ms` milliseconds, each with a specification of 2 KB in
/// its text form.
async fn submit_jobs(cluster: &mut Cluster, handle: &Handle, count: u64, ms: u64) {
    for number in 1..=count {
        let job = job_id(number);
        let mut large = spec(ms);
        large.payload = "x".repeat(1_500);
        let submitted = cluster.run_until(handle.submit(request(job), large)).await;
        submitted.expect("accepted");
    }
}

/// Kills the owner. Returns how long it takes until the next one serves, `limit` at most.
async fn time_to_serve(cluster: &mut Cluster, limit: Duration) -> Duration {
    cluster.state.store_bytes_per_s.set(LINK_BYTES_PER_S);
    let known = cluster.fencing_token("a");
    cluster.kill(0);
    let since = tokio::time::Instant::now();
    while cluster.fencing_token("a") == known && since.elapsed() < limit {
        cluster.advance(SECOND / 20).await;
    }
    since.elapsed()
}

fn start_two() -> (Cluster, Handle) {
    let mut cluster = Cluster::new(&["a", "b"]);
    let handle = cluster.start("one");
    cluster.start_with_capacity("two", 400, 1);
    (cluster, handle)
}

#[tokio::test(start_paused = true)]
async fn owner_whose_link_carries_no_full_page_in_time_never_serves() {
    let (mut cluster, handle) = start_two();
    cluster.advance(4 * SECOND).await;
    assert_eq!(cluster.owner_of(0).as_deref(), Some("one"));
    submit_jobs(&mut cluster, &handle, 600, 60_000).await;
    // The session ends after 1.4 s, and the link carries the jobs in 6 s.
    let waited = time_to_serve(&mut cluster, 30 * SECOND).await;
    assert!(waited < 12 * SECOND, "{waited:?}");
}

/// The changes of a configuration that is written often are together larger than what a watch
/// carries in time.
#[tokio::test(start_paused = true)]
async fn backlog_of_configurations_keeps_the_latest_from_being_applied() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(4 * SECOND).await;
    cluster.state.store_bytes_per_s.set(LINK_BYTES_PER_S);
    let filler = "other".repeat(16_000);
    for version in 2..=8 {
        cluster.write_policy(version, &["quotes", &filler]);
        cluster.advance(SECOND / 10).await;
    }
    cluster.write_policy(9, &["added", &filler]);
    cluster.advance(3 * SECOND).await;
    let added = Request {
        path: format!("/added/{}", JobId::new(1)),
        ..request(1)
    };
    let accepted = cluster.run_until(handle.submit(added, spec(100))).await;
    assert!(accepted.is_ok(), "{accepted:?}");
}

#[tokio::test(start_paused = true)]
async fn takeover_waits_for_the_specifications_of_ended_jobs() {
    let (mut cluster, handle) = start_two();
    cluster.advance(4 * SECOND).await;
    assert_eq!(cluster.owner_of(0).as_deref(), Some("one"));
    submit_jobs(&mut cluster, &handle, 1_500, 10).await;
    cluster.advance(10 * SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, job_id(1_500)).await,
        Some(Phase::Completed)
    );
    // The session ends after 1.4 s. The specifications would take 12 s.
    let waited = time_to_serve(&mut cluster, 30 * SECOND).await;
    assert!(waited < 4 * SECOND, "{waited:?}");
}

/// Configurations are written faster than the link carries them, and a watch returns each of them.
#[tokio::test(start_paused = true)]
async fn versions_of_a_large_configuration_delay_the_latest() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.state.link_bytes_per_s.set(LINK_BYTES_PER_S);
    let handle = cluster.start("one");
    cluster.advance(4 * SECOND).await;
    cluster.state.store_bytes_per_s.set(LINK_BYTES_PER_S);
    cluster.state.arrival_timeout.set(Some(8 * SECOND));
    let filler = "other".repeat(16_000);
    for version in 2..=31 {
        cluster.write_policy(version, &["quotes", &filler]);
        cluster.advance(SECOND / 5).await;
    }
    cluster.write_policy(32, &["added", &filler]);
    let since = tokio::time::Instant::now();
    let added = Request {
        path: "/added/".to_owned(),
        ..request(1)
    };
    while cluster
        .run_until(handle.waiting(added.clone()))
        .await
        .is_err()
    {
        cluster.advance(SECOND / 20).await;
    }
    // The link carries a version in 0.43 s.
    let waited = since.elapsed();
    assert!(waited < SECOND * 3 / 2, "{waited:?}");
}
