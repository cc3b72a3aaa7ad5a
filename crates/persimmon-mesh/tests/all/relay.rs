//! A relay of datagrams that loses the opening of every attempt to connect.

use std::{collections::HashSet, net::SocketAddr, sync::Arc};
use tokio::net::UdpSocket;

const DATAGRAM_MAX_BYTES: usize = 2_048;

/// Starts a relay to `target` and returns where it listens.
pub(crate) async fn start(target: SocketAddr) -> SocketAddr {
    let near = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
    let far = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a socket"));
    let address = near.local_addr().expect("its address");
    tokio::spawn(relay(near, far, target));
    address
}

async fn relay(near: Arc<UdpSocket>, far: Arc<UdpSocket>, target: SocketAddr) {
    let mut known = HashSet::new();
    let mut caller = None;
    let (mut there, mut back) = ([0; DATAGRAM_MAX_BYTES], [0; DATAGRAM_MAX_BYTES]);
    loop {
        tokio::select! {
            Ok((length, from)) = near.recv_from(&mut there) => {
                caller = Some(from);
                let datagram = &there[..length];
                let is_opening = |(to, _): (&[u8], &[u8])| known.insert(to.to_vec());
                if !initial(datagram).is_some_and(is_opening) {
                    far.send_to(datagram, target).await.expect("sent");
                }
            }
            Ok((length, _)) = far.recv_from(&mut back) => {
                // From its answer on, the peer's own id names the attempt.
                if let Some((_, from)) = initial(&back[..length]) {
                    known.insert(from.to_vec());
                }
                if let Some(caller) = caller {
                    near.send_to(&back[..length], caller).await.expect("sent");
                }
            }
        }
    }
}

/// The ids of the connection's two ends in a datagram that opens one (RFC 9000, 17.2.2).
fn initial(datagram: &[u8]) -> Option<(&[u8], &[u8])> {
    let is_initial = datagram.first()? & 0xf0 == 0xc0;
    let (to, rest) = id(datagram.get(5..)?)?;
    let (from, _) = id(rest)?;
    is_initial.then_some((to, from))
}

/// An id behind its length, and what follows.
fn id(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (&length, rest) = bytes.split_first()?;
    rest.split_at_checked(usize::from(length))
}
