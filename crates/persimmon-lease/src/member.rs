use crate::{ClockDrift, Extension, Session};
use std::time::{Duration, Instant};

/// The times on which a member's ownership of shards rests.
#[derive(Debug, Clone, Copy)]
pub struct OwnershipOptions {
    /// The TTL of a session in the store.
    pub session_ttl: Duration,
    /// How long a promise of a witness lasts.
    pub promise_term: Duration,
    /// The longest time for which ownership lasts without the store.
    pub outage_limit: Duration,
}

/// What a member's ownership of shards rests on: its session in the store, and the promises of
/// witnesses that extend it while the store is unreachable.
#[derive(Debug)]
pub struct Ownership {
    session: Session,
    /// Incremented with each session; an owner confirms its shards again in each new one.
    session_number: u64,
    extension: Extension,
    /// When the newest request was sent that the store confirmed, in any session.
    store_confirmed_at: Option<Instant>,
    relinquished: bool,
}

impl Ownership {
    /// Creates the state of a member without a session.
    pub fn new(options: OwnershipOptions, drift: ClockDrift) -> Self {
        let extension = Extension::new(options.promise_term, options.outage_limit, drift);
        let session = Session::new(options.session_ttl, drift);
        Self {
            session,
            session_number: 0,
            extension,
            store_confirmed_at: None,
            relinquished: false,
        }
    }

    /// Records a new session whose lease was requested at `sent_at`.
    pub fn begin_session(&mut self, sent_at: Instant) {
        self.session_number += 1;
        self.record_renewal(sent_at);
    }

    /// Records a confirmed renewal whose request was sent at `sent_at`. After
    /// [`Self::relinquish()`] it confirms nothing.
    pub fn record_renewal(&mut self, sent_at: Instant) {
        if self.relinquished {
            return;
        }
        self.session.record_renewal(sent_at);
        self.store_confirmed_at = self.store_confirmed_at.max(Some(sent_at));
    }

    /// Records that the store no longer has the lease of the session.
    pub fn end_session(&mut self) {
        self.session.end();
    }

    /// Records a promise of `witness` that was requested at `sent_at`.
    pub fn record_promise(&mut self, witness: &str, sent_at: Instant) {
        self.extension.record_promise(witness, sent_at);
    }

    /// Returns the number of the current session if it is valid at `now`.
    pub fn valid_session(&self, now: Instant) -> Option<u64> {
        self.session.is_valid(now).then_some(self.session_number)
    }

    /// Returns when the session must be treated as expired.
    pub fn session_valid_until(&self) -> Option<Instant> {
        self.session.valid_until()
    }

    /// Ends the ownership of all shards for good, before this member's record is removed.
    pub fn relinquish(&mut self) {
        self.relinquished = true;
        self.session.end();
        self.session_number += 1;
        self.store_confirmed_at = None;
    }

    /// Returns whether this member may act for a shard that was confirmed in session
    /// `confirmed_session`.
    ///
    /// `witness_sets` are the witnesses in the shard's record and those in a write of it whose
    /// outcome is unknown.
    pub fn is_owner(
        &self,
        confirmed_session: u64,
        witness_sets: &[Vec<String>],
        now: Instant,
    ) -> bool {
        if confirmed_session == self.session_number && self.session.is_valid(now) {
            return true;
        }
        let Some(store_confirmed_at) = self.store_confirmed_at else {
            return false;
        };
        let until = self
            .extension
            .valid_until_all(witness_sets, store_confirmed_at);
        until.is_some_and(|until| now < until)
    }
}
