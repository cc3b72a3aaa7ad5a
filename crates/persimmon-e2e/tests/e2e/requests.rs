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

fn wait_until_served(daemon: &Daemon) {
    wait_for("a response", || {
        (daemon.request("GET", &[]).status == 200).then_some(())
    });
}

#[test]
fn request_truncated_answer() {
    let cluster = Cluster::start_ready(&one_runner());
    let daemon = &cluster.daemons[0];
    wait_until_served(daemon);
    control(&cluster.runners[0], &json!({ "truncate": true }));
    let response = daemon.request("POST", &[("x-request-id", "cut-post")]);
    assert_eq!(response.ran.as_deref(), Some("unknown"), "{response:?}");
    assert_eq!(cluster.executions("cut-post"), 1, "the request was retried");
    let response = daemon.request("GET", &[("x-request-id", "cut-get")]);
    assert_eq!(response.ran.as_deref(), Some("unknown"), "{response:?}");
}

#[test]
fn request_late_answer() {
    let cluster = Cluster::start_ready(&one_runner());
    let daemon = &cluster.daemons[0];
    wait_until_served(daemon);
    control(&cluster.runners[0], &json!({ "work_ms": 900 }));
    let headers = [("x-request-id", "late"), ("x-deadline-ms", "300")];
    let response = daemon.request("POST", &headers);
    assert_eq!(response.ran.as_deref(), Some("unknown"), "{response:?}");
    // The late response must not be delivered to a later caller.
    control(&cluster.runners[0], &json!({}));
    for number in 0..20 {
        let id = format!("after-{number}");
        let response = daemon.request("POST", &[("x-request-id", &id)]);
        if response.status == 200 {
            assert_eq!(response.body["request_id"], id.as_str());
        }
    }
    assert_eq!(cluster.executions("late"), 1);
}

#[test]
fn request_dead_endpoint_not_run() {
    let cluster = Cluster::start_ready(&one_runner());
    let daemon = &cluster.daemons[0];
    wait_until_served(daemon);
    // The endpoint is in the instance list, but nothing listens on its port.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind an ephemeral port");
    let address = listener
        .local_addr()
        .expect("the local address")
        .to_string();
    drop(listener);
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
        .expect("the instance list responds");
    let response = wait_for("a request that found only the dead endpoint", || {
        let response = daemon.request("POST", &[("x-request-id", "dead-post")]);
        (response.body["peer"] == address.as_str()).then_some(response)
    });
    assert_eq!(response.ran.as_deref(), Some("not-run"), "{response:?}");
    assert_eq!(cluster.executions("dead-post"), 0);
}

#[test]
fn request_leaving_endpoint() {
    let cluster = Cluster::start_ready(&Options {
        daemons: 2,
        workers: 0,
        ..Options::default()
    });
    let daemon = &cluster.daemons[0];
    wait_until_served(daemon);
    let url = format!("http://{}/control/state", cluster.instances);
    let body = json!({ "id": "r0", "state": "leaving" }).to_string();
    client()
        .post(url)
        .body(body)
        .send()
        .expect("the instance list responds");
    wait_for("both daemons to see the leaving endpoint", || {
        let leaving = |daemon: &Daemon| {
            let status = daemon.tool_json(&["status"]);
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
        let response = cluster.daemons[number % 2].request("GET", &[("x-request-id", &id)]);
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body["runner"], "r1", "{response:?}");
    }
}

fn issue_key(daemon: &Daemon) -> String {
    let url = format!("http://{}/v1/request-keys", daemon.api);
    let body: Value = client()
        .post(url)
        .send()
        .expect("the daemon responds")
        .json()
        .expect("valid JSON");
    body["key"].as_str().expect("a key").to_owned()
}

#[test]
fn request_key_runs_once() {
    let mut cluster = Cluster::start_ready(&one_runner());
    wait_until_served(&cluster.daemons[0]);
    wait_until_served(&cluster.daemons[1]);
    let key = issue_key(&cluster.daemons[0]);
    let headers = [("x-request-key", key.as_str()), ("x-request-id", "keyed")];
    for daemon in [0, 1, 1, 0] {
        let response = cluster.daemons[daemon].request("POST", &headers);
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.body["execution"], 1, "{response:?}");
    }
    assert_eq!(cluster.executions("keyed"), 1);
    // Without the issuer of the key the outcome is unknown, and the request is not run again.
    cluster.daemons[0].process.signal("KILL");
    cluster.daemons[0].process.wait();
    let response = cluster.daemons[1].request("POST", &headers);
    assert_eq!(response.ran.as_deref(), Some("unknown"), "{response:?}");
    assert_eq!(cluster.executions("keyed"), 1);
}

#[test]
fn request_never_above_slots() {
    let options = Options {
        workers: 0,
        runners: 2,
        runner_work_ms: 60,
        // If a stall let the session of a daemon expire, the others would take over its slots.
        settings: vec![("session-ttl-ms", "15000")],
        ..Options::default()
    };
    let cluster = Cluster::start_ready(&options);
    cluster.daemons.iter().for_each(wait_until_served);
    std::thread::scope(|scope| {
        for number in 0..60 {
            let daemon = &cluster.daemons[number % 3];
            scope.spawn(move || daemon.request("POST", &[("x-deadline-ms", "3000")]));
        }
    });
    for runner in &cluster.runners {
        let stats = crate::harness::get_json(runner, "/control/executions");
        assert!(
            stats["busiest"].as_u64().expect("an integer") <= 8,
            "{stats}"
        );
        assert_eq!(stats["refused"], 0, "{stats}");
    }
}
