//! Whether this owner may renew leases, and when those of owners before it have ended.
//!
//! Through an outage of the store an owner goes on renewing, as long as most members confirm that they
//! don't hear the store either and know of no newer owner. A taker asks the same members: once most of
//! them know of it, no owner before it can find such a majority again.

use super::Group;
use crate::{peers, platform::Platform, state::PROOF_HOLDS};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// Between two rounds of questions to the members.
const ASK_EVERY: Duration = Duration::from_millis(700);
/// How long the members' confirmation of an outage holds.
const CONFIRMATION_HOLDS: Duration = Duration::from_millis(1_800);

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Standing {
    /// Until when most members have confirmed an outage.
    confirmed_until: Option<Instant>,
    /// Most members know of this owner.
    is_known: bool,
}

impl<P: Platform> Group<P> {
    /// Tells whether leases may be renewed.
    pub(super) fn may_renew(&self) -> bool {
        let confirmed_until = self.standing.get().confirmed_until;
        let is_confirmed = confirmed_until.is_some_and(|until| self.shared.now() < until);
        self.shared.is_proven() || is_confirmed
    }

    /// Asks members whenever their word is needed, for good.
    pub(super) async fn stand(self: Rc<Self>) {
        let taken_at = self.shared.now();
        loop {
            if !self.shared.is_proven() {
                self.confirm_outage().await;
            } else if !self.standing.get().is_known {
                self.make_known(taken_at).await;
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    }

    async fn confirm_outage(&self) {
        let asked_at = self.shared.now();
        let (witnesses, total) = peers::witnesses(&self.shared, self.id).await;
        let confirms = |it: &&peers::Witness| it.store_is_silent && it.owner_revision <= self.fence;
        let silent = witnesses.iter().filter(confirms).count() + 1;
        let confirmed = is_majority(silent, total);
        log::info!(
            "event=outage.ask group={} silent={silent} members={total} confirmed={confirmed}",
            self.id.0
        );
        if witnesses.iter().any(|it| it.owner_revision > self.fence) {
            self.lose("a member knows a newer owner");
        }
        if confirmed {
            let mut standing = self.standing.get();
            standing.confirmed_until = Some(asked_at + CONFIRMATION_HOLDS);
            self.standing.set(standing);
        }
    }

    /// Finds out whether most members know of this owner; owners before it then renew nothing more.
    async fn make_known(&self, taken_at: Instant) {
        let (witnesses, total) = peers::witnesses(&self.shared, self.id).await;
        let know = witnesses
            .iter()
            .filter(|it| it.owner_revision >= self.fence)
            .count();
        // Members that are gone from the list may still have been an earlier owner's witnesses.
        if !is_majority(know + 1, total + 1) {
            return;
        }
        let mut standing = self.standing.get();
        standing.is_known = true;
        self.standing.set(standing);
        let ended_at = (taken_at + PROOF_HOLDS).max(self.shared.now() + CONFIRMATION_HOLDS);
        log::info!(
            "event=owner.known group={} know={know} members={total}",
            self.id.0
        );
        self.engine.borrow_mut().predecessor_ended(ended_at);
    }

    /// Leases that a process gave end soon after it did.
    pub(super) fn look_for_predecessors(&self) {
        let mut predecessors = self.predecessors.borrow_mut();
        let Some(open) = predecessors.as_mut() else {
            return;
        };
        open.retain(|process| !self.shared.was_replaced(process));
        if open.is_empty() {
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
