use crate::harness::{control, wait_for, Cluster, Options};
use serde_json::json;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// Guards against a graceful shutdown that interrupts requests in progress or restarts tasks: the
/// owner of a shard gets SIGTERM while it serves requests of 6 s each and runs a task.
#[test]
fn drain_under_load() {
    let mut cluster = Cluster::start_ready(&Options::default());
    for daemon in &cluster.daemons {
        wait_for("a response", || {
            (daemon.request("GET", &[]).status == 200).then_some(())
        });
    }
    // Longer than the shutdown timeout of the web framework itself.
    for runner in &cluster.runners {
        control(runner, &json!({ "work_ms": 6_000 }));
    }
    let id = cluster.daemons[0].submit("long", "drained");
    wait_for("a running task", || {
        (!cluster.runs().is_empty()).then_some(())
    });
    let owner = cluster.owner_of(&id, 0);
    let (stop, answered) = (AtomicBool::new(false), AtomicU32::new(0));
    std::thread::scope(|scope| {
        let daemon = &cluster.daemons[owner];
        for _ in 0..2 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let url = format!("http://{}/svc/booking/x", daemon.api);
                    let result = crate::harness::client().post(url).body("x").send();
                    match result {
                        Ok(answer) => {
                            let status = answer.status();
                            let ran = answer.headers().get("x-persimmon-ran").cloned();
                            let body = answer.bytes().expect("a complete response");
                            // A draining daemon rejects requests and reports them as not run.
                            if ran.is_some_and(|ran| ran == "not-run") {
                                break;
                            }
                            assert!(status.is_success(), "{status} {body:?}");
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        // The listener may be closed, but a request in progress must complete.
                        Err(err) => {
                            assert!(err.is_connect(), "request interrupted: {err:?}");
                            break;
                        }
                    }
                }
            });
        }
        wait_for("responses", || {
            (answered.load(Ordering::Relaxed) > 2).then_some(())
        });
        daemon.process.signal("TERM");
        wait_for("the daemon to stop listening", || {
            let url = format!("http://{}/healthz", daemon.api);
            crate::harness::client()
                .get(url)
                .send()
                .is_err()
                .then_some(())
        });
        stop.store(true, Ordering::Relaxed);
    });
    assert!(cluster.daemons[owner].process.wait().success());
    let other = (owner + 1) % 3;
    cluster.daemons[other].wait_job(&id, "done");
    let runs = cluster.runs();
    assert_eq!(
        runs.len(),
        1,
        "the task was restarted instead of handed over: {runs:?}"
    );
}
