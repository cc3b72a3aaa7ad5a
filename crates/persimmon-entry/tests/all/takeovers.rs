//! Leases and runs of earlier owners.

use crate::platform::{request, spec, Cluster};
use persimmon_entry::Handle;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

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
