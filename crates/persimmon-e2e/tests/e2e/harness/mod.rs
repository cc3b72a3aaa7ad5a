//! Processes, and a small cluster of them.

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

/// Far longer than anything here takes; a test that waits so long has failed.
const PATIENCE: Duration = Duration::from_secs(60);

static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other test runs processes.
pub(crate) fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until `check` gives a value.
pub(crate) fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(Instant::now() < until, "waited in vain for {what}");
        sleep(Duration::from_millis(50));
    }
}

pub(crate) fn client() -> reqwest::blocking::Client {
    let builder = reqwest::blocking::Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(20));
    builder.build().expect("a client")
}

/// Sets a stand-in's switches.
pub(crate) fn control(address: &str, switches: &Value) {
    let url = format!("http://{address}/control");
    let answer = client()
        .post(url)
        .body(switches.to_string())
        .send()
        .expect("the stand-in");
    assert!(
        answer.status().is_success(),
        "{}",
        answer.text().unwrap_or_default()
    );
}

pub(crate) fn get(address: &str, path: &str) -> Value {
    client()
        .get(format!("http://{address}{path}"))
        .send()
        .expect("a call")
        .json()
        .expect("JSON")
}
