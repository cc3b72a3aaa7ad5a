use persimmon_shard::{BaseWire, Charts, Entry, EntryWire, JobEvent, JobTable, Step};
use persimmon_ticket::Rerun;
use persimmon_types::Size;
use proptest::prelude::*;
use std::time::Duration;

fn submit(number: u64) -> Entry {
    Entry::Submit {
        number,
        key: format!("key-{number}"),
        class: "class".to_owned(),
        team: "team".to_owned(),
        size: Size {
            cpu_millis: 1,
            memory_mib: 1,
            accelerators: 0,
        },
        run_time: Duration::from_millis(5),
        rerun: Rerun::Safe,
        attempts_max: 3,
        urgent: false,
        deadline_unix_ms: 100,
        at_unix_ms: number,
    }
}

fn step() -> impl Strategy<Value = Entry> {
    let events = prop_oneof![
        Just(JobEvent::Place),
        Just(JobEvent::Complete),
        Just(JobEvent::Evict),
        Just(JobEvent::Retry),
        Just(JobEvent::Lose),
        Just(JobEvent::Doubt),
        Just(JobEvent::Cancel),
        Just(JobEvent::Stop),
    ];
    let checkpoint = proptest::option::of("[0-9]{1,3}");
    (1..5u64, events, 0..200u64, checkpoint, any::<bool>()).prop_map(
        |(number, event, at_unix_ms, checkpoint, counts)| {
            let worker = (event == JobEvent::Place).then(|| ("w".to_owned(), 7));
            Entry::Step(Step {
                number,
                event,
                at_unix_ms,
                worker,
                checkpoint,
                counts,
            })
        },
    )
}

fn assign() -> impl Strategy<Value = Entry> {
    ("key-[0-9]", 0..9u16).prop_map(|(key, shard)| Entry::Assign {
        key,
        shard,
        at_unix_ms: 7,
    })
}

fn entry() -> impl Strategy<Value = Entry> {
    prop_oneof![1 => (1..5u64).prop_map(submit), 1 => assign(), 4 => step()]
}

proptest! {
    /// A snapshot taken after any entry yields, with the remaining entries, the same table as all
    /// entries.
    #[test]
    fn record_snapshot_and_tail_equal_all_entries(
        entries in prop::collection::vec(entry(), 0..60),
        cut in 0..60usize,
    ) {
        let charts = Charts::load().expect("valid charts");
        let mut expected = JobTable::default();
        for entry in &entries {
            expected.apply(&charts, entry);
        }
        let cut = cut.min(entries.len());
        let mut snapshot = JobTable::default();
        for entry in &entries[..cut] {
            snapshot.apply(&charts, entry);
        }
        let text = serde_json::to_string(&BaseWire::from(&snapshot)).expect("serializing");
        let wire: BaseWire = serde_json::from_str(&text).expect("a valid record");
        let mut table = JobTable::try_from(wire).expect("a valid record");
        let tail: Vec<EntryWire> = entries[cut..].iter().map(EntryWire::from).collect();
        let text = serde_json::to_string(&tail).expect("serializing");
        table
            .replay(&charts, serde_json::from_str(&text).expect("a valid record"))
            .expect("a valid record");
        prop_assert_eq!(table, expected);
    }
}

#[test]
fn record_rejects_unknown_event() {
    let text = r#"[{"step":{"number":1,"event":"melt","at_unix_ms":1}}]"#;
    let tail: Vec<EntryWire> = serde_json::from_str(text).expect("valid JSON of an entry");
    let charts = Charts::load().expect("valid charts");
    let error = JobTable::default()
        .replay(&charts, tail)
        .expect_err("an unknown event");
    assert_eq!(
        error.to_string(),
        "shard record: event \"melt\" is not known"
    );
}

#[test]
fn record_prune_keeps_open_jobs() {
    let charts = Charts::load().expect("valid charts");
    let mut table = JobTable::default();
    (1..=3).for_each(|number| assert!(table.apply(&charts, &submit(number))));
    let cancel = Step {
        number: 1,
        event: JobEvent::Cancel,
        at_unix_ms: 10,
        worker: None,
        checkpoint: None,
        counts: false,
    };
    assert!(table.apply(&charts, &Entry::Step(cancel)));
    table.prune(11);
    assert!(table.try_find(1).is_none() && table.try_find_key("key-1").is_none());
    assert_eq!(table.iter().count(), 2);
    assert!(
        !table.apply(&charts, &submit(1)),
        "a job number must not be reused"
    );
}
