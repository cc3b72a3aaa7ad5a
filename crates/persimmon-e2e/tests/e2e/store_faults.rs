use crate::harness::{control, wait_for, Cluster, Options};
use serde_json::json;
use std::{thread::sleep, time::Duration};

/// The store is down for longer than sessions, promises and leases last.
#[test]
fn store_outage_evicts_nothing() {
    let cluster = Cluster::ready(&Options::default());
    let daemon = &cluster.daemons[0];
    wait_for("an answer", || {
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
            let seen = daemon.request("POST", &[]);
            assert_eq!(seen.status, 200, "{seen:?}");
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
    let (code, _, err) = daemon.tool(&args);
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
        "something ran twice or was evicted: {runs:?}"
    );
    assert!(
        runs.iter()
            .all(|run| run.ended_as.as_deref() == Some("done")),
        "{runs:?}"
    );
    let id = daemon.submit("short", "refused");
    daemon.wait_job(&id, "done");
}

#[test]
fn store_lost_answers_nothing_doubled() {
    let cluster = Cluster::ready(&Options {
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

#[test]
fn store_expires_sessions() {
    let cluster = Cluster::ready(&Options {
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
