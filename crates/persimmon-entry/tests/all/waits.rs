//! Waits for something that may not come, and what ends them.

use crate::platform::{phase, submit, Cluster};
use persimmon_sched::Phase;
use std::time::Duration;

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
