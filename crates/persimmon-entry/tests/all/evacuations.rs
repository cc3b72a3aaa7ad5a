//! Evacuations of data centres beside failures of what tells of them.

use crate::platform::{phase, submit, Cluster};
use persimmon_entry::Handle;
use persimmon_sched::Phase;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Two processes, runner "a" in data centre "east" and "b" in "west".
fn cluster() -> (Cluster, [Handle; 2]) {
    let mut cluster = Cluster::new(&[]);
    cluster.state.follows_evacuations.set(true);
    cluster.write_runner("a", b"dc=east");
    cluster.write_runner("b", b"dc=west");
    let handles = [cluster.start("one"), cluster.start("two")];
    (cluster, handles)
}

async fn submit_many(cluster: &mut Cluster, handle: &Handle, jobs: std::ops::Range<u64>) {
    for id in jobs {
        submit(cluster, handle, id, 20_000).await;
    }
    cluster.advance(SECOND).await;
}

#[tokio::test(start_paused = true)]
async fn evacuated_data_centre_is_given_tasks_until_it_is_taken_back() {
    let (mut cluster, handles) = cluster();
    cluster.advance(2 * SECOND).await;
    submit_many(&mut cluster, &handles[0], 0..2).await;
    let before = cluster.running_count("a");
    cluster.evacuate("east");
    cluster.advance(SECOND).await;
    submit_many(&mut cluster, &handles[0], 2..6).await;
    assert_eq!(cluster.running_count("a"), before, "what runs goes on");
    assert_eq!(cluster.running_count("b"), 6 - before);
    cluster.end_evacuation("east");
    cluster.advance(2 * SECOND).await;
    submit_many(&mut cluster, &handles[0], 6..12).await;
    assert!(cluster.running_count("a") > before);
}

#[tokio::test(start_paused = true)]
async fn owner_that_is_replaced_in_an_evacuation_is_followed_by_one_that_starts_tasks_there() {
    let (mut cluster, handles) = cluster();
    cluster.evacuate("east");
    cluster.advance(2 * SECOND).await;
    let owner = cluster.owner_of(0).expect("an owner");
    let index = usize::from(owner.starts_with("two"));
    cluster.kill(index);
    submit_many(&mut cluster, &handles[1 - index], 0..4).await;
    cluster.advance(10 * SECOND).await;
    assert_eq!(cluster.running_count("a"), 0);
    assert_eq!(cluster.running_count("b"), 4);
}

/// The instance list is known, so that alone would let tasks start.
#[tokio::test(start_paused = true)]
async fn tasks_are_started_while_the_evacuations_are_not_known() {
    let (mut cluster, handles) = cluster();
    cluster.advance(2 * SECOND).await;
    *cluster.state.throttled_watch.borrow_mut() = Some("evacuations/".to_owned());
    cluster.advance(3 * SECOND).await;
    cluster.evacuate("east");
    submit_many(&mut cluster, &handles[0], 0..4).await;
    assert_eq!(cluster.running_count("a") + cluster.running_count("b"), 0);
    *cluster.state.throttled_watch.borrow_mut() = None;
    cluster.advance(3 * SECOND).await;
    assert_eq!(cluster.running_count("a"), 0);
    assert_eq!(cluster.running_count("b"), 4);
}

#[tokio::test(start_paused = true)]
async fn request_is_lost_with_the_history_of_the_store() {
    let (mut cluster, handles) = cluster();
    cluster.advance(2 * SECOND).await;
    cluster.state.watches_are_silent.set(true);
    cluster.advance(SECOND / 4).await;
    cluster.evacuate("east");
    cluster.evacuate("north");
    cluster.end_evacuation("north");
    cluster.compact();
    cluster.state.watches_are_silent.set(false);
    cluster.advance(3 * SECOND).await;
    submit_many(&mut cluster, &handles[0], 0..4).await;
    assert_eq!(cluster.running_count("a"), 0);
    assert_eq!(cluster.running_count("b"), 4);
    cluster.end_evacuation("east");
    cluster.compact();
    cluster.advance(3 * SECOND).await;
    submit_many(&mut cluster, &handles[0], 4..10).await;
    assert!(cluster.running_count("a") > 0);
    assert_eq!(
        phase(&mut cluster, &handles[0], 0).await,
        Some(Phase::Active)
    );
}
