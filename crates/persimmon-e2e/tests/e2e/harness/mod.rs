//! Test harness: child processes, and a cluster of daemons and stand-ins.

mod cluster;
mod process;

pub(crate) use cluster::{Cluster, Daemon, Options, TOKEN};
pub(crate) use process::{run, Process};

use serde_json::Value;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

/// Timeout of `wait_for`, far longer than any awaited condition takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

/// Blocks until no other test runs processes, and excludes them until the guard is dropped.
pub(crate) fn lock_cluster() -> MutexGuard<'static, ()> {
    CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Polls `check` until it returns a value, and fails the test after `WAIT_TIMEOUT`.
pub(crate) fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let timeout_at = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(Instant::now() < timeout_at, "timed out waiting for {what}");
        sleep(Duration::from_millis(50));
    }
}

pub(crate) fn client() -> reqwest::blocking::Client {
    let builder = reqwest::blocking::Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(20));
    builder.build().expect("build the HTTP client")
}

/// Replaces the fault settings of a stand-in; omitted ones get their defaults.
pub(crate) fn control(address: &str, faults: &Value) {
    let url = format!("http://{address}/control");
    let answer = client()
        .post(url)
        .body(faults.to_string())
        .send()
        .expect("the stand-in responds");
    assert!(
        answer.status().is_success(),
        "{}",
        answer.text().unwrap_or_default()
    );
}

pub(crate) fn get_json(address: &str, path: &str) -> Value {
    client()
        .get(format!("http://{address}{path}"))
        .send()
        .expect("the stand-in responds")
        .json()
        .expect("valid JSON")
}
