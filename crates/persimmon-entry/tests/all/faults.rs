use crate::platform::{phase, request, spec, Site};
use persimmon_entry::Rejection;
use persimmon_sched::Phase;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// The first of two processes takes the group; its death must lose and double nothing.
#[tokio::test(start_paused = true)]
async fn owner_killed_with_work_running_and_waiting() {
    let mut site = Site::new(&["a"]);
    let fronts = [site.start("one"), site.start("two")];
    site.pass(2 * SECOND).await;
    for job in 1..=20 {
        let accepted = site.play(fronts[0].submit(request(job), spec(4_000))).await;
        accepted.expect("accepted");
    }
    site.kill(0);
    site.pass(30 * SECOND).await;
    for job in 1..=20 {
        let phase = phase(&mut site, &fronts[1], job).await;
        assert_eq!(phase, Some(Phase::Completed), "job {job}");
        assert_eq!(site.starts_of(job), 1, "job {job}");
    }
    assert_eq!(site.world.lapses.get(), 0);
}

/// Every process dies at once and none of them comes back as it was.
#[tokio::test(start_paused = true)]
async fn all_killed_right_after_an_acceptance() {
    let mut site = Site::new(&["a"]);
    let front = site.start("one");
    site.pass(2 * SECOND).await;
    let accepted = site.play(front.submit(request(1), spec(500))).await;
    accepted.expect("accepted");
    site.kill(0);
    let front = site.start("one");
    site.pass(6 * SECOND).await;
    assert_eq!(phase(&mut site, &front, 1).await, Some(Phase::Completed));
    assert_eq!(site.starts_of(1), 1);
}

#[tokio::test(start_paused = true)]
async fn outage_of_the_store_ends_nothing() {
    let mut site = Site::new(&["a"]);
    let front = site.start("one");
    site.pass(2 * SECOND).await;
    let accepted = site.play(front.submit(request(1), spec(50_000))).await;
    accepted.expect("accepted");
    site.pass(SECOND).await;
    site.world.is_dark.set(true);
    site.pass(40 * SECOND).await;
    assert_eq!(phase(&mut site, &front, 1).await, Some(Phase::Active));
    let asked_at = tokio::time::Instant::now();
    let refused = site.play(front.submit(request(2), spec(100))).await;
    assert!(
        matches!(refused, Err(Rejection::NotRun { .. })),
        "{refused:?}"
    );
    assert_eq!(asked_at.elapsed().as_millis(), 0, "refused at once");
    assert!(!front.is_ready(), "it can't accept jobs");
    site.world.is_dark.set(false);
    site.pass(15 * SECOND).await;
    assert!(front.is_ready());
    assert_eq!(phase(&mut site, &front, 1).await, Some(Phase::Completed));
    assert_eq!(site.starts_of(1), 1);
    assert_eq!(site.starts_of(2), 0, "refused means not run");
}

#[tokio::test(start_paused = true)]
async fn lost_answers_double_nothing() {
    let mut site = Site::new(&["a", "b"]);
    let front = site.start("one");
    site.pass(2 * SECOND).await;
    site.world.lose_every.set(3);
    for job in 1..=30 {
        let accepted = site.play(front.submit(request(job), spec(300))).await;
        accepted.expect("accepted in the end");
    }
    site.pass(10 * SECOND).await;
    site.world.lose_every.set(0);
    for job in 1..=30 {
        let phase = phase(&mut site, &front, job).await;
        assert_eq!(phase, Some(Phase::Completed), "job {job}");
        assert_eq!(site.starts_of(job), 1, "job {job}");
    }
}

/// Another process may reach the store that this one does not.
#[tokio::test(start_paused = true)]
async fn submit_gives_up_soon_when_the_store_falls_silent() {
    let mut site = Site::new(&["a"]);
    let front = site.start("one");
    site.pass(2 * SECOND).await;
    site.world.is_dark.set(true);
    let asked_at = tokio::time::Instant::now();
    let unknown = site.play(front.submit(request(1), spec(100))).await;
    assert_eq!(unknown, Err(Rejection::Unknown), "it may have been written");
    assert!(asked_at.elapsed() < 2 * SECOND, "{:?}", asked_at.elapsed());
}
