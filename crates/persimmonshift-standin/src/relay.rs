use crate::{
    args::RelayArgs,
    http::{announce, bind, serve, text, Body, Call},
    Error,
};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

/// The largest UDP datagram passed on.
const DATAGRAM_MAX_BYTES: usize = 65_536;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Switches {
    /// Nothing passes; open connections hang.
    cut: bool,
    /// Everything takes this much longer.
    delay_ms: u64,
    /// Every so-manieth datagram is dropped; 0 drops none.
    drop_every: u64,
}

#[derive(Default)]
struct Relay {
    switches: Mutex<Switches>,
    datagrams: AtomicU64,
}

#[derive(Serialize)]
struct Addresses {
    control: String,
    tcp: Vec<String>,
    udp: Vec<String>,
}

pub(crate) async fn run(args: RelayArgs) -> Result<(), Error> {
    let relay = Arc::new(Relay::default());
    let control = bind(0).await?;
    let mut addresses = Addresses {
        control: control
            .local_addr()
            .map_err(|err| Error::new("listen", err))?
            .to_string(),
        tcp: Vec::new(),
        udp: Vec::new(),
    };
    for target in args.tcp {
        let listener = bind(0).await?;
        let address = listener
            .local_addr()
            .map_err(|err| Error::new("listen", err))?;
        addresses.tcp.push(address.to_string());
        tokio::spawn(relay_tcp(Arc::clone(&relay), listener, target));
    }
    for target in args.udp {
        let target: SocketAddr = target.parse().map_err(|err| Error::new("--udp", err))?;
        let socket = UdpSocket::bind("127.0.0.1:0")
            .await
            .map_err(|err| Error::new("bind", err))?;
        let address = socket.local_addr().map_err(|err| Error::new("bind", err))?;
        addresses.udp.push(address.to_string());
        tokio::spawn(relay_udp(Arc::clone(&relay), Arc::new(socket), target));
    }
    announce(&addresses);
    serve(control, u32::MAX, relay, answer).await;
    Ok(())
}

async fn answer(relay: Arc<Relay>, call: Call) -> Response<Body> {
    match call.json::<Switches>() {
        Ok(switches) => {
            *relay
                .switches
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = switches;
            text(StatusCode::OK, "{}")
        }
        Err(response) => *response,
    }
}

impl Relay {
    fn switches(&self) -> Switches {
        self.switches
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits while cut, then for the delay.
    async fn pass(&self) {
        while self.switches().cut {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(Duration::from_millis(self.switches().delay_ms)).await;
    }

    fn drops_datagram(&self) -> bool {
        let switches = self.switches();
        let number = self.datagrams.fetch_add(1, Ordering::Relaxed) + 1;
        switches.cut || (switches.drop_every > 0 && number % switches.drop_every == 0)
    }
}

async fn relay_tcp(relay: Arc<Relay>, listener: TcpListener, target: String) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let (relay, target) = (Arc::clone(&relay), target.clone());
        tokio::spawn(async move {
            relay.pass().await;
            let Ok(far) = TcpStream::connect(&target).await else {
                return;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            let there = copy(Arc::clone(&relay), near_read, far_write);
            let back = copy(Arc::clone(&relay), far_read, near_write);
            tokio::join!(there, back);
        });
    }
}

async fn copy(
    relay: Arc<Relay>,
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        relay.pass().await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

async fn relay_udp(relay: Arc<Relay>, socket: Arc<UdpSocket>, target: SocketAddr) {
    let mut far_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, near)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if relay.drops_datagram() {
            continue;
        }
        let far = match far_sockets.get(&near) {
            Some(far) => Arc::clone(far),
            None => {
                let Ok(far) = UdpSocket::bind("127.0.0.1:0").await else {
                    continue;
                };
                let far = Arc::new(far);
                far_sockets.insert(near, Arc::clone(&far));
                let back = relay_back(
                    Arc::clone(&relay),
                    Arc::clone(&far),
                    Arc::clone(&socket),
                    near,
                );
                tokio::spawn(back);
                far
            }
        };
        let _ = far.send_to(&buffer[..length], target).await;
    }
}

async fn relay_back(
    relay: Arc<Relay>,
    far: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    near: SocketAddr,
) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    while let Ok((length, _)) = far.recv_from(&mut buffer).await {
        if !relay.drops_datagram() {
            let _ = socket.send_to(&buffer[..length], near).await;
        }
    }
}
