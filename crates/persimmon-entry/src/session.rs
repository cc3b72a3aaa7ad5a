use crate::{
    keys,
    member::Member,
    platform::{Platform, Txn, Write},
    state::Shared,
};
use std::{rc::Rc, time::Duration};

/// How long a session outlives its last renewal. Takeovers wait for it to expire, but it must allow
/// for three renewals, even on a slow instance.
pub(crate) const SESSION_TTL: Duration = Duration::from_millis(1_400);
/// Interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(300);

/// Keeps a session in the store and opens a new one when it is lost. Never returns.
pub(crate) async fn maintain<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        if let Some(lease) = open_session(&shared).await {
            shared.lease.set(Some(lease));
            log::info!("event=session.open lease={}", lease.0);
            let failed_renewals = renew(&shared, lease).await;
            shared.lease.set(None);
            log::warn!(
                "event=session.lost lease={} failed_renewals={failed_renewals}",
                lease.0
            );
        }
        tokio::time::sleep(RENEW_INTERVAL / 5).await;
    }
}

async fn open_session<P: Platform>(shared: &Shared<P>) -> Option<crate::Lease> {
    let sent_at = shared.now();
    let lease = match shared.platform.grant(SESSION_TTL).await {
        Ok(lease) => lease,
        Err(err) => {
            log::debug!("event=session.grant fault=\"{err}\"");
            return None;
        }
    };
    let txn = Txn {
        writes: vec![Write {
            key: keys::member(&shared.options.name),
            value: Member::value(&shared.options).into_bytes(),
            lease: Some(lease),
        }],
        ..Txn::default()
    };
    match shared.platform.txn(&txn).await {
        Ok(crate::TxnOutcome::Done { .. }) => {
            shared.record_store_answer();
            shared.session_proven_at.set(Some(sent_at));
            Some(lease)
        }
        Ok(_) => None,
        Err(err) => {
            log::debug!("event=session.register fault=\"{err}\"");
            None
        }
    }
}

/// Renews the lease until the store reports that it has ended. Returns the number of renewals that
/// failed since the last successful one.
async fn renew<P: Platform>(shared: &Shared<P>, lease: crate::Lease) -> u32 {
    let mut failed = 0;
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
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
