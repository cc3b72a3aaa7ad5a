//! What the duties share.

mod mutex;

pub(crate) use mutex::NonPoisonMutex;

use crate::{
    config::ActiveConfig,
    member::{Members, Ownership},
    message::{BusiestMinute, HolderWire, PeerRequest, PeerResponse},
    metrics::Metrics,
    peers::Peers,
    services::Services,
    settings::Settings,
    shards::ShardHandle,
};
use persimmon_lease::Witness;
use persimmon_mesh::Mesh;
use persimmon_store::HttpStore;
use persimmon_types::{unix_ms, Clock};
use persimmon_wire::instances::Instance;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    time::Instant,
};
use tokio::sync::Notify;

/// The state that the daemon's duties share; each part has one writer.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) started_at: Instant,
    pub(crate) incarnation: u64,
    pub(crate) mesh_address: SocketAddr,
    pub(crate) mesh: Arc<Mesh<PeerRequest, PeerResponse>>,
    pub(crate) store: HttpStore,
    /// Calls to workers.
    pub(crate) worker_client: reqwest::Client,
    /// Written by the watch, by tickets and by peers; only ever to a higher number.
    pub(crate) config: NonPoisonMutex<ActiveConfig>,
    /// Written by the watch.
    pub(crate) members: NonPoisonMutex<Members>,
    /// Written by the session duty.
    pub(crate) ownership: NonPoisonMutex<Ownership>,
    pub(crate) witness: NonPoisonMutex<Witness>,
    /// Written by the gossip duty.
    pub(crate) peers: NonPoisonMutex<Peers>,
    /// Written by the instance duty.
    pub(crate) instances: NonPoisonMutex<Arc<Vec<Instance>>>,
    pub(crate) services: Services,
    pub(crate) shards: ShardHandle,
    pub(crate) busiest_minute: NonPoisonMutex<BusiestMinute>,
    pub(crate) metrics: Metrics,
    /// New work goes elsewhere; what still comes is served.
    pub(crate) draining: AtomicBool,
    /// New requests are refused, so that those in progress come to an end.
    pub(crate) closing: AtomicBool,
    /// Asks the main thread to stop the daemon.
    pub(crate) stop: Notify,
    /// Wakes the gossip duty early.
    pub(crate) gossip_now: Notify,
    store_heard_ms: AtomicU64,
}

/// The parts that exist before a [`Context`].
pub(crate) struct Parts {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) started_at: Instant,
    pub(crate) incarnation: u64,
    pub(crate) mesh: Arc<Mesh<PeerRequest, PeerResponse>>,
    pub(crate) mesh_address: SocketAddr,
    pub(crate) store: HttpStore,
    pub(crate) worker_client: reqwest::Client,
    pub(crate) services: Services,
    pub(crate) shards: ShardHandle,
}

impl Context {
    pub(crate) fn new(parts: Parts) -> Self {
        let settings = parts.settings;
        let drift = persimmon_lease::ClockDrift::default();
        let now = parts.started_at;
        Self {
            witness: NonPoisonMutex::new(Witness::new(settings.promise_term, drift, now)),
            ownership: NonPoisonMutex::new(Ownership::new(&settings, drift)),
            config: NonPoisonMutex::new(ActiveConfig::default()),
            members: NonPoisonMutex::new(Members::default()),
            peers: NonPoisonMutex::new(Peers::default()),
            instances: NonPoisonMutex::new(Arc::new(Vec::new())),
            busiest_minute: NonPoisonMutex::new(BusiestMinute::default()),
            metrics: Metrics::new(),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            stop: Notify::new(),
            gossip_now: Notify::new(),
            store_heard_ms: AtomicU64::new(u64::MAX),
            clock: parts.clock,
            started_at: now,
            incarnation: parts.incarnation,
            mesh: parts.mesh,
            mesh_address: parts.mesh_address,
            store: parts.store,
            worker_client: parts.worker_client,
            services: parts.services,
            shards: parts.shards,
            settings,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn now_unix_ms(&self) -> u64 {
        unix_ms(self.clock.wall())
    }

    /// This process as the holder of shards.
    pub(crate) fn holder(&self) -> HolderWire {
        let member = self.settings.member_id.clone();
        HolderWire {
            member,
            incarnation: self.incarnation,
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Notes word from the store, asked for at `asked_at`.
    pub(crate) fn record_store_contact(&self, asked_at: Instant) {
        let ms = asked_at
            .saturating_duration_since(self.started_at)
            .as_millis() as u64;
        let newest = |old: u64| (old == u64::MAX || ms > old).then_some(ms);
        let _ = self
            .store_heard_ms
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, newest);
    }

    /// How long ago the store was last heard, or `u64::MAX` for never.
    pub(crate) fn store_contact_age_ms(&self) -> u64 {
        let heard = self.store_heard_ms.load(Ordering::Relaxed);
        if heard == u64::MAX {
            return u64::MAX;
        }
        let now = self
            .now()
            .saturating_duration_since(self.started_at)
            .as_millis() as u64;
        now.saturating_sub(heard)
    }

    /// Whether the store was heard within a session's renewals.
    pub(crate) fn is_store_reachable(&self) -> bool {
        u128::from(self.store_contact_age_ms()) < self.settings.session_ttl.as_millis()
    }
}
