use crate::{ClockDrift, Quorum};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// The next action of a taker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverDecision {
    /// Request a release from these witnesses.
    RequestReleases(Vec<String>),
    /// Take the shard over.
    TakeOver,
}

/// The takeover of one shard from an owner that the store no longer lists.
#[derive(Debug, Clone)]
pub struct Takeover {
    witnesses: Vec<String>,
    released_by: BTreeSet<String>,
    missing_since: Instant,
    outage_limit: Duration,
    drift: ClockDrift,
}

impl Takeover {
    /// Creates a takeover from an owner that was absent from the store at `missing_since`.
    ///
    /// `witnesses` are those that the owner recorded with the shard; `outage_limit` is the longest
    /// time for which an owner stays active without the store.
    pub fn new(
        witnesses: Vec<String>,
        missing_since: Instant,
        outage_limit: Duration,
        drift: ClockDrift,
    ) -> Self {
        Self {
            witnesses,
            released_by: BTreeSet::new(),
            missing_since,
            outage_limit,
            drift,
        }
    }

    /// Records a release by `witness`, which must be named as in the list passed to
    /// [`Self::new()`]; other names are ignored.
    pub fn record_release(&mut self, witness: &str) {
        if self.witnesses.iter().any(|known| known == witness) {
            self.released_by.insert(witness.to_owned());
        }
    }

    /// Returns the action to take at `now`.
    ///
    /// The shard may be taken over once enough witnesses have released it, or once more than the
    /// outage limit plus the drift allowance has passed since the owner was found missing. Without
    /// witnesses no release is required, so it may be taken over at once.
    pub fn decide(&self, now: Instant) -> TakeoverDecision {
        let required = Quorum::of(self.witnesses.len()).releases_required();
        let limit = self.outage_limit + self.drift.allowance(self.outage_limit);
        let limit_passed = now.saturating_duration_since(self.missing_since) > limit;
        if self.released_by.len() >= required || limit_passed {
            return TakeoverDecision::TakeOver;
        }
        let pending = self
            .witnesses
            .iter()
            .filter(|witness| !self.released_by.contains(*witness));
        TakeoverDecision::RequestReleases(pending.cloned().collect())
    }
}
