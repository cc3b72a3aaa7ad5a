use crate::platform::{phase, request, spec, Cluster};
use persimmon_sched::Phase;
use std::{collections::BTreeMap, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn owner_is_the_process_with_most_capacity() {
    for strong in 0..6 {
        let mut cluster = Cluster::new(&["a"]);
        for index in 0..6 {
            let capacity_millis = if index == strong { 500 } else { 100 };
            cluster.start_with_capacity(&format!("p{index}"), capacity_millis, 1);
        }
        cluster.advance(2 * SECOND).await;
        assert_eq!(cluster.owner_of(0), Some(format!("p{strong}")));
    }
}

/// Processes with little capacity must take over soon when no others are left.
#[tokio::test(start_paused = true)]
async fn weak_process_takes_over_after_all_strong_ones_died() {
    let mut cluster = Cluster::new(&["a"]);
    for (index, capacity_millis) in [500, 500, 100, 100].into_iter().enumerate() {
        cluster.start_with_capacity(&format!("p{index}"), capacity_millis, 1);
    }
    cluster.advance(2 * SECOND).await;
    cluster.kill(0);
    cluster.kill(1);
    cluster.advance(3 * SECOND).await;
    let owner = cluster.owner_of(0);
    assert!(
        owner == Some("p2".to_owned()) || owner == Some("p3".to_owned()),
        "{owner:?}"
    );
}

/// A process that already owns groups has less capacity left for another, so ownership spreads.
#[tokio::test(start_paused = true)]
async fn groups_are_spread_over_processes() {
    let mut cluster = Cluster::new(&["a"]);
    for index in 0..4 {
        cluster.start_with_capacity(&format!("p{index}"), 400, 8);
    }
    cluster.advance(4 * SECOND).await;
    let mut group_counts: BTreeMap<String, u32> = BTreeMap::new();
    for group in 0..8 {
        let owner = cluster.owner_of(group).expect("an owner");
        *group_counts.entry(owner).or_default() += 1;
    }
    assert_eq!(
        group_counts.values().copied().collect::<Vec<_>>(),
        [2, 2, 2, 2]
    );
}

/// After a power failure a process with little capacity may start first and take all groups.
#[tokio::test(start_paused = true)]
async fn owner_hands_over_to_a_process_with_much_more_capacity() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start_with_capacity("weak", 100, 1);
    cluster.advance(2 * SECOND).await;
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(8_000)))
        .await;
    accepted.expect("accepted");
    cluster.advance(SECOND).await;
    assert_eq!(cluster.owner_of(0), Some("weak".to_owned()));
    let handle = cluster.start_with_capacity("strong", 500, 1);
    cluster.advance(3 * SECOND).await;
    assert_eq!(cluster.owner_of(0), Some("strong".to_owned()));
    cluster.advance(6 * SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
    assert_eq!(cluster.start_count(1), 1, "the running job continued");
    assert_eq!(cluster.state.lapsed_runs.get(), 0);
}

/// Moving a group costs more than a small gain in capacity is worth.
#[tokio::test(start_paused = true)]
async fn owner_keeps_the_group_for_a_small_capacity_gain() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.start_with_capacity("first", 300, 1);
    cluster.advance(2 * SECOND).await;
    cluster.start_with_capacity("second", 500, 1);
    cluster.advance(5 * SECOND).await;
    assert_eq!(cluster.owner_of(0), Some("first".to_owned()));
}

/// Guards against a group that nobody serves while its stopping owner drains and until its session
/// ends, because the store did not answer the only hand-over.
#[tokio::test(start_paused = true)]
async fn stopping_owner_repeats_a_hand_over_without_an_answer() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.start("one");
    cluster.start("two");
    cluster.advance(2 * SECOND).await;
    let owner = cluster.owner_of(0).expect("an owner");
    cluster.state.store_is_down.set(true);
    cluster.stop(usize::from(owner == "two"));
    cluster.advance(SECOND / 2).await;
    cluster.state.store_is_down.set(false);
    cluster.advance(SECOND * 3 / 2).await;
    let next_owner = cluster.owner_of(0).expect("an owner");
    assert_ne!(next_owner, owner);
}

/// Guards against starts of a group's first owner, carried out late, that the runners can't tell
/// from those of the second one, as the same process has served the group again under its old key.
#[tokio::test(start_paused = true)]
async fn process_does_not_serve_a_group_again_with_the_same_fencing_token() {
    let mut cluster = Cluster::new(&["a"]);
    let handle = cluster.start("one");
    cluster.advance(2 * SECOND).await;
    let accepted = cluster
        .run_until(handle.submit(request(1), spec(1_000)))
        .await;
    accepted.expect("accepted");
    cluster.advance(SECOND / 2).await;
    let first = cluster.fencing_token("a");
    // The end of the run is to be written.
    cluster.state.denies_leases.set(true);
    cluster.advance(SECOND).await;
    cluster.state.denies_leases.set(false);
    cluster.advance(3 * SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
    assert_eq!(cluster.start_count(1), 1);
    let second = cluster.fencing_token("a");
    assert!(second > first, "{second} after {first}");
}
