//! Relays whose answers take long. These tests run in real time, as processes call each other over
//! sockets.

use crate::platform::{submit, Cluster};
use std::{
    net::{SocketAddr, UdpSocket as BoundSocket},
    sync::Arc,
    time::Duration,
};
use tokio::net::UdpSocket;

const SECOND: Duration = Duration::from_secs(1);
const DATAGRAM_MAX_BYTES: usize = 2_048;

/// Returns an address that no process uses.
fn free_address() -> SocketAddr {
    let socket = BoundSocket::bind("127.0.0.1:0").expect("a socket");
    socket.local_addr().expect("its address")
}

/// Starts a link to `target` that delays each datagram, for one caller. Returns its address.
async fn delayed_link(target: SocketAddr, delay: Duration) -> SocketAddr {
    let caller_side = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
    let target_side = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
    let address = caller_side.local_addr().expect("its address");
    tokio::spawn(async move {
        let mut caller = None;
        let (mut request, mut answer) = ([0; DATAGRAM_MAX_BYTES], [0; DATAGRAM_MAX_BYTES]);
        loop {
            let (socket, datagram, to) = tokio::select! {
                Ok((length, from)) = caller_side.recv_from(&mut request) => {
                    caller = Some(from);
                    (&target_side, request[..length].to_vec(), target)
                }
                Ok((length, _)) = target_side.recv_from(&mut answer) => {
                    let caller = caller.expect("a caller");
                    (&caller_side, answer[..length].to_vec(), caller)
                }
            };
            let socket = Arc::clone(socket);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = socket.send_to(&datagram, to).await;
            });
        }
    });
    address
}

#[tokio::test]
async fn nothing_starts_on_the_runners_of_a_relay_that_answers_slowly() {
    let mut cluster = Cluster::new(&[]);
    let handle = cluster.start_at("one", 500, 1, free_address());
    let slow = free_address();
    cluster.start_at("two", 400, 1, slow);
    cluster.start_at("three", 100, 1, free_address());
    cluster.advance(SECOND).await;
    assert_eq!(cluster.owner_of(0).as_deref(), Some("one"));
    let address = delayed_link(slow, SECOND / 2).await;
    cluster.set_member_address("two", address);
    cluster.advance(SECOND / 2).await;
    cluster.write_runner("a", b"");
    cluster.advance(3 * SECOND).await;
    submit(&mut cluster, &handle, 1, 300).await;
    cluster.advance(7 * SECOND).await;
    assert_eq!(cluster.start_count(1), 1);
}
