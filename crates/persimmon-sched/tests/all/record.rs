//! Records as stored.

use persimmon_sched::{Phase, Record, TaskRecord, TaskState};

fn record(crash_weight: u32) -> Record {
    let task = |crash_weight| TaskRecord {
        state: TaskState::Waiting,
        run: 3,
        failures: 1,
        crash_weight,
        checkpoint: "c".to_owned(),
    };
    Record {
        phase: Phase::Active,
        runners: vec!["a".to_owned()],
        tasks: vec![vec![vec![task(0), task(crash_weight)], vec![task(0)]]],
    }
}

#[test]
fn crash_weights_are_kept() {
    let encoded = record(2).encode().expect("encoded");
    assert_eq!(Record::decode(&encoded).expect("decoded"), record(2));
}

/// Earlier versions know what precedes the crash weights, and write nothing else.
#[test]
fn record_of_an_earlier_version_is_a_prefix() {
    let earlier = record(0).encode().expect("encoded");
    let encoded = record(2).encode().expect("encoded");
    assert!(encoded.starts_with(&earlier) && encoded.len() > earlier.len());
    assert_eq!(Record::decode(&earlier).expect("decoded"), record(0));
    assert!(Record::decode(&encoded[..encoded.len() - 1]).is_err());
}
