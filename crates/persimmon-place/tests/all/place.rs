use persimmon_place::{place, Ledger, Shares, WorkKind};
use persimmon_types::Size;

fn ledger(cpu_millis_of_workers: &[u32]) -> Ledger {
    let mut ledger = Ledger::new(Shares {
        latency_critical_percent: 0,
        batch_percent: 100,
    });
    for cpu_millis in cpu_millis_of_workers {
        ledger.add(Size {
            cpu_millis: *cpu_millis,
            memory_mib: 100,
            accelerators: 0,
        });
    }
    ledger
}

const SMALL: Size = Size {
    cpu_millis: 10,
    memory_mib: 1,
    accelerators: 0,
};

#[test]
fn place_prefers_best_fit() {
    let ledger = ledger(&[100, 12, 50]);
    for start in 0..3 {
        let found = place(
            &ledger,
            WorkKind::Batch,
            SMALL,
            start,
            place::Options::default(),
            |_| 0,
        );
        assert_eq!(found.expect("a worker").index(), 1);
    }
}

#[test]
fn place_prefers_low_cost_over_best_fit() {
    let ledger = ledger(&[100, 12, 50]);
    let cost = |key: persimmon_place::WorkerKey| u32::from(key.index() == 1);
    let found = place(
        &ledger,
        WorkKind::Batch,
        SMALL,
        0,
        place::Options::default(),
        cost,
    );
    assert_eq!(found.expect("a worker").index(), 2);
}

#[test]
fn place_avoids_idle_accelerators() {
    let mut ledger = ledger(&[]);
    ledger.add(Size {
        cpu_millis: 10,
        memory_mib: 100,
        accelerators: 4,
    });
    ledger.add(Size {
        cpu_millis: 1000,
        memory_mib: 100,
        accelerators: 0,
    });
    let found = place(
        &ledger,
        WorkKind::Batch,
        SMALL,
        0,
        place::Options::default(),
        |_| 0,
    );
    assert_eq!(found.expect("a worker").index(), 1);
}

#[test]
fn place_without_workers() {
    let ledger = ledger(&[]);
    assert_eq!(
        place(
            &ledger,
            WorkKind::Batch,
            SMALL,
            7,
            place::Options::default(),
            |_| 0
        ),
        None
    );
}
