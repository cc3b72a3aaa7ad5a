use crate::harness::{client, control, wait_for, Cluster, Options};
use serde_json::json;

#[test]
fn job_evicted_resumes_once() {
    let cluster = Cluster::start_ready(&Options {
        runners: 0,
        ..Options::default()
    });
    let daemon = &cluster.daemons[0];
    let id = daemon.submit("long", "evicted");
    let placed = wait_for("a running task", || {
        let running = cluster.runs().iter().any(|run| run.job == id);
        running.then(|| daemon.job(&id))
    });
    std::thread::sleep(std::time::Duration::from_millis(1_000));
    // Tasks of a leaving worker are evicted with a checkpoint.
    let worker = placed["worker"].as_str().expect("a worker").to_owned();
    let shard_has_two = daemon.tool_json(&["status"])["shards"]
        .as_array()
        .expect("shards")
        .iter()
        .any(|shard| shard["workers"].as_array().expect("workers").len() == 2);
    let url = format!("http://{}/control/state", cluster.instances);
    let set_state = |state: &str| {
        let body = json!({ "id": worker, "state": state }).to_string();
        client()
            .post(&url)
            .body(body)
            .send()
            .expect("the instance list responds");
    };
    set_state("leaving");
    wait_for("an eviction", || {
        (daemon.job(&id)["evictions"] == 1).then_some(())
    });
    if !shard_has_two {
        // It is the only worker of its shard, so the job can only resume once it is live again.
        set_state("live");
    }
    daemon.wait_job(&id, "done");
    let runs: Vec<_> = cluster
        .runs()
        .into_iter()
        .filter(|run| run.job == id)
        .collect();
    assert_eq!(runs.len(), 2, "{runs:?}");
    let second = runs
        .iter()
        .find(|run| run.attempt == 2)
        .expect("a second attempt");
    assert!(
        second.from_ms >= 500,
        "the job did not resume from its checkpoint: {runs:?}"
    );
}

#[test]
fn job_cancelled_never_started() {
    let cluster = Cluster::start_ready(&Options {
        runners: 0,
        workers: 1,
        ..Options::default()
    });
    let daemon = &cluster.daemons[0];
    // Leaving workers accept no tasks, so the job stays queued.
    let url = format!("http://{}/control/state", cluster.instances);
    let body = json!({ "id": "w0", "state": "leaving" }).to_string();
    client()
        .post(url)
        .body(body)
        .send()
        .expect("the instance list responds");
    wait_for("the worker to leave", || {
        let status = daemon.tool_json(&["status"]).to_string();
        status.contains("\"state\":\"leaving\"").then_some(())
    });
    let worker_shard = daemon.tool_json(&["status"])["shards"]
        .as_array()
        .expect("shards")
        .iter()
        .find(|shard| !shard["workers"].as_array().expect("workers").is_empty())
        .expect("a shard with a worker")["shard"]
        .clone();
    let id = (0..20)
        .map(|number| format!("cancel-{number}"))
        .find_map(|key| {
            let args = [
                "job",
                "submit",
                "--class",
                "short",
                "--key",
                &key,
                "--due-in-s",
                "600",
            ];
            let (code, out, _) = daemon.run_tool(&[&["--json"], &args[..]].concat());
            let view: serde_json::Value = serde_json::from_str(&out).unwrap_or_default();
            let in_worker_shard = code == 0 && view["id"]["shard"] == worker_shard;
            in_worker_shard.then(|| format!("{}-{}", view["id"]["shard"], view["id"]["number"]))
        })
        .expect("a job in the worker's shard");
    let (code, out, _) = daemon.run_tool(&["job", "cancel", &id]);
    assert_eq!(code, 0);
    assert!(out.contains("it did not run"), "{out}");
    assert!(cluster.runs().is_empty());
}

#[test]
fn job_bad_worker_quarantined() {
    let options = Options {
        daemons: 1,
        runners: 0,
        workers: 2,
        settings: vec![("shard-count", "1")],
        ..Options::default()
    };
    let cluster = Cluster::start_ready(&options);
    let daemon = &cluster.daemons[0];
    control(&cluster.workers[0], &json!({ "fail_all": true }));
    let ids: Vec<String> = (0..12)
        .map(|number| daemon.submit("short", &format!("bad-{number}")))
        .collect();
    for id in &ids {
        daemon.wait_job(id, "done");
    }
    let failed = cluster
        .runs()
        .iter()
        .filter(|it| it.ended_as.as_deref() == Some("failed"))
        .count();
    assert!(
        failed <= 12,
        "{failed} failures: the failing worker was not quarantined"
    );
}

#[test]
fn job_resubmit_is_idempotent() {
    let cluster = Cluster::start_ready(&Options {
        runners: 0,
        ..Options::default()
    });
    let ids: Vec<String> = (0..6)
        .map(|number| cluster.daemons[number % 3].submit("short", "same"))
        .collect();
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    cluster.daemons[0].wait_job(&ids[0], "done");
    assert_eq!(cluster.runs().len(), 1);
}

/// Guards against jobs that never start because the key maps to a shard without workers: with one
/// worker and six shards such jobs must be redirected, and a resubmission must find the same job.
#[test]
fn job_of_a_shard_without_workers() {
    let options = Options {
        runners: 0,
        workers: 1,
        settings: vec![("shard-count", "6")],
        ..Options::default()
    };
    let cluster = Cluster::start_ready(&options);
    let keys: Vec<String> = (0..12).map(|number| format!("homeless-{number}")).collect();
    let ids: Vec<String> = keys
        .iter()
        .map(|key| cluster.daemons[0].submit("short", key))
        .collect();
    let resubmitted: Vec<String> = keys
        .iter()
        .map(|key| cluster.daemons[1].submit("short", key))
        .collect();
    assert_eq!(ids, resubmitted, "a resubmission created another job");
    for id in &ids {
        cluster.daemons[2].wait_job(id, "done");
    }
    assert_eq!(cluster.runs().len(), ids.len());
}
