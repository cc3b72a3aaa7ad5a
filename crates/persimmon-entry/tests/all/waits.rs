//! Waits for something that may not come, and what ends them.

use crate::{
    log_lines,
    platform::{phase, request, spec, submit, Cluster},
};
use persimmon_entry::Request;
use persimmon_sched::{JobId, Phase};
use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

/// A runner is told to stop runs that it was never told to start, and counts as failing.
#[tokio::test(start_paused = true)]
async fn start_waits_for_its_specification_until_it_is_taken_for_unanswered() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    cluster.state.extra_key_read_latency.set(5 * SECOND);
    submit(&mut cluster, &handle, 1, 500).await;
    cluster.advance(7 * SECOND).await;
    assert_eq!(cluster.state.stops.take(), []);
    let phase = phase(&mut cluster, &handle, 1).await;
    assert_eq!(phase, Some(Phase::Completed));
}

/// Reads are answered all along.
#[tokio::test(start_paused = true)]
async fn configuration_is_never_applied_while_its_watch_fails() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(3 * SECOND).await;
    cluster.state.watches_are_silent.set(true);
    cluster.advance(2 * SECOND).await;
    cluster.write_policy(2, &["quotes", "added"]);
    cluster.advance(10 * SECOND).await;
    let added = Request {
        path: format!("/added/{}", JobId::new(1)),
        ..request(1)
    };
    let accepted = cluster.run_until(handle.submit(added, spec(100))).await;
    assert!(accepted.is_ok(), "{accepted:?}");
}

/// What has changed during an outage is less than all items, which a slow link carries in seconds.
#[tokio::test(start_paused = true)]
async fn all_items_are_read_again_after_an_outage() {
    for outage_ms in (4_000..12_000).step_by(700) {
        let mut cluster = Cluster::new(&["a"]);
        cluster.start("one");
        cluster.advance(4 * SECOND).await;
        assert_eq!(cluster.state.reads_of.borrow()["policy"], 1);
        cluster.state.store_is_down.set(true);
        cluster.advance(Duration::from_millis(outage_ms)).await;
        cluster.state.store_is_down.set(false);
        cluster.advance(6 * SECOND).await;
        let reads = cluster.state.reads_of.borrow()["policy"];
        assert_eq!(reads, 1, "after {outage_ms} ms");
    }
}

/// A runner's lease must be renewed within its term of 6 s.
#[tokio::test(start_paused = true)]
async fn lease_lapses_as_a_missed_poll_is_repeated_after_those_of_runners_that_hang() {
    let hanging: Vec<_> = (0..47).map(|number| format!("h{number}")).collect();
    let mut cluster = Cluster::new(&["a"]);
    // The fewest calls at a time.
    let handle = cluster.start_with_capacity("one", 1, 1);
    cluster.advance(2 * SECOND).await;
    submit(&mut cluster, &handle, 1, 60_000).await;
    cluster.advance(SECOND).await;
    assert_eq!(cluster.running_count("a"), 1);
    cluster
        .state
        .hanging_runners
        .borrow_mut()
        .extend(hanging.clone());
    hanging.iter().for_each(|id| cluster.write_runner(id, b""));
    cluster.advance(2 * SECOND).await;
    cluster
        .state
        .hanging_runners
        .borrow_mut()
        .insert("a".to_owned());
    cluster.advance(SECOND).await;
    cluster.state.hanging_runners.borrow_mut().remove("a");
    cluster.advance(10 * SECOND).await;
    assert_eq!(cluster.state.lapsed_runs.get(), 0);
}

/// The list counts as known for a second, and nothing is started while it is not.
#[tokio::test(start_paused = true)]
async fn owner_follows_the_instance_list_late_after_its_watch_was_throttled() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let mut longest = Duration::ZERO;
    for job in 1..=8 {
        *cluster.state.throttled_watch.borrow_mut() = Some("runners/".to_owned());
        cluster
            .advance(5 * SECOND + Duration::from_millis(job * 130))
            .await;
        submit(&mut cluster, &handle, job, 300).await;
        cluster.state.throttled_watch.take();
        let since = tokio::time::Instant::now();
        while cluster.start_count(job) == 0 && since.elapsed() < 5 * SECOND {
            cluster.advance(SECOND / 100).await;
        }
        longest = longest.max(since.elapsed());
    }
    assert!(longest < SECOND, "{longest:?}");
}

#[tokio::test(start_paused = true)]
async fn keys_of_expired_jobs_stay_if_the_store_rejects_their_removal() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    submit(&mut cluster, &handle, 1, 300).await;
    cluster.advance(2 * SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
    cluster.state.rejects_removals.set(true);
    cluster.advance(140 * SECOND).await;
    assert_eq!(cluster.keys("ps/job/0/").len(), 1, "rejected");
    cluster.state.rejects_removals.set(false);
    cluster.advance(10 * SECOND).await;
    let none: [&str; 0] = [];
    assert_eq!(cluster.keys("ps/job/0/"), none);
}

#[tokio::test(start_paused = true)]
async fn owner_that_does_not_serve_is_not_logged_before_it_reads_the_jobs() {
    log_lines::record();
    let mut cluster = Cluster::new(&["a"]);
    cluster.state.extra_key_read_latency.set(8 * SECOND);
    cluster.start("one");
    cluster.advance(12 * SECOND).await;
    assert_eq!(log_lines::count("group.take"), 1);
    assert_eq!(log_lines::count("group.read"), 0);
    let lines = log_lines::count("group.loading");
    assert!(lines > 0, "no line");
}

/// The answer to the takeover is lost, and the earlier owners can't be read.
#[tokio::test(start_paused = true)]
async fn owner_that_does_not_serve_is_not_logged_while_it_knows_no_earlier_owners() {
    log_lines::record();
    let mut cluster = Cluster::new(&["a"]);
    cluster.start("one");
    while log_lines::count("session.open") == 0 {
        cluster.advance(SECOND / 500).await;
    }
    cluster.state.lose_every_nth_write.set(1);
    while cluster.owner_of(0).is_none() {
        cluster.advance(SECOND / 500).await;
    }
    cluster.state.key_reads_time_out.set(true);
    cluster.state.lose_every_nth_write.set(0);
    cluster.advance(10 * SECOND).await;
    assert_eq!(cluster.owner_of(0).as_deref(), Some("one"));
    assert_eq!(log_lines::count("group.read"), 0);
    let lines = log_lines::count("group.loading");
    assert!(lines > 0, "no line");
}

/// Returns an address that no process uses, and the socket that keeps it in use.
fn used_address() -> (SocketAddr, UdpSocket) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    (socket.local_addr().expect("its address"), socket)
}

/// Runs in real time, as processes call each other over sockets.
#[tokio::test]
async fn process_whose_address_was_in_use_never_calls_others() {
    let mut cluster = Cluster::new(&["a"]);
    let (owner_address, owner_socket) = used_address();
    drop(owner_socket);
    let owner = cluster.start_at("one", 500, 1, owner_address);
    let (address, socket) = used_address();
    let handle = cluster.start_at("two", 100, 1, address);
    cluster.advance(2 * SECOND).await;
    assert_eq!(cluster.owner_of(0).as_deref(), Some("one"));
    submit(&mut cluster, &owner, 1, 60_000).await;
    drop(socket);
    cluster.advance(2 * SECOND).await;
    // The owner answers from memory.
    cluster.state.store_is_down.set(true);
    let phase = cluster.run_until(handle.phase(request(1))).await;
    assert_eq!(phase, Ok(Some(Phase::Active)));
}
