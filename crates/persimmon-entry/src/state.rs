//! What the duties of the process share. All of it lives on one thread.

use crate::{group::Group, keys::GroupId, member::Member, peers::Peers, platform::Lease, Options};
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

/// The store counts as silent when nothing was heard of it for this long: three renewals of a session.
const SILENT_AFTER: Duration = Duration::from_millis(1_300);

/// Leases of runners are renewed for this long on the store's word alone: longer than a session, so
/// that one lost renewal changes nothing.
pub(crate) const PROOF_HOLDS: Duration = Duration::from_secs(3);

/// Who holds a group's key, and since which revision.
pub(crate) struct Owner {
    /// The process, `NAME#INCARNATION`.
    pub(crate) name: String,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) revision: u64,
}

pub(crate) struct Shared<P> {
    pub(crate) platform: P,
    pub(crate) options: Options,
    pub(crate) clock: Arc<dyn Clock>,
    /// The policy in force; `None` before the first.
    pub(crate) policy: RefCell<Option<Policy>>,
    /// The session's lease, while it is believed to hold.
    pub(crate) lease: Cell<Option<Lease>>,
    /// The latest incarnation that each process registered, also of those whose session has ended.
    pub(crate) incarnations: RefCell<HashMap<String, String>>,
    /// The processes with a session, by their keys.
    pub(crate) members: RefCell<BTreeMap<String, Member>>,
    /// When the last renewal that the session's lease survived was sent.
    pub(crate) proven_at: Cell<Option<Instant>>,
    /// When the store last answered.
    pub(crate) store_heard_at: Cell<Option<Instant>>,
    pub(crate) groups: RefCell<BTreeMap<GroupId, Rc<Group<P>>>>,
    /// The owners of groups, as the store shows them.
    pub(crate) owners: RefCell<BTreeMap<GroupId, Owner>>,
    pub(crate) peers: RefCell<Option<Arc<Peers>>>,
    /// Peers that did not answer, and when to ask them again.
    pub(crate) silent_peers: RefCell<HashMap<SocketAddr, Instant>>,
    pub(crate) draining: Cell<bool>,
}

impl<P> Shared<P> {
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        persimmon_types::unix_ms(self.clock.wall())
    }

    /// The group that a job is homed to.
    pub(crate) fn home(&self, job: JobId) -> GroupId {
        GroupId(shard_of(&job.to_string(), self.options.group_count))
    }

    pub(crate) fn store_heard(&self) {
        self.store_heard_at.set(Some(self.now()));
    }

    pub(crate) fn store_is_silent(&self) -> bool {
        let heard_at = self.store_heard_at.get();
        heard_at.is_none_or(|at| self.now() >= at + SILENT_AFTER)
    }

    /// Where a group's owner answers, unless it is this process or was silent lately.
    pub(crate) fn owner_address(&self, group: GroupId) -> Option<SocketAddr> {
        let owners = self.owners.borrow();
        let address = owners.get(&group)?.address?;
        let silent = self.silent_peers.borrow();
        let is_silent = silent
            .get(&address)
            .is_some_and(|&until| self.now() < until);
        (address != self.options.peer_address && !is_silent).then_some(address)
    }

    /// Tells whether the store has said within [`PROOF_HOLDS`] that the session holds.
    pub(crate) fn is_proven(&self) -> bool {
        let proven_at = self.proven_at.get();
        proven_at.is_some_and(|at| self.now() < at + PROOF_HOLDS)
    }

    /// Tells whether a process that was `NAME#INCARNATION` has been replaced by a newer one.
    pub(crate) fn was_replaced(&self, process: &str) -> bool {
        let Some((name, incarnation)) = process.rsplit_once('#') else {
            return false;
        };
        let incarnations = self.incarnations.borrow();
        let latest = incarnations.get(&crate::keys::node(name));
        latest.is_some_and(|latest| latest != incarnation)
    }

    /// Tells whether callers should come here: not to a process that can't accept a job. Where the
    /// store is silent for all, the balancer uses all.
    pub(crate) fn is_ready(&self) -> bool {
        self.policy.borrow().is_some() && !self.draining.get() && !self.store_is_silent()
    }
}
