use crate::{ClockDrift, Quorum};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// What a taker does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeoverDecision {
    /// Ask these witnesses for a release.
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
    limit: Duration,
    drift: ClockDrift,
}

impl Takeover {
    /// A takeover from an owner that the store was seen without at `missing_since`.
    ///
    /// `witnesses` are those that the owner recorded with the shard; `limit` is the longest time
    /// that an owner goes on without the store.
    pub fn new(
        witnesses: Vec<String>,
        missing_since: Instant,
        limit: Duration,
        drift: ClockDrift,
    ) -> Self {
        Self {
            witnesses,
            released_by: BTreeSet::new(),
            missing_since,
            limit,
            drift,
        }
    }

    /// Notes a release by `witness`.
    pub fn record_release(&mut self, witness: &str) {
        if self.witnesses.iter().any(|known| known == witness) {
            self.released_by.insert(witness.to_owned());
        }
    }

    /// What to do at `now`.
    pub fn decide(&self, now: Instant) -> TakeoverDecision {
        let needed = Quorum::of(self.witnesses.len()).releases();
        let limit = self.limit + self.drift.allowance(self.limit);
        let outlasted = now.saturating_duration_since(self.missing_since) > limit;
        if self.released_by.len() >= needed || outlasted {
            return TakeoverDecision::TakeOver;
        }
        let open = self
            .witnesses
            .iter()
            .filter(|witness| !self.released_by.contains(*witness));
        TakeoverDecision::RequestReleases(open.cloned().collect())
    }
}
