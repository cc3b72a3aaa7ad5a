//! Starts of jobs whose specification can't be read from the store.

use crate::platform::{request, spec, submit, Cluster};
use persimmon_sched::{JobSpec, StepSpec};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const TASKS: u32 = 20;
/// A start that can't be sent is answered before the owner takes it for unanswered.
const ANSWER_MAX: Duration = Duration::from_secs(2);

fn wide_spec() -> JobSpec {
    let JobSpec { steps, .. } = spec(1_000);
    let steps = steps.into_iter().map(|step| StepSpec {
        count: TASKS,
        ..step
    });
    JobSpec {
        steps: steps.collect(),
        ..spec(1_000)
    }
}

/// One process, on whose runner job 1 runs and job 2 of many tasks can't be started.
async fn with_unreadable_job() -> (Cluster, persimmon_entry::Handle) {
    let mut cluster = Cluster::new(&["a"]);
    // The fewest calls at a time.
    let handle = cluster.start_with_capacity("one", 1, 1);
    cluster.advance(2 * SECOND).await;
    submit(&mut cluster, &handle, 1, 60_000).await;
    cluster.advance(SECOND).await;
    assert_eq!(cluster.running_count("a"), 1);
    cluster.state.key_reads_time_out.set(true);
    let accepted = cluster
        .run_until(handle.submit(request(2), wide_spec()))
        .await;
    accepted.expect("accepted");
    cluster.advance(SECOND).await;
    (cluster, handle)
}

#[tokio::test(start_paused = true)]
async fn stop_waits_behind_starts_that_can_not_be_sent() {
    let (mut cluster, handle) = with_unreadable_job().await;
    let cancelled = cluster.run_until(handle.cancel(request(1))).await;
    cancelled.expect("cancelled");
    cluster.advance(ANSWER_MAX).await;
    assert_eq!(cluster.running_count("a"), 0);
}
