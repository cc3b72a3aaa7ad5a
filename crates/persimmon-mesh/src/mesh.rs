use crate::{Credentials, Delivery, Error, SetupError, TLS_SERVER_NAME};
use quinn::{ClientConfig, Connection, Endpoint, Incoming, ServerConfig, TransportConfig};
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

/// Assumed of a round trip until one was measured, from which follows when an opening datagram is sent
/// again: well over the 40 ms between regions, well under a call's limit.
const FIRST_ROUND_TRIP: Duration = Duration::from_millis(100);
/// An attempt to connect goes on for this long, whoever still waits for it: time to lose two opening
/// datagrams. A peer that was down meanwhile hears a new attempt soon.
const DIAL_LIMIT: Duration = Duration::from_millis(1_500);

/// What becomes of an attempt to connect; `None` while it goes on.
type Dialled = watch::Receiver<Option<Result<Connection, String>>>;

/// How a mesh behaves.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The largest message or answer; 4 MiB by default.
    pub message_max_bytes: usize,
    /// How long a silent connection is kept; 10 s by default.
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

/// Answers the calls of peers.
pub trait Handler<Q, A>: Send + Sync + 'static {
    /// The answer to `message`.
    fn handle(&self, message: Q) -> impl Future<Output = A> + Send;
}

/// One daemon's end of the calls between daemons, with messages `Q` and answers `A`.
#[derive(Debug)]
pub struct Mesh<Q, A> {
    endpoint: Endpoint,
    options: Options,
    dialled: Mutex<HashMap<SocketAddr, Dialled>>,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    messages: PhantomData<fn(Q) -> A>,
}

impl<Q, A> Mesh<Q, A>
where
    Q: Serialize + DeserializeOwned + Send + 'static,
    A: Serialize + DeserializeOwned + Send + 'static,
{
    /// Opens the mesh's UDP socket at `address`; must run within a runtime.
    pub fn open(
        address: SocketAddr,
        keys: &Credentials,
        options: Options,
    ) -> Result<Self, SetupError> {
        let idle = options.idle_timeout.try_into();
        let mut transport = TransportConfig::default();
        transport.max_idle_timeout(idle.ok());
        transport.initial_rtt(FIRST_ROUND_TRIP);
        let transport = Arc::new(transport);
        let mut server = ServerConfig::with_crypto(Arc::new(keys.server()?));
        server.transport_config(Arc::clone(&transport));
        let mut client = ClientConfig::new(Arc::new(keys.client()?));
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, address).map_err(|err| SetupError {
            part: "socket",
            reason: format!("{address}: {err}"),
        })?;
        endpoint.set_default_client_config(client);
        Ok(Self {
            endpoint,
            options,
            dialled: Mutex::new(HashMap::new()),
            sent_bytes: AtomicU64::new(0),
            received_bytes: AtomicU64::new(0),
            messages: PhantomData,
        })
    }

    /// Where the mesh listens.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Bytes of messages and answers sent and received.
    pub fn transferred_bytes(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (load(&self.sent_bytes), load(&self.received_bytes))
    }

    /// Answers calls with `handler` until the mesh is closed.
    pub async fn serve<H: Handler<Q, A>>(self: Arc<Self>, handler: Arc<H>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let (mesh, handler) = (Arc::clone(&self), Arc::clone(&handler));
            tokio::spawn(async move { mesh.serve_connection(incoming, handler).await });
        }
    }

    /// Calls `peer` and waits for its answer, `timeout` at most.
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
        let left = timeout.saturating_sub(started.elapsed());
        let exchanging = tokio::time::timeout(left, self.exchange(&connection, &bytes)).await;
        let answer = exchanging.unwrap_or_else(|_| Err("timeout".to_owned()));
        match answer {
            Ok(answer) => postcard::from_bytes(&answer)
                .map_err(|err| error("mesh.decode", err.to_string(), Delivery::Unknown)),
            Err(reason) => {
                // What is left after long connecting is too little to blame the connection.
                if left >= timeout / 2 {
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

    async fn connection(&self, peer: SocketAddr) -> Result<Connection, String> {
        let mut dialled = {
            let mut all = self.lock();
            match all.get(&peer).filter(|it| is_usable(it)) {
                Some(dialled) => dialled.clone(),
                None => {
                    let dialled = self.dial(peer)?;
                    all.insert(peer, dialled.clone());
                    dialled
                }
            }
        };
        let outcome = dialled.wait_for(Option::is_some).await;
        let outcome = outcome.map_err(|err| err.to_string())?.clone();
        outcome.unwrap_or_else(|| Err("no outcome".to_owned()))
    }

    /// Connects to a peer without depending on who waits for it.
    fn dial(&self, peer: SocketAddr) -> Result<Dialled, String> {
        let connecting = self.endpoint.connect(peer, TLS_SERVER_NAME);
        let connecting = connecting.map_err(|err| err.to_string())?;
        let (tell, dialled) = watch::channel(None);
        tokio::spawn(async move {
            let outcome = match tokio::time::timeout(DIAL_LIMIT, connecting).await {
                Ok(outcome) => outcome.map_err(|err| err.to_string()),
                Err(_) => Err("timeout".to_owned()),
            };
            tell.send_replace(Some(outcome));
        });
        Ok(dialled)
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
        let mut all = self.lock();
        let is_same = |dialled: &Dialled| match &*dialled.borrow() {
            Some(Ok(connection)) => connection.stable_id() == failed.stable_id(),
            _ => false,
        };
        if all.get(&peer).is_some_and(is_same) {
            all.remove(&peer);
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
        let max = self.options.message_max_bytes;
        while let Ok((mut send, mut receive)) = connection.accept_bi().await {
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                let Ok(bytes) = receive.read_to_end(max).await else {
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
                // A peer that went away has no use for the answer.
                let _ = send.write_all(&bytes).await;
                let _ = send.finish();
            });
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Dialled>> {
        self.dialled.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells whether an attempt goes on, or led to a connection that is still open.
fn is_usable(dialled: &Dialled) -> bool {
    match &*dialled.borrow() {
        None => true,
        Some(Ok(connection)) => connection.close_reason().is_none(),
        Some(Err(_)) => false,
    }
}
