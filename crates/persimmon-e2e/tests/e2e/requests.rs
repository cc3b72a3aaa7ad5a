use crate::harness::{client, control, wait_for, Cluster, Daemon, Options};
use serde_json::{json, Value};

fn one_runner() -> Options {
    Options {
        daemons: 2,
        workers: 0,
        runners: 1,
        ..Options::default()
    }
}

fn wait_served(daemon: &Daemon) {
    wait_for("an answer", || {
        (daemon.request("GET", &[]).status == 200).then_some(())
    });
}

#[test]
fn request_truncated_answer() {
    let cluster = Cluster::ready(&one_runner());
    let daemon = &cluster.daemons[0];
    wait_served(daemon);
    control(&cluster.runners[0], &json!({ "truncate": true }));
    let seen = daemon.request("POST", &[("x-request-id", "cut-post")]);
    assert_eq!(seen.ran.as_deref(), Some("unknown"), "{seen:?}");
    assert_eq!(cluster.executions("cut-post"), 1, "sent again");
    let seen = daemon.request("GET", &[("x-request-id", "cut-get")]);
    assert_eq!(seen.ran.as_deref(), Some("unknown"), "{seen:?}");
}

#[test]
fn request_late_answer() {
    let cluster = Cluster::ready(&one_runner());
    let daemon = &cluster.daemons[0];
    wait_served(daemon);
    control(&cluster.runners[0], &json!({ "work_ms": 900 }));
    let headers = [("x-request-id", "late"), ("x-deadline-ms", "300")];
    let seen = daemon.request("POST", &headers);
    assert_eq!(seen.ran.as_deref(), Some("unknown"), "{seen:?}");
    // The late answer must not reach the next caller.
    control(&cluster.runners[0], &json!({}));
    for number in 0..20 {
        let id = format!("after-{number}");
        let seen = daemon.request("POST", &[("x-request-id", &id)]);
        if seen.status == 200 {
            assert_eq!(seen.body["request_id"], id.as_str());
        }
    }
    assert_eq!(cluster.executions("late"), 1);
}

#[test]
fn request_dead_endpoint_not_run() {
    let cluster = Cluster::ready(&one_runner());
    let daemon = &cluster.daemons[0];
    wait_served(daemon);
    // An endpoint that is listed and takes no connection.
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = nobody.local_addr().expect("its address").to_string();
    drop(nobody);
    control(&cluster.runners[0], &json!({ "leaving": true }));
    let instance = json!({
        "id": "dead", "address": address, "data_centre": "dc1", "rack": "x", "state": "live",
        "role": "runner", "service": "booking",
    });
    let url = format!("http://{}/control/instance", cluster.instances);
    client()
        .post(url)
        .body(instance.to_string())
        .send()
        .expect("the list");
    let seen = wait_for("a request that found only the dead endpoint", || {
        let seen = daemon.request("POST", &[("x-request-id", "dead-post")]);
        (seen.body["peer"] == address.as_str()).then_some(seen)
    });
    assert_eq!(seen.ran.as_deref(), Some("not-run"), "{seen:?}");
    assert_eq!(cluster.executions("dead-post"), 0);
}

#[test]
fn request_leaving_endpoint() {
    let cluster = Cluster::ready(&Options {
        daemons: 2,
        workers: 0,
        ..Options::default()
    });
    let daemon = &cluster.daemons[0];
    wait_served(daemon);
    let url = format!("http://{}/control/state", cluster.instances);
    let body = json!({ "id": "r0", "state": "leaving" }).to_string();
    client().post(url).body(body).send().expect("the list");
    wait_for("both daemons to know", || {
        let leaving = |daemon: &Daemon| {
            let status = daemon.json(&["status"]);
            let endpoints = status["services"][0]["endpoints"].as_array().cloned();
            endpoints
                .unwrap_or_default()
                .iter()
                .any(|it| it["state"] == "leaving")
        };
        cluster.daemons.iter().all(leaving).then_some(())
    });
    for number in 0..40 {
        let id = format!("left-{number}");
        let seen = cluster.daemons[number % 2].request("GET", &[("x-request-id", &id)]);
        assert_eq!(seen.status, 200, "{seen:?}");
        assert_eq!(seen.body["runner"], "r1", "{seen:?}");
    }
}

fn issue_key(daemon: &Daemon) -> String {
    let url = format!("http://{}/v1/request-keys", daemon.api);
    let body: Value = client()
        .post(url)
        .send()
        .expect("an answer")
        .json()
        .expect("JSON");
    body["key"].as_str().expect("a key").to_owned()
}

#[test]
fn request_key_runs_once() {
    let mut cluster = Cluster::ready(&one_runner());
    wait_served(&cluster.daemons[0]);
    wait_served(&cluster.daemons[1]);
    let key = issue_key(&cluster.daemons[0]);
    let headers = [("x-request-key", key.as_str()), ("x-request-id", "keyed")];
    for daemon in [0, 1, 1, 0] {
        let seen = cluster.daemons[daemon].request("POST", &headers);
        assert_eq!(seen.status, 200, "{seen:?}");
        assert_eq!(seen.body["execution"], 1, "{seen:?}");
    }
    assert_eq!(cluster.executions("keyed"), 1);
    // Once its issuer is gone nobody can tell, and nobody runs it again.
    cluster.daemons[0].process.signal("KILL");
    cluster.daemons[0].process.wait();
    let seen = cluster.daemons[1].request("POST", &headers);
    assert_eq!(seen.ran.as_deref(), Some("unknown"), "{seen:?}");
    assert_eq!(cluster.executions("keyed"), 1);
}

#[test]
fn request_never_above_slots() {
    let options = Options {
        workers: 0,
        runners: 2,
        runner_work_ms: 60,
        // A daemon that stalled and left would change the others' parts.
        settings: vec![("session-ttl-ms", "15000")],
        ..Options::default()
    };
    let cluster = Cluster::ready(&options);
    cluster.daemons.iter().for_each(wait_served);
    std::thread::scope(|scope| {
        for number in 0..60 {
            let daemon = &cluster.daemons[number % 3];
            scope.spawn(move || daemon.request("POST", &[("x-deadline-ms", "3000")]));
        }
    });
    for runner in &cluster.runners {
        let seen = crate::harness::get(runner, "/control/executions");
        assert!(seen["busiest"].as_u64().expect("a number") <= 8, "{seen}");
        assert_eq!(seen["refused"], 0, "{seen}");
    }
}
