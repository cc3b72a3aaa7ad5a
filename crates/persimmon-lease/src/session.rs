use crate::ClockDrift;
use std::time::{Duration, Instant};

/// The member's lease in the store, as the member may rely on it.
#[derive(Debug, Clone)]
pub struct Session {
    ttl: Duration,
    drift: ClockDrift,
    asked_at: Option<Instant>,
}

impl Session {
    /// A session that has not begun.
    pub fn new(ttl: Duration, drift: ClockDrift) -> Self {
        Self {
            ttl,
            drift,
            asked_at: None,
        }
    }

    /// Notes a grant or renewal that was *asked for* at `asked_at` and confirmed since.
    ///
    /// The store counts from when it received the call, which is later, so counting from the
    /// question errs on the safe side; counting from the answer would not.
    pub fn record_renewal(&mut self, asked_at: Instant) {
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// Notes that the store no longer knows the lease.
    pub fn end(&mut self) {
        self.asked_at = None;
    }

    /// Until when it may be relied on.
    pub fn valid_until(&self) -> Option<Instant> {
        self.asked_at
            .map(|asked_at| asked_at + self.drift.safe_part(self.ttl))
    }

    /// Tells whether it may be relied on at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// The moment of the newest confirmed question.
    pub fn asked_at(&self) -> Option<Instant> {
        self.asked_at
    }
}
