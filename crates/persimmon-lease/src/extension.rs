use crate::{ClockDrift, Quorum};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The promises that a holder has from the witnesses of its shards.
#[derive(Debug, Clone)]
pub struct Extension {
    term: Duration,
    limit: Duration,
    drift: ClockDrift,
    asked_at: BTreeMap<String, Instant>,
}

impl Extension {
    /// No promises yet; each lasts `term`, and all end `limit` after the last word of the store.
    pub fn new(term: Duration, limit: Duration, drift: ClockDrift) -> Self {
        Self {
            term,
            limit,
            drift,
            asked_at: BTreeMap::new(),
        }
    }

    /// Notes a promise of `witness` that was asked for at `asked_at`.
    pub fn record_promise(&mut self, witness: &str, asked_at: Instant) {
        let newest = self.asked_at.entry(witness.to_owned()).or_insert(asked_at);
        *newest = asked_at.max(*newest);
    }

    /// Until when ownership of a shard with these `witnesses` is extended.
    ///
    /// `store_heard_at` is the last question that the store confirmed.
    pub fn valid_until(&self, witnesses: &[String], store_heard_at: Instant) -> Option<Instant> {
        let limit = store_heard_at + self.drift.safe_part(self.limit);
        let needed = Quorum::of(witnesses.len()).promises();
        if needed == 0 {
            return Some(limit);
        }
        let mut asked: Vec<Instant> = witnesses
            .iter()
            .filter_map(|witness| self.asked_at.get(witness).copied())
            .collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let weakest = *asked.get(needed - 1)?;
        Some(limit.min(weakest + self.drift.safe_part(self.term)))
    }

    /// Until when ownership is extended while a write in doubt may have changed the witnesses: by
    /// each of the `sets`, since a taker may count any of them.
    pub fn valid_until_all(
        &self,
        sets: &[Vec<String>],
        store_heard_at: Instant,
    ) -> Option<Instant> {
        let mut until = None;
        for witnesses in sets {
            let by_set = self.valid_until(witnesses, store_heard_at)?;
            until = Some(until.map_or(by_set, |least: Instant| least.min(by_set)));
        }
        until
    }
}
