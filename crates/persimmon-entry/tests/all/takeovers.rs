//! Tasks whose runner and owner are gone at about the same time.

use crate::platform::{request, spec, Cluster};
use persimmon_entry::Handle;
use persimmon_sched::JobId;
use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

/// Returns an address that no process uses.
fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    socket.local_addr().expect("its address")
}

/// Submits a job whose task is to run for a minute, and returns the runner that it is started on.
async fn start_job(cluster: &mut Cluster, handle: &Handle) -> String {
    cluster.advance(3 * SECOND).await;
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(60_000)))
        .await;
    accepted.expect("accepted");
    cluster.advance(SECOND).await;
    let starts = cluster.state.starts.borrow();
    starts.first().expect("a start").2.clone()
}

/// Waits up to `limit` until the task of the job is started again. Returns how long that took.
async fn time_to_restart(cluster: &mut Cluster, limit: Duration) -> Duration {
    let since = tokio::time::Instant::now();
    while cluster.start_count(1) == 1 && since.elapsed() < limit {
        cluster.advance(SECOND / 50).await;
    }
    since.elapsed()
}

/// The owner's key is gone with its session, but the owner does not hear of it: its watches get no
/// answer.
#[tokio::test(start_paused = true)]
async fn owner_renews_leases_in_a_later_session_than_the_one_of_its_key() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    let runner = start_job(&mut cluster, &handle).await;
    cluster.state.watches_are_silent.set(true);
    cluster.advance(2 * SECOND).await;
    cluster.end_sessions();
    assert_eq!(cluster.owner_of(0), None);
    cluster.advance(3 * SECOND).await;
    let term = persimmon_sched::Options::default().lease_term;
    let left = cluster.lease_left(&runner);
    assert!(left < term - 2 * SECOND, "{left:?}");
}

/// The earlier owner ended when it was replaced, which is before the takeover.
#[tokio::test(start_paused = true)]
async fn task_waits_long_after_its_runner_is_gone_and_its_owner_was_restarted() {
    let mut cluster = Cluster::new(&["a", "b"]);
    let handles = [cluster.start("one"), cluster.start("two")];
    let runner = start_job(&mut cluster, &handles[0]).await;
    assert_eq!(cluster.owner_of(0).as_deref(), Some("one"));
    cluster.remove_runner(&runner);
    cluster.kill(0);
    cluster.advance(SECOND / 2).await;
    cluster.start("one");
    // 7 s from the restart on: 4 s, and 3 s in which the task may wait.
    time_to_restart(&mut cluster, 7 * SECOND).await;
    assert_eq!(cluster.start_count(1), 2);
}

/// All processes are killed at once, and their sessions last for up to 1.4 s longer.
#[tokio::test(start_paused = true)]
async fn jobs_wait_for_the_end_of_the_session_of_a_killed_owner_that_has_restarted() {
    let mut cluster = Cluster::new(&["a"]);
    for name in ["one", "two"] {
        cluster.start(name);
    }
    cluster.advance(3 * SECOND).await;
    cluster.kill(0);
    cluster.kill(1);
    let handle = cluster.start("one");
    cluster.start("two");
    cluster.advance(SECOND / 2).await;
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(100)))
        .await;
    accepted.expect("accepted");
    cluster.advance(SECOND / 4).await;
    assert_eq!(cluster.start_count(1), 1);
}

/// Runs in real time, as processes call each other over sockets.
#[tokio::test]
async fn task_waits_long_after_its_runner_and_its_owner_are_gone_for_good() {
    let mut cluster = Cluster::new(&["a", "b"]);
    let mut handles = Vec::new();
    for (name, capacity_millis) in [("one", 500), ("two", 400), ("three", 400)] {
        handles.push(cluster.start_at(name, capacity_millis, 1, free_address()));
    }
    let runner = start_job(&mut cluster, &handles[0]).await;
    assert_eq!(cluster.owner_of(0).as_deref(), Some("one"));
    cluster.remove_runner(&runner);
    cluster.kill(0);
    // Callers are owed a new run after 10 s of calm: 3 s until the processes count as in touch
    // again, 4 s more, and 3 s in which the task may wait.
    let waited = time_to_restart(&mut cluster, 10 * SECOND).await;
    assert_eq!(
        cluster.start_count(1),
        2,
        "{} after {waited:?}",
        JobId::new(1)
    );
}

/// Returns how long a task whose runner and owner are gone for good waits for its next start, if no
/// other process confirms the takeover.
async fn time_to_restart_unconfirmed(takeover_answer_is_lost: bool) -> Duration {
    // The third process can't listen at its address, so that it never answers.
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut cluster = Cluster::new(&["a", "b"]);
    let handle = cluster.start("one");
    cluster.start_with_capacity("two", 400, 1);
    cluster.start_at("three", 100, 1, socket.local_addr().expect("its address"));
    let runner = start_job(&mut cluster, &handle).await;
    assert_eq!(cluster.owner_of(0).as_deref(), Some("one"));
    cluster.remove_runner(&runner);
    cluster.kill(0);
    let since = tokio::time::Instant::now();
    let lose_every_nth_write = u64::from(takeover_answer_is_lost);
    cluster.state.lose_every_nth_write.set(lose_every_nth_write);
    while cluster.owner_of(0).as_deref() != Some("two") {
        cluster.advance(SECOND / 500).await;
    }
    cluster.state.lose_every_nth_write.set(0);
    time_to_restart(&mut cluster, 60 * SECOND).await;
    since.elapsed()
}

/// Guards against a second run of a task whose first one an earlier owner may still renew.
#[tokio::test(start_paused = true)]
async fn takeover_without_an_answer_waits_for_earlier_owners() {
    let answered = time_to_restart_unconfirmed(false).await;
    let lost = time_to_restart_unconfirmed(true).await;
    assert!(lost >= answered, "{lost:?} instead of {answered:?}");
}
