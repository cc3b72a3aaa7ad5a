//! Records as stored.

use persimmon_sched::{Phase, Record, SilentRunner, TaskCrashes, TaskRecord, TaskState};

fn record(weight: u32) -> Record {
    let silent_runner = (weight > 0).then(|| SilentRunner {
        address: "10.0.0.1:80".to_owned(),
        incarnation_ms: 7,
    });
    let crashes = TaskCrashes {
        weight,
        silent_runner,
    };
    let task = |crashes| TaskRecord {
        state: TaskState::Waiting,
        run: 3,
        failures: 1,
        crashes,
        checkpoint: "c".to_owned(),
    };
    Record {
        phase: Phase::Active,
        runners: vec!["a".to_owned()],
        tasks: vec![vec![
            vec![task(TaskCrashes::default()), task(crashes)],
            vec![task(TaskCrashes::default())],
        ]],
    }
}

#[test]
fn crashes_are_kept() {
    let encoded = record(2).encode().expect("encoded");
    assert_eq!(Record::decode(&encoded).expect("decoded"), record(2));
}

/// Earlier versions know what precedes the crashes, and write nothing else.
#[test]
fn record_of_an_earlier_version_is_a_prefix() {
    let earlier = record(0).encode().expect("encoded");
    let encoded = record(2).encode().expect("encoded");
    assert!(encoded.starts_with(&earlier) && encoded.len() > earlier.len());
    assert_eq!(Record::decode(&earlier).expect("decoded"), record(0));
    assert!(Record::decode(&encoded[..encoded.len() - 1]).is_err());
}
