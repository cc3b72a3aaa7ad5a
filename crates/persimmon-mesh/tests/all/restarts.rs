//! Calls to a daemon that has restarted at its address.

use crate::authority::{open_mesh, open_mesh_at, Doubler};
use persimmon_mesh::{Authority, Credentials};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::runtime::Runtime;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const NOTICED_WITHIN: Duration = Duration::from_secs(1);

/// A daemon with a runtime of its own, which ends like a process that is killed.
fn start(credentials: &Credentials, address: SocketAddr) -> (Runtime, SocketAddr) {
    let runtime = Runtime::new().expect("a runtime");
    let address = runtime.block_on(async {
        let server = open_mesh_at(credentials, address);
        let address = server.local_address().expect("local address");
        tokio::spawn(server.serve(Arc::new(Doubler)));
        address
    });
    (runtime, address)
}

#[test]
fn call_waits_for_its_timeout_on_a_connection_to_a_killed_process() {
    let authority = Authority::create().expect("new authority");
    let any = "127.0.0.1:0".parse().expect("valid address");
    let (server, address) = start(&authority.issue("a").expect("credentials"), any);
    let runtime = Runtime::new().expect("a runtime");
    let credentials = authority.issue("b").expect("credentials");
    let client = runtime.block_on(async { open_mesh(&credentials) });
    let call = || runtime.block_on(client.call(address, &21, CALL_TIMEOUT));
    assert_eq!(call(), Ok(42));
    server.shutdown_background();
    std::thread::sleep(Duration::from_millis(200));
    let (_server, _) = start(&authority.issue("a").expect("credentials"), address);
    let started_at = Instant::now();
    while call() != Ok(42) {}
    let elapsed = started_at.elapsed();
    assert!(elapsed < NOTICED_WITHIN, "{elapsed:?}");
}

#[test]
fn call_is_made_on_a_connection_that_its_peer_has_shut_down() {
    let authority = Authority::create().expect("new authority");
    let runtime = Runtime::new().expect("a runtime");
    let credentials = ["a", "b"].map(|name| authority.issue(name).expect("credentials"));
    runtime.block_on(async {
        let server = open_mesh(&credentials[0]);
        let address = server.local_address().expect("local address");
        tokio::spawn(Arc::clone(&server).serve(Arc::new(Doubler)));
        let client = open_mesh(&credentials[1]);
        assert_eq!(client.call(address, &21, CALL_TIMEOUT).await, Ok(42));
        server.shut_down(NOTICED_WITHIN).await;
        drop(server);
        let started_at = Instant::now();
        let answer = client.call(address, &21, CALL_TIMEOUT).await;
        assert!(answer.is_err(), "{answer:?}");
        assert_ne!(answer.expect_err("no daemon").step, "mesh.call");
        assert!(started_at.elapsed() < CALL_TIMEOUT);
    });
}
