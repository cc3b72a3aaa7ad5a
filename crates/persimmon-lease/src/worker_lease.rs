use crate::ClockDrift;
use std::time::{Duration, Instant};

/// The owner's upper bound on the expiry of the leases on one worker.
///
/// A worker counts a renewal from when it issued the nonce that the renewal echoes. The owner
/// received that nonce later, so the worker's lease ends within a term of that receipt, however
/// late the renewal itself arrives.
#[derive(Debug, Clone, Copy)]
pub struct WorkerLeaseBound {
    term: Duration,
    drift: ClockDrift,
    latest_term_start: Instant,
    nonce: Option<(u64, Instant)>,
}

impl WorkerLeaseBound {
    /// Creates the bound for an owner that took the shard over at `owned_since`: an earlier owner
    /// may have echoed a nonce until then.
    pub fn new(term: Duration, drift: ClockDrift, owned_since: Instant) -> Self {
        Self {
            term,
            drift,
            latest_term_start: owned_since,
            nonce: None,
        }
    }

    /// Records a nonce of the worker that was received at `now`.
    pub fn record_nonce(&mut self, nonce: u64, now: Instant) {
        self.nonce = Some((nonce, now));
    }

    /// Returns the nonce to echo, and extends the bound to a term from when it was received.
    pub fn echo_nonce(&mut self) -> Option<u64> {
        let (nonce, received_at) = self.nonce?;
        self.latest_term_start = self.latest_term_start.max(received_at);
        Some(nonce)
    }

    /// Discards the nonce after a call without a response: the worker may have issued a newer one.
    pub fn forget_nonce(&mut self) {
        self.nonce = None;
    }

    /// Returns when every lease on the worker has expired, unless another nonce is echoed.
    pub fn expires_at(&self) -> Instant {
        self.latest_term_start + self.term + self.drift.allowance(self.term)
    }
}
