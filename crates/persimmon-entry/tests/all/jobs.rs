use crate::platform::{phase, request, spec, Site};
use persimmon_entry::{Cancelled, Rejection};
use persimmon_sched::Phase;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn submit_runs_to_its_end() {
    let mut site = Site::new(&["a"]);
    let front = site.start("one");
    site.pass(2 * SECOND).await;
    assert!(front.is_ready());
    let accepted = site.play(front.submit(request(1), spec(500))).await;
    assert!(accepted.expect("accepted").is_new);
    site.pass(SECOND / 4).await;
    assert_eq!(phase(&mut site, &front, 1).await, Some(Phase::Active));
    site.pass(SECOND).await;
    assert_eq!(phase(&mut site, &front, 1).await, Some(Phase::Completed));
    assert_eq!(phase(&mut site, &front, 2).await, None);
}

#[tokio::test(start_paused = true)]
async fn submit_again_elsewhere_is_one_job() {
    let mut site = Site::new(&["a"]);
    let fronts = [site.start("one"), site.start("two")];
    site.pass(2 * SECOND).await;
    for (front, is_new) in fronts.iter().zip([true, false]) {
        let accepted = site.play(front.submit(request(1), spec(100))).await;
        assert_eq!(accepted.expect("accepted").is_new, is_new);
        site.pass(SECOND).await;
    }
    assert_eq!(site.starts_of(1), 1);
}

#[tokio::test(start_paused = true)]
async fn cancel_keeps_an_unknown_job_from_running() {
    let mut site = Site::new(&["a"]);
    let front = site.start("one");
    site.pass(2 * SECOND).await;
    let cancelled = site.play(front.cancel(request(1))).await;
    assert_eq!(cancelled, Ok(Cancelled::Unknown));
    let accepted = site.play(front.submit(request(1), spec(100))).await;
    assert!(!accepted.expect("one job").is_new);
    site.pass(SECOND).await;
    assert_eq!(site.starts_of(1), 0);
    assert_eq!(phase(&mut site, &front, 1).await, Some(Phase::Cancelled));
}

#[tokio::test(start_paused = true)]
async fn cancel_stops_what_runs() {
    let mut site = Site::new(&["a"]);
    let front = site.start("one");
    site.pass(2 * SECOND).await;
    let accepted = site.play(front.submit(request(1), spec(60_000))).await;
    accepted.expect("accepted");
    site.pass(SECOND).await;
    let cancelled = site.play(front.cancel(request(1))).await;
    assert_eq!(cancelled, Ok(Cancelled::Known));
    site.pass(SECOND).await;
    assert_eq!(phase(&mut site, &front, 1).await, Some(Phase::Cancelled));
}

#[tokio::test(start_paused = true)]
async fn submit_to_no_queue() {
    let mut site = Site::new(&["a"]);
    let front = site.start("one");
    site.pass(2 * SECOND).await;
    let mut strange = request(1);
    strange.path = "/elsewhere/1".to_owned();
    let refused = site.play(front.submit(strange, spec(100))).await;
    assert_eq!(refused, Err(Rejection::NoQueue));
    let mut broken = request(1);
    broken.path = "/quotes/xyz".to_owned();
    let refused = site.play(front.submit(broken, spec(100))).await;
    assert!(matches!(refused, Err(Rejection::Invalid { .. })));
}

#[tokio::test(start_paused = true)]
async fn waiting_counts_jobs_without_a_start() {
    let mut site = Site::new(&["a"]);
    let fronts = [site.start("one"), site.start("two")];
    site.pass(2 * SECOND).await;
    for job in 1..=11 {
        let accepted = site
            .play(fronts[0].submit(request(job), spec(60_000)))
            .await;
        accepted.expect("accepted");
    }
    site.pass(2 * SECOND).await;
    let mut queue = request(0);
    queue.path = crate::platform::PREFIX.to_owned();
    for front in &fronts {
        let waiting = site.play(front.waiting(queue.clone())).await;
        assert_eq!(waiting, Ok(3), "eight of eleven have room");
    }
}
