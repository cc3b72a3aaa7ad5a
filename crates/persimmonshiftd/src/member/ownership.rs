use crate::{message::HolderWire, settings::Settings};
use persimmon_lease::{ClockDrift, Extension, Session};
use std::time::Instant;

/// Names a witness's process in the lists of an [`Extension`].
pub(crate) fn witness_name(holder: &HolderWire) -> String {
    format!("{}#{}", holder.member, holder.incarnation)
}

/// What this daemon may rely on: its session in the store, and promises of other members.
#[derive(Debug)]
pub(crate) struct Ownership {
    session: Session,
    /// Rises with each new session; shards must be confirmed anew in each.
    number: u64,
    extension: Extension,
    /// The newest question that the store confirmed in any session.
    heard_at: Option<Instant>,
}

impl Ownership {
    pub(crate) fn new(settings: &Settings, drift: ClockDrift) -> Self {
        let extension = Extension::new(settings.promise_term, settings.outage_limit, drift);
        let session = Session::new(settings.session_ttl, drift);
        Self {
            session,
            number: 0,
            extension,
            heard_at: None,
        }
    }

    /// Notes that a new session began, asked for at `asked_at`.
    pub(crate) fn begin(&mut self, asked_at: Instant) {
        self.number += 1;
        self.confirm(asked_at);
    }

    pub(crate) fn confirm(&mut self, asked_at: Instant) {
        self.session.record_renewal(asked_at);
        self.heard_at = self.heard_at.max(Some(asked_at));
    }

    pub(crate) fn end(&mut self) {
        self.session.end();
    }

    pub(crate) fn promise(&mut self, witness: &HolderWire, asked_at: Instant) {
        self.extension
            .record_promise(&witness_name(witness), asked_at);
    }

    /// The session in which shards are confirmed now, if it is valid.
    pub(crate) fn session(&self, now: Instant) -> Option<u64> {
        self.session.is_valid(now).then_some(self.number)
    }

    pub(crate) fn session_valid_until(&self) -> Option<Instant> {
        self.session.valid_until()
    }

    /// Gives up every claim to shards, before this member's record is removed.
    pub(crate) fn resign(&mut self) {
        self.session.end();
        self.number += 1;
        self.heard_at = None;
    }

    /// Whether this daemon may act for a shard that was confirmed in session `confirmed`, with
    /// these sets of witnesses in its record or in a write of it that is in doubt.
    pub(crate) fn is_owner(&self, confirmed: u64, sets: &[Vec<String>], now: Instant) -> bool {
        if confirmed == self.number && self.session.is_valid(now) {
            return true;
        }
        let Some(heard_at) = self.heard_at else {
            return false;
        };
        let until = self.extension.valid_until_all(sets, heard_at);
        until.is_some_and(|until| now < until)
    }
}
