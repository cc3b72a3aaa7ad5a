//! State shared by the daemon's background tasks and request handlers.

mod mutex;

pub(crate) use mutex::NonPoisonMutex;

use crate::{
    config::ActiveConfig,
    member::Members,
    message::{BusiestMinute, HolderWire, PeerRequest, PeerResponse},
    metrics::Metrics,
    peers::Peers,
    services::Services,
    settings::Settings,
    shards::ShardHandle,
};
use persimmon_lease::{Ownership, OwnershipOptions, Witness};
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

/// The state of the daemon. Most parts have a single writer, which their comment names.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) started_at: Instant,
    /// Tells this process from earlier ones of the same member.
    pub(crate) incarnation: u64,
    /// The address by which other daemons reach this one.
    pub(crate) mesh_address: SocketAddr,
    pub(crate) mesh: Arc<Mesh<PeerRequest, PeerResponse>>,
    pub(crate) store: HttpStore,
    /// The HTTP client for workers and the instance list.
    pub(crate) worker_client: reqwest::Client,
    /// Written when the watch, an accepted ticket or a peer brings a newer record, so its number
    /// never decreases.
    pub(crate) config: NonPoisonMutex<ActiveConfig>,
    /// Written by the configuration watch. Takeovers also record in it when they first find a
    /// process absent.
    pub(crate) members: NonPoisonMutex<Members>,
    /// Written by the session task, and by the main task at shutdown.
    pub(crate) ownership: NonPoisonMutex<Ownership>,
    /// The promises and releases that this daemon granted to others.
    pub(crate) witness: NonPoisonMutex<Witness>,
    /// Written by gossip.
    pub(crate) peers: NonPoisonMutex<Peers>,
    /// Written by the instance list reader.
    pub(crate) instances: NonPoisonMutex<Arc<Vec<Instance>>>,
    pub(crate) services: Services,
    pub(crate) shards: ShardHandle,
    /// The month's busiest minute of batch work, over all shards, as far as known.
    pub(crate) busiest_minute: NonPoisonMutex<BusiestMinute>,
    pub(crate) metrics: Metrics,
    /// Readiness fails, so that new requests go to other daemons; those that arrive are served.
    pub(crate) draining: AtomicBool,
    /// New requests are refused, so that those in progress can finish.
    pub(crate) closing: AtomicBool,
    /// Asks the main task to shut the daemon down.
    pub(crate) shutdown_requested: Notify,
    /// Starts a round of gossip before the interval has passed.
    pub(crate) gossip_now: Notify,
    /// When the newest answered call to the store was sent, counted from `started_at`;
    /// `u64::MAX` for none.
    last_store_contact_ms: AtomicU64,
}

/// The parts from which a [`Context`] is made.
pub(crate) struct ContextParts {
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
    pub(crate) fn new(parts: ContextParts) -> Self {
        let settings = parts.settings;
        let drift = persimmon_lease::ClockDrift::default();
        let ownership_options = OwnershipOptions {
            session_ttl: settings.session_ttl,
            promise_term: settings.promise_term,
            outage_limit: settings.outage_limit,
        };
        let now = parts.started_at;
        Self {
            witness: NonPoisonMutex::new(Witness::new(settings.promise_term, drift, now)),
            ownership: NonPoisonMutex::new(Ownership::new(ownership_options, drift)),
            config: NonPoisonMutex::new(ActiveConfig::default()),
            members: NonPoisonMutex::new(Members::default()),
            peers: NonPoisonMutex::new(Peers::default()),
            instances: NonPoisonMutex::new(Arc::new(Vec::new())),
            busiest_minute: NonPoisonMutex::new(BusiestMinute::default()),
            metrics: Metrics::new(),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            shutdown_requested: Notify::new(),
            gossip_now: Notify::new(),
            last_store_contact_ms: AtomicU64::new(u64::MAX),
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

    /// Identifies this process as the holder of its shards.
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

    /// Records a response of the store to a call sent at `sent_at`.
    pub(crate) fn record_store_contact(&self, sent_at: Instant) {
        let ms = sent_at
            .saturating_duration_since(self.started_at)
            .as_millis() as u64;
        let newer = |old: u64| (old == u64::MAX || ms > old).then_some(ms);
        let _ =
            self.last_store_contact_ms
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, newer);
    }

    /// The time since the newest answered call to the store was sent, or `u64::MAX` for none.
    pub(crate) fn store_contact_age_ms(&self) -> u64 {
        let contact_ms = self.last_store_contact_ms.load(Ordering::Relaxed);
        if contact_ms == u64::MAX {
            return u64::MAX;
        }
        let now_ms = self
            .now()
            .saturating_duration_since(self.started_at)
            .as_millis() as u64;
        now_ms.saturating_sub(contact_ms)
    }

    /// Whether the store answered a call sent within the last session TTL.
    pub(crate) fn is_store_reachable(&self) -> bool {
        u128::from(self.store_contact_age_ms()) < self.settings.session_ttl.as_millis()
    }
}
