use crate::ClockDrift;
use std::time::{Duration, Instant};

/// The owner's knowledge of when the leases on one worker have surely lapsed.
///
/// A worker counts a renewal from when it gave the nonce that the renewal echoes. The owner got
/// that nonce later, so the worker's lease ends within a term of the owner's receipt, however late
/// the renewal itself arrives.
#[derive(Debug, Clone, Copy)]
pub struct WorkerLeaseBound {
    term: Duration,
    drift: ClockDrift,
    bound: Instant,
    nonce: Option<(u64, Instant)>,
}

impl WorkerLeaseBound {
    /// The knowledge of an owner that took the shard over at `owned_since`: an earlier owner may
    /// have echoed a nonce until then.
    pub fn new(term: Duration, drift: ClockDrift, owned_since: Instant) -> Self {
        Self {
            term,
            drift,
            bound: owned_since,
            nonce: None,
        }
    }

    /// Notes a nonce that the worker gave, received at `now`.
    pub fn record_nonce(&mut self, nonce: u64, now: Instant) {
        self.nonce = Some((nonce, now));
    }

    /// The nonce to echo; from then on the worker's leases may last a term from its receipt.
    pub fn echo_nonce(&mut self) -> Option<u64> {
        let (nonce, received_at) = self.nonce?;
        self.bound = self.bound.max(received_at);
        Some(nonce)
    }

    /// Forgets the nonce after a call without an answer: the worker may have given a newer one.
    pub fn forget_nonce(&mut self) {
        self.nonce = None;
    }

    /// When every lease on the worker has lapsed, unless another nonce is echoed.
    pub fn expires_at(&self) -> Instant {
        self.bound + self.term + self.drift.allowance(self.term)
    }
}
