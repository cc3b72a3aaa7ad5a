use crate::platform::{phase, request, spec, Site};
use persimmon_sched::Phase;
use std::{collections::BTreeMap, time::Duration};

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn owner_is_who_can_carry_most() {
    for strong in 0..6 {
        let mut site = Site::new(&["a"]);
        for at in 0..6 {
            let capacity_millis = if at == strong { 500 } else { 100 };
            site.start_sized(&format!("p{at}"), capacity_millis, 1);
        }
        site.pass(2 * SECOND).await;
        assert_eq!(site.owner_of(0), Some(format!("p{strong}")));
    }
}

/// Those that carry little serve when nobody else is left, and soon.
#[tokio::test(start_paused = true)]
async fn owner_after_the_death_of_all_strong_ones() {
    let mut site = Site::new(&["a"]);
    for (at, capacity_millis) in [500, 500, 100, 100].into_iter().enumerate() {
        site.start_sized(&format!("p{at}"), capacity_millis, 1);
    }
    site.pass(2 * SECOND).await;
    site.kill(0);
    site.kill(1);
    site.pass(3 * SECOND).await;
    let owner = site.owner_of(0);
    assert!(
        owner == Some("p2".to_owned()) || owner == Some("p3".to_owned()),
        "{owner:?}"
    );
}

/// Who owns a group already has less left for another.
#[tokio::test(start_paused = true)]
async fn owners_share_the_groups() {
    let mut site = Site::new(&["a"]);
    for at in 0..4 {
        site.start_sized(&format!("p{at}"), 400, 8);
    }
    site.pass(4 * SECOND).await;
    let mut owned: BTreeMap<String, u32> = BTreeMap::new();
    for group in 0..8 {
        let owner = site.owner_of(group).expect("an owner");
        *owned.entry(owner).or_default() += 1;
    }
    assert_eq!(owned.values().copied().collect::<Vec<_>>(), [2, 2, 2, 2]);
}

/// After a power cut the first process to come up may be a weak one.
#[tokio::test(start_paused = true)]
async fn owner_gives_way_to_who_can_carry_much_more() {
    let mut site = Site::new(&["a"]);
    let front = site.start_sized("weak", 100, 1);
    site.pass(2 * SECOND).await;
    let accepted = site.play(front.submit(request(1), spec(8_000))).await;
    accepted.expect("accepted");
    site.pass(SECOND).await;
    assert_eq!(site.owner_of(0), Some("weak".to_owned()));
    let front = site.start_sized("strong", 500, 1);
    site.pass(3 * SECOND).await;
    assert_eq!(site.owner_of(0), Some("strong".to_owned()));
    site.pass(6 * SECOND).await;
    assert_eq!(phase(&mut site, &front, 1).await, Some(Phase::Completed));
    assert_eq!(site.starts_of(1), 1, "what ran went on");
    assert_eq!(site.world.lapses.get(), 0);
}

/// A move costs more than a small gain is worth.
#[tokio::test(start_paused = true)]
async fn owner_stays_beside_who_can_carry_little_more() {
    let mut site = Site::new(&["a"]);
    site.start_sized("first", 300, 1);
    site.pass(2 * SECOND).await;
    site.start_sized("second", 500, 1);
    site.pass(5 * SECOND).await;
    assert_eq!(site.owner_of(0), Some("first".to_owned()));
}
