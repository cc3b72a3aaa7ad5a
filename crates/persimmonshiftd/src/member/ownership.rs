use crate::{message::HolderWire, settings::Settings};
use persimmon_lease::{ClockDrift, Extension, Session};
use std::time::Instant;

/// Returns the name that identifies a witness process in an [`Extension`].
pub(crate) fn witness_name(holder: &HolderWire) -> String {
    format!("{}#{}", holder.member, holder.incarnation)
}

/// What the ownership of shards rests on: this daemon's session in the store, and the promises of
/// witnesses that extend it while the store is unreachable.
#[derive(Debug)]
pub(crate) struct Ownership {
    session: Session,
    /// Incremented with each session; an owner confirms its shards again in each new one.
    session_number: u64,
    extension: Extension,
    /// When the newest request was sent that the store confirmed, in any session.
    store_confirmed_at: Option<Instant>,
}

impl Ownership {
    pub(crate) fn new(settings: &Settings, drift: ClockDrift) -> Self {
        let extension = Extension::new(settings.promise_term, settings.outage_limit, drift);
        let session = Session::new(settings.session_ttl, drift);
        Self {
            session,
            session_number: 0,
            extension,
            store_confirmed_at: None,
        }
    }

    /// Records a new session whose lease was requested at `sent_at`.
    pub(crate) fn begin_session(&mut self, sent_at: Instant) {
        self.session_number += 1;
        self.record_renewal(sent_at);
    }

    /// Records a confirmed renewal whose request was sent at `sent_at`.
    pub(crate) fn record_renewal(&mut self, sent_at: Instant) {
        self.session.record_renewal(sent_at);
        self.store_confirmed_at = self.store_confirmed_at.max(Some(sent_at));
    }

    pub(crate) fn end_session(&mut self) {
        self.session.end();
    }

    /// Records a promise of `witness` that was requested at `sent_at`.
    pub(crate) fn record_promise(&mut self, witness: &HolderWire, sent_at: Instant) {
        self.extension
            .record_promise(&witness_name(witness), sent_at);
    }

    /// Returns the number of the current session if it is valid at `now`.
    pub(crate) fn valid_session(&self, now: Instant) -> Option<u64> {
        self.session.is_valid(now).then_some(self.session_number)
    }

    pub(crate) fn session_valid_until(&self) -> Option<Instant> {
        self.session.valid_until()
    }

    /// Ends the ownership of all shards, before this member's record is removed.
    pub(crate) fn relinquish(&mut self) {
        self.session.end();
        self.session_number += 1;
        self.store_confirmed_at = None;
    }

    /// Returns whether this daemon may act for a shard that was confirmed in session
    /// `confirmed_session`.
    ///
    /// `witness_sets` are the witnesses in the shard's record and those in a write of it whose
    /// outcome is unknown.
    pub(crate) fn is_owner(
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
