//! Checks that a worker's lease never outlasts the owner's bound on it: calls are delayed, lost or
//! held back by a frozen owner, and the clocks drift.

use persimmon_lease::{ClockDrift, WorkerLeaseBound};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const TERM: Duration = Duration::from_secs(10);

/// A model of a worker's side of the lease protocol, on the worker's own clock.
#[derive(Default)]
struct Worker {
    nonce: u64,
    nonce_issued_at: Option<Instant>,
    lease_until: Option<Instant>,
}

impl Worker {
    fn sync(&mut self, echo: Option<u64>, now: Instant) -> u64 {
        if echo == Some(self.nonce) && self.nonce > 0 {
            let until = self.nonce_issued_at.map(|at| at + TERM);
            self.lease_until = self.lease_until.max(until);
        }
        self.nonce += 1;
        self.nonce_issued_at = Some(now);
        self.nonce
    }

    fn may_run(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }
}

#[derive(Debug, Clone)]
struct Call {
    idle_ms: u64,
    /// The time from building the request to its arrival, including a freeze of the owner.
    request_delay_ms: u64,
    response_delay_ms: u64,
    lost: bool,
}

fn call() -> impl Strategy<Value = Call> {
    let delays = (0..8_000u64, 0..25_000u64, 0..25_000u64, any::<bool>());
    delays.prop_map(
        |(idle_ms, request_delay_ms, response_delay_ms, lost)| Call {
            idle_ms,
            request_delay_ms,
            response_delay_ms,
            lost,
        },
    )
}

proptest! {
    #[test]
    fn worker_lease_never_outlasts_bound(
        calls in prop::collection::vec(call(), 1..30),
        slow_per_mille in 0u32..=9,
    ) {
        let (base, drift) = (Instant::now(), ClockDrift::default());
        // The worker's clock is slower, so its leases last longer as measured by the owner.
        let worker_time =
            |at_ms: u64| base + Duration::from_millis(at_ms) * (1000 - slow_per_mille) / 1000;
        let owner_time = |at_ms: u64| base + Duration::from_millis(at_ms);
        let mut worker = Worker::default();
        let mut bound = WorkerLeaseBound::new(TERM, drift, base);
        let mut at_ms = 0;
        for call in calls {
            at_ms += call.idle_ms;
            let echo = bound.echo_nonce();
            let expires_at_when_sent = bound.expires_at();
            at_ms += call.request_delay_ms;
            let nonce = worker.sync(echo, worker_time(at_ms));
            // Nothing runs once the owner considers the lease expired.
            let expired_ms = expires_at_when_sent.duration_since(base).as_millis() as u64 + 1;
            for checked_ms in [expired_ms, expired_ms + 1_000].map(|ms| ms.max(at_ms)) {
                prop_assert!(!worker.may_run(worker_time(checked_ms)));
            }
            at_ms += call.response_delay_ms;
            if call.lost {
                bound.forget_nonce();
            } else {
                bound.record_nonce(nonce, owner_time(at_ms));
            }
        }
    }
}

#[test]
fn worker_lease_bound_starts_at_ownership() {
    let (base, drift) = (Instant::now(), ClockDrift::default());
    let bound = WorkerLeaseBound::new(TERM, drift, base);
    assert_eq!(bound.expires_at(), base + TERM + drift.allowance(TERM));
}
