use persimmon_lease::{
    witness::{PromiseError, ReleaseError},
    ClockDrift, Holder, Witness,
};
use std::time::{Duration, Instant};

const TERM: Duration = Duration::from_secs(3);

fn holder() -> Holder {
    Holder {
        member: "a".to_owned(),
        incarnation: 1,
    }
}

fn past_startup_wait(start: Instant) -> Instant {
    start + TERM * 2
}

#[test]
fn witness_refuses_during_startup_wait() {
    let start = Instant::now();
    let mut witness = Witness::new(TERM, ClockDrift::default(), start);
    assert_eq!(
        witness.promise(&holder(), start + TERM, false),
        Err(PromiseError::RecentlyStarted)
    );
    assert!(witness.release(&holder(), start + TERM).is_err());
    assert_eq!(
        witness.promise(&holder(), past_startup_wait(start), false),
        Ok(())
    );
}

#[test]
fn witness_promise_blocks_release() {
    let start = Instant::now();
    let now = past_startup_wait(start);
    let mut witness = Witness::new(TERM, ClockDrift::default(), start);
    witness.promise(&holder(), now, false).expect("a promise");
    let error = witness
        .release(&holder(), now + TERM)
        .expect_err("still promised");
    let ReleaseError::Promised { remaining } = error;
    witness
        .release(&holder(), now + TERM + remaining)
        .expect("a release");
    let again = witness.promise(&holder(), now + TERM * 3, false);
    assert_eq!(again, Err(PromiseError::Released));
    // A restarted process of the same member is a different holder.
    let successor = Holder {
        incarnation: 2,
        ..holder()
    };
    assert_eq!(witness.promise(&successor, now + TERM * 3, false), Ok(()));
}

#[test]
fn witness_refuses_promise_while_store_is_reachable() {
    let start = Instant::now();
    let mut witness = Witness::new(TERM, ClockDrift::default(), start);
    let error = witness.promise(&holder(), past_startup_wait(start), true);
    assert_eq!(error, Err(PromiseError::StoreReachable));
}
