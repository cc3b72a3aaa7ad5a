use persimmon_lease::{ClockDrift, Ownership, OwnershipOptions};
use std::time::{Duration, Instant};

fn ownership() -> Ownership {
    let options = OwnershipOptions {
        session_ttl: Duration::from_secs(3),
        promise_term: Duration::from_secs(3),
        outage_limit: Duration::from_secs(60),
    };
    Ownership::new(options, ClockDrift::default())
}

/// A renewal that was sent before is answered after it, and the session task renews until the exit.
#[test]
fn ownership_ended_by_relinquish_not_regained_by_a_renewal() {
    let (mut ownership, now) = (ownership(), Instant::now());
    ownership.begin_session(now);
    let session = ownership.valid_session(now).expect("a session");
    assert!(ownership.is_owner(session, &[Vec::new()], now));
    ownership.relinquish();
    assert!(!ownership.is_owner(session, &[Vec::new()], now));
    ownership.record_renewal(now);
    assert!(!ownership.is_owner(session, &[Vec::new()], now));
    assert_eq!(ownership.valid_session(now), None);
}

#[test]
fn ownership_ended_by_relinquish_not_regained_by_promises() {
    let (mut ownership, now) = (ownership(), Instant::now());
    ownership.begin_session(now);
    let session = ownership.valid_session(now).expect("a session");
    ownership.relinquish();
    ownership.record_promise("witness#1", now);
    ownership.record_renewal(now);
    let witnesses = [vec!["witness#1".to_owned()]];
    assert!(!ownership.is_owner(session, &witnesses, now));
}

#[test]
fn ownership_ended_by_relinquish_not_regained_by_a_session() {
    let (mut ownership, now) = (ownership(), Instant::now());
    ownership.relinquish();
    ownership.begin_session(now);
    assert_eq!(ownership.valid_session(now), None);
}
