use crate::harness::{control, wait_for, Cluster, Options};
use serde_json::json;
use std::{thread::sleep, time::Duration};

/// Guards against evictions and rejected requests in a store outage that is longer than the terms
/// of sessions, promises and leases. A job submitted in the outage must be refused as not run, and
/// its key must still be accepted after the outage.
#[test]
fn store_outage_evicts_nothing() {
    let cluster = Cluster::start_ready(&Options::default());
    let daemon = &cluster.daemons[0];
    wait_for("a response", || {
        (daemon.request("GET", &[]).status == 200).then_some(())
    });
    let ids: Vec<String> = (0..4)
        .map(|number| daemon.submit("long", &format!("outage-{number}")))
        .collect();
    wait_for("running tasks", || {
        (cluster.runs().len() == ids.len()).then_some(())
    });
    control(&cluster.store, &json!({ "down": true }));
    for _ in 0..14 {
        sleep(Duration::from_millis(500));
        for daemon in &cluster.daemons {
            let response = daemon.request("POST", &[]);
            assert_eq!(response.status, 200, "{response:?}");
        }
    }
    let args = [
        "job",
        "submit",
        "--class",
        "short",
        "--key",
        "refused",
        "--due-in-s",
        "60",
    ];
    let (code, _, err) = daemon.run_tool(&args);
    assert_eq!(code, 1, "{err}");
    assert!(err.contains("not-run"), "{err}");
    control(&cluster.store, &json!({}));
    for id in &ids {
        daemon.wait_job(id, "done");
    }
    let runs = cluster.runs();
    assert_eq!(
        runs.len(),
        ids.len(),
        "a task was restarted or evicted: {runs:?}"
    );
    assert!(
        runs.iter()
            .all(|run| run.ended_as.as_deref() == Some("done")),
        "{runs:?}"
    );
    let id = daemon.submit("short", "refused");
    daemon.wait_job(&id, "done");
}

/// Guards against lost or repeated jobs when the store applies writes but their answers are lost.
///
/// The fault loses the next two answers to POST calls of any daemon, so it may hit the commit of
/// the submission and its retry, or other calls such as the renewal of a session.
#[test]
fn store_lost_answers_no_duplicates() {
    let cluster = Cluster::start_ready(&Options {
        runners: 0,
        ..Options::default()
    });
    let daemon = &cluster.daemons[0];
    let mut ids = Vec::new();
    for number in 0..10 {
        control(&cluster.store, &json!({ "lose_answers": 2 }));
        ids.push(daemon.submit("short", &format!("lost-{number}")));
    }
    for id in &ids {
        daemon.wait_job(id, "done");
    }
    let mut runs: Vec<String> = cluster.runs().into_iter().map(|run| run.job).collect();
    runs.sort();
    ids.sort();
    assert_eq!(runs, ids);
}

/// Guards against tasks that are lost or restarted when the store expires all sessions at once,
/// three times in a row. The 700 ms between the expiries exceed the renewal interval of 500 ms, so
/// each daemon notices the loss and can begin a new session before the next expiry.
#[test]
fn store_expires_sessions() {
    let cluster = Cluster::start_ready(&Options {
        runners: 0,
        ..Options::default()
    });
    let daemon = &cluster.daemons[0];
    let ids: Vec<String> = (0..3)
        .map(|number| daemon.submit("long", &format!("expired-{number}")))
        .collect();
    wait_for("running tasks", || {
        (cluster.runs().len() == ids.len()).then_some(())
    });
    for _ in 0..3 {
        control(&cluster.store, &json!({ "expire_leases": true }));
        sleep(Duration::from_millis(700));
    }
    for id in &ids {
        daemon.wait_job(id, "done");
    }
    let runs = cluster.runs();
    assert_eq!(runs.len(), ids.len(), "{runs:?}");
}

/// Guards against overlapping runs of a job with `rerun = "never"`: in a store outage its owner is
/// stopped for longer than every lease and promise, and resumes before the store recovers.
#[test]
fn store_outage_with_frozen_owner() {
    let cluster = Cluster::start_ready(&Options {
        runners: 0,
        ..Options::default()
    });
    let id = cluster.daemons[0].submit("print", "outage-frozen");
    wait_for("a running task", || {
        (!cluster.runs().is_empty()).then_some(())
    });
    let owner = cluster.owner_of(&id, 0);
    control(&cluster.store, &json!({ "down": true }));
    sleep(Duration::from_millis(2_000));
    cluster.daemons[owner].process.signal("STOP");
    sleep(Duration::from_millis(7_000));
    cluster.daemons[owner].process.signal("CONT");
    sleep(Duration::from_millis(1_500));
    control(&cluster.store, &json!({}));
    cluster.daemons[(owner + 1) % 3].wait_job(&id, "done");
    let mut runs = cluster.runs();
    runs.sort_by_key(|run| run.started_unix_ms);
    for pair in runs.windows(2) {
        let ended = pair[0].ended_unix_ms.unwrap_or(u64::MAX);
        assert!(
            ended <= pair[1].started_unix_ms,
            "overlapping runs: {runs:?}"
        );
        assert!(
            pair[1].from_ms > 0,
            "the job restarted without its checkpoint: {runs:?}"
        );
    }
    let done = runs
        .iter()
        .filter(|run| run.ended_as.as_deref() == Some("done"));
    assert_eq!(done.count(), 1, "{runs:?}");
}

/// Guards against lost or repeated jobs when each call to the store takes 300 ms, which is close to
/// the timeout of 400 ms.
#[test]
fn store_slow() {
    let cluster = Cluster::start_ready(&Options::default());
    control(&cluster.store, &json!({ "slow_ms": 300 }));
    let ids: Vec<String> = (0..8)
        .map(|number| cluster.daemons[number % 3].submit("short", &format!("slow-{number}")))
        .collect();
    cluster.apply(2);
    for id in &ids {
        cluster.daemons[0].wait_job(id, "done");
    }
    assert_eq!(cluster.runs().len(), ids.len());
}
