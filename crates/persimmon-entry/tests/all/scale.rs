use crate::platform::{phase, request, spec, submit, CallCosts, CallLimits, Cluster, DRAINING};
use persimmon_entry::Handle;
use persimmon_sched::Phase;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const PROCESSES: u64 = 60;

/// The calls of many processes must stay within the store's limits: here as many a process as 300
/// processes have of 2,000 reads and 400 writes a second.
#[tokio::test(start_paused = true)]
async fn sessions_of_many_processes_are_lost_to_throttling() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.state.call_limits.set(Some(CallLimits {
        reads_per_s: 400,
        writes_per_s: 80,
    }));
    let mut handles = Vec::new();
    for index in 0..PROCESSES {
        handles.push(cluster.start(&format!("p{index}")));
    }
    cluster.advance(8 * SECOND).await;
    let owner = cluster.owner_of(0);
    let grants = cluster.state.grants.get();
    assert!(
        grants < 2 * PROCESSES,
        "{grants} leases granted at the start"
    );
    submit(&mut cluster, &handles[0], 1, 500).await;
    cluster.advance(8 * SECOND).await;
    assert_eq!(cluster.state.grants.get(), grants, "no session is lost");
    assert!(owner.is_some());
    assert_eq!(cluster.owner_of(0), owner);
    assert_eq!(
        phase(&mut cluster, &handles[0], 1).await,
        Some(Phase::Completed)
    );
}

#[tokio::test(start_paused = true)]
async fn rejected_page_starts_a_long_instance_list_again() {
    let names: Vec<_> = (0..40).map(|index| format!("r{index}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut cluster = Cluster::new(&names);
    cluster.state.page_size.set(5);
    cluster.state.reject_every_nth_page.set(3);
    let handle = cluster.start("one");
    cluster.advance(5 * SECOND).await;
    submit(&mut cluster, &handle, 1, 500).await;
    cluster.advance(2 * SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
}

/// Starts an owner of 3,000 runners with the processor time for 1,000 first polls or 2,000 other
/// calls a second.
fn start_owner_of_many_runners() -> (Cluster, Handle) {
    let names: Vec<_> = (0..3_000).map(|index| format!("r{index}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut cluster = Cluster::new(&names);
    cluster.state.call_costs.set(CallCosts {
        first_poll: Duration::from_millis(1),
        other: Duration::from_micros(500),
    });
    let handle = cluster.start("one");
    (cluster, handle)
}

#[tokio::test(start_paused = true)]
async fn session_is_lost_to_first_polls_of_many_runners() {
    let (mut cluster, _handle) = start_owner_of_many_runners();
    cluster.advance(8 * SECOND).await;
    assert_eq!(cluster.state.grants.get(), 1, "the session is kept");
}

#[tokio::test(start_paused = true)]
async fn job_waits_behind_polls_of_many_idle_runners() {
    let (mut cluster, handle) = start_owner_of_many_runners();
    cluster.advance(8 * SECOND).await;
    submit(&mut cluster, &handle, 1, 500).await;
    cluster.advance(2 * SECOND).await;
    assert_eq!(
        phase(&mut cluster, &handle, 1).await,
        Some(Phase::Completed)
    );
}

/// Each runner writes its key every 1.5 s, and a watch answers with at most 500 changes.
#[tokio::test(start_paused = true)]
async fn watch_of_the_instance_list_falls_behind_many_runners() {
    let names: Vec<_> = (0..3_000).map(|index| format!("r{index}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut cluster = Cluster::new(&names);
    cluster.state.changes_per_answer.set(500);
    let handle = cluster.start("one");
    let mut chunks = names.chunks(200).cycle();
    for _ in 0..200 {
        for name in chunks.next().expect("a chunk") {
            cluster.write_runner(name, DRAINING);
        }
        cluster.advance(SECOND / 10).await;
    }
    submit(&mut cluster, &handle, 1, 500).await;
    cluster.write_runner("ready", b"");
    for _ in 0..15 {
        for name in chunks.next().expect("a chunk") {
            cluster.write_runner(name, DRAINING);
        }
        cluster.advance(SECOND / 10).await;
    }
    assert_eq!(cluster.start_count(1), 1, "the new runner is seen in time");
}

/// Thousands of runners write so much that each answer to a watch comes with a backlog. The list is
/// current all the same.
#[tokio::test(start_paused = true)]
async fn backlog_of_a_large_instance_list_keeps_tasks_from_starting() {
    let names: Vec<_> = (0..300).map(|index| format!("r{index}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut cluster = Cluster::new(&names);
    cluster.state.extra_store_latency.set(SECOND / 10);
    let handle = cluster.start("one");
    cluster.advance(4 * SECOND).await;
    submit(&mut cluster, &handle, 1, 500).await;
    for _ in 0..30 {
        for name in &names {
            cluster.write_runner(name, b"");
        }
        cluster.advance(SECOND / 10).await;
    }
    assert_eq!(cluster.start_count(1), 1);
}

/// A read that may be stale does not find the specification of a job just accepted.
#[tokio::test(start_paused = true)]
async fn task_of_a_job_that_a_stale_read_does_not_find_is_never_started() {
    let mut cluster = Cluster::new(&["a"]);
    cluster.state.stale_reads_find_nothing.set(true);
    let handle = cluster.start("one");
    cluster.advance(4 * SECOND).await;
    submit(&mut cluster, &handle, 1, 500).await;
    cluster.advance(2 * SECOND).await;
    assert_eq!(cluster.start_count(1), 1);
}

/// On a full link the renewals of the session and of leases wait behind the records of jobs.
#[tokio::test(start_paused = true)]
async fn records_take_the_whole_link_of_an_owner() {
    const LINK_BYTES_PER_S: u64 = 10_000;
    let mut cluster = Cluster::new(&["a", "b", "c", "d"]);
    cluster.state.link_bytes_per_s.set(LINK_BYTES_PER_S);
    let handle = cluster.start("one");
    cluster.advance(4 * SECOND).await;
    for job in 1..=80 {
        let mut wide = spec(100);
        wide.steps[0].count = 20;
        let submitted = cluster.run_until(handle.submit(request(job), wide)).await;
        submitted.expect("accepted");
    }
    let before = cluster.state.record_bytes.get();
    cluster.advance(10 * SECOND).await;
    let bytes = cluster.state.record_bytes.get() - before;
    assert!(
        bytes <= LINK_BYTES_PER_S as usize * 10 * 4 / 10,
        "{bytes} bytes of records in 10 s"
    );
    cluster.advance(50 * SECOND).await;
    for job in 1..=80 {
        let phase = phase(&mut cluster, &handle, job).await;
        assert_eq!(phase, Some(Phase::Completed), "job {job}");
    }
}
