use crate::{
    keys,
    member::Member,
    platform::{Platform, Txn, Write},
    state::Shared,
};
use std::{rc::Rc, time::Duration};

/// How long a session outlives its last renewal. A takeover waits for it; a renewal must fit three
/// times, also on an instance that is slowed.
const TTL: Duration = Duration::from_millis(1_400);
/// Between two renewals.
const RENEW_EVERY: Duration = Duration::from_millis(300);

/// Keeps a session in the store, for good.
pub(crate) async fn keep<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        if let Some(lease) = open(&shared).await {
            shared.lease.set(Some(lease));
            log::info!("event=session.open lease={}", lease.0);
            renew(&shared, lease).await;
            shared.lease.set(None);
            log::warn!("event=session.lost lease={}", lease.0);
        }
        tokio::time::sleep(RENEW_EVERY / 5).await;
    }
}

async fn open<P: Platform>(shared: &Shared<P>) -> Option<crate::Lease> {
    let sent_at = shared.now();
    let lease = match shared.platform.grant(TTL).await {
        Ok(lease) => lease,
        Err(fault) => {
            log::debug!("event=session.grant fault=\"{fault}\"");
            return None;
        }
    };
    let txn = Txn {
        writes: vec![Write {
            key: keys::node(&shared.options.name),
            value: Member::value(&shared.options).into_bytes(),
            lease: Some(lease),
        }],
        ..Txn::default()
    };
    match shared.platform.txn(&txn).await {
        Ok(crate::TxnOutcome::Done { .. }) => {
            shared.store_heard();
            shared.proven_at.set(Some(sent_at));
            Some(lease)
        }
        Ok(_) => None,
        Err(fault) => {
            log::debug!("event=session.register fault=\"{fault}\"");
            None
        }
    }
}

/// Renews until the lease has ended.
async fn renew<P: Platform>(shared: &Shared<P>, lease: crate::Lease) {
    loop {
        tokio::time::sleep(RENEW_EVERY).await;
        let sent_at = shared.now();
        match shared.platform.keep(lease).await {
            Ok(true) => {
                shared.proven_at.set(Some(sent_at));
                shared.store_heard();
            }
            Ok(false) => return,
            Err(fault) => log::debug!("event=session.renew fault=\"{fault}\""),
        }
    }
}
