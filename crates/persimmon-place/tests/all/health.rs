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
        .expect("an empty claim always fits");
    key
}

fn job(number: u64) -> JobId {
    JobId { shard: 0, number }
}

#[test]
fn health_one_failing_job_does_not_quarantine_a_worker() {
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
fn health_probation_follows_quarantine() {
    let options = HealthOptions::default();
    let (mut health, quarantined_at, key) = (Health::new(options), Instant::now(), worker());
    assert_eq!(
        health.record_failure(key, job(1), quarantined_at),
        FailureCause::Job
    );
    assert_eq!(
        health.record_failure(key, job(2), quarantined_at),
        FailureCause::Job
    );
    assert_eq!(
        health.record_failure(key, job(3), quarantined_at),
        FailureCause::Worker
    );
    assert_eq!(health.state(key, quarantined_at), HealthState::Quarantined);
    let probation_at = quarantined_at + options.quarantine_initial;
    assert_eq!(health.state(key, probation_at), HealthState::Probation);
    // A failure on probation doubles the quarantine.
    assert_eq!(
        health.record_failure(key, job(4), probation_at),
        FailureCause::Worker
    );
    assert_eq!(
        health.state(key, probation_at + options.quarantine_initial),
        HealthState::Quarantined
    );
    assert_eq!(
        health.state(key, probation_at + options.quarantine_initial * 2),
        HealthState::Probation
    );
    health.record_success(key);
    assert_eq!(health.state(key, probation_at), HealthState::Healthy);
}

#[test]
fn health_quarantine_length_is_bounded() {
    let options = HealthOptions::default();
    let (mut health, now, key) = (Health::new(options), Instant::now(), worker());
    for number in 0..100 {
        health.record_failure(key, job(number), now);
    }
    let probation_at = now + options.quarantine_max + Duration::from_millis(1);
    assert_eq!(health.state(key, probation_at), HealthState::Probation);
}

#[test]
fn health_failures_during_a_quarantine_do_not_lengthen_it() {
    let options = HealthOptions::default();
    let (mut health, now, key) = (Health::new(options), Instant::now(), worker());
    for number in 0..8 {
        health.record_failure(key, job(number), now);
    }
    let started_before = now + options.quarantine_initial / 2;
    let cause = health.record_failure(key, job(8), started_before);
    assert_eq!(cause, FailureCause::Worker);
    assert_eq!(
        health.state(key, now + options.quarantine_initial),
        HealthState::Probation
    );
}

#[test]
fn health_quarantine_length_is_bounded_after_many_probations() {
    let options = HealthOptions::default();
    let (mut health, mut now, key) = (Health::new(options), Instant::now(), worker());
    for number in 0..100 {
        health.record_failure(key, job(number), now);
        now += options.quarantine_max;
    }
    assert_eq!(health.state(key, now), HealthState::Probation);
}
