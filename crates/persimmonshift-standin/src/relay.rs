use crate::{
    args::RelayArgs,
    http::{bind, print_addresses, serve, text_response, Body, BufferedRequest},
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

/// Size of the receive buffer: the largest UDP datagram.
const DATAGRAM_MAX_BYTES: usize = 65_536;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FaultSettings {
    /// Forwards nothing; open TCP connections stall and datagrams are dropped.
    cut: bool,
    /// Delay of each TCP connection and of each chunk forwarded on it, in milliseconds.
    delay_ms: u64,
    /// Drops every n-th datagram; 0 drops none.
    drop_every: u64,
}

#[derive(Default)]
struct Relay {
    faults: Mutex<FaultSettings>,
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
    print_addresses(&addresses);
    serve(control, u32::MAX, relay, handle).await;
    Ok(())
}

async fn handle(relay: Arc<Relay>, request: BufferedRequest) -> Response<Body> {
    match request.json::<FaultSettings>() {
        Ok(faults) => {
            *relay.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
            text_response(StatusCode::OK, "{}")
        }
        Err(response) => *response,
    }
}

impl Relay {
    fn faults(&self) -> FaultSettings {
        self.faults
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits until the cut ends, then for the configured delay.
    async fn wait_to_forward(&self) {
        while self.faults().cut {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(Duration::from_millis(self.faults().delay_ms)).await;
    }

    fn should_drop_datagram(&self) -> bool {
        let faults = self.faults();
        let number = self.datagrams.fetch_add(1, Ordering::Relaxed) + 1;
        faults.cut || (faults.drop_every > 0 && number % faults.drop_every == 0)
    }
}

async fn relay_tcp(relay: Arc<Relay>, listener: TcpListener, target: String) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let (relay, target) = (Arc::clone(&relay), target.clone());
        tokio::spawn(async move {
            relay.wait_to_forward().await;
            let Ok(upstream) = TcpStream::connect(&target).await else {
                return;
            };
            let (client_read, client_write) = client.into_split();
            let (upstream_read, upstream_write) = upstream.into_split();
            let to_upstream = copy(Arc::clone(&relay), client_read, upstream_write);
            let to_client = copy(Arc::clone(&relay), upstream_read, client_write);
            tokio::join!(to_upstream, to_client);
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
        relay.wait_to_forward().await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

async fn relay_udp(relay: Arc<Relay>, socket: Arc<UdpSocket>, target: SocketAddr) {
    let mut upstream_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, client)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if relay.should_drop_datagram() {
            continue;
        }
        let upstream = match upstream_sockets.get(&client) {
            Some(upstream) => Arc::clone(upstream),
            None => {
                let Ok(upstream) = UdpSocket::bind("127.0.0.1:0").await else {
                    continue;
                };
                let upstream = Arc::new(upstream);
                upstream_sockets.insert(client, Arc::clone(&upstream));
                let to_client = relay_replies(
                    Arc::clone(&relay),
                    Arc::clone(&upstream),
                    Arc::clone(&socket),
                    client,
                );
                tokio::spawn(to_client);
                upstream
            }
        };
        let _ = upstream.send_to(&buffer[..length], target).await;
    }
}

async fn relay_replies(
    relay: Arc<Relay>,
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    while let Ok((length, _)) = upstream.recv_from(&mut buffer).await {
        if !relay.should_drop_datagram() {
            let _ = socket.send_to(&buffer[..length], client).await;
        }
    }
}
