//! A UDP relay that drops the first Initial packet of each connection id.

use std::{collections::HashSet, net::SocketAddr, sync::Arc};
use tokio::net::UdpSocket;

const DATAGRAM_MAX_BYTES: usize = 2_048;

/// Starts a relay to `target` and returns the address it listens on.
pub(crate) async fn start(target: SocketAddr) -> SocketAddr {
    let client_side = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("bound socket"));
    let server_side = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("bound socket"));
    let address = client_side.local_addr().expect("local address");
    tokio::spawn(relay(client_side, server_side, target));
    address
}

async fn relay(client_side: Arc<UdpSocket>, server_side: Arc<UdpSocket>, target: SocketAddr) {
    let mut seen_ids = HashSet::new();
    let mut client = None;
    let (mut to_server, mut to_client) = ([0; DATAGRAM_MAX_BYTES], [0; DATAGRAM_MAX_BYTES]);
    loop {
        tokio::select! {
            Ok((length, from)) = client_side.recv_from(&mut to_server) => {
                client = Some(from);
                let datagram = &to_server[..length];
                let is_first =
                    |(destination, _): (&[u8], &[u8])| seen_ids.insert(destination.to_vec());
                if !initial_ids(datagram).is_some_and(is_first) {
                    server_side.send_to(datagram, target).await.expect("datagram sent");
                }
            }
            Ok((length, _)) = server_side.recv_from(&mut to_client) => {
                // After the server's answer, the client addresses Initial packets to the connection
                // id that the server chose; these are not first packets.
                if let Some((_, source)) = initial_ids(&to_client[..length]) {
                    seen_ids.insert(source.to_vec());
                }
                if let Some(client) = client {
                    client_side.send_to(&to_client[..length], client).await.expect("datagram sent");
                }
            }
        }
    }
}

/// The destination and source connection ids of an Initial packet (RFC 9000, 17.2.2).
fn initial_ids(datagram: &[u8]) -> Option<(&[u8], &[u8])> {
    let is_initial = datagram.first()? & 0xf0 == 0xc0;
    let (destination, rest) = split_id(datagram.get(5..)?)?;
    let (source, _) = split_id(rest)?;
    is_initial.then_some((destination, source))
}

/// Splits a length-prefixed connection id from the remaining bytes.
fn split_id(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (&length, rest) = bytes.split_first()?;
    rest.split_at_checked(usize::from(length))
}
