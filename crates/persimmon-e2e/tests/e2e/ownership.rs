use crate::harness::{client, control, wait_for, Cluster, Options};
use serde_json::json;
use std::{thread::sleep, time::Duration};

/// Asserts that no two runs of a job overlap.
fn assert_no_overlapping_runs(cluster: &Cluster, id: &str) {
    let mut runs: Vec<_> = cluster
        .runs()
        .into_iter()
        .filter(|run| run.job == id)
        .collect();
    runs.sort_by_key(|run| run.started_unix_ms);
    for pair in runs.windows(2) {
        let ended = pair[0].ended_unix_ms.unwrap_or(u64::MAX);
        assert!(
            ended <= pair[1].started_unix_ms,
            "overlapping runs: {runs:?}"
        );
    }
}

#[test]
fn owner_killed_task_continues() {
    let mut cluster = Cluster::start_ready(&Options {
        runners: 0,
        ..Options::default()
    });
    let id = cluster.daemons[0].submit("long", "killed");
    wait_for("a running task", || {
        (!cluster.runs().is_empty()).then_some(())
    });
    let owner = cluster.owner_of(&id, 0);
    cluster.daemons[owner].process.signal("KILL");
    cluster.daemons[owner].process.wait();
    let other = (owner + 1) % 3;
    cluster.daemons[other].wait_job(&id, "done");
    let runs = cluster.runs();
    assert_eq!(runs.len(), 1, "the task was restarted: {runs:?}");
}

/// Guards against a job that runs twice after a takeover: the owner is stopped for longer than its
/// session lasts, the new owner can't reach the worker, and the old owner resumes and can still
/// reach it.
#[test]
fn owner_frozen_worker_cut() {
    let options = Options {
        daemons: 3,
        workers: 0,
        runners: 0,
        separate_list: Some(0),
        settings: vec![("shard-count", "1")],
        ..Options::default()
    };
    let mut cluster = Cluster::start(&options);
    let separate_list = cluster.separate_list();
    let (initial, initial_relay) = cluster.add_relayed_worker("initial");
    // The relay of the spare worker is not used; d1 and d2 reach this worker directly.
    let (spare, _spare_relay) = cluster.add_relayed_worker("spare");
    let register_worker = |list: &str, id: &str, address: &str| {
        let instance = json!({
            "id": id, "address": address, "data_centre": "dc1", "rack": id, "state": "live",
            "role": "worker",
            "capacity": { "cpu_millis": 32000, "memory_mib": 64000, "accelerators": 0 },
        });
        let url = format!("http://{list}/control/instance");
        client()
            .post(url)
            .body(instance.to_string())
            .send()
            .expect("the instance list responds");
    };
    // d0 reaches the worker directly, the other daemons through a relay.
    let shared_list = cluster.instances.clone();
    register_worker(&separate_list, "initial0", &initial);
    register_worker(&shared_list, "initial0", &initial_relay.address("tcp"));
    cluster.apply(1);
    cluster.wait_live(1);
    let owner = cluster.owner_of("0-1", 1);
    if owner != 0 {
        // Only d0 has the separate instance list, so the shard has to move to it.
        for other in [1, 2] {
            cluster.daemons[other].process.signal("STOP");
        }
        wait_for("d0 to own the shard", || {
            (cluster.owner_of("0-1", 0) == 0).then_some(())
        });
    }
    let id = cluster.daemons[0].submit("long", "frozen");
    wait_for("a running task", || {
        (!cluster.runs().is_empty()).then_some(())
    });
    cluster.daemons[0].process.signal("STOP");
    control(&initial_relay.address("control"), &json!({ "cut": true }));
    for other in [1, 2] {
        cluster.daemons[other].process.signal("CONT");
    }
    register_worker(&shared_list, "spare0", &spare);
    // The old owner resumes while the new one waits for the worker's lease to lapse: after the
    // session TTL of 1.5 s, when the shard can be taken over, and before the lease term of 5 s.
    sleep(Duration::from_millis(4_000));
    cluster.daemons[0].process.signal("CONT");
    wait_for("a new owner", || {
        (cluster.owner_of(&id, 1) != 0).then_some(())
    });
    cluster.daemons[1].wait_job(&id, "done");
    assert_no_overlapping_runs(&cluster, &id);
    let done = cluster
        .runs()
        .iter()
        .filter(|it| it.ended_as.as_deref() == Some("done"))
        .count();
    assert_eq!(done, 1, "{:?}", cluster.runs());
}

/// Guards against a task that is restarted when its owner loses the store, but not its peers:
/// another daemon must take the shard over, and the task must run only once. Once the store is
/// back, the old owner must accept jobs again.
#[test]
fn owner_cut_from_store() {
    let options = Options {
        runners: 0,
        relays: true,
        ..Options::default()
    };
    let cluster = Cluster::start_ready(&options);
    let id = cluster.daemons[0].submit("long", "cut");
    wait_for("a running task", || {
        (!cluster.runs().is_empty()).then_some(())
    });
    let owner = cluster.owner_of(&id, 0);
    let other = (owner + 1) % 3;
    cluster.daemons[owner].set_store_cut(true);
    wait_for("a new owner", || {
        (cluster.owner_of(&id, other) != owner).then_some(())
    });
    cluster.daemons[other].wait_job(&id, "done");
    assert_no_overlapping_runs(&cluster, &id);
    assert_eq!(cluster.runs().len(), 1, "{:?}", cluster.runs());
    cluster.daemons[owner].set_store_cut(false);
    let next = cluster.daemons[owner].submit("short", "cut-after");
    cluster.daemons[other].wait_job(&next, "done");
}

/// Guards against a second run of a job with `rerun = "never"`: its worker stops responding and
/// later returns with a checkpoint.
#[test]
fn worker_lost_no_duplicate_run() {
    let options = Options {
        runners: 0,
        workers: 2,
        ..Options::default()
    };
    let cluster = Cluster::start_ready(&options);
    let daemon = &cluster.daemons[0];
    let id = daemon.submit("print", "lost-print");
    wait_for("a running task", || {
        (!cluster.runs().is_empty()).then_some(())
    });
    let worker = daemon.job(&id)["worker"]
        .as_str()
        .expect("a worker")
        .to_owned();
    let index: usize = worker
        .strip_prefix('w')
        .expect("a worker id")
        .parse()
        .expect("an integer");
    control(&cluster.workers[index], &json!({ "silent": true }));
    daemon.wait_job(&id, "unknown");
    assert_eq!(
        cluster.runs().len(),
        1,
        "the task was rerun: {:?}",
        cluster.runs()
    );
    // The worker responds again and reports its checkpoint, so the job resumes exactly once.
    control(&cluster.workers[index], &json!({}));
    daemon.wait_job(&id, "done");
    assert_no_overlapping_runs(&cluster, &id);
    let done = cluster
        .runs()
        .iter()
        .filter(|it| it.ended_as.as_deref() == Some("done"))
        .count();
    assert_eq!(done, 1, "{:?}", cluster.runs());
}
