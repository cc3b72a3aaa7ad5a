use persimmon_place::{
    FailureCause, Health, HealthOptions, HealthState, Ledger, Shares, WorkKind, WorkerKey,
};
use persimmon_types::{JobId, Size};
use std::time::{Duration, Instant};

fn worker() -> WorkerKey {
    let mut ledger = Ledger::new(Shares {
        latency_critical_percent: 0,
        batch_percent: 100,
    });
    let key = ledger.add(Size {
        cpu_millis: 1,
        memory_mib: 1,
        accelerators: 0,
    });
    ledger
        .claim(key, WorkKind::Batch, Size::ZERO)
        .expect("nothing always fits");
    key
}

fn job(number: u64) -> JobId {
    JobId { shard: 0, number }
}

#[test]
fn health_one_bad_job_harms_no_worker() {
    let (mut health, now, key) = (
        Health::new(HealthOptions::default()),
        Instant::now(),
        worker(),
    );
    for _ in 0..50 {
        assert_eq!(health.record_failure(key, job(1), now), FailureCause::Job);
    }
    assert_eq!(health.state(key, now), HealthState::Healthy);
}

#[test]
fn health_quarantine_then_probation() {
    let options = HealthOptions::default();
    let (mut health, start, key) = (Health::new(options), Instant::now(), worker());
    assert_eq!(health.record_failure(key, job(1), start), FailureCause::Job);
    assert_eq!(health.record_failure(key, job(2), start), FailureCause::Job);
    assert_eq!(
        health.record_failure(key, job(3), start),
        FailureCause::Worker
    );
    assert_eq!(health.state(key, start), HealthState::Quarantined);
    let after = start + options.quarantine;
    assert_eq!(health.state(key, after), HealthState::Probation);
    // A failure on probation doubles the quarantine.
    assert_eq!(
        health.record_failure(key, job(4), after),
        FailureCause::Worker
    );
    assert_eq!(
        health.state(key, after + options.quarantine),
        HealthState::Quarantined
    );
    assert_eq!(
        health.state(key, after + options.quarantine * 2),
        HealthState::Probation
    );
    health.record_success(key);
    assert_eq!(health.state(key, after), HealthState::Healthy);
}

#[test]
fn health_quarantine_bounded() {
    let options = HealthOptions::default();
    let (mut health, now, key) = (Health::new(options), Instant::now(), worker());
    for number in 0..100 {
        health.record_failure(key, job(number), now);
    }
    let after = now + options.quarantine_max + Duration::from_millis(1);
    assert_eq!(health.state(key, after), HealthState::Probation);
}
