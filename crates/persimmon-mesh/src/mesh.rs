use crate::{Credentials, Delivery, Error, SetupError, TLS_SERVER_NAME};
use quinn::{
    default_runtime, ClientConfig, Connection, ConnectionId, ConnectionIdGenerator, Endpoint,
    EndpointConfig, Incoming, ServerConfig, TransportConfig,
};
use ring::hmac;
use serde::{de::DeserializeOwned, Serialize};
use std::{
    collections::HashMap,
    future::Future,
    marker::PhantomData,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::Duration,
};
use tokio::sync::watch;

/// The round-trip time assumed before the first measurement; it sets when an Initial packet is
/// retransmitted. It must exceed the round trip between the farthest daemons, 40 ms between
/// regions, and be well below the timeout of a call.
const INITIAL_RTT: Duration = Duration::from_millis(100);
/// The timeout of a connection attempt, independent of the timeouts of the calls that wait for it.
/// It leaves time for two lost Initial packets, and ends soon enough that a peer that was down is
/// tried again shortly after it returns.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

const CONNECTION_ID_BYTES: usize = 8;

/// A connection attempt: `None` while it is in progress, then its outcome.
type ConnectAttempt = watch::Receiver<Option<Result<Connection, String>>>;

/// Limits of a [`Mesh`].
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The maximum size of a message or an answer; 4 MiB by default.
    pub message_max_bytes: usize,
    /// How long an idle connection is kept open; 10 s by default.
    pub idle_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            message_max_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(10),
        }
    }
}

/// Handles the calls of peers.
pub trait Handler<Q, A>: Send + Sync + 'static {
    /// Returns the answer to `message`.
    fn handle(&self, message: Q) -> impl Future<Output = A> + Send;
}

/// A daemon's client and server for calls between daemons, with messages `Q` and answers `A`.
#[derive(Debug)]
pub struct Mesh<Q, A> {
    endpoint: Endpoint,
    options: Options,
    connections: Mutex<HashMap<SocketAddr, ConnectAttempt>>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    messages: PhantomData<fn(Q) -> A>,
}

impl<Q, A> Mesh<Q, A>
where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
{
    /// Binds the UDP socket to `address`; must be called within a Tokio runtime.
    pub fn open(
        address: SocketAddr,
        credentials: &Credentials,
        options: Options,
    ) -> Result<Self, SetupError> {
        let idle = options.idle_timeout.try_into();
        let mut transport = TransportConfig::default();
        transport.max_idle_timeout(idle.ok());
        transport.initial_rtt(INITIAL_RTT);
        let transport = Arc::new(transport);
        let mut server = ServerConfig::with_crypto(Arc::new(credentials.server_config()?));
        server.transport_config(Arc::clone(&transport));
        let mut client = ClientConfig::new(Arc::new(credentials.client_config()?));
        client.transport_config(transport);
        let config = endpoint_config(&credentials.reset_secret);
        let mut endpoint = bind(address, config, server).map_err(|err| SetupError {
            part: "socket",
            reason: format!("{address}: {err}"),
        })?;
        endpoint.set_default_client_config(client);
        Ok(Self {
            endpoint,
            options,
            connections: Mutex::new(HashMap::new()),
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
            messages: PhantomData,
        })
    }

    /// The address that the UDP socket is bound to.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// The payload bytes sent in calls and received in answers, in this order.
    pub fn transferred_bytes(&self) -> (u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (load(&self.sent_bytes), load(&self.received_bytes))
    }

    /// Passes incoming calls to `handler` until the mesh is closed.
    pub async fn serve<H: Handler<Q, A>>(self: Arc<Self>, handler: Arc<H>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let (mesh, handler) = (Arc::clone(&self), Arc::clone(&handler));
            tokio::spawn(async move { mesh.serve_connection(incoming, handler).await });
        }
    }

    /// Calls `peer` and waits up to `timeout` for its answer, connecting included.
    pub async fn call(&self, peer: SocketAddr, message: &Q, timeout: Duration) -> Result<A, Error> {
        let error = |step, reason: String, delivery| Error {
            step,
            peer,
            reason,
            delivery,
        };
        let bytes = postcard::to_stdvec(message)
            .map_err(|err| error("mesh.encode", err.to_string(), Delivery::NotSent))?;
        let started = tokio::time::Instant::now();
        let connecting = tokio::time::timeout(timeout, self.connection(peer)).await;
        let connection = connecting
            .map_err(|_| error("mesh.connect", "timeout".to_owned(), Delivery::NotSent))?
            .map_err(|reason| error("mesh.connect", reason, Delivery::NotSent))?;
        let remaining = timeout.saturating_sub(started.elapsed());
        let exchanging = tokio::time::timeout(remaining, self.exchange(&connection, &bytes)).await;
        let answer = exchanging.unwrap_or_else(|_| Err("timeout".to_owned()));
        match answer {
            Ok(answer) => postcard::from_bytes(&answer)
                .map_err(|err| error("mesh.decode", err.to_string(), Delivery::Unknown)),
            Err(reason) => {
                // If connecting used up more than half of the timeout, a slow answer says nothing
                // about the connection, so keep it.
                if remaining >= timeout / 2 {
                    self.drop_connection(peer, &connection);
                }
                Err(error("mesh.call", reason, Delivery::Unknown))
            }
        }
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"stop");
    }

    /// Closes all connections and waits up to `timeout` until peers have been told. They would
    /// otherwise wait for answers on these connections.
    pub async fn shut_down(&self, timeout: Duration) {
        self.close();
        // Peers that were not told notice by themselves.
        let _ = tokio::time::timeout(timeout, self.endpoint.wait_idle()).await;
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Connection, String> {
        let mut attempt = {
            let mut connections = self.lock_connections();
            match connections.get(&peer).filter(|it| is_usable(it)) {
                Some(attempt) => attempt.clone(),
                None => {
                    let attempt = self.start_connecting(peer)?;
                    connections.insert(peer, attempt.clone());
                    attempt
                }
            }
        };
        let outcome = attempt.wait_for(Option::is_some).await;
        let outcome = outcome.map_err(|err| err.to_string())?.clone();
        outcome.unwrap_or_else(|| Err("connection attempt ended without an outcome".to_owned()))
    }

    /// Starts a connection attempt that continues when the call that started it times out.
    fn start_connecting(&self, peer: SocketAddr) -> Result<ConnectAttempt, String> {
        let connecting = self.endpoint.connect(peer, TLS_SERVER_NAME);
        let connecting = connecting.map_err(|err| err.to_string())?;
        let (outcome_sender, attempt) = watch::channel(None);
        tokio::spawn(async move {
            let outcome = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(outcome) => outcome.map_err(|err| err.to_string()),
                Err(_) => Err("timeout".to_owned()),
            };
            outcome_sender.send_replace(Some(outcome));
        });
        Ok(attempt)
    }

    async fn exchange(&self, connection: &Connection, bytes: &[u8]) -> Result<Vec<u8>, String> {
        let (mut send, mut receive) = connection.open_bi().await.map_err(|err| err.to_string())?;
        send.write_all(bytes).await.map_err(|err| err.to_string())?;
        send.finish().map_err(|err| err.to_string())?;
        self.sent_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let answer = receive.read_to_end(self.options.message_max_bytes).await;
        let answer = answer.map_err(|err| err.to_string())?;
        self.received_bytes
            .fetch_add(answer.len() as u64, Ordering::Relaxed);
        Ok(answer)
    }

    fn drop_connection(&self, peer: SocketAddr, failed: &Connection) {
        let mut connections = self.lock_connections();
        let is_failed = |attempt: &ConnectAttempt| match &*attempt.borrow() {
            Some(Ok(connection)) => connection.stable_id() == failed.stable_id(),
            _ => false,
        };
        if connections.get(&peer).is_some_and(is_failed) {
            connections.remove(&peer);
        }
    }

    async fn serve_connection<H: Handler<Q, A>>(&self, incoming: Incoming, handler: Arc<H>) {
        let peer = incoming.remote_address();
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(err) => {
                log::warn!("step=mesh.accept peer={peer} reason={err:?}");
                return;
            }
        };
        let max_bytes = self.options.message_max_bytes;
        while let Ok((mut send, mut receive)) = connection.accept_bi().await {
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                let Ok(bytes) = receive.read_to_end(max_bytes).await else {
                    return;
                };
                let Ok(message) = postcard::from_bytes::<Q>(&bytes) else {
                    log::warn!("step=mesh.decode peer={peer} bytes={}", bytes.len());
                    return;
                };
                let answer = handler.handle(message).await;
                let Ok(bytes) = postcard::to_stdvec(&answer) else {
                    return;
                };
                // If sending the answer fails, the call fails at the peer too, so there is nothing
                // to report.
                let _ = send.write_all(&bytes).await;
                let _ = send.finish();
            });
        }
    }

    fn lock_connections(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, ConnectAttempt>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a configuration with which a process that has restarted with the same secret resets the
/// connections to its earlier process.
fn endpoint_config(reset_secret: &str) -> EndpointConfig {
    let reset_key = hmac::Key::new(hmac::HMAC_SHA256, reset_secret.as_bytes());
    let mut config = EndpointConfig::new(Arc::new(reset_key));
    config.cid_generator(|| Box::new(RandomIds));
    config
}

/// Connection ids of which any may be one of an earlier process. Packets with ids that the default
/// generator of another process made are dropped in place of being answered with a reset.
struct RandomIds;

impl ConnectionIdGenerator for RandomIds {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&rand::random::<[u8; CONNECTION_ID_BYTES]>())
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

fn bind(
    address: SocketAddr,
    config: EndpointConfig,
    server: ServerConfig,
) -> std::io::Result<Endpoint> {
    let runtime = default_runtime().ok_or_else(|| std::io::Error::other("no async runtime"))?;
    let socket = std::net::UdpSocket::bind(address)?;
    Endpoint::new(config, Some(server), socket, runtime)
}

/// Whether the attempt is in progress or led to a connection that is still open.
fn is_usable(attempt: &ConnectAttempt) -> bool {
    match &*attempt.borrow() {
        None => true,
        Some(Ok(connection)) => connection.close_reason().is_none(),
        Some(Err(_)) => false,
    }
}
