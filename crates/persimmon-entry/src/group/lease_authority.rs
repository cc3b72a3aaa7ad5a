//! Whether this owner may renew runner leases, and when the leases of earlier owners have ended.
//!
//! During an outage of the store an owner keeps renewing leases as long as a majority of members
//! confirm that they can't reach the store either and know of no newer owner. A new owner asks the
//! same members: once a majority knows of it, no earlier owner can obtain such a majority again.

use super::OwnedGroup;
use crate::{
    peers::{self, OwnerView},
    platform::Platform,
    state::SESSION_PROOF_VALIDITY,
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Interval between rounds of requests to the members.
const REQUEST_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of members asked at once after a takeover: each may take a new connection, and
/// the group's runners are polled at the same time.
const TAKEOVER_CALLS_MAX: usize = 16;
/// How long the members' confirmation of an outage is valid. The next owner waits for this time; a
/// gap of one round between two confirmations is well within a runner's lease.
const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_400);

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeaseAuthority {
    /// Until when a majority of members has confirmed an outage.
    confirmed_until: Option<Instant>,
    /// Whether a majority of members knows of this owner.
    is_takeover_confirmed: bool,
}

/// Earlier owners of a group.
#[derive(Debug)]
pub(crate) struct Predecessors {
    /// Those that may still renew leases, as `NAME#INCARNATION`, the latest first.
    pub(crate) remaining: Vec<String>,
    /// Revision at which the store knew all of them.
    pub(crate) revision: u64,
    /// When the last of the others had ended.
    pub(crate) ended_at: Option<Instant>,
}

impl Predecessors {
    /// Removes the owners that have ended; `ended_at` returns when, given their name and
    /// [`Self::revision`].
    pub(crate) fn remove_ended(&mut self, ended_at: impl Fn(&str, u64) -> Option<Instant>) {
        let revision = self.revision;
        self.remaining.retain(|process| {
            let at = ended_at(process, revision);
            self.ended_at = self.ended_at.max(at);
            at.is_none()
        });
    }
}

impl<P: Platform> OwnedGroup<P> {
    /// Returns whether runner leases may be renewed.
    pub(super) fn may_renew(&self) -> bool {
        let confirmed_until = self.lease_authority.get().confirmed_until;
        let is_confirmed = confirmed_until.is_some_and(|until| self.shared.now() < until);
        self.is_ownership_proven() || is_confirmed
    }

    /// Returns whether the store confirmed lately that the session holds which the owner's key is
    /// bound to. The key does not outlive it, though the process may have opened another.
    fn is_ownership_proven(&self) -> bool {
        self.shared.lease.get() == self.session && self.shared.is_session_proven()
    }

    /// Asks the members whenever their confirmation is needed. Never returns.
    pub(super) async fn maintain_lease_authority(self: Rc<Self>, taken_at: Instant) {
        loop {
            if !self.is_ownership_proven() {
                self.confirm_outage().await;
            } else if !self.lease_authority.get().is_takeover_confirmed {
                // Connections that were opened in time serve the next attempt.
                let confirmed = self.confirm_takeover(taken_at);
                let _ = tokio::time::timeout(REQUEST_INTERVAL, confirmed).await;
            }
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    async fn confirm_outage(&self) {
        let requested_at = self.shared.now();
        let all = |_: &[OwnerView], _| false;
        let (owner_views, total) = peers::owner_views(&self.shared, self.id, usize::MAX, all).await;
        let confirms =
            |it: &&OwnerView| it.store_is_unreachable && it.owner_revision <= self.fencing_token;
        let own_vote = usize::from(self.shared.store_is_unreachable());
        let agreeing = owner_views.iter().filter(confirms).count() + own_vote;
        let confirmed = is_majority(agreeing, total);
        log::info!(
            "event=outage.confirm group={} silent={agreeing} members={total} confirmed={confirmed}",
            self.id.0
        );
        if owner_views
            .iter()
            .any(|it| it.owner_revision > self.fencing_token)
        {
            self.stop_serving("a member knows a newer owner");
        }
        if confirmed {
            let mut lease_authority = self.lease_authority.get();
            lease_authority.confirmed_until = Some(requested_at + CONFIRMATION_VALIDITY);
            self.lease_authority.set(lease_authority);
        }
    }

    /// Checks whether a majority of members knows of this owner; earlier owners then renew no more
    /// leases.
    async fn confirm_takeover(&self, taken_at: Instant) {
        let known_by = |owner_views: &[OwnerView]| {
            let knows = |it: &&OwnerView| it.owner_revision >= self.fencing_token;
            owner_views.iter().filter(knows).count()
        };
        // Members no longer in the list may still have counted towards an earlier owner's majority.
        let is_enough =
            |owner_views: &[OwnerView], total| is_majority(known_by(owner_views) + 1, total + 1);
        let (owner_views, total) =
            peers::owner_views(&self.shared, self.id, TAKEOVER_CALLS_MAX, is_enough).await;
        if !is_enough(&owner_views, total) {
            return;
        }
        let known_by = known_by(&owner_views);
        let mut lease_authority = self.lease_authority.get();
        lease_authority.is_takeover_confirmed = true;
        self.lease_authority.set(lease_authority);
        let ended_at =
            (taken_at + SESSION_PROOF_VALIDITY).max(self.shared.now() + CONFIRMATION_VALIDITY);
        log::info!(
            "event=owner.known group={} know={known_by} members={total}",
            self.id.0
        );
        self.engine.borrow_mut().predecessor_ended(ended_at);
    }

    /// Drops replaced processes from the predecessors. Leases granted by a process end soon after
    /// the process itself.
    pub(super) fn check_predecessors(&self) {
        let mut predecessors = self.predecessors.borrow_mut();
        let Some(earlier) = predecessors.as_mut() else {
            return;
        };
        earlier.remove_ended(|process, revision| self.shared.replaced_at(process, revision));
        if earlier.remaining.is_empty() {
            let now = self.shared.now();
            let ended_at = earlier.ended_at.unwrap_or(now);
            log::info!(
                "event=predecessors.ended group={} age_ms={}",
                self.id.0,
                now.saturating_duration_since(ended_at).as_millis()
            );
            *predecessors = None;
            self.engine.borrow_mut().predecessor_ended(ended_at);
        }
    }
}

fn is_majority(count: usize, total: usize) -> bool {
    count * 2 > total
}
