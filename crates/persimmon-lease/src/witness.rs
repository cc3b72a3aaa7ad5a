//! The [`Witness`] and its refusals.
use crate::{ClockDrift, Holder};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Why a witness refuses a promise.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PromiseError {
    /// The witness started less than a term plus the drift allowance ago and does not know what it
    /// promised before.
    #[error("the witness started less than a promise term ago")]
    RecentlyStarted,
    /// The witness has released the holder's shards to a taker.
    #[error("the holder's shards were released to a taker")]
    Released,
    /// The witness reaches the store, so the holder's shards can be taken over by a member that
    /// reaches it too.
    #[error("the witness reaches the store")]
    StoreReachable,
}

/// Why a witness refuses a release for now.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReleaseError {
    /// A promise is in force, or one granted before the witness restarted may still be.
    #[error("a promise may be out for another {} ms", .remaining.as_millis())]
    Promised {
        /// The longest time for which it can still be in force.
        remaining: Duration,
    },
}

/// Grants promises to holders that can't reach the store, and releases to takers.
///
/// Promises and releases are kept in memory only. A restarted witness therefore grants neither for
/// a term plus the drift allowance.
#[derive(Debug)]
pub struct Witness {
    term: Duration,
    drift: ClockDrift,
    started_at: Instant,
    promised_until: HashMap<Holder, Instant>,
    released_at: HashMap<Holder, Instant>,
}

impl Witness {
    /// How long a release is retained, in multiples of the promise term. Once it is forgotten, the
    /// witness may grant promises to the holder again.
    const RELEASE_RETENTION_TERMS: u32 = 1_000;

    /// Creates a witness that started at `started_at` and grants promises for `term`.
    pub fn new(term: Duration, drift: ClockDrift, started_at: Instant) -> Self {
        let (promised_until, released_at) = (HashMap::new(), HashMap::new());
        Self {
            term,
            drift,
            started_at,
            promised_until,
            released_at,
        }
    }

    /// Promises `holder` that its shards are not released before the term has passed.
    pub fn promise(
        &mut self,
        holder: &Holder,
        now: Instant,
        store_reachable: bool,
    ) -> Result<(), PromiseError> {
        if now < self.startup_wait_until() {
            return Err(PromiseError::RecentlyStarted);
        }
        if self.released_at.contains_key(holder) {
            return Err(PromiseError::Released);
        }
        if store_reachable {
            return Err(PromiseError::StoreReachable);
        }
        self.promised_until
            .insert(holder.clone(), now + self.promise_duration());
        Ok(())
    }

    /// Releases the shards of `holder` to a taker.
    ///
    /// Fails while a promise may be in force; afterwards the witness refuses further promises to
    /// the holder for as long as it retains the release.
    pub fn release(&mut self, holder: &Holder, now: Instant) -> Result<(), ReleaseError> {
        let promised_until = self.promised_until.get(holder).copied();
        let until = promised_until.unwrap_or(now).max(self.startup_wait_until());
        if until > now {
            return Err(ReleaseError::Promised {
                remaining: until - now,
            });
        }
        self.released_at.insert(holder.clone(), now);
        self.prune(now);
        Ok(())
    }

    /// The time for which a promise binds the witness, counted from when it is granted: the term
    /// plus the drift allowance. The holder relies on it for less: it counts from its request and
    /// subtracts the allowance.
    fn promise_duration(&self) -> Duration {
        self.term + self.drift.allowance(self.term)
    }

    fn startup_wait_until(&self) -> Instant {
        self.started_at + self.promise_duration()
    }

    fn prune(&mut self, now: Instant) {
        let retention = self.term * Self::RELEASE_RETENTION_TERMS;
        self.promised_until.retain(|_, until| *until > now);
        self.released_at
            .retain(|_, released_at| now.saturating_duration_since(*released_at) < retention);
    }
}
