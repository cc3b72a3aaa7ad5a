//! Companions of [`Witness`].
use crate::{ClockDrift, Holder};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Why a witness gives no promise.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PromiseError {
    /// It started less than a term ago and does not know what it promised before.
    #[error("the witness started less than a promise term ago")]
    Started,
    /// It has released the holder's shards to a taker.
    #[error("the holder's shards were released to a taker")]
    Released,
    /// It reaches the store, so the holder's shards are better taken over.
    #[error("the witness reaches the store")]
    StoreReachable,
}

/// Why a witness gives no release yet.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReleaseError {
    /// A promise, or one that it may have given before its start, is still out.
    #[error("a promise may be out for another {} ms", .remaining.as_millis())]
    Promised {
        /// For how long at most.
        remaining: Duration,
    },
}

/// Gives promises to holders that are cut from the store, and releases to takers.
///
/// It keeps its word in memory only. A restarted witness therefore gives neither for a term.
#[derive(Debug)]
pub struct Witness {
    term: Duration,
    drift: ClockDrift,
    started_at: Instant,
    promised_until: HashMap<Holder, Instant>,
    released: HashMap<Holder, Instant>,
}

impl Witness {
    /// How long a release is remembered, in multiples of the promise term.
    const RELEASE_MEMORY_TERMS: u32 = 1_000;

    /// A witness that started at `started_at` and promises for `term`.
    pub fn new(term: Duration, drift: ClockDrift, started_at: Instant) -> Self {
        let (promised_until, released) = (HashMap::new(), HashMap::new());
        Self {
            term,
            drift,
            started_at,
            promised_until,
            released,
        }
    }

    /// Promises `holder` that its shards are not released before the term has passed.
    pub fn promise(
        &mut self,
        holder: &Holder,
        now: Instant,
        store_reachable: bool,
    ) -> Result<(), PromiseError> {
        if now < self.quiet_until() {
            return Err(PromiseError::Started);
        }
        if self.released.contains_key(holder) {
            return Err(PromiseError::Released);
        }
        if store_reachable {
            return Err(PromiseError::StoreReachable);
        }
        self.promised_until
            .insert(holder.clone(), now + self.span());
        Ok(())
    }

    /// Releases the shards of `holder` to a taker: no promise is out and none will be given.
    pub fn release(&mut self, holder: &Holder, now: Instant) -> Result<(), ReleaseError> {
        let promised_until = self.promised_until.get(holder).copied();
        let until = promised_until.unwrap_or(now).max(self.quiet_until());
        if until > now {
            return Err(ReleaseError::Promised {
                remaining: until - now,
            });
        }
        self.released.insert(holder.clone(), now);
        self.forget(now);
        Ok(())
    }

    /// A promise counts here from when it is given, longer than it does for the holder.
    fn span(&self) -> Duration {
        self.term + self.drift.allowance(self.term)
    }

    fn quiet_until(&self) -> Instant {
        self.started_at + self.span()
    }

    fn forget(&mut self, now: Instant) {
        let memory = self.term * Self::RELEASE_MEMORY_TERMS;
        self.promised_until.retain(|_, until| *until > now);
        self.released
            .retain(|_, at| now.saturating_duration_since(*at) < memory);
    }
}
