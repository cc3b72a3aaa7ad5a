use crate::{
    keys,
    member::Member,
    platform::{Lease, Platform, Txn, TxnOutcome, Write},
    retry::RetryDelay,
    state::Shared,
};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// How long a session outlives its last renewal. Takeovers wait for it to expire, but it must allow
/// for three renewals, even on a slow instance.
pub(crate) const SESSION_TTL: Duration = Duration::from_millis(1_400);
/// Shortest and longest interval between renewals. Three renewals must fit within the TTL.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);
const RENEW_INTERVAL_MAX: Duration = Duration::from_millis(450);
/// First delay before another attempt to open a session.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Keeps a session in the store and opens a new one when it is lost. Never returns.
pub(crate) async fn maintain<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        let lease = open_session(&shared).await;
        shared.lease.set(Some(lease));
        log::info!("event=session.open lease={}", lease.0);
        let failed_renewals = renew(&shared, lease).await;
        shared.lease.set(None);
        log::warn!(
            "event=session.lost lease={} failed_renewals={failed_renewals}",
            lease.0
        );
        tokio::time::sleep(OPEN_RETRY_DELAY).await;
    }
}

async fn open_session<P: Platform>(shared: &Shared<P>) -> Lease {
    let mut retry_delay = RetryDelay::new(OPEN_RETRY_DELAY);
    loop {
        let sent_at = shared.now();
        match shared.platform.grant(SESSION_TTL).await {
            Ok(lease) => {
                if register(shared, lease, sent_at + SESSION_TTL).await {
                    shared.record_store_answer();
                    shared.session_proven_at.set(Some(sent_at));
                    return lease;
                }
                tokio::time::sleep(OPEN_RETRY_DELAY).await;
            }
            Err(err) => {
                log::debug!("event=session.grant fault=\"{err}\"");
                tokio::time::sleep(retry_delay.after(&err)).await;
            }
        }
    }
}

/// Writes this process's key, bound to a new lease. A throttled write is retried until the lease
/// expires, as another lease would cost one more write.
async fn register<P: Platform>(shared: &Shared<P>, lease: Lease, expires_at: Instant) -> bool {
    let txn = Txn {
        writes: vec![Write {
            key: keys::member(&shared.options.name),
            value: Member::value(&shared.options).into_bytes(),
            lease: Some(lease),
        }],
        ..Txn::default()
    };
    let mut retry_delay = RetryDelay::new(OPEN_RETRY_DELAY);
    loop {
        match shared.platform.txn(&txn).await {
            Ok(outcome) => return matches!(outcome, TxnOutcome::Done { .. }),
            Err(err) => {
                log::debug!("event=session.register fault=\"{err}\"");
                let delay = retry_delay.after(&err);
                if !err.is_throttled || shared.now() + delay >= expires_at {
                    return false;
                }
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Returns the interval between renewals. Only an owner's session must be proven often; the other
/// processes slow down when there are many of them.
fn renew_interval<P>(shared: &Shared<P>) -> Duration {
    if shared.groups.borrow().is_empty() {
        let interval = shared.fair_read_interval();
        interval.clamp(RENEW_INTERVAL, RENEW_INTERVAL_MAX)
    } else {
        RENEW_INTERVAL
    }
}

/// Renews the lease until the store reports that it has ended. Returns the number of renewals that
/// failed since the last successful one.
async fn renew<P: Platform>(shared: &Shared<P>, lease: Lease) -> u32 {
    let mut failed = 0;
    loop {
        tokio::time::sleep(renew_interval(shared)).await;
        let sent_at = shared.now();
        match shared.platform.renew(lease).await {
            Ok(true) => {
                shared.session_proven_at.set(Some(sent_at));
                shared.record_store_answer();
                failed = 0;
            }
            Ok(false) => return failed,
            Err(err) => {
                failed += 1;
                log::debug!("event=session.renew fault=\"{err}\"");
            }
        }
    }
}
