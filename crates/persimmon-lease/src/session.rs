use crate::ClockDrift;
use std::time::{Duration, Instant};

/// The member's lease in the store, as far as the member may rely on it.
#[derive(Debug, Clone)]
pub struct Session {
    ttl: Duration,
    drift: ClockDrift,
    renewal_sent_at: Option<Instant>,
}

impl Session {
    /// Creates a session without a lease.
    pub fn new(ttl: Duration, drift: ClockDrift) -> Self {
        Self {
            ttl,
            drift,
            renewal_sent_at: None,
        }
    }

    /// Records a confirmed grant or renewal whose request was sent at `sent_at`.
    ///
    /// The store's TTL starts when it receives the request. Counting from the send time, which is
    /// earlier, is safe; counting from the response would overestimate the lease.
    pub fn record_renewal(&mut self, sent_at: Instant) {
        self.renewal_sent_at = self.renewal_sent_at.max(Some(sent_at));
    }

    /// Records that the store no longer has the lease.
    pub fn end(&mut self) {
        self.renewal_sent_at = None;
    }

    /// Returns when the lease must be treated as expired.
    pub fn valid_until(&self) -> Option<Instant> {
        self.renewal_sent_at
            .map(|sent_at| sent_at + self.drift.safe_term(self.ttl))
    }

    /// Returns whether the lease may be relied on at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// Returns when the newest confirmed grant or renewal was sent.
    pub fn renewal_sent_at(&self) -> Option<Instant> {
        self.renewal_sent_at
    }
}
