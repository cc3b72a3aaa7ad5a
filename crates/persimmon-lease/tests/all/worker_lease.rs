//! A worker's lease against its owner's bound on it, with calls that are late, lost or reordered by
//! a frozen owner, and clocks that drift apart.

use persimmon_lease::{ClockDrift, WorkerLeaseBound};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const TERM: Duration = Duration::from_secs(10);

/// A worker as its page describes it, on a clock of its own.
#[derive(Default)]
struct Worker {
    nonce: u64,
    nonce_at: Option<Instant>,
    lease_until: Option<Instant>,
}

impl Worker {
    fn sync(&mut self, echo: Option<u64>, now: Instant) -> u64 {
        if echo == Some(self.nonce) && self.nonce > 0 {
            let until = self.nonce_at.map(|at| at + TERM);
            self.lease_until = self.lease_until.max(until);
        }
        self.nonce += 1;
        self.nonce_at = Some(now);
        self.nonce
    }

    fn runs(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }
}

#[derive(Debug, Clone)]
struct Call {
    pause_ms: u64,
    /// The time between making the call up and its arrival, a freeze included.
    there_ms: u64,
    back_ms: u64,
    lost: bool,
}

fn call() -> impl Strategy<Value = Call> {
    let times = (0..8_000u64, 0..25_000u64, 0..25_000u64, any::<bool>());
    times.prop_map(|(pause_ms, there_ms, back_ms, lost)| Call {
        pause_ms,
        there_ms,
        back_ms,
        lost,
    })
}

proptest! {
    #[test]
    fn task_bound_never_early(
        calls in prop::collection::vec(call(), 1..30),
        slow_per_mille in 0u32..=9,
    ) {
        let (base, drift) = (Instant::now(), ClockDrift::default());
        // The worker's clock is slower, so its leases last longer by the owner's.
        let worker_time =
            |at_ms: u64| base + Duration::from_millis(at_ms) * (1000 - slow_per_mille) / 1000;
        let owner_time = |at_ms: u64| base + Duration::from_millis(at_ms);
        let mut worker = Worker::default();
        let mut lease = WorkerLeaseBound::new(TERM, drift, base);
        let mut at_ms = 0;
        for call in calls {
            at_ms += call.pause_ms;
            let echo = lease.echo_nonce();
            let bound_when_sent = lease.expires_at();
            at_ms += call.there_ms;
            let nonce = worker.sync(echo, worker_time(at_ms));
            // From the moment at which the owner holds the lease for lapsed, nothing runs.
            let lapsed_ms = bound_when_sent.duration_since(base).as_millis() as u64 + 1;
            for later_ms in [lapsed_ms, lapsed_ms + 1_000].map(|it| it.max(at_ms)) {
                prop_assert!(!worker.runs(worker_time(later_ms)));
            }
            at_ms += call.back_ms;
            if call.lost {
                lease.forget_nonce();
            } else {
                lease.record_nonce(nonce, owner_time(at_ms));
            }
        }
    }
}

#[test]
fn task_takeover_counts_from_ownership() {
    let (base, drift) = (Instant::now(), ClockDrift::default());
    let lease = WorkerLeaseBound::new(TERM, drift, base);
    assert_eq!(lease.expires_at(), base + TERM + drift.allowance(TERM));
}
