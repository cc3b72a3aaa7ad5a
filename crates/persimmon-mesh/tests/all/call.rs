use crate::{authority, lossy_relay};
use persimmon_mesh::Authority;
use std::{sync::Arc, time::Duration};

/// The daemons' timeout for most calls.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// A connection attempt that ended with the call that started it would never succeed when Initial
/// packets are lost and the retransmission takes longer than the timeout of a call.
#[tokio::test]
async fn connection_attempt_outlives_call_timeout() {
    for timeout in [CALL_TIMEOUT, CALL_TIMEOUT / 4] {
        let authority = Authority::create().expect("new authority");
        let credentials = ["a", "b"].map(|name| authority.issue(name).expect("credentials"));
        let (client, server) = (
            authority::open_mesh(&credentials[0]),
            authority::open_mesh(&credentials[1]),
        );
        let target = server.local_address().expect("local address");
        tokio::spawn(Arc::clone(&server).serve(Arc::new(authority::Doubler)));
        let address = lossy_relay::start(target).await;
        let mut answers = Vec::new();
        for _ in 0..8 {
            answers.push(client.call(address, &21, timeout).await);
        }
        // The first calls time out until the retransmitted Initial packets have arrived.
        let answered = answers.iter().filter(|it| **it == Ok(42)).count();
        assert!(answered >= 4, "timeout {timeout:?}: {answers:?}");
    }
}
