use persimmon_place::{Condition, Health, HealthOptions, Kind, Ledger, Shares, Verdict, WorkerKey};
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
        .claim(key, Kind::Batch, Size::ZERO)
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
        assert_eq!(health.fail(key, job(1), now), Verdict::Job);
    }
    assert_eq!(health.condition(key, now), Condition::Open);
}

#[test]
fn health_quarantine_then_probation() {
    let options = HealthOptions::default();
    let (mut health, start, key) = (Health::new(options), Instant::now(), worker());
    assert_eq!(health.fail(key, job(1), start), Verdict::Job);
    assert_eq!(health.fail(key, job(2), start), Verdict::Job);
    assert_eq!(health.fail(key, job(3), start), Verdict::Worker);
    assert_eq!(health.condition(key, start), Condition::Quarantined);
    let after = start + options.quarantine;
    assert_eq!(health.condition(key, after), Condition::Probation);
    // A failure on probation doubles the quarantine.
    assert_eq!(health.fail(key, job(4), after), Verdict::Worker);
    assert_eq!(
        health.condition(key, after + options.quarantine),
        Condition::Quarantined
    );
    assert_eq!(
        health.condition(key, after + options.quarantine * 2),
        Condition::Probation
    );
    health.succeed(key);
    assert_eq!(health.condition(key, after), Condition::Open);
}

#[test]
fn health_quarantine_bounded() {
    let options = HealthOptions::default();
    let (mut health, now, key) = (Health::new(options), Instant::now(), worker());
    for number in 0..100 {
        health.fail(key, job(number), now);
    }
    let after = now + options.quarantine_max + Duration::from_millis(1);
    assert_eq!(health.condition(key, after), Condition::Probation);
}
