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
    /// A base taken anywhere, with the entries after it, gives the same table as all entries.
    #[test]
    fn record_base_and_tail(entries in prop::collection::vec(entry(), 0..60), cut in 0..60usize) {
        let charts = Charts::load().expect("sound charts");
        let mut whole = JobTable::default();
        for entry in &entries {
            whole.apply(&charts, entry);
        }
        let cut = cut.min(entries.len());
        let mut first = JobTable::default();
        for entry in &entries[..cut] {
            first.apply(&charts, entry);
        }
        let text = serde_json::to_string(&BaseWire::from(&first)).expect("JSON");
        let wire: BaseWire = serde_json::from_str(&text).expect("the same");
        let mut table = JobTable::try_from(wire).expect("the same");
        let tail: Vec<EntryWire> = entries[cut..].iter().map(EntryWire::from).collect();
        let text = serde_json::to_string(&tail).expect("JSON");
        table.replay(&charts, serde_json::from_str(&text).expect("the same")).expect("the same");
        prop_assert_eq!(table, whole);
    }
}

#[test]
fn record_unknown_event() {
    let text = r#"[{"step":{"number":1,"event":"melt","at_unix_ms":1}}]"#;
    let tail: Vec<EntryWire> = serde_json::from_str(text).expect("the right shape");
    let charts = Charts::load().expect("sound charts");
    let error = JobTable::default()
        .replay(&charts, tail)
        .expect_err("refused");
    assert_eq!(
        error.to_string(),
        "shard record: event \"melt\" is not known"
    );
}

#[test]
fn record_prune_keeps_open_jobs() {
    let charts = Charts::load().expect("sound charts");
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
        "a number is never given again"
    );
}
