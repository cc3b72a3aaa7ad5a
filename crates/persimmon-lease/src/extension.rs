use crate::{ClockDrift, Quorum};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The promises that a holder has from the witnesses of its shards.
#[derive(Debug, Clone)]
pub struct Extension {
    promise_term: Duration,
    outage_limit: Duration,
    drift: ClockDrift,
    requested_at: BTreeMap<String, Instant>,
}

impl Extension {
    /// Creates an extension without promises.
    ///
    /// A promise lasts `promise_term`; none extends ownership further than `outage_limit` after
    /// the last request that the store confirmed.
    pub fn new(promise_term: Duration, outage_limit: Duration, drift: ClockDrift) -> Self {
        Self {
            promise_term,
            outage_limit,
            drift,
            requested_at: BTreeMap::new(),
        }
    }

    /// Records a promise of `witness` that was requested at `requested_at`.
    pub fn record_promise(&mut self, witness: &str, requested_at: Instant) {
        let newest = self
            .requested_at
            .entry(witness.to_owned())
            .or_insert(requested_at);
        *newest = requested_at.max(*newest);
    }

    /// Returns when the extended ownership of a shard with these `witnesses` ends, or `None` if too
    /// few of them have promised.
    ///
    /// `store_confirmed_at` is when the last request that the store confirmed was sent.
    pub fn valid_until(
        &self,
        witnesses: &[String],
        store_confirmed_at: Instant,
    ) -> Option<Instant> {
        let limit = store_confirmed_at + self.drift.safe_term(self.outage_limit);
        let required = Quorum::of(witnesses.len()).promises_required();
        if required == 0 {
            return Some(limit);
        }
        let mut requested: Vec<Instant> = witnesses
            .iter()
            .filter_map(|witness| self.requested_at.get(witness).copied())
            .collect();
        requested.sort_unstable_by(|a, b| b.cmp(a));
        let oldest_counted = *requested.get(required - 1)?;
        Some(limit.min(oldest_counted + self.drift.safe_term(self.promise_term)))
    }

    /// Returns when the extended ownership ends while a write with an unknown outcome may have
    /// changed the witnesses.
    ///
    /// It must hold for each of the `witness_sets`, since a taker may count any of them.
    pub fn valid_until_all(
        &self,
        witness_sets: &[Vec<String>],
        store_confirmed_at: Instant,
    ) -> Option<Instant> {
        let mut earliest = None;
        for witnesses in witness_sets {
            let until = self.valid_until(witnesses, store_confirmed_at)?;
            earliest = Some(earliest.map_or(until, |earliest: Instant| earliest.min(until)));
        }
        earliest
    }
}
