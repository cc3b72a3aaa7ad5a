//! State shared by the tasks of the process, all of which run on one thread.

use crate::{
    group::OwnedGroup, job_cache::JobCache, keys::GroupId, member::Member, peers::Peers,
    platform::Lease, relay::RelayService, session::SESSION_TTL, Options,
};
use persimmon_sched::{JobId, Policy};
use persimmon_types::{shard_of, Clock};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

/// The store counts as unreachable when it has not answered for this long: three session renewals.
const STORE_UNREACHABLE_AFTER: Duration = Duration::from_millis(1_300);

/// How long a successful session renewal allows an owner to renew runner leases. The store may end
/// the session at once, so the next owner waits for this time.
pub(crate) const SESSION_PROOF_VALIDITY: Duration = SESSION_TTL;

/// An incarnation of a process.
pub(crate) struct Incarnation {
    pub(crate) id: String,
    /// Revision at which it was registered, as first seen.
    pub(crate) revision: u64,
    /// When this process first saw it.
    pub(crate) first_seen_at: Instant,
}

/// Each kind of call that all members make uses at most this fraction of the store's read limit.
const FAIR_READ_FRACTION: u32 = 4;

/// The process that owns a group, and the revision at which the owner's key was written.
pub(crate) struct Owner {
    /// The process, as `NAME#INCARNATION`.
    pub(crate) name: String,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) revision: u64,
}

pub(crate) struct Shared<P> {
    pub(crate) platform: P,
    pub(crate) options: Options,
    pub(crate) clock: Arc<dyn Clock>,
    /// The policy in force; `None` before the first one is read.
    pub(crate) policy: RefCell<Option<Policy>>,
    /// The session's lease, while it is assumed to hold.
    pub(crate) lease: Cell<Option<Lease>>,
    /// Latest incarnation registered by each process, including those whose session has ended.
    pub(crate) incarnations: RefCell<HashMap<String, Incarnation>>,
    /// Processes with a session, by key.
    pub(crate) members: RefCell<BTreeMap<String, Member>>,
    /// When the last successful renewal of the session's lease was sent.
    pub(crate) session_proven_at: Cell<Option<Instant>>,
    /// When the store last answered.
    pub(crate) store_answered_at: Cell<Option<Instant>>,
    pub(crate) groups: RefCell<BTreeMap<GroupId, Rc<OwnedGroup<P>>>>,
    /// Fencing tokens with which this process served groups last.
    pub(crate) last_fencing_tokens: RefCell<HashMap<GroupId, u64>>,
    /// Owners of groups according to the store.
    pub(crate) owners: RefCell<BTreeMap<GroupId, Owner>>,
    pub(crate) peers: RefCell<Option<Arc<Peers>>>,
    /// Peers that did not answer, and when to call them again.
    pub(crate) unresponsive_peers: RefCell<HashMap<SocketAddr, Instant>>,
    pub(crate) draining: Cell<bool>,
    pub(crate) relay: RelayService,
    pub(crate) job_cache: JobCache,
}

impl<P> Shared<P> {
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        persimmon_types::unix_ms(self.clock.wall())
    }

    /// Returns the group that the jobs with this number are assigned to.
    pub(crate) fn home_group(&self, number: u64) -> GroupId {
        let number = JobId::new(number).to_string();
        GroupId(shard_of(&number, self.options.group_count))
    }

    pub(crate) fn record_store_answer(&self) {
        self.store_answered_at.set(Some(self.now()));
    }

    /// Returns the interval between calls of one kind that keeps the calls of all members within a
    /// fraction of the store's read limit.
    pub(crate) fn fair_read_interval(&self) -> Duration {
        let members = self.members.borrow().len() as u32;
        let reads_per_s = self.options.store_reads_per_s.max(1);
        Duration::from_secs(1) * FAIR_READ_FRACTION * members / reads_per_s
    }

    /// Returns the time that `bytes` take on this share of the instance's link.
    pub(crate) fn sending_time(&self, bytes: usize, link_share: f64) -> Duration {
        let bytes_per_s = self.options.link_bytes_per_s.max(1) as f64;
        Duration::from_secs_f64(bytes as f64 / (bytes_per_s * link_share))
    }

    pub(crate) fn store_is_unreachable(&self) -> bool {
        let answered_at = self.store_answered_at.get();
        answered_at.is_none_or(|at| self.now() >= at + STORE_UNREACHABLE_AFTER)
    }

    /// Returns the address of a group's owner, unless the owner is this process or did not answer
    /// lately.
    pub(crate) fn owner_address(&self, group: GroupId) -> Option<SocketAddr> {
        let owners = self.owners.borrow();
        let address = owners.get(&group)?.address?;
        let unresponsive = self.unresponsive_peers.borrow();
        let is_unresponsive = unresponsive
            .get(&address)
            .is_some_and(|&until| self.now() < until);
        (address != self.options.peer_address && !is_unresponsive).then_some(address)
    }

    /// Returns whether the store confirmed within [`SESSION_PROOF_VALIDITY`] that the session
    /// holds.
    pub(crate) fn is_session_proven(&self) -> bool {
        let session_proven_at = self.session_proven_at.get();
        session_proven_at.is_some_and(|at| self.now() < at + SESSION_PROOF_VALIDITY)
    }

    /// Records that a process registered an incarnation.
    pub(crate) fn record_incarnation(&self, key: &str, id: &str, revision: u64) {
        let mut incarnations = self.incarnations.borrow_mut();
        if incarnations.get(key).is_none_or(|known| known.id != id) {
            let incarnation = Incarnation {
                id: id.to_owned(),
                revision,
                first_seen_at: self.now(),
            };
            incarnations.insert(key.to_owned(), incarnation);
        }
    }

    /// Returns by when the process `NAME#INCARNATION`, known to the store at `revision`, had ended,
    /// if another incarnation is registered.
    pub(crate) fn replaced_at(&self, process: &str, revision: u64) -> Option<Instant> {
        let (name, id) = process.rsplit_once('#')?;
        let incarnations = self.incarnations.borrow();
        let latest = incarnations.get(&crate::keys::member(name))?;
        // When it was first seen says nothing if it may be the older one of the two.
        let ended_at = if latest.revision > revision {
            latest.first_seen_at
        } else {
            self.now()
        };
        (latest.id != id).then_some(ended_at)
    }

    /// Returns whether callers should be sent here. A process that can't accept jobs is not ready;
    /// if the store is unreachable for all of them, the load balancer uses all.
    pub(crate) fn is_ready(&self) -> bool {
        self.policy.borrow().is_some() && !self.draining.get() && !self.store_is_unreachable()
    }
}
