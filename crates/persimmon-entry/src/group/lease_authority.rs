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
/// How long the members' confirmation of an outage is valid.
const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_800);

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeaseAuthority {
    /// Until when a majority of members has confirmed an outage.
    confirmed_until: Option<Instant>,
    /// Whether a majority of members knows of this owner.
    is_takeover_confirmed: bool,
}

impl<P: Platform> OwnedGroup<P> {
    /// Returns whether runner leases may be renewed.
    pub(super) fn may_renew(&self) -> bool {
        let confirmed_until = self.lease_authority.get().confirmed_until;
        let is_confirmed = confirmed_until.is_some_and(|until| self.shared.now() < until);
        self.shared.is_session_proven() || is_confirmed
    }

    /// Asks the members whenever their confirmation is needed. Never returns.
    pub(super) async fn maintain_lease_authority(self: Rc<Self>) {
        let taken_at = self.shared.now();
        loop {
            if !self.shared.is_session_proven() {
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
        let agreeing = owner_views.iter().filter(confirms).count() + 1;
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
        let Some(remaining) = predecessors.as_mut() else {
            return;
        };
        remaining.retain(|process| !self.shared.was_replaced(process));
        if remaining.is_empty() {
            log::info!("event=predecessors.ended group={}", self.id.0);
            *predecessors = None;
            let now = self.shared.now();
            self.engine.borrow_mut().predecessor_ended(now);
        }
    }
}

fn is_majority(count: usize, total: usize) -> bool {
    count * 2 > total
}
